//! A connection with what was read ahead of it.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::{Buf, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use socket2::{SockRef, TcpKeepalive};

/// How much is read at a time, in bytes; an event of a stream takes under a tenth of it.
const CHUNK_BYTES: usize = 8 << 10;

/// After how long without traffic a peer is asked whether it is there. The users bear a silent peer
/// for some two seconds.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);

/// How long a peer has to say so.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);

/// How many answers a peer may miss.
const KEEPALIVE_MISSES: u32 = 2;

/// How long written bytes may stay unconfirmed: the time that keep-alive takes.
const UNCONFIRMED: Duration = Duration::from_millis(3_000);

/// Runs a future until a moment.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] at that moment.
pub async fn timeout_at<T>(
    until: Instant,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expire = async {
        Timer::at(until).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future.or(expire).await
}

/// A connection, with the bytes that were read and not used yet.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    held: BytesMut,
    ended: bool,
}

impl Socket {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails when the address refuses or does not answer in time.
    pub async fn connect(addr: SocketAddr, until: Instant) -> io::Result<Socket> {
        let stream = timeout_at(until, Async::<TcpStream>::connect(addr)).await?;
        Socket::new(stream)
    }

    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection broke already.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Socket> {
        let options = SockRef::from(stream.get_ref());
        options.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_AFTER)
            .with_interval(KEEPALIVE_EVERY)
            .with_retries(KEEPALIVE_MISSES);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(UNCONFIRMED))?;
        Ok(Socket {
            stream,
            held: BytesMut::new(),
            ended: false,
        })
    }

    /// Returns the bytes read ahead.
    pub fn buffered(&self) -> &[u8] {
        &self.held
    }

    /// Takes bytes read ahead.
    pub fn take(&mut self, count: usize) -> BytesMut {
        self.held.split_to(count)
    }

    /// Drops bytes read ahead.
    pub fn consume(&mut self, count: usize) {
        self.held.advance(count);
    }

    /// Returns whether the peer has said that it will send no more.
    pub fn is_eof(&self) -> bool {
        self.ended
    }

    /// Reads more, and returns whether there was anything.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; CHUNK_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.held.extend_from_slice(&chunk[..count]);
        self.ended |= count == 0;
        Ok(count > 0)
    }

    /// Writes some of the bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.write(bytes).await
    }

    /// Writes all bytes, each step of which may take `stall`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the peer does not read.
    pub async fn write_all(&mut self, mut bytes: &[u8], stall: Duration) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = timeout_at(Instant::now() + stall, self.stream.write(bytes)).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Writes and reads at the same time: waits until some bytes were written, or some were read.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub(crate) async fn write_or_fill(&mut self, bytes: &[u8]) -> io::Result<Step> {
        let mut chunk = [0; CHUNK_BYTES];
        let mut reader = &self.stream;
        let mut writer = &self.stream;
        let write = async { writer.write(bytes).await.map(Step::Wrote) };
        let read = async { reader.read(&mut chunk).await.map(Step::Read) };
        let step = write.or(read).await?;
        if let Step::Read(count) = step {
            self.held.extend_from_slice(&chunk[..count]);
            self.ended |= count == 0;
        }
        Ok(step)
    }

    /// Closes the writing direction, so that what was written arrives before the end.
    pub fn shutdown_write(&self) {
        // A connection that is gone already needs no closing.
        drop(self.stream.get_ref().shutdown(std::net::Shutdown::Write));
    }

    /// Makes the closing of the connection a reset, which no reader takes for a whole answer.
    pub fn reset_on_close(&self) {
        let options = SockRef::from(self.stream.get_ref());
        drop(options.set_linger(Some(Duration::ZERO)));
    }
}

/// What [`Socket::write_or_fill`] did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Wrote(usize),
    Read(usize),
}
