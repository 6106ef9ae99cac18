//! The kept answer to a keyed request.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use http_types::{Body, Response, StatusCode};
use kernel::Failure;

/// The buffer of a reader, in bytes.
const READ_BUFFER_BYTES: usize = 2 << 10;

/// The head of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerHead {
    /// The media type.
    pub(crate) content_type: &'static str,
    /// The version or service that answers.
    pub(crate) version: Arc<str>,
}

#[derive(Debug, Default)]
struct Inner {
    head: Option<AnswerHead>,
    bytes: Vec<u8>,
    ended: bool,
    failure: Option<Failure>,
    wakers: Vec<Waker>,
}

/// An answer that is written once and read by any number of callers, from its start.
#[derive(Debug, Default)]
pub(crate) struct ReplayBuffer {
    inner: Mutex<Inner>,
}

impl ReplayBuffer {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut Inner)) {
        let mut inner = self.inner();
        change(&mut inner);
        let wakers = std::mem::take(&mut inner.wakers);
        drop(inner);
        for waker in wakers {
            waker.wake();
        }
    }

    /// Sets the head.
    pub(crate) fn set_head(&self, head: AnswerHead) {
        self.change(|inner| inner.head = Some(head));
    }

    /// Adds bytes.
    pub(crate) fn append(&self, bytes: &[u8]) {
        self.change(|inner| inner.bytes.extend_from_slice(bytes));
    }

    /// Ends the answer.
    pub(crate) fn finish(&self) {
        self.change(|inner| inner.ended = true);
    }

    /// Ends without an answer. Once the head is set, the answer ends as it is.
    pub(crate) fn fail(&self, failure: Failure) {
        self.change(|inner| {
            inner.ended = true;
            if inner.head.is_none() {
                inner.failure = Some(failure);
            }
        });
    }

    /// Returns whether the answer ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.inner().ended
    }

    /// Returns the failure, if the request ended with one.
    pub(crate) fn failure(&self) -> Option<Failure> {
        self.inner().failure.clone()
    }

    /// Returns how many bytes are kept.
    pub(crate) fn len(&self) -> usize {
        self.inner().bytes.len()
    }

    /// Waits for the head and returns a response that reads the tape from its start.
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
        let length = self.whole_len();
        let reader = ReplayReader {
            tape: self,
            read: 0,
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

    fn whole_len(&self) -> Option<usize> {
        let inner = self.inner();
        inner.ended.then_some(inner.bytes.len())
    }
}

/// Reads a tape from its start.
struct ReplayReader {
    tape: Arc<ReplayBuffer>,
    read: usize,
}

impl AsyncRead for ReplayReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut inner = this.tape.inner();
        let rest = &inner.bytes[this.read..];
        if !rest.is_empty() {
            let count = buf.len().min(rest.len());
            buf[..count].copy_from_slice(&rest[..count]);
            this.read += count;
            return Poll::Ready(Ok(count));
        }
        if inner.ended {
            return Poll::Ready(Ok(0));
        }
        inner.wakers.push(cx.waker().clone());
        Poll::Pending
    }
}
