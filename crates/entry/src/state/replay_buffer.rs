//! Stored answers of keyed requests.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use http_types::{Body, Response, StatusCode};
use kernel::Failure;

/// The size of the buffer in front of each reader.
const READ_BUFFER_BYTES: usize = 2 << 10;

/// The metadata of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerHead {
    /// The media type.
    pub(crate) content_type: &'static str,
    /// The name of the version or service that answered.
    pub(crate) version: Arc<str>,
}

#[derive(Debug, Default)]
struct Inner {
    head: Option<AnswerHead>,
    bytes: Vec<u8>,
    finished: bool,
    failure: Option<Failure>,
    wakers: Vec<Waker>,
}

/// An answer that is written once and can be read from its start by any number of callers,
/// also while it is being written.
#[derive(Debug, Default)]
pub(crate) struct ReplayBuffer {
    inner: Mutex<Inner>,
}

impl ReplayBuffer {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut Inner)) {
        let mut inner = self.inner();
        update(&mut inner);
        let wakers = std::mem::take(&mut inner.wakers);
        drop(inner);
        for waker in wakers {
            waker.wake();
        }
    }

    /// Sets the metadata, which readers wait for.
    pub(crate) fn set_head(&self, head: AnswerHead) {
        self.update(|inner| inner.head = Some(head));
    }

    /// Appends bytes to the answer.
    pub(crate) fn append(&self, bytes: &[u8]) {
        self.update(|inner| inner.bytes.extend_from_slice(bytes));
    }

    /// Marks the answer as complete.
    pub(crate) fn finish(&self) {
        self.update(|inner| inner.finished = true);
    }

    /// Ends the answer with a failure. Once the head is set, the answer ends truncated instead.
    pub(crate) fn fail(&self, failure: Failure) {
        self.update(|inner| {
            inner.finished = true;
            if inner.head.is_none() {
                inner.failure = Some(failure);
            }
        });
    }

    /// Returns whether the answer is complete or failed.
    pub(crate) fn is_finished(&self) -> bool {
        self.inner().finished
    }

    /// Returns the failure that ended the request, if any.
    pub(crate) fn failure(&self) -> Option<Failure> {
        self.inner().failure.clone()
    }

    /// Returns the number of bytes written so far.
    pub(crate) fn len(&self) -> usize {
        self.inner().bytes.len()
    }

    /// Waits for the head and returns a response that reads the buffer from its start.
    pub(crate) async fn response(self: Arc<ReplayBuffer>) -> Result<Response, Failure> {
        let head = std::future::poll_fn(|cx| {
            let mut inner = self.inner();
            if let Some(failure) = &inner.failure {
                return Poll::Ready(Err(failure.clone()));
            }
            if let Some(head) = &inner.head {
                return Poll::Ready(Ok(head.clone()));
            }
            inner.wakers.push(cx.waker().clone());
            Poll::Pending
        });
        let head = head.await?;
        let mut response = Response::new(StatusCode::Ok);
        let length = self.final_len();
        let reader = ReplayReader {
            buffer: self,
            offset: 0,
        };
        response.set_body(Body::from_reader(
            BufReader::with_capacity(READ_BUFFER_BYTES, reader),
            length,
        ));
        response.insert_header("content-type", head.content_type);
        response.insert_header("x-rosemary-version", &*head.version);
        response.insert_header("x-rosemary-verdict", "ran");
        Ok(response)
    }

    fn final_len(&self) -> Option<usize> {
        let inner = self.inner();
        inner.finished.then_some(inner.bytes.len())
    }
}

/// Reads a replay buffer from its start.
struct ReplayReader {
    buffer: Arc<ReplayBuffer>,
    offset: usize,
}

impl AsyncRead for ReplayReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut inner = this.buffer.inner();
        let rest = &inner.bytes[this.offset..];
        if !rest.is_empty() {
            let count = buf.len().min(rest.len());
            buf[..count].copy_from_slice(&rest[..count]);
            this.offset += count;
            return Poll::Ready(Ok(count));
        }
        if inner.finished {
            return Poll::Ready(Ok(0));
        }
        inner.wakers.push(cx.waker().clone());
        Poll::Pending
    }
}
