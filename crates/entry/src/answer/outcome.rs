//! The result of running a request.

use std::sync::Arc;

use crate::answer::answer_stream::AnswerStream;

/// The answer to a request.
pub(crate) enum Answer {
    /// The complete answer, already billed.
    Complete {
        /// The response body.
        bytes: Vec<u8>,
        /// The name of the version or service that answered.
        version: Arc<str>,
    },
    /// A started stream, which still has to be read and billed.
    Stream(Box<AnswerStream>),
}
