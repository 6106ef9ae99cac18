//! How callers speak.

use kernel::Failure;
use relay::{RequestHead, Response};

use crate::request::RequestInfo;

/// How a kind of caller speaks. It translates and decides nothing.
pub trait CallerProtocol {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Fails when a field cannot be read; the failure names the field.
    fn decode(&self, head: &RequestHead) -> Result<RequestInfo, Failure>;

    /// Writes a refusal or failure.
    fn encode_failure(&self, ask: Option<&RequestInfo>, failure: &Failure) -> Response;
}
