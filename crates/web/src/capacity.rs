//! The capacity of a server for connections: how many, and the memory that they hold together.
//!
//! Connections are served by several threads, so that the account of `relay`, which is of one thread, does not fit.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use kernel::{Failure, Reason};

use crate::conn::Conn;

/// Memory of an open connection: its task, its buffers and its request head, in bytes.
pub const CONNECTION_BYTES: u64 = 16 << 10;

/// Idle connections that are closed together, so that not each new connection searches all of them.
const IDLE_BATCH: usize = 8;

/// How often and how many times a new connection checks whether those that were told to close have done so.
const CLOSE_INTERVAL: Duration = Duration::from_millis(1);
const CLOSE_CHECKS: usize = 20;

/// When a caller without capacity may retry: stalled bodies are dropped within a few seconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Minimum time between two log lines on lack of capacity.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections and memory of a server.
pub struct Capacity {
    max_connections: usize,
    max_held_bytes: u64,
    held_bytes: AtomicU64,
    closed_idle: AtomicU64,
    refused: AtomicU64,
    connections: Mutex<Connections>,
}

#[derive(Default)]
struct Connections {
    open: HashMap<u64, Conn>,
    next_number: u64,
    log_after: Option<Instant>,
}

impl Capacity {
    pub(crate) fn new(max_connections: usize, max_held_bytes: u64) -> Capacity {
        Capacity {
            max_connections,
            max_held_bytes,
            held_bytes: AtomicU64::new(0),
            closed_idle: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            connections: Mutex::default(),
        }
    }

    /// Returns the memory that all connections hold, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns how many idle connections were closed for lack of capacity.
    pub fn closed_idle(&self) -> u64 {
        self.closed_idle.load(Ordering::Relaxed)
    }

    /// Returns how many connections and requests were refused for lack of capacity.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection, for which idle ones are closed if necessary.
    pub(crate) async fn admit(self: &Arc<Capacity>, conn: &Conn) -> Option<Seat> {
        if self.connections().open.len() >= self.max_connections && self.close_idle() {
            for _ in 0..CLOSE_CHECKS {
                if self.connections().open.len() < self.max_connections {
                    break;
                }
                Timer::after(CLOSE_INTERVAL).await;
            }
        }
        let mut connections = self.connections();
        if connections.open.len() >= self.max_connections {
            drop(connections);
            self.record_refusal();
            return None;
        }
        let number = connections.next_number;
        connections.next_number += 1;
        connections.open.insert(number, conn.clone());
        self.held_bytes
            .fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        Some(Seat {
            capacity: self.clone(),
            number,
            message_bytes: AtomicU64::new(0),
        })
    }

    /// Closes the connections that are idle for longest, and returns whether there are any.
    fn close_idle(&self) -> bool {
        let connections = self.connections();
        let idle = connections.open.values().filter_map(|conn| {
            let since = conn.idle_since()?;
            Some((since, conn))
        });
        let mut idle: Vec<(Instant, &Conn)> = idle.collect();
        idle.sort_by_key(|(since, _)| *since);
        idle.truncate(IDLE_BATCH);
        for (_, conn) in &idle {
            conn.give_way();
        }
        let count = idle.len() as u64;
        drop(connections);
        if count > 0 {
            self.closed_idle.fetch_add(count, Ordering::Relaxed);
            self.log_shortage("idle");
        }
        count > 0
    }

    fn record_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        self.log_shortage("refused");
    }

    fn log_shortage(&self, reason: &str) {
        let now = Instant::now();
        let mut connections = self.connections();
        if connections.log_after.is_some_and(|after| now < after) {
            return;
        }
        connections.log_after = Some(now + LOG_INTERVAL);
        tracing::warn!(
            reason,
            connections = connections.open.len(),
            max_connections = self.max_connections,
            held_bytes = self.held_bytes(),
            max_held_bytes = self.max_held_bytes,
            "capacity: connections give way"
        );
    }
}

/// There is no memory for a request.
#[derive(Debug)]
pub(crate) struct NoCapacity;

impl From<NoCapacity> for Failure {
    fn from(NoCapacity: NoCapacity) -> Failure {
        let mut failure =
            Failure::not_run(Reason::Overloaded, "there is no memory for the request");
        failure.retry_after_ms = Some(RETRY_AFTER_MS);
        failure
    }
}

/// The place of one connection. Dropping it refunds its memory.
pub(crate) struct Seat {
    capacity: Arc<Capacity>,
    number: u64,
    message_bytes: AtomicU64,
}

impl Seat {
    /// Sets the memory of the messages of the connection, if it fits. Idle connections give way if necessary.
    pub(crate) fn hold(&self, bytes: u64) -> Result<(), NoCapacity> {
        self.set(bytes);
        let held_bytes = self.capacity.held_bytes();
        // Other threads change what is held meanwhile, so that it is read once.
        let missing_bytes = held_bytes.saturating_sub(self.capacity.max_held_bytes);
        if missing_bytes == 0 {
            return Ok(());
        }
        // Idle connections free their own memory only, a little later.
        let idle_bytes = CONNECTION_BYTES * IDLE_BATCH as u64;
        if missing_bytes <= idle_bytes && self.capacity.close_idle() {
            return Ok(());
        }
        self.set(0);
        self.capacity.record_refusal();
        Err(NoCapacity)
    }

    /// Sets the memory of the messages of the connection, whether or not it fits.
    pub(crate) fn set(&self, bytes: u64) {
        let before = self.message_bytes.swap(bytes, Ordering::Relaxed);
        let held = &self.capacity.held_bytes;
        // Wraps around when less is held than before.
        held.fetch_add(bytes.wrapping_sub(before), Ordering::Relaxed);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.set(0);
        self.capacity
            .held_bytes
            .fetch_sub(CONNECTION_BYTES, Ordering::Relaxed);
        self.capacity.connections().open.remove(&self.number);
    }
}
