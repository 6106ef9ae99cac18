//! What a run leads to.

use std::sync::Arc;

use crate::answer::answer_stream::AnswerStream;

/// The answer to a request, whole or begun.
pub(crate) enum Answer {
    /// The whole answer, billed.
    Complete {
        /// The bytes.
        bytes: Vec<u8>,
        /// The version or service.
        version: Arc<str>,
    },
    /// A stream that began; the pump does the rest.
    Stream(Box<AnswerStream>),
}
