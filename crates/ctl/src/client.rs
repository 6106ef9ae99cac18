//! HTTP requests to entry instances.

use std::net::SocketAddr;

use http_types::{Method, Request, Url};
use serde_json::Value;
use web::{Client, ConnectionReuse};

use crate::error::{CommandError, ExitStatus};

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest accepted response body.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Reads a path as JSON.
pub(crate) async fn get_json(addr: SocketAddr, path: &str) -> Result<Value, CommandError> {
    send(addr, Method::Get, path, None, Vec::new()).await
}

/// Sends a request and reads the response as JSON. A status other than 200 is an error.
pub(crate) async fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    bearer: Option<&str>,
    body: Vec<u8>,
) -> Result<Value, CommandError> {
    let failed = |message: String| {
        CommandError::new(
            ExitStatus::Failed,
            format!("http://{addr}{path}: {message}"),
        )
    };
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|err| failed(err.to_string()))?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    if let Some(bearer) = bearer {
        request.insert_header("authorization", format!("Bearer {bearer}"));
    }
    let client = Client::new(CONNECT_TIMEOUT_MS);
    let mut response = client
        .send(addr, request, ConnectionReuse::Never)
        .await
        .map_err(|err| failed(err.to_string()))?;
    let bytes = response
        .read_body(MAX_RESPONSE_BYTES)
        .await
        .map_err(|err| failed(err.to_string()))?;
    let value: Value = serde_json::from_slice(&bytes).map_err(|err| failed(err.to_string()))?;
    if response.status() != 200 {
        return Err(failed(format!(
            "status {}, {}",
            response.status(),
            value["error"]["message"]
        )));
    }
    Ok(value)
}
