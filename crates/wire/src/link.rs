//! A connection that carries envelopes.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::Envelope;

/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// How much is read at a time, in bytes.
const CHUNK_BYTES: usize = 8 << 10;

/// Why a link failed.
#[derive(Debug)]
pub enum LinkError {
    /// The connection failed.
    Io(io::Error),
    /// A frame is not a message.
    Decode(prost::DecodeError),
    /// The peer closed the connection.
    Closed,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Io(err) => write!(f, "the link failed: {err}"),
            LinkError::Decode(err) => write!(f, "the peer sent no message: {err}"),
            LinkError::Closed => f.write_str("the peer closed the link"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<io::Error> for LinkError {
    fn from(err: io::Error) -> LinkError {
        LinkError::Io(err)
    }
}

/// A connection to a peer.
pub struct Link {
    stream: Async<TcpStream>,
    codec: LengthDelimitedCodec,
    held: BytesMut,
    meter: Arc<AtomicU64>,
}

impl Link {
    /// Wraps a connection.
    pub fn new(stream: Async<TcpStream>) -> Link {
        drop(stream.get_ref().set_nodelay(true));
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Link {
            stream,
            codec,
            held: BytesMut::new(),
            meter: Arc::default(),
        }
    }

    /// Adds the bytes sent and received to a count.
    pub fn metered(mut self, meter: &Arc<AtomicU64>) -> Link {
        self.meter = meter.clone();
        self
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached in time.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Link, LinkError> {
        let stream = within(timeout, Async::<TcpStream>::connect(addr)).await?;
        Ok(Link::new(stream))
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the message is too large.
    pub async fn send(&mut self, envelope: &Envelope) -> Result<(), LinkError> {
        let mut frame = BytesMut::new();
        let bytes = Bytes::from(envelope.encode_frame());
        self.codec.encode(bytes, &mut frame)?;
        self.meter.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.stream.write_all(&frame).await?;
        Ok(())
    }

    /// Receives a message.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the bytes are not a message.
    pub async fn receive(&mut self) -> Result<Envelope, LinkError> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.held)? {
                return Envelope::decode_frame(&frame).map_err(LinkError::Decode);
            }
            let mut chunk = [0; CHUNK_BYTES];
            let count = self.stream.read(&mut chunk).await?;
            if count == 0 {
                return Err(LinkError::Closed);
            }
            self.meter.fetch_add(count as u64, Ordering::Relaxed);
            self.held.extend_from_slice(&chunk[..count]);
        }
    }

    /// Sends a message and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the answer is late; the link must not be used again.
    pub async fn call(
        &mut self,
        envelope: &Envelope,
        timeout: Duration,
    ) -> Result<Envelope, LinkError> {
        let exchange = async {
            self.send(envelope).await?;
            self.receive().await
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(LinkError::Io(io::ErrorKind::TimedOut.into()))
        };
        exchange.or(expire).await
    }
}

async fn within<T>(
    timeout: Duration,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expire = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future.or(expire).await
}
