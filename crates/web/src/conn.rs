//! Accepted connections, with control over what the HTTP library may read.

use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, FutureExt};
use socket2::SockRef;

/// Maximum number of bytes read from the socket at once while a head is awaited.
const READ_AHEAD_BYTES: usize = 2048;

/// Age of a request from which its caller is checked for a disconnect.
const DISCONNECT_CHECK_AFTER: Duration = Duration::from_millis(100);

/// How long an unread body is received and discarded after the response: as long as callers wait
/// for a new connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of body bytes discarded at once.
const LINGER_CHUNK_BYTES: usize = 4096;

/// The bytes that terminate a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Which bytes of the connection the HTTP library may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Up to and including the end of the head.
    Head,
    /// None: the head was read, and the length of the body is not known yet.
    HeadRead,
    /// This many more bytes, which belong to the body.
    Body(u64),
    /// All: a chunked body follows, after which the connection closes.
    Unlimited,
}

/// The mutable state of a connection.
struct State {
    phase: Phase,
    /// Bytes received but not read by the HTTP library yet.
    read_ahead: Vec<u8>,
    /// How many bytes of [`HEAD_END`] were matched so far.
    matched: usize,
    responded: bool,
    pipelined: bool,
    heads: u64,
    head_read: Instant,
    head_awaited: Instant,
    body_skipped: bool,
    write_timer: Option<Timer>,
}

struct Shared {
    stream: Async<TcpStream>,
    state: Mutex<State>,
    write_timeout_ms: u64,
}

/// A connection that lets the HTTP library read the bytes of one request at a time.
///
/// The library uses a new buffer for each request and drops what it read beyond the request, so
/// pipelined requests would be lost otherwise.
#[derive(Clone)]
pub(crate) struct Conn {
    shared: Arc<Shared>,
}

impl Conn {
    pub(crate) fn new(stream: Async<TcpStream>, write_timeout_ms: u64) -> Conn {
        let state = State {
            phase: Phase::Head,
            read_ahead: Vec::new(),
            matched: 0,
            responded: false,
            pipelined: false,
            heads: 0,
            head_read: Instant::now(),
            head_awaited: Instant::now(),
            body_skipped: false,
            write_timer: None,
        };
        Conn {
            shared: Arc::new(Shared {
                stream,
                state: Mutex::new(state),
                write_timeout_ms,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the library read the next head.
    pub(crate) fn next_request(&self) {
        let mut state = self.state();
        state.phase = Phase::Head;
        state.heads += 1;
        state.head_awaited = Instant::now();
        state.matched = 0;
        state.responded = false;
        state.pipelined = false;
    }

    /// Lets the library read a body of the given length, or all bytes if the length is unknown.
    pub(crate) fn begin_body(&self, length_bytes: Option<u64>) {
        self.state().phase = length_bytes.map_or(Phase::Unlimited, Phase::Body);
    }

    /// Lets the library read nothing of the body. The connection must be closed after the response.
    pub(crate) fn skip_body(&self) {
        let mut state = self.state();
        state.phase = Phase::Body(0);
        state.body_skipped = true;
    }

    /// Returns whether bytes of the request body may still arrive.
    pub(crate) fn has_unread_body(&self, has_body: bool) -> bool {
        let state = self.state();
        state.body_skipped || (has_body && state.phase != Phase::Body(0))
    }

    /// Returns whether a write was attempted since [`Conn::next_request`].
    pub(crate) fn responded(&self) -> bool {
        self.state().responded
    }

    /// Returns whether a head is awaited and no byte of it was received.
    pub(crate) fn is_idle(&self) -> bool {
        let state = self.state();
        state.phase == Phase::Head && state.matched == 0 && state.read_ahead.is_empty()
    }

    /// Returns since when the connection is idle, if it is.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        self.is_idle().then(|| self.state().head_awaited)
    }

    /// Closes an idle connection, which its task sees as the end of its input.
    pub(crate) fn give_way(&self) {
        // Fails only if the connection is already closed.
        drop(self.shared.stream.get_ref().shutdown(Shutdown::Both));
    }

    /// Writes a response without waiting, and closes.
    pub(crate) fn refuse(&self, response: &[u8]) {
        let mut stream = self.shared.stream.get_ref();
        // The connection is closed next, whether or not the caller gets this.
        drop(stream.write(response));
        drop(stream.shutdown(Shutdown::Write));
    }

    /// Returns the number of request heads awaited so far.
    pub(crate) fn heads(&self) -> u64 {
        self.state().heads
    }

    /// Returns whether a head is awaited or partly read.
    pub(crate) fn awaits_head(&self) -> bool {
        self.state().phase == Phase::Head
    }

    /// If a body was left unread, shuts down writing and discards the body for up to
    /// [`LINGER_TIMEOUT`]. Closing at once would reset the connection, and the caller would lose a
    /// response that it has not read yet.
    pub(crate) async fn linger(&self) {
        if !self.state().body_skipped {
            return;
        }
        drop(self.shared.stream.get_ref().shutdown(Shutdown::Write));
        let mut stream = &self.shared.stream;
        let drain = async {
            let mut chunk = [0; LINGER_CHUNK_BYTES];
            while stream.read(&mut chunk).await.is_ok_and(|count| count > 0) {
                turn::yield_if_over().await;
            }
        };
        let expire = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        drain.or(expire).await;
    }

    /// Makes the connection close with a reset, also when the process ends, so that the caller cannot
    /// mistake a truncated response for a complete one; or regularly again.
    pub(crate) fn set_reset_on_close(&self, resets: bool) {
        let options = SockRef::from(self.shared.stream.get_ref());
        if let Err(err) = options.set_linger(resets.then_some(Duration::ZERO)) {
            tracing::debug!(error = %err, "connection: how it closes was not set");
        }
    }

    /// Closes both directions, unless the connection is to be reset when it is dropped.
    pub(crate) fn close(&self) {
        let linger = SockRef::from(self.shared.stream.get_ref()).linger();
        if linger.is_ok_and(|linger| linger == Some(Duration::ZERO)) {
            return;
        }
        drop(self.shared.stream.get_ref().shutdown(Shutdown::Both));
    }

    /// Is ready when the caller has disconnected while its request is handled.
    pub(crate) fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        let body_read = matches!(state.phase, Phase::HeadRead | Phase::Body(0));
        // Short requests are not worth the system calls. The connection's periodic check wakes the
        // task, so that this is polled again.
        let recent = state.head_read.elapsed() < DISCONNECT_CHECK_AFTER;
        if recent || !body_read || state.pipelined || !state.read_ahead.is_empty() {
            return Poll::Pending;
        }
        loop {
            let mut byte = [0];
            match self.shared.stream.get_ref().peek(&mut byte) {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => {
                    state.pipelined = true;
                    return Poll::Pending;
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) if err.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Poll::Ready(()),
            }
            if ready!(self.shared.stream.poll_readable(cx)).is_err() {
                return Poll::Ready(());
            }
        }
    }
}

impl State {
    /// Moves bytes read ahead to `buf`, at most `limit` of them, and returns their number.
    fn copy_read_ahead(&mut self, buf: &mut [u8], limit: usize) -> usize {
        let count = buf.len().min(limit).min(self.read_ahead.len());
        buf[..count].copy_from_slice(&self.read_ahead[..count]);
        self.read_ahead.drain(..count);
        count
    }

    /// Moves bytes read ahead to `buf` up to the end of the head, and returns their number.
    fn copy_head(&mut self, buf: &mut [u8]) -> usize {
        let limit = buf.len().min(self.read_ahead.len());
        let mut count = 0;
        while count < limit && self.matched < HEAD_END.len() {
            let byte = self.read_ahead[count];
            self.matched = match self.matched {
                matched if HEAD_END[matched] == byte => matched + 1,
                _ => usize::from(byte == b'\r'),
            };
            count += 1;
        }
        if self.matched == HEAD_END.len() {
            self.matched = 0;
            self.phase = Phase::HeadRead;
            self.head_read = Instant::now();
        }
        self.copy_read_ahead(buf, count)
    }
}

impl AsyncRead for Conn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(turn::poll_yield(cx));
        let mut state = self.state();
        let mut stream = &self.shared.stream;
        match state.phase {
            Phase::HeadRead | Phase::Body(0) => Poll::Ready(Ok(0)),
            Phase::Head => {
                if state.read_ahead.is_empty() {
                    let mut ahead = [0; READ_AHEAD_BYTES];
                    let count = ready!(Pin::new(&mut stream).poll_read(cx, &mut ahead))?;
                    if count == 0 {
                        return Poll::Ready(Ok(0));
                    }
                    state.read_ahead.extend_from_slice(&ahead[..count]);
                }
                Poll::Ready(Ok(state.copy_head(buf)))
            }
            Phase::Body(left) => {
                let limit = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
                let count = if state.read_ahead.is_empty() {
                    ready!(Pin::new(&mut stream).poll_read(cx, &mut buf[..limit]))?
                } else {
                    state.copy_read_ahead(buf, limit)
                };
                state.phase = Phase::Body(left - count as u64);
                Poll::Ready(Ok(count))
            }
            Phase::Unlimited if state.read_ahead.is_empty() => {
                Pin::new(&mut stream).poll_read(cx, buf)
            }
            Phase::Unlimited => Poll::Ready(Ok(state.copy_read_ahead(buf, usize::MAX))),
        }
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(turn::poll_yield(cx));
        let mut state = self.state();
        state.responded = true;
        let mut stream = &self.shared.stream;
        match Pin::new(&mut stream).poll_write(cx, buf) {
            Poll::Ready(result) => {
                state.write_timer = None;
                Poll::Ready(result)
            }
            Poll::Pending => {
                let limit = Duration::from_millis(self.shared.write_timeout_ms);
                let timer = state.write_timer.get_or_insert_with(|| Timer::after(limit));
                ready!(timer.poll(cx));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shared.stream.get_ref().shutdown(Shutdown::Write))
    }
}
