//! One connection as the capacity of the process sees it: its memory, its state and whether it has to close.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use crate::account::{Holding, MemoryAccount, Origin};

/// Bytes that count as progress. A caller that sends or reads single bytes makes none.
const PROGRESS_BYTES: u64 = 4 << 10;

/// Time without progress from which a body that is being received may be dropped. Retransmissions take less.
const RECEIVE_STALL: Duration = Duration::from_millis(500);

/// Time without progress from which a response that is being sent may be dropped. Users tolerate a silent peer
/// for about two seconds.
const SEND_STALL: Duration = Duration::from_secs(2);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a request, or for the caller to close.
    Idle,
    /// Receives a request.
    Receiving,
    /// A request runs, or the next part of its response is awaited.
    Running,
    /// Sends a response.
    Sending,
}

/// Why a connection was closed or refused for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Idle, closed for its descriptor.
    Idle,
    /// A request that arrived without progress.
    StalledRequest,
    /// A response that was not read.
    UnreadResponse,
    /// A request of an address over its share of the memory.
    OverShare,
    /// A new connection for which there was no descriptor.
    RefusedConnection,
    /// A request for which there was no memory or descriptor.
    RefusedRequest,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [CloseReason; 6] = [
        CloseReason::Idle,
        CloseReason::StalledRequest,
        CloseReason::UnreadResponse,
        CloseReason::OverShare,
        CloseReason::RefusedConnection,
        CloseReason::RefusedRequest,
    ];

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::StalledRequest => "stalled_request",
            CloseReason::UnreadResponse => "unread_response",
            CloseReason::OverShare => "over_share",
            CloseReason::RefusedConnection => "refused_connection",
            CloseReason::RefusedRequest => "refused_request",
        }
    }
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Occupant {
    pub(crate) holding: Holding,
    pub(crate) origin: Origin,
    phase: Cell<Phase>,
    progress_at: Cell<Instant>,
    /// Bytes since the last progress.
    moved_bytes: Cell<u64>,
    is_closing: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Occupant {
    pub(crate) fn new(account: Rc<MemoryAccount>, addr: IpAddr, origin: Origin) -> Occupant {
        Occupant {
            holding: Holding::new(account, addr, origin),
            origin,
            phase: Cell::new(Phase::Idle),
            progress_at: Cell::new(Instant::now()),
            moved_bytes: Cell::new(0),
            is_closing: Cell::new(false),
            waker: RefCell::default(),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(crate) fn progress_at(&self) -> Instant {
        self.progress_at.get()
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Enters a phase, which counts as progress.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.progress_at.set(Instant::now());
        self.moved_bytes.set(0);
    }

    /// Records that bytes were received or sent.
    pub(crate) fn record_moved(&self, bytes: usize) {
        let moved = self.moved_bytes.get() + bytes as u64;
        if moved < PROGRESS_BYTES {
            self.moved_bytes.set(moved);
        } else {
            self.moved_bytes.set(0);
            self.progress_at.set(Instant::now());
        }
    }

    /// Returns whether the connection makes too little progress to be kept when capacity is short.
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.progress_at.get());
        match self.phase.get() {
            Phase::Receiving => quiet >= RECEIVE_STALL,
            Phase::Sending => quiet >= SEND_STALL,
            Phase::Idle | Phase::Running => false,
        }
    }

    /// Makes the connection close.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the connection has to close.
    pub(crate) async fn must_close(&self) {
        poll_fn(|context| {
            if self.is_closing.get() {
                return Poll::Ready(());
            }
            let mut waker = self.waker.borrow_mut();
            if !waker
                .as_ref()
                .is_some_and(|known| known.will_wake(context.waker()))
            {
                *waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
