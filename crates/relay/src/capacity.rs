//! The capacity of a process for connections: descriptors and memory, and which connections give way.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future::yield_now;

use crate::account::{MemoryAccount, Origin, Purpose};
use crate::occupant::{CloseReason, Occupant, Phase};

/// Memory of an open connection: its task and its entries here, in bytes.
const CONNECTION_BYTES: u64 = 4 << 10;

/// Memory of a request in progress beside its messages, in bytes.
const REQUEST_BYTES: u64 = 16 << 10;

/// Part of the descriptors that callers leave to the connections of peers.
const PEER_RESERVE_DIVISOR: u64 = 8;

/// Idle connections that are closed together, so that not each new connection searches all of them.
const IDLE_BATCH: usize = 8;

/// How long no connections are searched after none was found that could give way.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Turns that connections which were told to close get before what they free counts as not there.
const CLOSE_TURNS: usize = 4;

/// Minimum time between two log lines on lack of capacity.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the budget that the kernel may hold in the buffers of each direction.
const KERNEL_DIVISOR: u64 = 8;

/// Bounds of the kernel's buffers of a connection, in bytes. The least carries 8 MB/s at a round trip of 2 ms.
const MIN_KERNEL_BYTES: u64 = 16 << 10;
const MAX_KERNEL_BYTES: u64 = 256 << 10;

/// Part of the budget that one response is expected to need at most, so that a few large ones do not make all
/// requests wait.
const EXPECTED_DIVISOR: u64 = 16;

/// Weights of a new sample in the expected size of a response: one that is larger counts more.
const RISE_DIVISOR: u64 = 4;
const FALL_DIVISOR: u64 = 16;

/// Descriptors and memory for all connections of a process, which its servers share.
#[derive(Debug)]
pub struct Capacity {
    memory: Rc<MemoryAccount>,
    max_descriptors: u64,
    occupants: RefCell<HashMap<u64, Rc<Occupant>>>,
    next_number: Cell<u64>,
    running: Cell<u64>,
    expected_response_bytes: Cell<u64>,
    closed: [Cell<u64>; CloseReason::ALL.len()],
    /// Until when a search for idle connections, and one for memory, would find none.
    idle_search_after: Cell<Option<Instant>>,
    memory_search_after: Cell<Option<Instant>>,
    log_after: Cell<Option<Instant>>,
}

impl Default for Capacity {
    /// Creates a capacity without bounds.
    fn default() -> Capacity {
        Capacity::new(u64::MAX, u64::MAX)
    }
}

impl Capacity {
    /// Creates a capacity of this much memory, in bytes, and this many descriptors. A connection takes one, and a
    /// request in progress one more.
    pub fn new(memory_bytes: u64, max_descriptors: u64) -> Capacity {
        let memory = MemoryAccount::new(memory_bytes, Rc::default());
        Capacity {
            memory: Rc::new(memory),
            max_descriptors,
            occupants: RefCell::default(),
            next_number: Cell::default(),
            running: Cell::default(),
            expected_response_bytes: Cell::default(),
            closed: Default::default(),
            idle_search_after: Cell::default(),
            memory_search_after: Cell::default(),
            log_after: Cell::default(),
        }
    }

    /// Sets where the memory is kept of answers that no connection holds yet, in bytes.
    pub fn answer_bytes(mut self, answer_bytes: Rc<Cell<u64>>) -> Capacity {
        self.memory = Rc::new(MemoryAccount::new(self.memory.budget_bytes(), answer_bytes));
        self
    }

    /// Returns the account of the memory.
    pub fn memory(&self) -> &MemoryAccount {
        &self.memory
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.occupants.borrow().len()
    }

    /// Returns how many connections were closed or refused for a reason.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed[reason as usize].get()
    }

    /// Returns the size of the kernel's buffers of a new connection, in bytes, or none if memory is not bounded.
    pub(crate) fn kernel_buffer_bytes(&self) -> Option<usize> {
        let budget = self.memory.budget_bytes();
        let share = budget / KERNEL_DIVISOR / (self.connections() as u64 + 1);
        let bytes = share.clamp(MIN_KERNEL_BYTES, MAX_KERNEL_BYTES);
        (budget < u64::MAX).then_some(bytes as usize)
    }

    /// Admits a new connection, for which idle ones are closed if necessary.
    pub(crate) async fn admit(self: &Rc<Capacity>, addr: IpAddr, origin: Origin) -> Option<Seat> {
        if !self.has_descriptor(origin).await {
            self.record_closed(CloseReason::RefusedConnection);
            self.log_shortage(CloseReason::RefusedConnection);
            return None;
        }
        let occupant = Occupant::new(self.memory.clone(), addr, origin);
        occupant.holding.set(Purpose::Connections, CONNECTION_BYTES);
        let occupant = Rc::new(occupant);
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mut occupants = self.occupants.borrow_mut();
        occupants.insert(number, occupant.clone());
        Some(Seat {
            capacity: self.clone(),
            occupant,
            number,
        })
    }

    async fn has_descriptor(&self, origin: Origin) -> bool {
        let limit = match origin {
            Origin::Callers => self.max_descriptors - self.max_descriptors / PEER_RESERVE_DIVISOR,
            Origin::Internal => self.max_descriptors,
        };
        let fits = || self.connections() as u64 + self.running.get() < limit;
        if !fits() && self.close_idle(Instant::now()) {
            for _ in 0..CLOSE_TURNS {
                if fits() {
                    break;
                }
                yield_now().await;
            }
        }
        fits()
    }

    /// Closes connections that are idle for longest, or else those that make no progress.
    fn close_idle(&self, now: Instant) -> bool {
        let mut victims = self.search(&self.idle_search_after, now, |occupant| {
            occupant.phase() == Phase::Idle || occupant.is_stalled(now)
        });
        victims.sort_by_key(|occupant| (occupant.phase() != Phase::Idle, occupant.progress_at()));
        for occupant in victims.iter().take(IDLE_BATCH) {
            self.close(occupant);
        }
        !victims.is_empty()
    }

    /// Makes room for bytes of a connection: those without progress for longest give way, and if the connection's
    /// address is within its share, those of addresses beyond theirs.
    fn make_room(&self, seat: &Occupant, missing_bytes: u64, now: Instant) -> bool {
        let is_within_share = !seat.holding.is_over_share(missing_bytes);
        let is_over_share = |occupant: &Occupant| {
            is_within_share
                && occupant.phase() == Phase::Receiving
                && occupant.holding.is_over_share(0)
                && !occupant.holding.is_same_address(&seat.holding)
        };
        let mut victims = self.search(&self.memory_search_after, now, |occupant| {
            occupant.is_stalled(now) || is_over_share(occupant)
        });
        victims.sort_by_key(|occupant| (!occupant.is_stalled(now), occupant.progress_at()));
        self.close_until(seat, &victims, missing_bytes)
    }

    /// Makes room for a response: the responses that were not read for longest give way.
    fn make_room_for_response(&self, seat: &Occupant, missing_bytes: u64, now: Instant) {
        let mut victims = self.search(&Cell::default(), now, |occupant| {
            occupant.phase() == Phase::Sending
        });
        victims.sort_by_key(|occupant| occupant.progress_at());
        self.close_until(seat, &victims, missing_bytes);
    }

    fn close_until(&self, seat: &Occupant, victims: &[Rc<Occupant>], missing_bytes: u64) -> bool {
        let mut freed_bytes = 0;
        for occupant in victims {
            if freed_bytes >= missing_bytes {
                break;
            }
            if std::ptr::eq(&**occupant, seat) {
                continue;
            }
            freed_bytes += occupant.holding.total_bytes();
            self.close(occupant);
        }
        freed_bytes >= missing_bytes
    }

    /// Returns the connections that may give way and were not told so yet.
    fn search(
        &self,
        search_after: &Cell<Option<Instant>>,
        now: Instant,
        may_close: impl Fn(&Occupant) -> bool,
    ) -> Vec<Rc<Occupant>> {
        if search_after.get().is_some_and(|after| now < after) {
            return Vec::new();
        }
        let occupants = self.occupants.borrow();
        let open = occupants.values().filter(|occupant| !occupant.is_closing());
        let found: Vec<Rc<Occupant>> = open
            .filter(|occupant| may_close(occupant))
            .cloned()
            .collect();
        if found.is_empty() {
            search_after.set(Some(now + SEARCH_INTERVAL));
        }
        found
    }

    fn close(&self, occupant: &Occupant) {
        let reason = match occupant.phase() {
            Phase::Idle | Phase::Running => CloseReason::Idle,
            Phase::Receiving if occupant.is_stalled(Instant::now()) => CloseReason::StalledRequest,
            Phase::Receiving => CloseReason::OverShare,
            Phase::Sending => CloseReason::UnreadResponse,
        };
        self.record_closed(reason);
        self.log_shortage(reason);
        occupant.close();
    }

    fn record_closed(&self, reason: CloseReason) {
        let count = &self.closed[reason as usize];
        count.set(count.get() + 1);
    }

    fn log_shortage(&self, reason: CloseReason) {
        let now = Instant::now();
        if self.log_after.get().is_some_and(|after| now < after) {
            return;
        }
        self.log_after.set(Some(now + LOG_INTERVAL));
        let bytes = |purpose| self.memory.purpose_bytes(purpose);
        tracing::warn!(
            reason = reason.as_str(),
            budget_bytes = self.memory.budget_bytes(),
            connection_bytes = bytes(Purpose::Connections),
            input_bytes = bytes(Purpose::Input),
            body_bytes = bytes(Purpose::Bodies),
            response_bytes = bytes(Purpose::Responses),
            answer_bytes = self.memory.answer_bytes(),
            connections = self.connections(),
            running = self.running.get(),
            max_descriptors = self.max_descriptors,
            "capacity: connections give way"
        );
    }

    fn record_response(&self, bytes: u64) {
        let expected = self.expected_response_bytes.get();
        self.expected_response_bytes.set(if bytes > expected {
            expected + (bytes - expected) / RISE_DIVISOR
        } else {
            expected - (expected - bytes) / FALL_DIVISOR
        });
    }
}

/// There is no memory or descriptor for a request.
#[derive(Debug)]
pub(crate) struct NoCapacity;

/// The place of one connection. Dropping it frees its descriptor and its memory.
#[derive(Debug)]
pub(crate) struct Seat {
    capacity: Rc<Capacity>,
    occupant: Rc<Occupant>,
    number: u64,
}

impl Deref for Seat {
    type Target = Occupant;

    fn deref(&self) -> &Occupant {
        &self.occupant
    }
}

impl Seat {
    /// Admits a request whose head was received.
    pub(crate) async fn admit_request(&self) -> Result<RunningGuard<'_>, NoCapacity> {
        let most = self.capacity.memory.budget_bytes() / EXPECTED_DIVISOR;
        let expected = self.capacity.expected_response_bytes.get().min(most) + REQUEST_BYTES;
        let missing = |now| self.holding.missing_for_request(expected, now);
        self.wait_for_room(expected, missing).await?;
        if !self.capacity.has_descriptor(self.origin).await {
            self.record_refusal();
            return Err(NoCapacity);
        }
        self.holding.set(Purpose::Responses, expected);
        let running = &self.capacity.running;
        running.set(running.get() + 1);
        Ok(RunningGuard { seat: self })
    }

    /// Holds more bytes of the body, up to this many.
    pub(crate) async fn grow_body(&self, bytes: u64) -> Result<(), NoCapacity> {
        let more = bytes.saturating_sub(self.holding.get(Purpose::Bodies));
        let missing = |now| self.holding.missing_bytes(more, now);
        self.wait_for_room(more, missing).await?;
        self.holding.set(Purpose::Bodies, bytes);
        Ok(())
    }

    async fn wait_for_room(
        &self,
        more_bytes: u64,
        missing: impl Fn(Instant) -> u64,
    ) -> Result<(), NoCapacity> {
        let now = Instant::now();
        let missing_bytes = missing(now);
        if missing_bytes == 0 {
            return Ok(());
        }
        self.holding.record_shortage(more_bytes, now);
        if self.capacity.make_room(self, missing_bytes, now) {
            for _ in 0..CLOSE_TURNS {
                yield_now().await;
                if missing(now) == 0 {
                    return Ok(());
                }
            }
        }
        self.record_refusal();
        Err(NoCapacity)
    }

    fn record_refusal(&self) {
        self.capacity.record_closed(CloseReason::RefusedRequest);
        self.capacity.log_shortage(CloseReason::RefusedRequest);
    }

    /// Holds a response while it is sent.
    pub(crate) fn hold_response(&self, bytes: u64) {
        self.capacity.record_response(bytes);
        self.holding.set(Purpose::Responses, bytes);
        let now = Instant::now();
        let missing_bytes = self.holding.missing_bytes(0, now);
        if missing_bytes > 0 {
            self.capacity
                .make_room_for_response(self, missing_bytes, now);
        }
    }

    /// Holds nothing of a request any longer.
    pub(crate) fn end_request(&self) {
        for purpose in [Purpose::Input, Purpose::Bodies, Purpose::Responses] {
            self.holding.set(purpose, 0);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.capacity.occupants.borrow_mut().remove(&self.number);
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard<'a> {
    seat: &'a Seat,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let running = &self.seat.capacity.running;
        running.set(running.get() - 1);
    }
}
