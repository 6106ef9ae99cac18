//! Response bodies that a future writes while the caller reads them.

use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use http_types::Body;

use crate::state::replay_buffer::ReplayBuffer;

/// The number of unread bytes at which the writer pauses.
const HIGH_WATER_BYTES: usize = 8 << 10;

/// The size of the buffer around the reader.
const READ_BUFFER_BYTES: usize = 2 << 10;

/// The bytes that were written to a body and not read yet.
#[derive(Debug, Default)]
pub(crate) struct Pipe {
    bytes: Mutex<Vec<u8>>,
}

impl Pipe {
    fn len(&self) -> usize {
        self.bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    fn push(&self, bytes: &[u8]) {
        self.bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend_from_slice(bytes);
    }

    fn read(&self, buf: &mut [u8]) -> usize {
        let mut bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        let count = buf.len().min(bytes.len());
        buf[..count].copy_from_slice(&bytes[..count]);
        bytes.drain(..count);
        count
    }
}

/// The destination of an answer's bytes.
#[derive(Clone)]
pub(crate) enum Sink {
    /// The one caller, at the speed at which it reads.
    Pipe(Arc<Pipe>),
    /// A stored answer that any number of callers can read.
    ReplayBuffer(Arc<ReplayBuffer>),
}

impl Sink {
    /// Writes bytes, and waits while the one caller has too many unread bytes.
    pub(crate) async fn push(&self, bytes: &[u8]) {
        match self {
            Sink::ReplayBuffer(buffer) => buffer.append(bytes),
            Sink::Pipe(pipe) => {
                // The reader polls this future again after it has read bytes.
                poll_fn(|_| {
                    if pipe.len() < HIGH_WATER_BYTES {
                        Poll::Ready(())
                    } else {
                        Poll::Pending
                    }
                })
                .await;
                pipe.push(bytes);
            }
        }
    }
}

type Writer = Pin<Box<dyn Future<Output = io::Result<()>> + Send>>;

/// A body that polls its writer whenever it is read and the pipe is empty.
struct WriterBody {
    pipe: Arc<Pipe>,
    writer: Mutex<Option<Writer>>,
}

impl AsyncRead for WriterBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        loop {
            let count = this.pipe.read(buf);
            if count > 0 {
                return Poll::Ready(Ok(count));
            }
            let slot = this
                .writer
                .get_mut()
                .unwrap_or_else(PoisonError::into_inner);
            let Some(writer) = slot else {
                return Poll::Ready(Ok(0));
            };
            match writer.as_mut().poll(cx) {
                Poll::Ready(Ok(())) => *slot = None,
                Poll::Ready(Err(err)) => {
                    *slot = None;
                    return Poll::Ready(Err(err));
                }
                Poll::Pending if this.pipe.len() > 0 => {}
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

/// Returns a body of what a writer pushes into a pipe. Dropping the body drops the writer.
pub(crate) fn body_from_writer(pipe: Arc<Pipe>, writer: Writer) -> Body {
    let body = WriterBody {
        pipe,
        writer: Mutex::new(Some(writer)),
    };
    Body::from_reader(BufReader::with_capacity(READ_BUFFER_BYTES, body), None)
}
