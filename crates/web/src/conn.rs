//! One accepted connection.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, FutureExt};

/// How many bytes are read ahead while a head is awaited.
const READ_AHEAD_BYTES: usize = 2048;

/// The age from which on a request's caller is watched.
const WATCH_AFTER: Duration = Duration::from_millis(100);

/// How long a connection with an unread body is read on after its answer: what callers allow for a
/// new connection.
const LINGER: Duration = Duration::from_secs(1);

/// How much is read at a time then, in bytes.
const LINGER_CHUNK_BYTES: usize = 4096;

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Which bytes of the stream the HTTP library may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Up to and including the end of the head.
    Head,
    /// None: the head was read, and no body was declared yet.
    Gap,
    /// This many body bytes.
    Body(u64),
    /// All: a chunked body follows, after which the connection closes.
    Open,
}

/// The part of a connection that moves.
struct Gate {
    phase: Phase,
    held: Vec<u8>,
    matched: usize,
    responded: bool,
    pipelined: bool,
    heads: u64,
    asked: Instant,
    skipped: bool,
    write_timer: Option<Timer>,
}

struct Shared {
    stream: Async<TcpStream>,
    gate: Mutex<Gate>,
    write_timeout_ms: u64,
}

/// A connection that hands the HTTP library one request's bytes at a time.
///
/// The library buffers each request apart and drops what it read too much, so that pipelined
/// requests would be lost without this.
#[derive(Clone)]
pub(crate) struct Conn {
    shared: Arc<Shared>,
}

impl Conn {
    pub(crate) fn new(stream: Async<TcpStream>, write_timeout_ms: u64) -> Conn {
        let gate = Gate {
            phase: Phase::Head,
            held: Vec::new(),
            matched: 0,
            responded: false,
            pipelined: false,
            heads: 0,
            asked: Instant::now(),
            skipped: false,
            write_timer: None,
        };
        Conn {
            shared: Arc::new(Shared {
                stream,
                gate: Mutex::new(gate),
                write_timeout_ms,
            }),
        }
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.shared
            .gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the connection for the next head.
    pub(crate) fn next_request(&self) {
        let mut gate = self.gate();
        gate.phase = Phase::Head;
        gate.heads += 1;
        gate.matched = 0;
        gate.responded = false;
        gate.pipelined = false;
    }

    /// Lets the declared body through, or everything when its length is unknown.
    pub(crate) fn begin_body(&self, length_bytes: Option<u64>) {
        self.gate().phase = length_bytes.map_or(Phase::Open, Phase::Body);
    }

    /// Lets none of the body through, after which the connection must close.
    pub(crate) fn skip_body(&self) {
        let mut gate = self.gate();
        gate.phase = Phase::Body(0);
        gate.skipped = true;
    }

    /// Returns whether bytes of the request's body may still come.
    pub(crate) fn has_unread_body(&self, has_body: bool) -> bool {
        let gate = self.gate();
        gate.skipped || (has_body && gate.phase != Phase::Body(0))
    }

    /// Returns whether any byte of a response was written since the last head.
    pub(crate) fn responded(&self) -> bool {
        self.gate().responded
    }

    /// Returns whether no byte of a further request was read.
    pub(crate) fn is_idle(&self) -> bool {
        let gate = self.gate();
        gate.phase == Phase::Head && gate.matched == 0 && gate.held.is_empty()
    }

    /// Returns how many heads were awaited so far.
    pub(crate) fn heads(&self) -> u64 {
        self.gate().heads
    }

    /// Returns whether a head is awaited or half read.
    pub(crate) fn awaits_head(&self) -> bool {
        self.gate().phase == Phase::Head
    }

    /// Ends the writing direction and reads on for a while if a body was left unread: closing at once
    /// would reset the connection, and the caller would lose the answer that it has not read yet.
    pub(crate) async fn linger(&self) {
        if !self.gate().skipped {
            return;
        }
        drop(self.shared.stream.get_ref().shutdown(Shutdown::Write));
        let mut stream = &self.shared.stream;
        let drain = async {
            let mut chunk = [0; LINGER_CHUNK_BYTES];
            while stream.read(&mut chunk).await.is_ok_and(|count| count > 0) {}
        };
        let expire = async {
            Timer::after(LINGER).await;
        };
        drain.or(expire).await;
    }

    /// Closes both directions.
    pub(crate) fn close(&self) {
        drop(self.shared.stream.get_ref().shutdown(Shutdown::Both));
    }

    /// Is ready when the caller is gone while its request is being answered.
    pub(crate) fn poll_vanished(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut gate = self.gate();
        let body_read = matches!(gate.phase, Phase::Gap | Phase::Body(0));
        // Short requests are not worth the system calls; the supervisor's tick polls again later.
        let young = gate.asked.elapsed() < WATCH_AFTER;
        if young || !body_read || gate.pipelined || !gate.held.is_empty() {
            return Poll::Pending;
        }
        loop {
            let mut byte = [0];
            match self.shared.stream.get_ref().peek(&mut byte) {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => {
                    gate.pipelined = true;
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

impl Gate {
    /// Hands over held bytes, at most `limit` of them.
    fn serve(&mut self, buf: &mut [u8], limit: usize) -> usize {
        let count = buf.len().min(limit).min(self.held.len());
        buf[..count].copy_from_slice(&self.held[..count]);
        self.held.drain(..count);
        count
    }

    /// Hands over bytes of the head, and stops at its end.
    fn serve_head(&mut self, buf: &mut [u8]) -> usize {
        let limit = buf.len().min(self.held.len());
        let mut count = 0;
        while count < limit && self.matched < HEAD_END.len() {
            let byte = self.held[count];
            self.matched = match self.matched {
                matched if HEAD_END[matched] == byte => matched + 1,
                _ => usize::from(byte == b'\r'),
            };
            count += 1;
        }
        if self.matched == HEAD_END.len() {
            self.matched = 0;
            self.phase = Phase::Gap;
            self.asked = Instant::now();
        }
        self.serve(buf, count)
    }
}

impl AsyncRead for Conn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut gate = self.gate();
        let mut stream = &self.shared.stream;
        match gate.phase {
            Phase::Gap | Phase::Body(0) => Poll::Ready(Ok(0)),
            Phase::Head => {
                if gate.held.is_empty() {
                    let mut ahead = [0; READ_AHEAD_BYTES];
                    let count = ready!(Pin::new(&mut stream).poll_read(cx, &mut ahead))?;
                    if count == 0 {
                        return Poll::Ready(Ok(0));
                    }
                    gate.held.extend_from_slice(&ahead[..count]);
                }
                Poll::Ready(Ok(gate.serve_head(buf)))
            }
            Phase::Body(left) => {
                let limit = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
                let count = if gate.held.is_empty() {
                    ready!(Pin::new(&mut stream).poll_read(cx, &mut buf[..limit]))?
                } else {
                    gate.serve(buf, limit)
                };
                gate.phase = Phase::Body(left - count as u64);
                Poll::Ready(Ok(count))
            }
            Phase::Open if gate.held.is_empty() => Pin::new(&mut stream).poll_read(cx, buf),
            Phase::Open => Poll::Ready(Ok(gate.serve(buf, usize::MAX))),
        }
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut gate = self.gate();
        gate.responded = true;
        let mut stream = &self.shared.stream;
        match Pin::new(&mut stream).poll_write(cx, buf) {
            Poll::Ready(result) => {
                gate.write_timer = None;
                Poll::Ready(result)
            }
            Poll::Pending => {
                let limit = Duration::from_millis(self.shared.write_timeout_ms);
                let timer = gate.write_timer.get_or_insert_with(|| Timer::after(limit));
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
