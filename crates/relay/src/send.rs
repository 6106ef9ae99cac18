//! Sending of responses to callers.

use std::io;
use std::time::Instant;

use futures_lite::FutureExt;

use crate::capacity::Seat;
use crate::limits::Limits;
use crate::message::{Body, BodyError, BodyStream, Response};
use crate::occupant::Phase;
use crate::receive::{NO_CAPACITY_STATUS, wait_for_disconnect};
use crate::socket::{Socket, timeout_at};

/// Seconds after which a caller may retry for which there was no capacity: bodies without progress give way
/// sooner, and the others arrive in a few seconds.
const RETRY_AFTER_S: &str = "1";

/// The most bytes of a body that are copied to be sent together with the head.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// Sends a response.
///
/// # Errors
///
/// Fails if the connection or the stream fails, or the caller disconnects or does not read.
pub(crate) async fn send(
    socket: &mut Socket,
    seat: &Seat,
    response: Response,
    close: bool,
    head_only: bool,
    limits: &Limits,
) -> io::Result<()> {
    match &response.body {
        Body::Full(bytes) => {
            let length = bytes.len().to_string();
            let mut message = encode_head(&response, close, "Content-Length", &length);
            let body = if head_only { &[] } else { &bytes[..] };
            let (joined, rest) = body.split_at(body.len().min(MAX_JOINED_BYTES));
            message.extend_from_slice(joined);
            seat.enter(Phase::Sending);
            write_all(socket, seat, &message, limits).await?;
            // The copy would be held for as long as the caller does not read the rest.
            drop(message);
            write_all(socket, seat, rest, limits).await
        }
        Body::Stream(_) => {
            socket.reset_on_close();
            let head = encode_head(&response, close, "Transfer-Encoding", "chunked");
            seat.enter(Phase::Sending);
            write_all(socket, seat, &head, limits).await?;
            let Body::Stream(mut stream) = response.body else {
                return Ok(());
            };
            send_stream(socket, seat, &mut *stream, limits).await
        }
    }
}

/// Writes all bytes; the write timeout applies to each write.
async fn write_all(
    socket: &mut Socket,
    seat: &Seat,
    mut bytes: &[u8],
    limits: &Limits,
) -> io::Result<()> {
    while !bytes.is_empty() {
        let deadline = Instant::now() + limits.write_timeout();
        let count = timeout_at(deadline, socket.write(bytes)).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        seat.record_moved(count);
        bytes = &bytes[count..];
    }
    Ok(())
}

/// Encodes a response without a body that closes the connection.
pub(crate) fn encode_rejection(status: u16) -> Vec<u8> {
    let mut response = Response::new(status);
    if status == NO_CAPACITY_STATUS {
        response = response.header("Retry-After", RETRY_AFTER_S);
    }
    encode_head(&response, true, "Content-Length", "0")
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
    seat: &Seat,
    stream: &mut dyn BodyStream,
    limits: &Limits,
) -> io::Result<()> {
    loop {
        seat.enter(Phase::Running);
        let next = async { Some(stream.next().await) };
        let disconnected = async {
            wait_for_disconnect(socket, seat, limits).await;
            None
        };
        match next.or(disconnected).await {
            Some(Ok(Some(bytes))) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                seat.enter(Phase::Sending);
                write_all(socket, seat, &chunk, limits).await?;
            }
            Some(Ok(None)) => break,
            Some(Err(BodyError { message })) => return Err(io::Error::other(message)),
            None => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
    socket.close_regularly();
    let last_chunk = b"0\r\n\r\n";
    seat.enter(Phase::Sending);
    write_all(socket, seat, last_chunk, limits).await
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
