//! Receiving of one request, within the capacity.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;

use crate::account::Purpose;
use crate::body::BodyReader;
use crate::body_buffer::BodyBuffer;
use crate::capacity::{NoCapacity, RunningGuard, Seat};
use crate::framing::Framing;
use crate::head::{HeadError, RequestHead};
use crate::limits::Limits;
use crate::message::Request;
use crate::occupant::Phase;
use crate::socket::{Socket, timeout_at};

/// Status of a request for which there is no capacity.
pub(crate) const NO_CAPACITY_STATUS: u16 = 503;

/// The most memory that is allocated for a body of announced length before its bytes arrive.
const FIRST_BODY_BYTES: u64 = 16 << 10;

/// The least memory that is allocated for a body whose length is not announced, in bytes.
const MIN_BODY_BYTES: u64 = 1 << 10;

/// Why no request was received.
pub(crate) enum ReceiveError {
    /// The connection failed or was closed; no response is sent.
    Closed,
    /// The request is malformed, too large or too slow, or there is no capacity; the response has this status.
    Rejected(u16),
}

impl From<NoCapacity> for ReceiveError {
    fn from(NoCapacity: NoCapacity) -> ReceiveError {
        ReceiveError::Rejected(NO_CAPACITY_STATUS)
    }
}

impl From<io::Error> for ReceiveError {
    fn from(err: io::Error) -> ReceiveError {
        match err.kind() {
            io::ErrorKind::FileTooLarge => ReceiveError::Rejected(413),
            io::ErrorKind::InvalidData => ReceiveError::Rejected(400),
            io::ErrorKind::TimedOut => ReceiveError::Rejected(408),
            _ => ReceiveError::Closed,
        }
    }
}

/// Receives the next request with its body, and counts it as in progress.
pub(crate) async fn receive<'a>(
    socket: &mut Socket,
    seat: &'a Seat,
    peer_addr: SocketAddr,
    limits: &Limits,
) -> Result<(Request, RunningGuard<'a>), ReceiveError> {
    seat.enter(Phase::Receiving);
    let deadline = Instant::now() + limits.receive_timeout();
    let head = receive_head(socket, seat, deadline, limits).await?;
    let received_at = Instant::now();
    let framing = Framing::of_request(&head.headers).map_err(|_| ReceiveError::Rejected(400))?;
    if matches!(framing, Framing::Length(bytes) if bytes > limits.max_body_bytes) {
        return Err(ReceiveError::Rejected(413));
    }
    let running = seat.admit_request().await?;
    if framing != Framing::None && head.headers.has_token("expect", "100-continue") {
        let interim = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", limits.write_timeout());
        interim.await.map_err(|_| ReceiveError::Closed)?;
    }
    let receiving = async {
        let received = receive_body(socket, seat, framing, limits.max_body_bytes).await;
        // The deadline below fails with an error of this type.
        Ok(received)
    };
    let body = timeout_at(deadline, receiving).await??;
    let request = Request {
        head,
        body,
        peer_addr,
        received_at,
    };
    Ok((request, running))
}

/// Receives a body. Its memory grows with what arrives, and never beyond the announced or the largest length.
async fn receive_body(
    socket: &mut Socket,
    seat: &Seat,
    framing: Framing,
    max_bytes: u64,
) -> Result<Bytes, ReceiveError> {
    let (first_bytes, most_bytes) = match framing {
        Framing::Length(length) => (length.min(FIRST_BODY_BYTES), length),
        _ => (MIN_BODY_BYTES, max_bytes),
    };
    let mut reader = BodyReader::new(framing);
    let mut body = BodyBuffer::default();
    while let Some(count) = reader.next_count(socket).await? {
        let length = (body.len() + count) as u64;
        if length > max_bytes {
            return Err(ReceiveError::Rejected(413));
        }
        if length > body.capacity() as u64 {
            let doubled = (2 * body.capacity() as u64).max(first_bytes);
            let capacity = doubled.min(most_bytes).max(length);
            seat.grow_body(capacity).await?;
            body.reserve_total(capacity as usize);
        }
        body.extend_from_slice(&socket.buffered()[..count]);
        socket.consume(count);
        seat.record_moved(count);
    }
    Ok(body.freeze())
}

async fn receive_head(
    socket: &mut Socket,
    seat: &Seat,
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
                // The parsed head is a copy.
                seat.holding
                    .set(Purpose::Input, (socket.buffer_capacity() + length) as u64);
                return check_head(head);
            }
            Ok(None) if socket.buffered().len() >= limits.max_head_bytes => {
                return Err(ReceiveError::Rejected(431));
            }
            Ok(None) => {}
            Err(HeadError::TooManyFields) => return Err(ReceiveError::Rejected(431)),
            Err(HeadError::Malformed | HeadError::InvalidStatus(_)) => {
                return Err(ReceiveError::Rejected(400));
            }
        }
        let room = limits.max_head_bytes - socket.buffered().len();
        match timeout_at(deadline, socket.fill_by(room)).await {
            Ok(true) => seat
                .holding
                .set(Purpose::Input, socket.buffer_capacity() as u64),
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

/// Returns when the caller disconnects. Pipelined requests are buffered meanwhile, up to the size of a head;
/// disconnects are no longer detected once that buffer is full.
pub(crate) async fn wait_for_disconnect(socket: &mut Socket, seat: &Seat, limits: &Limits) {
    loop {
        let room = limits
            .max_head_bytes
            .saturating_sub(socket.buffered().len());
        if room == 0 {
            std::future::pending::<()>().await;
        }
        match socket.fill_by(room).await {
            Ok(true) => {
                let bytes = seat.holding.get(Purpose::Input);
                let bytes = bytes.max(socket.buffer_capacity() as u64);
                seat.holding.set(Purpose::Input, bytes);
            }
            Ok(false) | Err(_) => return,
        }
    }
}
