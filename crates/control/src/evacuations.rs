//! Evacuations of zones that an instance knows of.
//!
//! The shares by which traffic moves are those of [`ZoneEvacuation`].

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use limits::ZoneEvacuation;

/// How long an instance that could accept requests waits until it knows which zones are evacuated, in
/// milliseconds: several tries to reach the store or a peer.
const FIRST_EVACUATIONS_TIMEOUT_MS: u64 = 1_000;

/// An order to evacuate a zone, and how far traffic has moved.
#[derive(Debug)]
struct Zone {
    evacuation: ZoneEvacuation,
    /// Whether it was logged that the zone holds nothing.
    is_reported_empty: bool,
}

/// The evacuations that this instance knows of.
#[derive(Debug)]
pub(crate) struct Evacuations {
    /// How long an evacuation may take, in milliseconds; none are followed without it.
    allowed_ms: Option<u64>,
    zones: RefCell<BTreeMap<Arc<str>, Zone>>,
    /// Whether the store or a peer has told which zones are evacuated.
    is_known: Cell<bool>,
    /// When this instance could accept requests but for this, in milliseconds.
    ready_ms: Cell<Option<u64>>,
    has_waited: Cell<bool>,
}

impl Evacuations {
    pub(crate) fn new(allowed_ms: Option<u64>) -> Evacuations {
        Evacuations {
            allowed_ms,
            zones: RefCell::default(),
            is_known: Cell::new(false),
            ready_ms: Cell::new(None),
            has_waited: Cell::new(false),
        }
    }

    /// Returns whether requests must wait until it is known which zones are evacuated.
    pub(crate) fn is_awaited(&self, is_ready: bool, now_ms: u64) -> bool {
        if is_ready && self.ready_ms.get().is_none() {
            self.ready_ms.set(Some(now_ms));
        }
        self.allowed_ms.is_some() && !self.is_known.get() && !self.has_waited.get()
    }

    /// Returns how long an evacuation may take, in milliseconds, if any are followed.
    pub(crate) fn allowed_ms(&self) -> Option<u64> {
        self.allowed_ms
    }

    /// Returns whether the store or a peer has told which zones are evacuated.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// Records that the store or a peer has told, and returns whether that is new.
    pub(crate) fn record_known(&self) -> bool {
        !self.is_known.replace(true)
    }

    /// Ends the wait if it has lasted for long enough, and returns whether it did.
    pub(crate) fn end_wait(&self, now_ms: u64) -> bool {
        let ready_ms = self.ready_ms.get();
        let is_due = |ready_ms| now_ms >= ready_ms + FIRST_EVACUATIONS_TIMEOUT_MS;
        let ends = ready_ms.is_some_and(is_due) && !self.is_known.get();
        self.has_waited.set(ends);
        ends
    }

    /// Updates the evacuations to the zones that are ordered now.
    pub(crate) fn update(&self, ordered: &BTreeSet<Arc<str>>, allowed_ms: u64, now_ms: u64) {
        let mut zones = self.zones.borrow_mut();
        for name in ordered {
            if let Some(zone) = zones.get_mut(name) {
                if !zone.evacuation.is_ordered() {
                    zone.evacuation.order(now_ms);
                    tracing::info!(zone = &**name, is_again = true, "evacuation: began");
                }
                continue;
            }
            let is_at_once = !self.is_known.get();
            tracing::info!(zone = &**name, is_at_once, "evacuation: began");
            let evacuation = if is_at_once {
                ZoneEvacuation::complete(allowed_ms, now_ms)
            } else {
                ZoneEvacuation::begin(allowed_ms, now_ms)
            };
            let zone = Zone {
                evacuation,
                is_reported_empty: false,
            };
            zones.insert(name.clone(), zone);
        }
        for (name, zone) in zones.iter_mut() {
            if !ordered.contains(name) && zone.evacuation.is_ordered() {
                zone.evacuation.revoke(now_ms);
                tracing::info!(zone = &**name, "evacuation: ended");
            }
        }
        zones.retain(|_, zone| !zone.evacuation.is_over(now_ms));
    }

    /// Returns the evacuations of the zones that hold endpoints or instances. The others are logged once, as
    /// soon as endpoints are listed.
    pub(crate) fn in_force(
        &self,
        held: &BTreeSet<&str>,
        has_endpoints: bool,
    ) -> BTreeMap<Arc<str>, ZoneEvacuation> {
        let mut in_force = BTreeMap::new();
        for (name, zone) in self.zones.borrow_mut().iter_mut() {
            if held.contains(&**name) {
                in_force.insert(name.clone(), zone.evacuation);
                continue;
            }
            if has_endpoints && !std::mem::replace(&mut zone.is_reported_empty, true) {
                tracing::warn!(
                    zone = &**name,
                    "evacuation: no endpoint or instance in zone"
                );
            }
        }
        in_force
    }
}
