//! The memory that callers' connections hold, by purpose and by address, and whether more fits.
//!
//! Addresses workloads in which many callers together hold more memory than the machine has.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv6Addr};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// Part of the budget that callers leave to the requests of peers.
const PEER_RESERVE_DIVISOR: u64 = 8;

/// Part of the budget that an address over its share leaves to others.
const SHARE_RESERVE_DIVISOR: u64 = 8;

/// Part of the budget that has to be free for a new request, so that bodies that are being read can grow.
const ADMISSION_DIVISOR: u64 = 16;

/// How long an address over its share gets no more memory after another one did not get what it needed.
const CONTENTION_TIME: Duration = Duration::from_secs(2);

/// Network bits of an IPv6 address that count as one address, as one caller often has a whole network of them.
const IPV6_PREFIX: u32 = 64;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The state of connections and of requests in progress.
    Connections,
    /// Heads, and bytes that were read ahead.
    Input,
    /// Bodies of requests.
    Bodies,
    /// Responses that callers have not read yet.
    Responses,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 4] = [
        Purpose::Connections,
        Purpose::Input,
        Purpose::Bodies,
        Purpose::Responses,
    ];

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Purpose::Connections => "connections",
            Purpose::Input => "input",
            Purpose::Bodies => "bodies",
            Purpose::Responses => "responses",
        }
    }
}

/// Whose connections a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Untrusted callers, which leave a reserve to the others.
    Callers,
    /// Other instances and the platform.
    Internal,
}

/// The memory that one address holds.
#[derive(Debug)]
struct AddressUse {
    addr: IpAddr,
    bytes: Cell<u64>,
}

/// The memory that all connections of a process hold, with its budget.
#[derive(Debug)]
pub struct MemoryAccount {
    budget_bytes: u64,
    total_bytes: Cell<u64>,
    /// Memory of answers that no connection holds yet.
    answer_bytes: Rc<Cell<u64>>,
    by_purpose: [Cell<u64>; Purpose::ALL.len()],
    addresses: RefCell<HashMap<IpAddr, Weak<AddressUse>>>,
    /// The size of `addresses` at which unused ones are removed.
    prune_at: Cell<usize>,
    /// The address that did not get what it needed within its share, and when.
    contention: Cell<Option<(IpAddr, Instant)>>,
}

impl MemoryAccount {
    /// Creates an account with a budget, in bytes, in which these answers count that no connection holds yet.
    pub fn new(budget_bytes: u64, answer_bytes: Rc<Cell<u64>>) -> MemoryAccount {
        MemoryAccount {
            budget_bytes,
            total_bytes: Cell::default(),
            answer_bytes,
            by_purpose: Default::default(),
            addresses: RefCell::default(),
            prune_at: Cell::new(16),
            contention: Cell::default(),
        }
    }

    /// Returns the budget, in bytes.
    pub fn budget_bytes(&self) -> u64 {
        self.budget_bytes
    }

    /// Returns the bytes held by all connections.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes.get()
    }

    /// Returns the bytes of answers that no connection holds yet.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes.get()
    }

    /// Returns the bytes held for a purpose.
    pub fn purpose_bytes(&self, purpose: Purpose) -> u64 {
        self.by_purpose[purpose as usize].get()
    }

    fn address(&self, addr: IpAddr) -> Rc<AddressUse> {
        let addr = network_of(addr);
        let mut addresses = self.addresses.borrow_mut();
        if let Some(known) = addresses.get(&addr).and_then(Weak::upgrade) {
            return known;
        }
        if addresses.len() >= self.prune_at.get() {
            addresses.retain(|_, known| known.strong_count() > 0);
            self.prune_at.set(2 * addresses.len() + 16);
        }
        let bytes = Cell::default();
        let new = Rc::new(AddressUse { addr, bytes });
        addresses.insert(addr, Rc::downgrade(&new));
        new
    }
}

/// Returns what counts as one address.
fn network_of(addr: IpAddr) -> IpAddr {
    match addr.to_canonical() {
        IpAddr::V6(addr) => {
            let network = addr.to_bits() & (u128::MAX << (128 - IPV6_PREFIX));
            IpAddr::V6(Ipv6Addr::from_bits(network))
        }
        addr @ IpAddr::V4(_) => addr,
    }
}

/// The memory that one connection holds. Dropping it refunds everything.
#[derive(Debug)]
pub struct Holding {
    account: Rc<MemoryAccount>,
    address: Rc<AddressUse>,
    origin: Origin,
    by_purpose: [Cell<u64>; Purpose::ALL.len()],
}

impl Holding {
    /// Creates an empty holding of a connection from an address.
    pub fn new(account: Rc<MemoryAccount>, addr: IpAddr, origin: Origin) -> Holding {
        let address = account.address(addr);
        Holding {
            account,
            address,
            origin,
            by_purpose: Default::default(),
        }
    }

    /// Sets the bytes held for a purpose, whether or not they fit.
    pub fn set(&self, purpose: Purpose, bytes: u64) {
        let held = &self.by_purpose[purpose as usize];
        let before = held.replace(bytes);
        for sum in [
            &self.account.total_bytes,
            &self.account.by_purpose[purpose as usize],
            &self.address.bytes,
        ] {
            sum.set(sum.get() - before + bytes);
        }
    }

    /// Returns the bytes held for a purpose.
    pub fn get(&self, purpose: Purpose) -> u64 {
        self.by_purpose[purpose as usize].get()
    }

    /// Returns the bytes held for all purposes.
    pub fn total_bytes(&self) -> u64 {
        self.by_purpose.iter().map(Cell::get).sum()
    }

    /// Returns by how many bytes the budget is too small for more bytes of this connection.
    pub fn missing_bytes(&self, more_bytes: u64, now: Instant) -> u64 {
        let budget = self.account.budget_bytes;
        let mut limit = match self.origin {
            Origin::Callers => budget - budget / PEER_RESERVE_DIVISOR,
            Origin::Internal => budget,
        };
        if self.is_over_share(more_bytes) {
            limit -= budget / SHARE_RESERVE_DIVISOR;
            if self.do_others_need(now) {
                return more_bytes;
            }
        }
        let used = self.account.total_bytes.get() + self.account.answer_bytes.get();
        let needed = used.saturating_add(more_bytes);
        needed.saturating_sub(limit)
    }

    /// Returns by how many bytes the budget is too small for a new request that is expected to need this many.
    pub fn missing_for_request(&self, expected_bytes: u64, now: Instant) -> u64 {
        let growth = self.account.budget_bytes / ADMISSION_DIVISOR;
        self.missing_bytes(expected_bytes.max(growth), now)
    }

    /// Records that the connection did not get the bytes that it needed.
    pub fn record_shortage(&self, more_bytes: u64, now: Instant) {
        if !self.is_over_share(more_bytes) {
            self.account.contention.set(Some((self.address.addr, now)));
        }
    }

    /// Returns whether the address would hold more than its share: half of the budget.
    pub fn is_over_share(&self, more_bytes: u64) -> bool {
        self.address.bytes.get().saturating_add(more_bytes) > self.account.budget_bytes / 2
    }

    /// Returns whether the connections come from one address.
    pub fn is_same_address(&self, other: &Holding) -> bool {
        self.address.addr == other.address.addr
    }

    fn do_others_need(&self, now: Instant) -> bool {
        let contention = self.account.contention.get();
        contention.is_some_and(|(addr, at)| {
            addr != self.address.addr && now.saturating_duration_since(at) < CONTENTION_TIME
        })
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        for purpose in Purpose::ALL {
            self.set(purpose, 0);
        }
    }
}
