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
/// use limits::RequestLoad;
///
/// let work = RequestLoad::from_prefill_ms(300.0);
/// assert_eq!(work.prefill, 10.0);
/// assert_eq!(work.response, 1.0);
/// ```
#[derive(Debug)]
pub struct RequestLoad {
    /// What is done before the answer begins.
    pub prefill: f64,
    /// What goes on until it has ended.
    pub response: f64,
}

impl RequestLoad {
    /// Returns the load of a request whose prompt is read for this time if nothing else is, in
    /// milliseconds.
    pub fn from_prefill_ms(reading_ms: f64) -> RequestLoad {
        RequestLoad {
            prefill: reading_ms / READ_UNIT_MS,
            response: ANSWER_WORK,
        }
    }
}
