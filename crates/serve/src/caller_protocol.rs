//! Protocol between callers and the router.

use kernel::Failure;
use relay::{RequestHead, Response};

use crate::request::RequestInfo;

/// Codec for the requests of one kind of caller. It makes no routing decisions.
pub trait CallerProtocol {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Fails if a header is malformed; the failure names the header.
    fn decode(&self, head: &RequestHead) -> Result<RequestInfo, Failure>;

    /// Encodes a refusal or failure as a response; `info` is `None` if decoding failed.
    fn encode_failure(&self, info: Option<&RequestInfo>, failure: &Failure) -> Response;
}
