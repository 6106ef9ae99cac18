//! Connections between peers.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::Envelope;

/// Maximum length of a frame; longer ones are neither sent nor received.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Maximum number of bytes read from the socket at once.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// The slowest rate of a transfer that is not given up, in bytes per second: a small part of the
/// slowest link, which several transfers may share.
const MIN_TRANSFER_BYTES_PER_S: f64 = 50_000.0;

/// An error on a [`Link`].
#[derive(Debug)]
pub enum LinkError {
    /// The connection failed, a call timed out, or a frame was too long.
    Io(io::Error),
    /// A frame does not hold an envelope.
    Decode(prost::DecodeError),
    /// The peer closed the connection.
    Closed,
    /// The peer belongs to the fleet with this name.
    OtherFleet(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Io(err) => write!(f, "peer connection failed: {err}"),
            LinkError::Decode(err) => write!(f, "cannot decode the peer's message: {err}"),
            LinkError::Closed => f.write_str("the peer closed the connection"),
            LinkError::OtherFleet(fleet) => write!(f, "the peer belongs to fleet \"{fleet}\""),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<io::Error> for LinkError {
    fn from(err: io::Error) -> LinkError {
        LinkError::Io(err)
    }
}

/// A connection to a peer that carries envelopes.
pub struct Link {
    stream: Async<TcpStream>,
    codec: LengthDelimitedCodec,
    read_buffer: BytesMut,
    byte_counter: Arc<AtomicU64>,
    fleet: Arc<str>,
}

impl Link {
    /// Wraps an open connection and disables Nagle's algorithm on it.
    pub fn new(stream: Async<TcpStream>) -> Link {
        drop(stream.get_ref().set_nodelay(true));
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Link {
            stream,
            codec,
            read_buffer: BytesMut::new(),
            byte_counter: Arc::default(),
            fleet: "".into(),
        }
    }

    /// Adds the bytes sent and received from now on to `byte_counter`.
    pub fn metered(mut self, byte_counter: &Arc<AtomicU64>) -> Link {
        self.byte_counter = byte_counter.clone();
        self
    }

    /// Receives messages only from peers of the fleet `fleet` and of fleets without a name.
    pub(crate) fn in_fleet(mut self, fleet: &Arc<str>) -> Link {
        self.fleet = fleet.clone();
        self
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached within `timeout`.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Link, LinkError> {
        let stream = with_timeout(timeout, Async::<TcpStream>::connect(addr)).await?;
        Ok(Link::new(stream))
    }

    /// Sends one envelope.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the envelope is longer than [`MAX_FRAME_BYTES`].
    pub async fn send(&mut self, envelope: &Envelope) -> Result<(), LinkError> {
        let mut frame = BytesMut::new();
        let bytes = Bytes::from(envelope.encode_frame());
        self.codec.encode(bytes, &mut frame)?;
        self.byte_counter
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.stream.write_all(&frame).await?;
        Ok(())
    }

    /// Receives one envelope.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or is closed, and when a frame is too long, does not hold
    /// an envelope or is of another fleet.
    pub async fn receive(&mut self) -> Result<Envelope, LinkError> {
        // One read can bring many envelopes.
        turn::yield_if_over().await;
        loop {
            if let Some(envelope) = self.decode_buffered()? {
                return Ok(envelope);
            }
            self.fill().await?;
        }
    }

    fn decode_buffered(&mut self) -> Result<Option<Envelope>, LinkError> {
        let Some(frame) = self.codec.decode(&mut self.read_buffer)? else {
            return Ok(None);
        };
        let envelope = Envelope::decode_frame(&frame).map_err(LinkError::Decode)?;
        if envelope.is_from_other_fleet(&self.fleet) {
            return Err(LinkError::OtherFleet(envelope.fleet));
        }
        Ok(Some(envelope))
    }

    /// Reads some bytes and returns how many.
    async fn fill(&mut self) -> Result<usize, LinkError> {
        turn::yield_if_over().await;
        let mut chunk = [0; READ_CHUNK_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(LinkError::Closed);
        }
        self.byte_counter.fetch_add(count as u64, Ordering::Relaxed);
        self.read_buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Sends an envelope and waits for the response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or no response arrives within `timeout`. The link must not be
    /// used again then, as a late response would be taken for that of the next call.
    pub async fn call(
        &mut self,
        envelope: &Envelope,
        timeout: Duration,
    ) -> Result<Envelope, LinkError> {
        let exchange = async {
            self.send(envelope).await?;
            self.receive().await
        };
        exchange.or(expire_at(Instant::now() + timeout)).await
    }

    /// Sends an envelope and waits for a response that may be large.
    ///
    /// `timeout` is the time for an empty response. Each byte received extends it, so that a large
    /// response over a slow link ends and a peer that stops sending is given up.
    ///
    /// # Errors
    ///
    /// Fails like [`Link::call`], and likewise the link must not be used again then.
    pub async fn transfer(
        &mut self,
        envelope: &Envelope,
        timeout: Duration,
    ) -> Result<Envelope, LinkError> {
        let began = Instant::now();
        self.send(envelope).or(expire_at(began + timeout)).await?;
        let mut received = 0;
        loop {
            if let Some(envelope) = self.decode_buffered()? {
                return Ok(envelope);
            }
            let earned = Duration::from_secs_f64(received as f64 / MIN_TRANSFER_BYTES_PER_S);
            let deadline = began + timeout + earned;
            received += self.fill().or(expire_at(deadline)).await?;
        }
    }
}

async fn expire_at<T>(deadline: Instant) -> Result<T, LinkError> {
    Timer::at(deadline).await;
    Err(LinkError::Io(io::ErrorKind::TimedOut.into()))
}

async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expire = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future.or(expire).await
}
