//! Reading of response bodies that are forwarded only once they are complete.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Poll, Waker};

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use relay::{BodyBuffer, Exchange, Framing};

/// Maximum size of one buffered body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The most memory that is allocated for a body of known length before its bytes arrive.
const MAX_RESERVED_BYTES: u64 = 1 << 20;

/// The bodies that are being buffered. When they are too large together, the largest one gives way, which
/// is that of an endpoint that sends without end rather than a sound one.
#[derive(Debug)]
pub(crate) struct BufferedBytes {
    /// Maximum size of all of them, in bytes, so that endpoints that send bytes without end do not use up the
    /// instance's memory.
    max_total_bytes: u64,
    bodies: RefCell<Vec<Rc<BufferedBody>>>,
    /// The size of those that do not give way, in bytes.
    total: Rc<Cell<u64>>,
}

/// The size of one body that is being buffered.
#[derive(Debug, Default)]
struct BufferedBody {
    bytes: Cell<u64>,
    /// Whether the body gives way to others.
    gives_way: Cell<bool>,
    /// Wakes the task that reads the body.
    waker: RefCell<Option<Waker>>,
}

impl BufferedBody {
    fn give_way(&self) {
        self.gives_way.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the body has to give way, and returns why it cannot be read on.
    async fn must_give_way(&self) -> io::Result<Option<Bytes>> {
        poll_fn(|context| {
            if self.gives_way.get() {
                return Poll::Ready(Err(too_large()));
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// Counts a body among those that are being buffered until it is dropped.
struct Reservation<'a> {
    buffered: &'a BufferedBytes,
    body: Rc<BufferedBody>,
}

impl Reservation<'_> {
    fn grow(&self, bytes: u64) -> io::Result<()> {
        if self.body.gives_way.get() {
            return Err(too_large());
        }
        self.body.bytes.set(self.body.bytes.get() + bytes);
        self.buffered.total.set(self.buffered.total.get() + bytes);
        if self.body.bytes.get() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        self.buffered.make_room();
        if self.body.gives_way.get() {
            return Err(too_large());
        }
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if !self.body.gives_way.get() {
            self.buffered.release(&self.body);
        }
        let mut bodies = self.buffered.bodies.borrow_mut();
        bodies.retain(|body| !Rc::ptr_eq(body, &self.body));
    }
}

impl BufferedBytes {
    pub(crate) fn new(max_total_bytes: u64) -> BufferedBytes {
        BufferedBytes {
            max_total_bytes,
            bodies: RefCell::default(),
            total: Rc::default(),
        }
    }

    /// Returns the size of those that do not give way, in bytes, which goes on to change.
    pub(crate) fn total(&self) -> Rc<Cell<u64>> {
        self.total.clone()
    }

    fn reserve(&self) -> Reservation<'_> {
        let body: Rc<BufferedBody> = Rc::default();
        self.bodies.borrow_mut().push(body.clone());
        Reservation {
            buffered: self,
            body,
        }
    }

    /// Makes the largest bodies give way until the others are small enough together.
    fn make_room(&self) {
        while self.total.get() > self.max_total_bytes {
            let bodies = self.bodies.borrow();
            let kept = bodies.iter().filter(|body| !body.gives_way.get());
            let Some(largest) = kept.max_by_key(|body| body.bytes.get()) else {
                return;
            };
            tracing::info!(
                bytes = largest.bytes.get(),
                "answer: body gives way to others"
            );
            largest.give_way();
            self.release(largest);
        }
    }

    /// Counts a body no longer.
    fn release(&self, body: &BufferedBody) {
        self.total.set(self.total.get() - body.bytes.get());
    }

    /// Reads the rest of a response body.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, malformed or too large, or if all buffered bodies together are and
    /// it is the largest one.
    pub(crate) async fn read_to_end(&self, exchange: &mut Exchange) -> io::Result<Bytes> {
        let reservation = self.reserve();
        let body = &reservation.body;
        let Some(mut first) = exchange.next().await? else {
            return Ok(Bytes::new());
        };
        reservation.grow(first.len() as u64)?;
        let mut whole = BodyBuffer::default();
        while let Some(bytes) = body.must_give_way().or(exchange.next()).await? {
            reservation.grow(bytes.len() as u64)?;
            if whole.is_empty() {
                // Growth by doubling could leave half of the memory unused for as long as the body is kept.
                if let Framing::Length(length) = exchange.framing() {
                    whole.reserve_total(length.min(MAX_RESERVED_BYTES) as usize);
                }
                // Kept on, it would hold the buffer of the connection.
                whole.extend_from_slice(&std::mem::take(&mut first));
            }
            whole.extend_from_slice(&bytes);
            // A body that takes as much as arrives in a turn needs more memory at once.
            yield_now().await;
        }
        if whole.is_empty() {
            return Ok(first);
        }
        Ok(whole.freeze())
    }
}

fn too_large() -> io::Error {
    io::ErrorKind::FileTooLarge.into()
}
