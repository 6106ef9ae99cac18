//! A TCP connection with a read buffer.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::task::{Poll, ready};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::{Buf, BytesMut};
use futures_lite::FutureExt;
use socket2::{SockRef, TcpKeepalive};

/// Size of one read, in bytes. A streamed event usually takes less than a tenth of it.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// Bytes that the kernel holds unsent of a long request.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Idle time before the first keep-alive probe. Users tolerate a silent peer for about two seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Time that sent data may stay unacknowledged. Linux also ends a connection by it whose keep-alive
/// probes are unanswered, whatever their number, so it is the time that these take.
const TCP_USER_TIMEOUT: Duration =
    KEEPALIVE_IDLE.saturating_add(KEEPALIVE_INTERVAL.saturating_mul(KEEPALIVE_PROBES));

/// Runs a future with a deadline.
///
/// # Errors
///
/// Fails like the future, and with [`io::ErrorKind::TimedOut`] at the deadline.
pub async fn timeout_at<T>(
    deadline: Instant,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expire = async {
        Timer::at(deadline).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future.or(expire).await
}

/// Reads like [`read_into`], and waits until there is something to read.
///
/// `Async::read_with` missed one wake-up in some hundred calls, so that they hung.
async fn read_when_ready(
    stream: &Async<TcpStream>,
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> io::Result<usize> {
    poll_fn(|cx| {
        loop {
            match read_into(stream.get_ref(), buffer, max_bytes) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
            ready!(stream.poll_readable(cx))?;
        }
    })
    .await
}

/// Writes some of the bytes, and waits until that is possible.
async fn write_when_ready(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    poll_fn(|cx| {
        loop {
            match stream.get_ref().write(bytes) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
            ready!(stream.poll_writable(cx))?;
        }
    })
    .await
}

/// A TCP connection with a buffer of bytes that were read and not consumed yet.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    buffer: BytesMut,
    eof: bool,
}

thread_local! {
    /// Receives each read. An array in the futures that read would be held by each idle connection.
    static CHUNK: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_CHUNK_BYTES]);
}

/// Reads at most this many bytes and appends them to a buffer.
fn read_into(mut stream: &TcpStream, buffer: &mut BytesMut, max_bytes: usize) -> io::Result<usize> {
    CHUNK.with_borrow_mut(|chunk| {
        let length = chunk.len().min(max_bytes);
        let count = stream.read(&mut chunk[..length])?;
        buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    })
}

impl Socket {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established before the deadline.
    pub async fn connect(addr: SocketAddr, deadline: Instant) -> io::Result<Socket> {
        let stream = timeout_at(deadline, Async::<TcpStream>::connect(addr)).await?;
        Socket::new(stream)
    }

    /// Wraps a connection and sets its TCP options: no delay, keep-alive, user timeout.
    ///
    /// # Errors
    ///
    /// Fails if an option cannot be set, for example because the connection is closed.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Socket> {
        let options = SockRef::from(stream.get_ref());
        options.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        Ok(Socket {
            stream,
            buffer: BytesMut::new(),
            eof: false,
        })
    }

    /// Returns the buffered bytes.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes and returns the first `count` buffered bytes.
    pub fn take(&mut self, count: usize) -> BytesMut {
        self.buffer.split_to(count)
    }

    /// Discards the first `count` buffered bytes.
    pub fn consume(&mut self, count: usize) {
        self.buffer.advance(count);
    }

    /// Returns whether the peer has closed its sending side.
    pub fn is_eof(&self) -> bool {
        self.eof
    }

    /// Checks that the connection is open and that the peer has sent nothing yet, without waiting.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::InvalidData`] if bytes have arrived, and if the connection fails or is
    /// closed.
    pub fn check_silent(&self) -> io::Result<()> {
        let mut byte = [0];
        match self.stream.get_ref().peek(&mut byte) {
            Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => {
                let message = "bytes arrived before the request was sent";
                Err(io::Error::new(io::ErrorKind::InvalidData, message))
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Returns whether the connection failed, also after its end was read.
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.stream.get_ref().take_error(), Ok(Some(_)) | Err(_))
    }

    /// Reads into the buffer. Returns false at end of file.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn fill(&mut self) -> io::Result<bool> {
        self.fill_by(READ_CHUNK_BYTES).await
    }

    /// Reads at most this many bytes into the buffer. Returns false at end of file.
    pub(crate) async fn fill_by(&mut self, max_bytes: usize) -> io::Result<bool> {
        turn::yield_if_over().await;
        let Socket { stream, buffer, .. } = self;
        let count = read_when_ready(stream, buffer, max_bytes).await?;
        self.eof |= count == 0;
        Ok(count > 0)
    }

    /// Returns the memory of the buffer, in bytes.
    pub(crate) fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Releases the memory of the buffer if it is empty.
    pub(crate) fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Sets the size of the kernel's buffers of both directions, in bytes.
    pub(crate) fn bound_kernel_buffers(&self, bytes: usize) {
        let options = SockRef::from(self.stream.get_ref());
        let set = options
            .set_recv_buffer_size(bytes)
            .and_then(|()| options.set_send_buffer_size(bytes));
        if let Err(err) = set {
            tracing::debug!(error = %err, "connection: buffer sizes were not set");
        }
    }

    /// Bounds the bytes that the kernel holds before it sends them, so that writes wait until the peer takes
    /// what was written before.
    pub(crate) fn bound_unsent_bytes(&self) {
        let options = SockRef::from(self.stream.get_ref());
        if let Err(err) = options.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            tracing::debug!(error = %err, "connection: unsent bytes were not bounded");
        }
    }

    /// Writes as much as is possible without waiting, and ignores failures.
    pub(crate) fn write_now(&self, bytes: &[u8]) {
        // The connection is closed next, whether or not the peer gets this.
        drop(self.stream.get_ref().write(bytes));
    }

    /// Writes some of the bytes and returns how many.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        turn::yield_if_over().await;
        write_when_ready(&self.stream, bytes).await
    }

    /// Writes all bytes; `timeout` applies to each write.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or a write times out because the peer does not read.
    pub async fn write_all(&mut self, mut bytes: &[u8], timeout: Duration) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = timeout_at(Instant::now() + timeout, self.write(bytes)).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Waits until some of the bytes are written or some input is read into the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub(crate) async fn write_or_fill(&mut self, bytes: &[u8]) -> io::Result<Progress> {
        turn::yield_if_over().await;
        let Socket { stream, buffer, .. } = self;
        let write = async {
            let written = write_when_ready(stream, bytes).await;
            written.map(Progress::Written)
        };
        let read = async {
            let read = read_when_ready(stream, buffer, READ_CHUNK_BYTES).await;
            read.map(Progress::Read)
        };
        let progress = write.or(read).await?;
        self.eof |= progress == Progress::Read(0);
        Ok(progress)
    }

    /// Shuts down the sending side after all written data.
    pub fn shutdown_write(&self) {
        // Fails only if the connection is already closed.
        drop(self.stream.get_ref().shutdown(std::net::Shutdown::Write));
    }

    /// Makes the connection close with a reset, also when the process ends, so that the peer cannot
    /// mistake a truncated response for a complete one.
    pub fn reset_on_close(&self) {
        self.set_linger(Some(Duration::ZERO));
    }

    /// Makes the connection close regularly again, after all written data.
    pub fn close_regularly(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, linger: Option<Duration>) {
        if let Err(err) = SockRef::from(self.stream.get_ref()).set_linger(linger) {
            tracing::debug!(error = %err, "connection: how it closes was not set");
        }
    }
}

/// The result of [`Socket::write_or_fill`], in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Written(usize),
    Read(usize),
}
