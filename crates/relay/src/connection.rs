//! One connection of a caller.

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

/// The most bytes of further requests that are read ahead while one is answered.
const MAX_AHEAD_BYTES: usize = 64 << 10;

/// Why a connection ends.
enum End {
    /// Nothing is owed on it.
    Quiet,
    /// The request cannot be read; the caller gets this status.
    Refuse(u16),
}

/// Serves a connection until it ends.
pub(crate) async fn serve(
    mut socket: Socket,
    peer: SocketAddr,
    handler: Rc<dyn Handler>,
    drain: Rc<DrainState>,
) {
    loop {
        let limits = handler.limits();
        let call = match receive(&mut socket, peer, &limits).await {
            Ok(call) => call,
            Err(End::Quiet) => return,
            Err(End::Refuse(status)) => {
                tracing::info!(%peer, status, "call: unreadable request refused");
                let mut response = Response::new(status);
                response.close_connection = true;
                // The caller may be gone; nothing is owed then.
                drop(answer_whole(&mut socket, &response, &Bytes::new(), true, &limits).await);
                socket.shutdown_write();
                return;
            }
        };
        let entered = drain.enter();
        let keeps =
            call.head.minor_version == 1 && !call.head.headers.has_token("connection", "close");
        let head_only = call.head.method == "HEAD";
        let answer = async { Some(handler.handle(call).await) };
        let gone = async {
            watch_gone(&mut socket).await;
            None
        };
        let Some(response) = answer.or(gone).await else {
            return;
        };
        let closes = response.close_connection || !keeps || drain.is_closing();
        let sent = send(&mut socket, response, closes, head_only, &limits).await;
        drop(entered);
        match sent {
            Ok(()) if !closes => {}
            Ok(()) => {
                socket.shutdown_write();
                linger(&mut socket, &limits).await;
                return;
            }
            Err(_) => {
                socket.reset_on_close();
                return;
            }
        }
    }
}

/// Reads until the caller closes, so that unread bytes do not turn the close into a reset.
async fn linger(socket: &mut Socket, limits: &Limits) {
    let until = Instant::now() + limits.arrival();
    loop {
        let held = socket.buffered().len();
        socket.consume(held);
        match timeout_at(until, socket.fill()).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

/// Receives the next request.
async fn receive(socket: &mut Socket, peer: SocketAddr, limits: &Limits) -> Result<Request, End> {
    if socket.buffered().is_empty() {
        let idle_until = Instant::now() + limits.idle();
        match timeout_at(idle_until, socket.fill()).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return Err(End::Quiet),
        }
    }
    let until = Instant::now() + limits.arrival();
    let head = receive_head(socket, until, limits).await?;
    let received = Instant::now();
    let framing = Framing::of_request(&head.headers).map_err(|_| End::Refuse(400))?;
    if matches!(framing, Framing::Length(bytes) if bytes > limits.max_body_bytes) {
        return Err(End::Refuse(413));
    }
    if framing != Framing::None && head.headers.has_token("expect", "100-continue") {
        let interim = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", limits.write());
        interim.await.map_err(|_| End::Quiet)?;
    }
    let mut reader = BodyReader::new(framing);
    let body = timeout_at(until, reader.read_to_end(socket, limits.max_body_bytes)).await;
    let body = body.map_err(|err| match err.kind() {
        io::ErrorKind::FileTooLarge => End::Refuse(413),
        io::ErrorKind::InvalidData => End::Refuse(400),
        io::ErrorKind::TimedOut => End::Refuse(408),
        _ => End::Quiet,
    })?;
    Ok(Request {
        head,
        body,
        peer_addr: peer,
        received_at: received,
    })
}

async fn receive_head(
    socket: &mut Socket,
    until: Instant,
    limits: &Limits,
) -> Result<RequestHead, End> {
    loop {
        match RequestHead::parse(socket.buffered()) {
            Ok(Some((_, length))) if length > limits.max_head_bytes => {
                return Err(End::Refuse(431));
            }
            Ok(Some((head, length))) => {
                socket.consume(length);
                return check(head);
            }
            Ok(None) if socket.buffered().len() > limits.max_head_bytes => {
                return Err(End::Refuse(431));
            }
            Ok(None) => {}
            Err(HeadError::TooManyFields) => return Err(End::Refuse(431)),
            Err(HeadError::Malformed) => return Err(End::Refuse(400)),
        }
        match timeout_at(until, socket.fill()).await {
            Ok(true) => {}
            Ok(false) => return Err(End::Quiet),
            Err(err) if err.kind() == io::ErrorKind::TimedOut => return Err(End::Refuse(408)),
            Err(_) => return Err(End::Quiet),
        }
    }
}

/// Refuses heads that could be read in two ways.
fn check(head: RequestHead) -> Result<RequestHead, End> {
    let hosts = head.headers.get_all("host").count();
    if head.minor_version != 1 || hosts != 1 || !head.target.starts_with('/') {
        return Err(End::Refuse(400));
    }
    Ok(head)
}

/// Returns when the caller is gone; reads its further requests ahead meanwhile.
async fn watch_gone(socket: &mut Socket) {
    loop {
        if socket.buffered().len() > MAX_AHEAD_BYTES {
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
    closes: bool,
    head_only: bool,
    limits: &Limits,
) -> io::Result<()> {
    match &response.body {
        Body::Full(bytes) => {
            let bytes = bytes.clone();
            let sent = if head_only {
                Bytes::new()
            } else {
                bytes.clone()
            };
            answer_sized(socket, &response, &sent, bytes.len(), closes, limits).await
        }
        Body::Stream(_) => {
            let head = write_head(&response, closes, "Transfer-Encoding", "chunked");
            socket.write_all(&head, limits.write()).await?;
            let Body::Stream(mut pieces) = response.body else {
                return Ok(());
            };
            send_pieces(socket, &mut *pieces, limits).await
        }
    }
}

async fn answer_whole(
    socket: &mut Socket,
    response: &Response,
    body: &Bytes,
    closes: bool,
    limits: &Limits,
) -> io::Result<()> {
    answer_sized(socket, response, body, body.len(), closes, limits).await
}

async fn answer_sized(
    socket: &mut Socket,
    response: &Response,
    body: &Bytes,
    declared_bytes: usize,
    closes: bool,
    limits: &Limits,
) -> io::Result<()> {
    let length = declared_bytes.to_string();
    let mut message = write_head(response, closes, "Content-Length", &length);
    message.extend_from_slice(body);
    socket.write_all(&message, limits.write()).await
}

fn write_head(response: &Response, closes: bool, framing: &str, value: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    let reason = reason(response.status);
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", response.status).as_bytes());
    response.headers.write(&mut out);
    out.extend_from_slice(format!("{framing}: {value}\r\n").as_bytes());
    if closes {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Sends pieces as chunks. An answer that breaks off is left without its last chunk.
async fn send_pieces(
    socket: &mut Socket,
    pieces: &mut dyn BodyStream,
    limits: &Limits,
) -> io::Result<()> {
    loop {
        let next = async { Some(pieces.next().await) };
        let gone = async {
            watch_gone(socket).await;
            None
        };
        match next.or(gone).await {
            Some(Ok(Some(piece))) => {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(&piece);
                chunk.extend_from_slice(b"\r\n");
                socket.write_all(&chunk, limits.write()).await?;
            }
            Some(Ok(None)) => return socket.write_all(b"0\r\n\r\n", limits.write()).await,
            Some(Err(BodyError { message })) => return Err(io::Error::other(message)),
            None => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Returns the usual phrase of a status.
fn reason(status: u16) -> &'static str {
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
