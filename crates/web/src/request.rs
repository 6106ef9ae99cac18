//! Received requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Request, Url};
use kernel::{Failure, Reason};

use crate::capacity::{NoCapacity, Seat};
use crate::conn::Conn;
use crate::limits::Limits;

/// The first memory of a body, in bytes. It doubles while the body arrives.
const FIRST_BODY_BYTES: usize = 8 << 10;

/// A received request, whose body is read on demand.
pub struct IncomingRequest {
    /// Head of the request; the body is to be read with [`IncomingRequest::read_body`].
    pub request: Request,
    /// Address of the caller.
    pub peer: SocketAddr,
    conn: Conn,
    seat: Arc<Seat>,
    max_body_bytes: u64,
    body_timeout_ms: u64,
}

impl IncomingRequest {
    pub(crate) fn new(
        request: Request,
        peer: SocketAddr,
        conn: Conn,
        seat: Arc<Seat>,
        limits: &Limits,
    ) -> IncomingRequest {
        let max_body_bytes = limits.max_body_bytes;
        let body_timeout_ms = limits.body_timeout_ms;
        IncomingRequest {
            request,
            peer,
            conn,
            seat,
            max_body_bytes,
            body_timeout_ms,
        }
    }

    /// Returns the path of the URL.
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// Returns the URL, with path and query.
    pub fn url(&self) -> &Url {
        self.request.url()
    }

    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails with verdict not-run when the body is too large, arrives too slowly or is truncated.
    pub async fn read_body(&mut self) -> Result<Vec<u8>, Failure> {
        let declared = self.request.len().map(|length| length as u64);
        let chunked = self.header("transfer-encoding").is_some();
        if declared.is_some_and(|length| length > self.max_body_bytes) {
            self.conn.skip_body();
            return Err(self.too_large());
        }
        if declared.is_none() && !chunked {
            return Ok(Vec::new());
        }
        self.conn.begin_body(if chunked { None } else { declared });
        let body = self.request.take_body();
        let most_bytes = declared.unwrap_or(self.max_body_bytes + 1);
        let mut bytes = Vec::new();
        let timeout_ms = self.body_timeout_ms;
        let read = async {
            let read = self.read_into(body, &mut bytes, most_bytes as usize).await;
            read.map(Some)
        };
        let expire = async {
            Timer::after(Duration::from_millis(timeout_ms)).await;
            Ok(None)
        };
        match read.or(expire).await {
            Ok(Some(Ok(()))) => {}
            Ok(Some(Err(NoCapacity))) => {
                drop(bytes);
                self.conn.skip_body();
                return Err(NoCapacity.into());
            }
            Ok(None) => {
                return Err(Failure::not_run(
                    Reason::BadRequest,
                    format!("the request body did not arrive within {timeout_ms} ms"),
                ));
            }
            Err(err) => {
                return Err(Failure::not_run(
                    Reason::BadRequest,
                    format!("cannot read the request body: {err}"),
                ));
            }
        }
        if bytes.len() as u64 > self.max_body_bytes {
            return Err(self.too_large());
        }
        if declared.is_some_and(|length| length != bytes.len() as u64) {
            return Err(Failure::not_run(
                Reason::BadRequest,
                "the request body is shorter than its declared length",
            ));
        }
        Ok(bytes)
    }

    /// Reads a body, at most this many bytes, as far as there is memory for it.
    async fn read_into(
        &self,
        mut body: Body,
        bytes: &mut Vec<u8>,
        most_bytes: usize,
    ) -> io::Result<Result<(), NoCapacity>> {
        let mut length = 0;
        while length < most_bytes {
            if length == bytes.len() {
                let capacity = (2 * length).max(FIRST_BODY_BYTES).min(most_bytes);
                if self.seat.hold(capacity as u64).is_err() {
                    return Ok(Err(NoCapacity));
                }
                bytes.reserve_exact(capacity - length);
                bytes.resize(capacity, 0);
            }
            let count = body.read(&mut bytes[length..]).await?;
            if count == 0 {
                break;
            }
            length += count;
        }
        bytes.truncate(length);
        Ok(Ok(()))
    }

    fn too_large(&self) -> Failure {
        let detail = format!(
            "the request body is larger than {} bytes",
            self.max_body_bytes
        );
        Failure::not_run(Reason::TooLarge, detail)
    }
}
