//! Server side: one connection of a caller.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;

use crate::account::Purpose;
use crate::capacity::Seat;
use crate::limits::{DrainState, Limits};
use crate::message::{Body, Handler, Request, Response};
use crate::occupant::Phase;
use crate::receive::{NO_CAPACITY_STATUS, ReceiveError, receive, wait_for_disconnect};
use crate::send::{encode_rejection, send};
use crate::socket::{Socket, timeout_at};

/// How long a caller without capacity has to read the refusal: closing with unread bytes would send a reset.
const REFUSAL_LINGER: Duration = Duration::from_millis(200);

/// Refuses a connection for which there is no capacity.
pub(crate) fn refuse(socket: &Socket) {
    socket.write_now(&encode_rejection(NO_CAPACITY_STATUS));
    socket.shutdown_write();
}

/// Serves the requests of a connection, one at a time, until it closes or has to give way.
pub(crate) async fn serve(
    mut socket: Socket,
    seat: Seat,
    peer_addr: SocketAddr,
    handler: Rc<dyn Handler>,
    drain: Rc<DrainState>,
) {
    let serving = async {
        serve_requests(&mut socket, &seat, peer_addr, &*handler, &drain).await;
        false
    };
    let closing = async {
        seat.must_close().await;
        true
    };
    if !serving.or(closing).await {
        return;
    }
    match seat.phase() {
        Phase::Receiving => {
            socket.write_now(&encode_rejection(408));
            socket.shutdown_write();
        }
        Phase::Sending => socket.reset_on_close(),
        Phase::Idle | Phase::Running => {}
    }
}

async fn serve_requests(
    socket: &mut Socket,
    seat: &Seat,
    peer_addr: SocketAddr,
    handler: &dyn Handler,
    drain: &DrainState,
) {
    loop {
        seat.enter(Phase::Idle);
        if !wait_for_request(socket, handler).await {
            return;
        }
        // Those in force when the request arrives, however long the connection was idle.
        let limits = handler.limits();
        let received = receive(socket, seat, peer_addr, &limits).await;
        let (request, running) = match received {
            Ok(received) => received,
            Err(ReceiveError::Closed) => return,
            Err(ReceiveError::Rejected(status)) => {
                reject(socket, seat, peer_addr, status).await;
                return;
            }
        };
        seat.enter(Phase::Running);
        let open_request = drain.open_request();
        let keep_alive = request.head.minor_version == 1
            && !request.head.headers.has_token("connection", "close");
        let head_only = request.head.method == "HEAD";
        let Some(response) = handle(socket, seat, handler, request, &limits).await else {
            return;
        };
        if let Body::Full(bytes) = &response.body {
            // The handler has dropped the request.
            seat.holding.set(Purpose::Bodies, 0);
            seat.hold_response(bytes.len() as u64);
        } else {
            seat.hold_response(0);
        }
        let close = response.close_connection || !keep_alive || drain.is_closing();
        let sent = send(socket, seat, response, close, head_only, &limits).await;
        drop((open_request, running));
        seat.end_request();
        match sent {
            Ok(()) if !close => {}
            Ok(()) => {
                seat.enter(Phase::Idle);
                socket.shutdown_write();
                discard_until_eof(socket, Instant::now() + limits.receive_timeout()).await;
                return;
            }
            Err(_) => {
                socket.reset_on_close();
                return;
            }
        }
    }
}

/// Returns the response to a request, or `None` if the caller disconnects before.
async fn handle(
    socket: &mut Socket,
    seat: &Seat,
    handler: &dyn Handler,
    request: Request,
    limits: &Limits,
) -> Option<Response> {
    let handling = async { Some(handler.handle(request).await) };
    let disconnected = async {
        wait_for_disconnect(socket, seat, limits).await;
        None
    };
    handling.or(disconnected).await
}

/// Sends the status of a request that was not received, and closes the connection.
async fn reject(socket: &mut Socket, seat: &Seat, peer_addr: SocketAddr, status: u16) {
    tracing::info!(peer = %peer_addr, status, "call: rejected invalid request");
    seat.end_request();
    seat.enter(Phase::Idle);
    socket.write_now(&encode_rejection(status));
    socket.shutdown_write();
    if status == NO_CAPACITY_STATUS {
        discard_until_eof(socket, Instant::now() + REFUSAL_LINGER).await;
    }
}

/// Discards input until the caller closes: closing with unread bytes would send a reset, and the
/// caller could lose the response.
async fn discard_until_eof(socket: &mut Socket, deadline: Instant) {
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
    socket.release_buffer();
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
