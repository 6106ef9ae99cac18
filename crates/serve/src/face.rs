//! How callers speak.

use kernel::Failure;
use relay::{RequestHead, Response};

use crate::ask::Ask;

/// How a kind of caller speaks. It translates and decides nothing.
pub trait Face {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Fails when a field cannot be read; the failure names the field.
    fn decode(&self, head: &RequestHead) -> Result<Ask, Failure>;

    /// Writes a refusal or failure.
    fn refuse(&self, ask: Option<&Ask>, failure: &Failure) -> Response;
}
