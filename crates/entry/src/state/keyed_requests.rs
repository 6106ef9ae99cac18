//! Keyed requests and their stored answers.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::{Failure, Reason, Verdict};

use crate::state::key::ScopedKey;
use crate::state::replay_buffer::ReplayBuffer;

/// The retry-after of callers refused because too many keyed requests are stored.
const FULL_RETRY_AFTER_MS: u64 = 2_000;

#[derive(Debug)]
struct Slot {
    body_hash: u64,
    buffer: Option<Arc<ReplayBuffer>>,
}

#[derive(Debug)]
struct Expiry {
    key: ScopedKey,
    answer_until_ms: u64,
    key_until_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    slots: HashMap<ScopedKey, Slot>,
    answers: VecDeque<Expiry>,
    expiries: VecDeque<Expiry>,
    stored_bytes: usize,
}

/// The keyed requests of this incarnation.
#[derive(Debug)]
pub(crate) struct KeyedRequests {
    inner: Mutex<Inner>,
    max_requests: usize,
    max_bytes: usize,
}

/// The result of reserving a key.
pub(crate) enum Reservation {
    /// The key was free and is now reserved. The caller writes the answer into the buffer.
    New(Arc<ReplayBuffer>),
    /// The key was reserved before. The buffer holds or will hold the answer.
    Existing(Arc<ReplayBuffer>),
}

impl KeyedRequests {
    /// Creates an empty store for at most `max_requests` requests and `max_bytes` of answers.
    pub(crate) fn new(max_requests: usize, max_bytes: usize) -> KeyedRequests {
        KeyedRequests {
            inner: Mutex::default(),
            max_requests,
            max_bytes,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves a key, or returns the answer buffer of the request that reserved it before.
    ///
    /// The answer is kept until `answer_until_ms` and the key until `key_until_ms`, both wall-clock
    /// times.
    pub(crate) fn reserve(
        &self,
        key: ScopedKey,
        body_hash: u64,
        now_ms: u64,
        answer_until_ms: u64,
        key_until_ms: u64,
    ) -> Result<Reservation, Failure> {
        let mut inner = self.inner();
        inner.expire(now_ms, self.max_bytes);
        if let Some(slot) = inner.slots.get(&key) {
            return slot.buffer_for(body_hash).map(Reservation::Existing);
        }
        if inner.slots.len() >= self.max_requests {
            let detail = "this instance stores the maximum number of keyed requests";
            return Err(
                Failure::not_run(Reason::Overloaded, detail).retry_after_ms(FULL_RETRY_AFTER_MS)
            );
        }
        let buffer = Arc::new(ReplayBuffer::default());
        inner.slots.insert(
            key.clone(),
            Slot {
                body_hash,
                buffer: Some(buffer.clone()),
            },
        );
        inner.answers.push_back(Expiry {
            key: key.clone(),
            answer_until_ms,
            key_until_ms,
        });
        inner.expiries.push_back(Expiry {
            key,
            answer_until_ms,
            key_until_ms,
        });
        Ok(Reservation::New(buffer))
    }

    /// Releases the key of a request that did not run, so that the caller can retry with it.
    pub(crate) fn release(&self, key: &ScopedKey) {
        self.inner().slots.remove(key);
    }

    /// Adds the size of a finished answer to the stored total.
    pub(crate) fn record_stored_bytes(&self, bytes: usize) {
        self.inner().stored_bytes += bytes;
    }
}

impl Slot {
    fn buffer_for(&self, body_hash: u64) -> Result<Arc<ReplayBuffer>, Failure> {
        if self.body_hash != body_hash {
            let detail = "this key was used with another request";
            return Err(Failure::not_run(Reason::BadRequest, detail));
        }
        self.buffer.clone().ok_or_else(|| {
            Failure::new(
                Verdict::Ran,
                Reason::StaleId,
                "the request was answered before, and its answer is no longer stored",
            )
        })
    }
}

impl Inner {
    /// Drops expired answers and keys, and the oldest answers while the total exceeds `max_bytes`.
    fn expire(&mut self, now_ms: u64, max_bytes: usize) {
        while let Some(oldest) = self.answers.front() {
            if oldest.answer_until_ms > now_ms && self.stored_bytes <= max_bytes {
                break;
            }
            let Some(slot) = self.slots.get_mut(&oldest.key) else {
                self.answers.pop_front();
                continue;
            };
            // A running request needs its buffer. The next reservation resumes the scan here.
            if slot
                .buffer
                .as_ref()
                .is_some_and(|buffer| !buffer.is_finished())
            {
                break;
            }
            if let Some(buffer) = slot.buffer.take() {
                self.stored_bytes = self.stored_bytes.saturating_sub(buffer.len());
            }
            self.answers.pop_front();
        }
        while let Some(oldest) = self.expiries.front() {
            if oldest.key_until_ms > now_ms {
                break;
            }
            if let Some(oldest) = self.expiries.pop_front() {
                let running = |slot: &Slot| {
                    slot.buffer
                        .as_ref()
                        .is_some_and(|buffer| !buffer.is_finished())
                };
                if self.slots.get(&oldest.key).is_some_and(running) {
                    self.expiries.push_back(Expiry {
                        key_until_ms: now_ms + 1_000,
                        ..oldest
                    });
                    break;
                }
                self.slots.remove(&oldest.key);
            }
        }
    }
}
