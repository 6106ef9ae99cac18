//! Forwards requests to their home, the incarnation that alone may run them.

use std::net::SocketAddr;

use futures_lite::io::BufReader;
use http_types::{Body, Request, Response, StatusCode, Url};
use kernel::{Failure, Incarnation, Reason, Verdict};
use web::{ConnectionReuse, IncomingRequest};

use crate::answer::context::Context;
use crate::state::shared::Shared;

/// The retry-after while the home of a request cannot be reached.
const HOME_RETRY_MS: u64 = 2_000;

/// The request headers that are forwarded to the home.
const REQUEST_HEADERS: &[&str] = &[
    "authorization",
    "content-type",
    "idempotency-key",
    "x-rosemary-class",
    "x-rosemary-priority",
    "x-rosemary-deadline-ms",
    "x-rosemary-session",
    "x-rosemary-non-idempotent",
];

/// The response headers that are passed back to the caller.
const RESPONSE_HEADERS: &[&str] = &[
    "content-type",
    "retry-after",
    "x-rosemary-verdict",
    "x-rosemary-version",
    "x-request-id",
];

/// The size of the buffer for a forwarded body.
const BUFFER_BYTES: usize = 4 << 10;

/// Forwards a request to its home.
///
/// # Errors
///
/// Fails with may-have-run when the home is dead or cannot be reached.
pub(crate) async fn to_home(
    shared: &Shared,
    context: &Context,
    incoming: &IncomingRequest,
    body: Vec<u8>,
    home: Incarnation,
) -> Result<Response, Failure> {
    if context.forwarded {
        return Err(may_have_run(
            "a peer forwarded the request to an instance that is not its home",
        ));
    }
    let Some(member) = context.view.member(home) else {
        return Err(may_have_run(
            "the instance that issued this key's prefix is dead or has left",
        ));
    };
    let Ok(addr) = member.http_addr.parse::<SocketAddr>() else {
        return Err(may_have_run(
            "the instance that issued this key's prefix has no valid address",
        ));
    };
    let url = format!("http://{addr}{}", incoming.path());
    let url =
        Url::parse(&url).map_err(|err| Failure::not_run(Reason::BadRequest, err.to_string()))?;
    let mut request = Request::new(incoming.request.method(), url);
    request.set_body(body);
    for name in REQUEST_HEADERS {
        if let Some(value) = incoming.header(name) {
            request.insert_header(*name, value);
        }
    }
    request.insert_header("x-rosemary-forwarded", "true");
    let sent = shared
        .http_client
        .send(addr, request, ConnectionReuse::Never)
        .await;
    let reply = sent.map_err(|err| {
        may_have_run(&format!(
            "the instance that issued this key's prefix cannot be reached: {err}"
        ))
    })?;
    let status = StatusCode::try_from(reply.status()).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    for name in RESPONSE_HEADERS {
        if let Some(value) = reply.header(name) {
            response.insert_header(*name, value);
        }
    }
    let length = reply.declared_bytes().map(|length| length as usize);
    response.set_body(Body::from_reader(
        BufReader::with_capacity(BUFFER_BYTES, reply),
        length,
    ));
    Ok(response)
}

fn may_have_run(detail: &str) -> Failure {
    Failure::new(Verdict::MayHaveRun, Reason::StaleId, detail).retry_after_ms(HOME_RETRY_MS)
}
