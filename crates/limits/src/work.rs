//! How much load a request is for its endpoint.
//!
//! It answers the load of a few long prompts among many short ones: while an endpoint reads a long
//! prompt, all that come after it wait, and once it answers, it hardly delays anybody.

/// The load of a running answer, or of a plain request.
const ANSWER_WORK: f64 = 1.0;

/// The time of reading that makes as much load as a running answer, in milliseconds: what a prompt
/// of 4,000 tokens takes on the users' smallest model.
const READ_UNIT_MS: f64 = 30.0;

/// The load of one request, in running answers.
///
/// # Examples
///
/// ```
/// use limits::Work;
///
/// let work = Work::of_prompt(300.0);
/// assert_eq!(work.before_answer, 10.0);
/// assert_eq!(work.until_end, 1.0);
/// ```
#[derive(Debug)]
pub struct Work {
    /// What is done before the answer begins.
    pub before_answer: f64,
    /// What goes on until it has ended.
    pub until_end: f64,
}

impl Work {
    /// Returns the load of a request whose prompt is read for this time if nothing else is, in
    /// milliseconds.
    pub fn of_prompt(reading_ms: f64) -> Work {
        Work {
            before_answer: reading_ms / READ_UNIT_MS,
            until_end: ANSWER_WORK,
        }
    }
}
