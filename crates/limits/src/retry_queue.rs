//! The order in which requests that broke off get the next retries of a budget that is used up.
//!
//! It answers endpoints that end in numbers: the requests that they ran all want a retry at one
//! moment, for which the budget of an instance does not suffice, while each request that arrives
//! adds to it.

use std::collections::BTreeSet;

/// The place of a request among those that wait for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryTicket {
    priority: u8,
    gives_up_ms: u64,
    number: u64,
}

/// Requests of one service that wait for a retry, the most urgent one first, and among those of one
/// priority the one that can wait least.
///
/// # Examples
///
/// ```
/// use limits::RetryQueue;
///
/// let mut queue = RetryQueue::default();
/// let summary = queue.join(2, 1_000);
/// let draft = queue.join(0, 4_000);
/// assert!(queue.is_next(draft) && !queue.is_next(summary));
/// queue.leave(draft);
/// assert!(queue.is_next(summary));
/// ```
#[derive(Debug, Default)]
pub struct RetryQueue {
    waiting: BTreeSet<RetryTicket>,
    next_number: u64,
}

impl RetryQueue {
    /// Adds a request of a priority, where 0 is the most urgent, that waits until a time.
    pub fn join(&mut self, priority: u8, gives_up_ms: u64) -> RetryTicket {
        let ticket = RetryTicket {
            priority,
            gives_up_ms,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Returns whether a request gets the next retry.
    pub fn is_next(&self, ticket: RetryTicket) -> bool {
        self.waiting.first() == Some(&ticket)
    }

    /// Removes a request, with a retry or without one.
    pub fn leave(&mut self, ticket: RetryTicket) {
        self.waiting.remove(&ticket);
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
