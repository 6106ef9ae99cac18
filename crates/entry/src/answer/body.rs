//! Response bodies that a future writes while they are read.

use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use http_types::Body;

use crate::state::replay_buffer::ReplayBuffer;

/// How many bytes wait for a slow caller before the writer pauses.
const HIGH_WATER_BYTES: usize = 8 << 10;

/// The buffer of the reader on top, in bytes.
const READ_BUFFER_BYTES: usize = 2 << 10;

/// The bytes between the writer and the reader of a body.
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

    fn take(&self, buf: &mut [u8]) -> usize {
        let mut bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        let count = buf.len().min(bytes.len());
        buf[..count].copy_from_slice(&bytes[..count]);
        bytes.drain(..count);
        count
    }
}

/// Where the bytes of an answer go.
#[derive(Clone)]
pub(crate) enum Sink {
    /// To the one caller, at the caller's pace.
    Pipe(Arc<Pipe>),
    /// To a record that any number of callers read.
    Tape(Arc<ReplayBuffer>),
}

impl Sink {
    /// Hands over bytes, and waits while the one caller is slow.
    pub(crate) async fn push(&self, bytes: &[u8]) {
        match self {
            Sink::Tape(tape) => tape.append(bytes),
            Sink::Pipe(pipe) => {
                // The reader polls this future again when it has taken bytes.
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

/// Runs the writer while it is read.
struct WrittenBody {
    pipe: Arc<Pipe>,
    writer: Mutex<Option<Writer>>,
}

impl AsyncRead for WrittenBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        loop {
            let count = this.pipe.take(buf);
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

/// Makes a body of what a writer pushes into a pipe. Dropping the body drops the writer.
pub(crate) fn written(pipe: Arc<Pipe>, writer: Writer) -> Body {
    let body = WrittenBody {
        pipe,
        writer: Mutex::new(Some(writer)),
    };
    Body::from_reader(BufReader::with_capacity(READ_BUFFER_BYTES, body), None)
}
