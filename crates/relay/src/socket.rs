//! A TCP connection with a read buffer.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::{Buf, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use socket2::{SockRef, TcpKeepalive};

/// Size of one read, in bytes. A streamed event usually takes less than a tenth of it.
const READ_CHUNK_BYTES: usize = 8 << 10;

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

/// A TCP connection with a buffer of bytes that were read and not consumed yet.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    buffer: BytesMut,
    eof: bool,
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

    /// Reads into the buffer. Returns false at end of file.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        self.eof |= count == 0;
        Ok(count > 0)
    }

    /// Writes some of the bytes and returns how many.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.write(bytes).await
    }

    /// Writes all bytes; `timeout` applies to each write.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or a write times out because the peer does not read.
    pub async fn write_all(&mut self, mut bytes: &[u8], timeout: Duration) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = timeout_at(Instant::now() + timeout, self.stream.write(bytes)).await?;
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
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut reader = &self.stream;
        let mut writer = &self.stream;
        let write = async { writer.write(bytes).await.map(Progress::Written) };
        let read = async { reader.read(&mut chunk).await.map(Progress::Read) };
        let progress = write.or(read).await?;
        if let Progress::Read(count) = progress {
            self.buffer.extend_from_slice(&chunk[..count]);
            self.eof |= count == 0;
        }
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
