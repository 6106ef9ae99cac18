//! Requests whose key names another instance.

use std::net::SocketAddr;

use futures_lite::io::BufReader;
use http_types::{Body, Request, Response, StatusCode, Url};
use kernel::{Failure, Incarnation, Reason, Verdict};
use web::{ConnectionReuse, IncomingRequest};

use crate::answer::context::Context;
use crate::state::shared::Shared;

/// The moment to ask again while a request's home cannot be reached, in milliseconds.
const HOME_RETRY_MS: u64 = 2_000;

/// The headers of a request that its home must see.
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

/// The headers of a response that the caller must see.
const RESPONSE_HEADERS: &[&str] = &[
    "content-type",
    "retry-after",
    "x-rosemary-verdict",
    "x-rosemary-version",
    "x-request-id",
];

/// The buffer of a forwarded body, in bytes.
const BUFFER_BYTES: usize = 4 << 10;

/// Sends a request on to the incarnation that alone may run it.
///
/// # Errors
///
/// Fails with may-have-run when that incarnation is gone or cannot be reached.
pub(crate) async fn to_home(
    shared: &Shared,
    context: &Context,
    incoming: &IncomingRequest,
    body: Vec<u8>,
    home: Incarnation,
) -> Result<Response, Failure> {
    if context.forwarded {
        return Err(in_doubt(
            "a peer sent the request on to an instance that is not its home",
        ));
    }
    let Some(member) = context.view.member(home) else {
        return Err(in_doubt(
            "the instance that issued this key's prefix is gone",
        ));
    };
    let Ok(addr) = member.http_addr.parse::<SocketAddr>() else {
        return Err(in_doubt("the address of the key's instance is not known"));
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
        in_doubt(&format!(
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

fn in_doubt(detail: &str) -> Failure {
    Failure::new(Verdict::MayHaveRun, Reason::StaleId, detail).retry_after_ms(HOME_RETRY_MS)
}
