//! What this instance has in hand at each endpoint.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use limits::{Health, OutlierDetector, RequestLoad};

use crate::endpoint::Endpoint;
use crate::view::View;

/// How long an endpoint that said it was full is left alone, in milliseconds: about the time of a
/// few plain requests.
const FULL_PAUSE_MS: u64 = 60;

/// How long an endpoint that could not be reached is left alone, in milliseconds; a crashed one is
/// gone from the registry by then or answers again.
const UNREACHED_PAUSE_MS: u64 = 1_000;

/// The weight of the latest time in the running mean.
const PACE_WEIGHT: f64 = 0.15;

/// Bounds on what one time counts for, relative to what is usual.
const MIN_PACE: f64 = 0.25;
const MAX_PACE: f64 = 8.0;

/// One run of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct StationKey {
    pub(crate) id: Arc<str>,
    pub(crate) started_ms: Option<u64>,
}

impl StationKey {
    pub(crate) fn of(endpoint: &Endpoint) -> StationKey {
        StationKey {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
        }
    }
}

/// Own calls to one run of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Station {
    connections: Cell<u32>,
    work: Cell<f64>,
    outlier: RefCell<OutlierDetector>,
    /// The running mean of the time taken relative to what was usual, where 1 is usual.
    slowness: Cell<Option<f64>>,
    closed_until_ms: Cell<u64>,
    misdirected: Cell<bool>,
    /// When any byte of an answer came last, in milliseconds.
    heard_ms: Cell<u64>,
    /// The running mean of the time to the head of an answer, in milliseconds.
    first_ms: Cell<Option<f64>>,
}

impl Station {
    /// Returns the work in hand, in requests of usual size.
    pub(crate) fn load(&self) -> f64 {
        self.work.get()
    }

    pub(crate) fn connections(&self) -> u32 {
        self.connections.get()
    }

    pub(crate) fn slowness(&self) -> f64 {
        self.slowness.get().unwrap_or(1.0)
    }

    pub(crate) fn health(&self, now_ms: u64) -> Health {
        if now_ms < self.closed_until_ms.get() {
            return Health::Ejected;
        }
        self.outlier.borrow().health(now_ms)
    }

    /// Returns whether the endpoint may be another one by now.
    pub(crate) fn is_misdirected(&self) -> bool {
        self.misdirected.get()
    }

    pub(crate) fn note_misdirected(&self) {
        self.misdirected.set(true);
    }

    pub(crate) fn note_full(&self, now_ms: u64) {
        self.close_until(now_ms + FULL_PAUSE_MS);
    }

    pub(crate) fn note_unreached(&self, now_ms: u64) {
        self.close_until(now_ms + UNREACHED_PAUSE_MS);
        self.note_ended(true, now_ms);
    }

    pub(crate) fn note_ended(&self, failed: bool, now_ms: u64) {
        self.outlier.borrow_mut().record(failed, now_ms);
    }

    /// Notes that bytes of an answer came.
    pub(crate) fn note_heard(&self, now_ms: u64) {
        self.heard_ms.set(now_ms);
    }

    /// Notes the time to the head of an answer.
    pub(crate) fn note_first(&self, first_ms: u64, now_ms: u64) {
        self.note_heard(now_ms);
        let first_ms = first_ms as f64;
        let mean = self.first_ms.get().unwrap_or(first_ms);
        self.first_ms
            .set(Some(mean + PACE_WEIGHT * (first_ms - mean)));
    }

    /// Notes a time relative to what is usual at the service.
    pub(crate) fn note_pace(&self, ratio: f64) {
        let mean = self.slowness.get().unwrap_or(1.0);
        let ratio = ratio.clamp(MIN_PACE, MAX_PACE);
        self.slowness.set(Some(mean + PACE_WEIGHT * (ratio - mean)));
    }

    /// Returns the usual time to the head of an answer, in milliseconds.
    pub(crate) fn first_ms(&self) -> Option<f64> {
        self.first_ms.get()
    }

    /// Returns when any byte of an answer came last, in milliseconds.
    pub(crate) fn heard_ms(&self) -> u64 {
        self.heard_ms.get()
    }

    fn release(&self, work: f64) {
        self.work.set((self.work.get() - work).max(0.0));
    }

    fn close_until(&self, until_ms: u64) {
        self.closed_until_ms
            .set(self.closed_until_ms.get().max(until_ms));
    }
}

/// A call in hand at a station, until it is dropped.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) station: Rc<Station>,
    held: f64,
    until_end: f64,
}

impl Seat {
    pub(crate) fn take(station: Rc<Station>, work: RequestLoad) -> Seat {
        let held = work.prefill + work.response;
        station.connections.set(station.connections.get() + 1);
        station.work.set(station.work.get() + held);
        Seat {
            station,
            held,
            until_end: work.response,
        }
    }

    /// Notes that the answer has begun, which ends the reading of the prompt.
    pub(crate) fn begin_answer(&mut self) {
        let done = self.held - self.until_end;
        self.held = self.until_end;
        self.station.release(done);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let station = &self.station;
        station
            .connections
            .set(station.connections.get().saturating_sub(1));
        station.release(self.held);
    }
}

/// All stations.
#[derive(Debug, Default)]
pub(crate) struct Stations {
    by_key: RefCell<HashMap<StationKey, Rc<Station>>>,
    generation: Cell<u64>,
}

impl Stations {
    /// Returns the station of an endpoint.
    pub(crate) fn of(&self, endpoint: &Endpoint) -> Rc<Station> {
        let mut stations = self.by_key.borrow_mut();
        stations
            .entry(StationKey::of(endpoint))
            .or_default()
            .clone()
    }

    /// Forgets the stations of endpoints that are gone and have nothing in hand.
    pub(crate) fn follow(&self, view: &View) {
        if self.generation.replace(view.generation) == view.generation {
            return;
        }
        let mut known = std::collections::HashSet::new();
        for pool in view.pools.values() {
            for endpoint in &pool.endpoints {
                known.insert(StationKey::of(endpoint));
            }
        }
        let mut stations = self.by_key.borrow_mut();
        stations.retain(|key, station| station.connections.get() > 0 || known.contains(key));
    }
}
