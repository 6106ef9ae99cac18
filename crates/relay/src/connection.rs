//! Server side: one connection of a caller.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;

use crate::body::BodyReader;
use crate::framing::Framing;
use crate::head::{HeadError, RequestHead};
use crate::limits::{DrainState, Limits};
use crate::message::{Body, BodyError, BodyStream, Handler, Request, Response};
use crate::socket::{Socket, timeout_at};

/// Maximum number of bytes buffered from pipelined requests while one is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Why no request was received.
enum ReceiveError {
    /// The connection failed or was closed; no response is sent.
    Closed,
    /// The request is malformed, too large or too slow; the response has this status.
    Rejected(u16),
}

/// Serves the requests of a connection, one at a time, until it closes.
pub(crate) async fn serve(
    mut socket: Socket,
    peer_addr: SocketAddr,
    handler: Rc<dyn Handler>,
    drain: Rc<DrainState>,
) {
    loop {
        if !wait_for_request(&mut socket, &*handler).await {
            return;
        }
        // Those in force when the request arrives, however long the connection was idle.
        let limits = handler.limits();
        let request = match receive(&mut socket, peer_addr, &limits).await {
            Ok(request) => request,
            Err(ReceiveError::Closed) => return,
            Err(ReceiveError::Rejected(status)) => {
                tracing::info!(peer = %peer_addr, status, "call: rejected invalid request");
                let mut response = Response::new(status);
                response.close_connection = true;
                // The connection closes in any case, so a failure is ignored.
                drop(send_full(&mut socket, &response, &Bytes::new(), true, &limits).await);
                socket.shutdown_write();
                return;
            }
        };
        let open_request = drain.open_request();
        let keep_alive = request.head.minor_version == 1
            && !request.head.headers.has_token("connection", "close");
        let head_only = request.head.method == "HEAD";
        let handling = async { Some(handler.handle(request).await) };
        let disconnected = async {
            wait_for_disconnect(&mut socket).await;
            None
        };
        let Some(response) = handling.or(disconnected).await else {
            return;
        };
        let close = response.close_connection || !keep_alive || drain.is_closing();
        let sent = send(&mut socket, response, close, head_only, &limits).await;
        drop(open_request);
        match sent {
            Ok(()) if !close => {}
            Ok(()) => {
                socket.shutdown_write();
                discard_until_eof(&mut socket, &limits).await;
                return;
            }
            Err(_) => {
                socket.reset_on_close();
                return;
            }
        }
    }
}

/// Discards input until the caller closes: closing with unread bytes would send a reset, and the
/// caller could lose the response.
async fn discard_until_eof(socket: &mut Socket, limits: &Limits) {
    let deadline = Instant::now() + limits.receive_timeout();
    loop {
        let count = socket.buffered().len();
        socket.consume(count);
        match timeout_at(deadline, socket.fill()).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

/// Waits for the first bytes of the next request, and returns false if the connection fails, is closed or
/// is idle for too long.
async fn wait_for_request(socket: &mut Socket, handler: &dyn Handler) -> bool {
    let idle_since = Instant::now();
    while socket.buffered().is_empty() {
        let idle_deadline = idle_since + handler.limits().idle_timeout();
        match timeout_at(idle_deadline, socket.fill()).await {
            Ok(true) => {}
            // The time may have been raised meanwhile.
            Err(err)
                if err.kind() == io::ErrorKind::TimedOut
                    && Instant::now() < idle_since + handler.limits().idle_timeout() => {}
            Ok(false) | Err(_) => return false,
        }
    }
    true
}

/// Receives the next request with its body.
async fn receive(
    socket: &mut Socket,
    peer_addr: SocketAddr,
    limits: &Limits,
) -> Result<Request, ReceiveError> {
    let deadline = Instant::now() + limits.receive_timeout();
    let head = receive_head(socket, deadline, limits).await?;
    let received_at = Instant::now();
    let framing = Framing::of_request(&head.headers).map_err(|_| ReceiveError::Rejected(400))?;
    if matches!(framing, Framing::Length(bytes) if bytes > limits.max_body_bytes) {
        return Err(ReceiveError::Rejected(413));
    }
    if framing != Framing::None && head.headers.has_token("expect", "100-continue") {
        let interim = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", limits.write_timeout());
        interim.await.map_err(|_| ReceiveError::Closed)?;
    }
    let mut reader = BodyReader::new(framing);
    let body = timeout_at(deadline, reader.read_to_end(socket, limits.max_body_bytes)).await;
    let body = body.map_err(|err| match err.kind() {
        io::ErrorKind::FileTooLarge => ReceiveError::Rejected(413),
        io::ErrorKind::InvalidData => ReceiveError::Rejected(400),
        io::ErrorKind::TimedOut => ReceiveError::Rejected(408),
        _ => ReceiveError::Closed,
    })?;
    Ok(Request {
        head,
        body,
        peer_addr,
        received_at,
    })
}

async fn receive_head(
    socket: &mut Socket,
    deadline: Instant,
    limits: &Limits,
) -> Result<RequestHead, ReceiveError> {
    loop {
        match RequestHead::parse(socket.buffered()) {
            Ok(Some((_, length))) if length > limits.max_head_bytes => {
                return Err(ReceiveError::Rejected(431));
            }
            Ok(Some((head, length))) => {
                socket.consume(length);
                return check_head(head);
            }
            Ok(None) if socket.buffered().len() > limits.max_head_bytes => {
                return Err(ReceiveError::Rejected(431));
            }
            Ok(None) => {}
            Err(HeadError::TooManyFields) => return Err(ReceiveError::Rejected(431)),
            Err(HeadError::Malformed) => return Err(ReceiveError::Rejected(400)),
        }
        match timeout_at(deadline, socket.fill()).await {
            Ok(true) => {}
            Ok(false) => return Err(ReceiveError::Closed),
            Err(err) if err.kind() == io::ErrorKind::TimedOut => {
                return Err(ReceiveError::Rejected(408));
            }
            Err(_) => return Err(ReceiveError::Closed),
        }
    }
}

/// Rejects heads that two parsers could interpret differently.
fn check_head(head: RequestHead) -> Result<RequestHead, ReceiveError> {
    let host_count = head.headers.get_all("host").count();
    if head.minor_version != 1 || host_count != 1 || !head.target.starts_with('/') {
        return Err(ReceiveError::Rejected(400));
    }
    Ok(head)
}

/// Returns when the caller disconnects. Pipelined requests are buffered meanwhile; disconnects are
/// no longer detected once that buffer is full.
async fn wait_for_disconnect(socket: &mut Socket) {
    loop {
        if socket.buffered().len() > MAX_READ_AHEAD_BYTES {
            std::future::pending::<()>().await;
        }
        match socket.fill().await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

async fn send(
    socket: &mut Socket,
    response: Response,
    close: bool,
    head_only: bool,
    limits: &Limits,
) -> io::Result<()> {
    match &response.body {
        Body::Full(bytes) => {
            let bytes = bytes.clone();
            let body = if head_only {
                Bytes::new()
            } else {
                bytes.clone()
            };
            send_sized(socket, &response, &body, bytes.len(), close, limits).await
        }
        Body::Stream(_) => {
            socket.reset_on_close();
            let head = encode_head(&response, close, "Transfer-Encoding", "chunked");
            socket.write_all(&head, limits.write_timeout()).await?;
            let Body::Stream(mut stream) = response.body else {
                return Ok(());
            };
            send_stream(socket, &mut *stream, limits).await
        }
    }
}

async fn send_full(
    socket: &mut Socket,
    response: &Response,
    body: &Bytes,
    close: bool,
    limits: &Limits,
) -> io::Result<()> {
    send_sized(socket, response, body, body.len(), close, limits).await
}

async fn send_sized(
    socket: &mut Socket,
    response: &Response,
    body: &Bytes,
    declared_bytes: usize,
    close: bool,
    limits: &Limits,
) -> io::Result<()> {
    let length = declared_bytes.to_string();
    let mut message = encode_head(response, close, "Content-Length", &length);
    message.extend_from_slice(body);
    socket.write_all(&message, limits.write_timeout()).await
}

fn encode_head(response: &Response, close: bool, framing: &str, value: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    let reason = reason_phrase(response.status);
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", response.status).as_bytes());
    response.headers.write(&mut out);
    out.extend_from_slice(format!("{framing}: {value}\r\n").as_bytes());
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Sends a stream with the chunked coding. If the stream fails or the process ends, the last chunk is not
/// sent and the connection is reset, so that the response is not taken for complete.
async fn send_stream(
    socket: &mut Socket,
    stream: &mut dyn BodyStream,
    limits: &Limits,
) -> io::Result<()> {
    loop {
        let next = async { Some(stream.next().await) };
        let disconnected = async {
            wait_for_disconnect(socket).await;
            None
        };
        match next.or(disconnected).await {
            Some(Ok(Some(bytes))) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                socket.write_all(&chunk, limits.write_timeout()).await?;
            }
            Some(Ok(None)) => break,
            Some(Err(BodyError { message })) => return Err(io::Error::other(message)),
            None => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
    socket.close_regularly();
    let last_chunk = b"0\r\n\r\n";
    socket.write_all(last_chunk, limits.write_timeout()).await
}

/// Returns the reason phrase of the status codes that the router sends itself.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
