//! The memory of keyed requests and their answers.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::{Failure, Reason, Verdict};

use crate::state::key::ScopedKey;
use crate::state::replay_buffer::ReplayBuffer;

/// The moment to come back when too many keyed requests are remembered, in milliseconds.
const FULL_RETRY_MS: u64 = 2_000;

#[derive(Debug)]
struct Slot {
    body_hash: u64,
    tape: Option<Arc<ReplayBuffer>>,
}

#[derive(Debug)]
struct Expiry {
    name: ScopedKey,
    answer_until_ms: u64,
    until_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    slots: HashMap<ScopedKey, Slot>,
    answers: VecDeque<Expiry>,
    expiries: VecDeque<Expiry>,
    kept_bytes: usize,
}

/// The keyed requests that this incarnation remembers.
#[derive(Debug)]
pub(crate) struct KeyedRequests {
    inner: Mutex<Inner>,
    max_requests: usize,
    max_bytes: usize,
}

/// What is known of a key.
pub(crate) enum Reservation {
    /// The request is new and now taken; its answer goes onto the tape.
    New(Arc<ReplayBuffer>),
    /// It was asked before; its answer is on the tape.
    Existing(Arc<ReplayBuffer>),
}

impl KeyedRequests {
    /// Makes an empty memory.
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

    /// Takes a key, or finds what it was taken for.
    ///
    /// `answer_until_ms` and `until_ms` say how long the answer and the key are kept.
    pub(crate) fn reserve(
        &self,
        name: ScopedKey,
        body_hash: u64,
        now_ms: u64,
        answer_until_ms: u64,
        until_ms: u64,
    ) -> Result<Reservation, Failure> {
        let mut inner = self.inner();
        inner.expire(now_ms, self.max_bytes);
        if let Some(slot) = inner.slots.get(&name) {
            return slot.open(body_hash).map(Reservation::Existing);
        }
        if inner.slots.len() >= self.max_requests {
            let detail = "this instance remembers as many keyed requests as it may";
            return Err(Failure::not_run(Reason::Overloaded, detail).retry_after_ms(FULL_RETRY_MS));
        }
        let tape = Arc::new(ReplayBuffer::default());
        inner.slots.insert(
            name.clone(),
            Slot {
                body_hash,
                tape: Some(tape.clone()),
            },
        );
        inner.answers.push_back(Expiry {
            name: name.clone(),
            answer_until_ms,
            until_ms,
        });
        inner.expiries.push_back(Expiry {
            name,
            answer_until_ms,
            until_ms,
        });
        Ok(Reservation::New(tape))
    }

    /// Frees a key whose request did not run, so that the same key may be tried again.
    pub(crate) fn release(&self, name: &ScopedKey) {
        self.inner().slots.remove(name);
    }

    /// Notes the size of a kept answer.
    pub(crate) fn record_stored_bytes(&self, bytes: usize) {
        self.inner().kept_bytes += bytes;
    }
}

impl Slot {
    fn open(&self, body_hash: u64) -> Result<Arc<ReplayBuffer>, Failure> {
        if self.body_hash != body_hash {
            let detail = "this key was used with another request";
            return Err(Failure::not_run(Reason::BadRequest, detail));
        }
        self.tape.clone().ok_or_else(|| {
            Failure::new(
                Verdict::Ran,
                Reason::StaleId,
                "the request was answered before, and its answer is not kept any more",
            )
        })
    }
}

impl Inner {
    /// Drops answers and keys whose time is over, and the oldest answers while they take too much.
    fn expire(&mut self, now_ms: u64, max_bytes: usize) {
        while let Some(oldest) = self.answers.front() {
            if oldest.answer_until_ms > now_ms && self.kept_bytes <= max_bytes {
                break;
            }
            let Some(slot) = self.slots.get_mut(&oldest.name) else {
                self.answers.pop_front();
                continue;
            };
            // A running request keeps its tape; the look starts over with the next request.
            if slot.tape.as_ref().is_some_and(|tape| !tape.is_finished()) {
                break;
            }
            if let Some(tape) = slot.tape.take() {
                self.kept_bytes = self.kept_bytes.saturating_sub(tape.len());
            }
            self.answers.pop_front();
        }
        while let Some(oldest) = self.expiries.front() {
            if oldest.until_ms > now_ms {
                break;
            }
            if let Some(oldest) = self.expiries.pop_front() {
                let running =
                    |slot: &Slot| slot.tape.as_ref().is_some_and(|tape| !tape.is_finished());
                if self.slots.get(&oldest.name).is_some_and(running) {
                    self.expiries.push_back(Expiry {
                        until_ms: now_ms + 1_000,
                        ..oldest
                    });
                    break;
                }
                self.slots.remove(&oldest.name);
            }
        }
    }
}
