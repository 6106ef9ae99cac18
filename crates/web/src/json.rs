//! Responses with a JSON body.

use http_types::headers::CONTENT_TYPE;
use http_types::{Response, StatusCode};
use kernel::Failure;
use serde::Serialize;

const MS_PER_S: u64 = 1000;

/// Creates a response with a JSON body. An invalid status becomes 500.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(body).unwrap_or_default());
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    reason: &'a str,
    verdict: &'a str,
    retry_after_ms: Option<u64>,
}

/// Creates the response to a failed request, with its verdict, its reason and, if set, the delay
/// before a retry.
pub fn error_response(failure: &Failure) -> Response {
    let body = ErrorBody {
        error: ErrorFields {
            message: &failure.detail,
            reason: failure.reason.as_str(),
            verdict: failure.verdict.as_str(),
            retry_after_ms: failure.retry_after_ms,
        },
    };
    let mut response = json(failure.reason.status(), &body);
    response.insert_header("x-rosemary-verdict", failure.verdict.as_str());
    if let Some(delay_ms) = failure.retry_after_ms {
        response.insert_header("retry-after", delay_ms.div_ceil(MS_PER_S).to_string());
    }
    response
}
