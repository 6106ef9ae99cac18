//! Load, capacity, health and latency of an endpoint. All but the first two come from this instance's own
//! calls.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use async_lock::Mutex;
use limits::{
    Crash, EndpointCapacity, EndpointUse, Health, OutlierDetector, Path, RateDivision, Withheld,
};

use crate::calls_in_flight::CallsInFlight;
use crate::endpoint::Endpoint;
use crate::endpoint_cold::EndpointCold;
use crate::latency_ratio::LatencyRatio;
use crate::life_check::LifeCheck;
use crate::pace_state::PaceState;
use crate::recent_starts::{RecentStarts, Start};
use crate::request_key::RequestKey;
use crate::shared_crashes::SharedCrashes;
use crate::shared_load::{EndpointLoad, SharedLoads};
use crate::view::View;
use crate::witness::WitnessSlot;

/// Pause after an endpoint refuses a request as full, in milliseconds: a few plain requests.
const FULL_PAUSE_MS: u64 = 60;

/// Pause after an endpoint could not be reached, in milliseconds. By then a crashed one is removed
/// from the registry or answers again.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// The part of a pause that an endpoint wants by which its end varies.
const PAUSE_SPREAD_PART: u64 = 10;

/// How long the state of a run is kept that is not listed, in milliseconds: longer than an endpoint takes to
/// leave, and than the age of a copy from which the store may come back and list the run again.
const UNLISTED_KEEP_MS: u64 = 120_000;

/// Weight of the latest sample in the moving averages.
const SMOOTHING: f64 = 0.15;

/// State of one run of one endpoint, as this instance's calls show it.
#[derive(Debug, Default)]
pub(crate) struct EndpointState {
    load: Cell<f64>,
    shared_load: Arc<EndpointLoad>,
    outlier: RefCell<OutlierDetector>,
    latency: LatencyRatio,
    pub(crate) pace: PaceState,
    paused_until_ms: Cell<u64>,
    capacity: RefCell<EndpointCapacity>,
    pub(crate) cold: EndpointCold,
    misdirected: Cell<bool>,
    last_received_ms: Cell<u64>,
    /// Since when no connection to the endpoint was established, if the last one was not.
    out_of_reach_since_ms: Cell<Option<u64>>,
    /// When the latest connection that was established was opened, and the latest that was not.
    connected_ms: Cell<Option<u64>>,
    failed_ms: Cell<Option<u64>>,
    probed_ms: Cell<Option<u64>>,
    /// The latest check of whether the endpoint is still there.
    pub(crate) life_check: Mutex<Option<LifeCheck>>,
    pub(crate) witness: WitnessSlot,
    pub(crate) calls: CallsInFlight,
    /// Generation of the view for which the rank was taken, and the rank.
    rank: Cell<Option<(u64, usize)>>,
    recent_starts: RefCell<RecentStarts>,
    crashes: Arc<SharedCrashes>,
    /// Hash of the run of the endpoint.
    shared_hash: u64,
    /// Moving average of the time to the head of a response, in milliseconds.
    head_ms: Cell<Option<f64>>,
    /// Since when the run is not listed, in milliseconds, if it is not.
    unlisted_since_ms: Cell<Option<u64>>,
}

impl EndpointState {
    /// Creates the state of a run with this hash.
    pub(crate) fn new(shared_hash: u64, id: &str, shared_loads: &SharedLoads) -> EndpointState {
        EndpointState {
            shared_load: shared_loads.entry(shared_hash),
            cold: EndpointCold::new(shared_loads.cold().of(id)),
            crashes: shared_loads.crashes().clone(),
            pace: PaceState::new(shared_loads.paces().clone(), shared_hash),
            shared_hash,
            ..EndpointState::default()
        }
    }

    /// Returns the load of all instances' calls in flight, in requests of average size.
    pub(crate) fn load(&self) -> f64 {
        self.load.get() + self.shared_load.of_peers()
    }

    pub(crate) fn connections(&self) -> u32 {
        self.calls.count()
    }

    /// Returns the ratio of latencies to the baseline.
    pub(crate) fn latency_ratio(&self, now_ms: u64) -> f64 {
        self.latency.ratio(now_ms)
    }

    /// Returns the time that the endpoint takes for the same work relative to the others of its version,
    /// above 1 if it is slower, or 1 while that is not known.
    pub(crate) fn time_ratio(&self, now_ms: u64) -> f64 {
        self.pace.time_ratio(now_ms)
    }

    pub(crate) fn health(&self, now_ms: u64) -> Health {
        if now_ms < self.paused_until_ms.get() {
            return Health::Ejected;
        }
        self.outlier.borrow().health(now_ms)
    }

    /// Returns whether another endpoint answered at the address.
    pub(crate) fn is_misdirected(&self) -> bool {
        self.misdirected.get()
    }

    pub(crate) fn record_misdirected(&self) {
        self.misdirected.set(true);
    }

    /// Returns whether the endpoint said to any instance that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shared_load.is_leaving()
    }

    /// Records that the endpoint said that it leaves, and returns whether this is news.
    pub(crate) fn record_leaving(&self) -> bool {
        self.shared_load.set_leaving()
    }

    /// Returns how much longer the endpoint wants no requests, in milliseconds, or zero.
    pub(crate) fn wanted_pause_ms(&self, now_ms: u64) -> u64 {
        self.capacity.borrow().pause_left_ms(now_ms)
    }

    /// Records that the endpoint wants no requests for a while. It gets them back spread over a part
    /// of that time, since all instances that it refused would return together.
    pub(crate) fn record_wanted_pause(&self, pause_ms: u64, now_ms: u64) {
        let spread_ms = fastrand::u64(..=pause_ms / PAUSE_SPREAD_PART);
        let until_ms = now_ms + pause_ms + spread_ms;
        self.capacity.borrow_mut().record_pause(until_ms, now_ms);
    }

    /// Takes over the pause that this run wanted before it was listed, when what it said was recorded for an
    /// earlier one. One that was wanted before a connection to that one broke is its own.
    pub(crate) fn take_over_pause(&self, earlier: &EndpointState) {
        let broke_ms = earlier.recent_starts.borrow().broke_ms();
        if let Some(broke_ms) = broke_ms {
            let mut capacity = self.capacity.borrow_mut();
            capacity.take_over_pause(&earlier.capacity.borrow(), broke_ms);
        }
    }

    pub(crate) fn record_full(&self, now_ms: u64) {
        self.capacity.borrow_mut().record_refusal(now_ms);
        self.pause_until(now_ms + FULL_PAUSE_MS);
    }

    /// Records that a connection opened at a time, in milliseconds, was not established, and returns
    /// whether this is news.
    pub(crate) fn record_unreachable(&self, opened_ms: u64, now_ms: u64) -> bool {
        self.failed_ms
            .set(self.failed_ms.get().max(Some(opened_ms)));
        self.pause_until(now_ms + UNREACHABLE_PAUSE_MS);
        self.record_outcome(true, now_ms);
        if self.is_out_of_reach() {
            return false;
        }
        self.out_of_reach_since_ms.set(Some(now_ms));
        self.shared_load.set_out_of_reach(true);
        true
    }

    /// Records that a connection opened at a time, in milliseconds, was established, and returns whether
    /// the endpoint was out of reach.
    pub(crate) fn record_connected(&self, opened_ms: u64) -> bool {
        let connected_ms = self.connected_ms.get().max(Some(opened_ms));
        self.connected_ms.set(connected_ms);
        let since_ms = self.out_of_reach_since_ms.get();
        let is_news = since_ms.is_some_and(|since_ms| opened_ms > since_ms);
        if is_news {
            self.restore(opened_ms);
            self.shared_load.record_reached_again(opened_ms);
        }
        is_news
    }

    /// Lets the endpoint get requests again that was out of reach.
    pub(crate) fn restore(&self, now_ms: u64) {
        self.cold.record_reached_again(now_ms);
        self.out_of_reach_since_ms.set(None);
        self.shared_load.set_out_of_reach(false);
        // Failures for want of a path say nothing of the endpoint.
        self.paused_until_ms.set(0);
        *self.outlier.borrow_mut() = OutlierDetector::default();
    }

    /// Returns what is known of the path to an endpoint.
    pub(crate) fn path(&self, endpoint: &Endpoint, view: &View, is_cut_off: bool) -> Path {
        Path {
            connected_ms: self.connected_ms.get(),
            failed_ms: self.failed_ms.get(),
            unreached_since_ms: self.out_of_reach_since_ms.get(),
            received_ms: self.last_received_ms(),
            probed_ms: self.probed_ms.get(),
            peer_reached_ms: self.shared_load.peer_reached_ms(),
            rank: self.rank(endpoint, view, is_cut_off),
        }
    }

    /// Returns how many instances come before this one in the rank for the endpoint. It matters only
    /// while the endpoint is out of reach or the instance is cut off.
    fn rank(&self, endpoint: &Endpoint, view: &View, is_cut_off: bool) -> usize {
        if !self.is_out_of_reach() && !is_cut_off {
            return usize::MAX;
        }
        if let Some((generation, rank)) = self.rank.get()
            && generation == view.generation
        {
            return rank;
        }
        let rank = view.rank_for(&endpoint.id);
        self.rank.set(Some((view.generation, rank)));
        rank
    }

    pub(crate) fn set_probed_ms(&self, now_ms: u64) {
        self.probed_ms.set(Some(now_ms));
    }

    /// Returns the hash of this run of the endpoint, which is the same on all instances.
    pub(crate) fn shared_hash(&self) -> u64 {
        self.shared_hash
    }

    /// Returns since when no connection to the endpoint was established, in milliseconds, if the last one was
    /// not.
    pub(crate) fn out_of_reach_since_ms(&self) -> Option<u64> {
        self.out_of_reach_since_ms.get()
    }

    /// Returns whether no connection to the endpoint was established since one was not.
    pub(crate) fn is_out_of_reach(&self) -> bool {
        self.out_of_reach_since_ms.get().is_some()
    }

    pub(crate) fn record_outcome(&self, failed: bool, now_ms: u64) {
        self.outlier.borrow_mut().record(failed, now_ms);
    }

    /// Sets how many requests the endpoint can refuse in a second without ending, and returns whether
    /// this is news.
    pub(crate) fn set_refusal_limit(&self, limit_per_s: Option<u32>) -> bool {
        self.capacity.borrow_mut().set_refusal_limit(limit_per_s)
    }

    /// Returns why the endpoint gets no request now, if it gets none.
    pub(crate) fn withheld(
        &self,
        endpoint: &Endpoint,
        view: &View,
        now_ms: u64,
    ) -> Option<Withheld> {
        self.update_cold(endpoint, now_ms);
        if self.is_cold() && self.cold.is_kept_for_check(now_ms) {
            return Some(Withheld::Cold);
        }
        self.withheld_check(endpoint, view, now_ms)
    }

    /// Returns why the endpoint gets no health check now, if it gets none.
    fn withheld_check(&self, endpoint: &Endpoint, view: &View, now_ms: u64) -> Option<Withheld> {
        self.update_cold(endpoint, now_ms);
        let place = || EndpointUse {
            rank: view.rank_for(&endpoint.id),
            instances: view.instance_count,
            own_requests: self.connections(),
            load: self.load(),
            slots: endpoint.slots,
        };
        let mut capacity = self.capacity.borrow_mut();
        capacity.withheld(place, self.calls.unanswered(), now_ms)
    }

    /// Takes a health check from what the endpoint wants of requests, and returns whether it wants any.
    pub(crate) fn try_acquire_check(&self, endpoint: &Endpoint, view: &View, now_ms: u64) -> bool {
        let is_open = self.withheld_check(endpoint, view, now_ms).is_none();
        if is_open {
            self.acquire(now_ms);
        }
        is_open
    }

    /// Takes the health check at the end of a cold period, and returns whether the endpoint wants it. Those of
    /// instances that do not send to it while it is cold are in no rate.
    pub(crate) fn try_acquire_end_check(
        &self,
        endpoint: &Endpoint,
        view: &View,
        now_ms: u64,
    ) -> bool {
        let is_open = match self.withheld_check(endpoint, view, now_ms) {
            Some(Withheld::Cold) => self.cold.rules().is_some_and(|rules| !rules.is_sender),
            withheld => withheld.is_none(),
        };
        if is_open {
            self.acquire(now_ms);
        }
        is_open
    }

    /// Takes a request from what the endpoint wants.
    pub(crate) fn acquire(&self, now_ms: u64) {
        self.capacity.borrow_mut().acquire(now_ms);
    }

    /// Returns whether the endpoint counts as cold since its capacity was last looked at.
    pub(crate) fn is_cold(&self) -> bool {
        self.capacity.borrow().is_cold()
    }

    /// Takes over whether the endpoint is cold, and logs a change.
    pub(crate) fn update_cold(&self, endpoint: &Endpoint, now_ms: u64) {
        let is_cold = self.cold.is_cold(self.is_out_of_reach(), now_ms);
        let mut capacity = self.capacity.borrow_mut();
        let rules = self.cold.rules().filter(|rules| rules.is_sender);
        let interval_ms = rules.map(|rules| rules.division.interval_ms);
        if interval_ms != capacity.cold_interval_ms() {
            capacity.set_cold_interval(interval_ms, now_ms);
        }
        if !capacity.set_cold(is_cold, now_ms) {
            return;
        }
        let (id, service) = (&*endpoint.id, &*endpoint.service);
        if is_cold {
            let left_ms = self.cold.left_ms(now_ms);
            tracing::info!(id, service, left_ms, interval_ms, "endpoint: cold");
        } else {
            tracing::info!(id, service, "endpoint: cold no longer");
        }
    }

    /// Returns how the endpoint's rate limit is divided, if it has one.
    pub(crate) fn rate_division(&self) -> Option<RateDivision> {
        self.capacity.borrow().rate_division()
    }

    /// Sets how the endpoint's rate limit is divided, and returns whether the limit changed.
    pub(crate) fn set_rate_division(&self, division: Option<RateDivision>, now_ms: u64) -> bool {
        let mut capacity = self.capacity.borrow_mut();
        capacity.set_rate_division(division, now_ms)
    }

    /// Records that the run lives, as proof shows that was asked for at a time, in milliseconds.
    pub(crate) fn record_life(&self, asked_ms: Option<u64>, now_ms: u64) {
        self.record_sign(asked_ms, None, now_ms);
    }

    /// Records that bytes arrived of an answer that began at a time, in milliseconds, if that is known.
    pub(crate) fn record_received(&self, began_ms: Option<u64>, now_ms: u64) {
        self.record_sign(None, began_ms, now_ms);
    }

    /// Records that bytes arrived on a connection opened at a time, in milliseconds, if that is known: of an
    /// answer that began at a time, or proof that the run itself lives.
    fn record_sign(&self, opened_ms: Option<u64>, began_ms: Option<u64>, now_ms: u64) {
        self.last_received_ms.set(now_ms);
        let mut starts = self.recent_starts.borrow_mut();
        let sign = starts.lives(opened_ms, began_ms, now_ms);
        drop(starts);
        for key in sign.survived {
            self.crashes.record_survival(key.subjects(), now_ms);
        }
        for key in sign.cleared {
            self.crashes.retract_crash(key.subjects(), now_ms);
        }
        for key in sign.cleared_pending {
            let endpoint = self.shared_hash;
            self.crashes
                .retract_pending_crash(key.subjects(), endpoint, now_ms);
        }
        for key in sign.excused {
            self.crashes.excuse_crash(key.subjects(), self.shared_hash);
        }
    }

    /// Records that a later run is listed, so that this one has ended.
    pub(crate) fn record_ended(&self, now_ms: u64) {
        for suspect in self.recent_starts.borrow_mut().ended(now_ms) {
            let crash = self.crash(suspect.broke_ms);
            self.crashes.restore_crash(suspect.key.subjects(), crash);
        }
    }

    /// Records that an answer to a request began.
    pub(crate) fn record_start(&self, key: RequestKey, now_ms: u64) {
        self.recent_starts.borrow_mut().began(key, now_ms);
    }

    /// Records that an answer to a request ended as it should.
    pub(crate) fn record_completed(&self, key: &RequestKey, now_ms: u64) {
        if self.recent_starts.borrow_mut().completed(key) {
            self.crashes.record_survival(key.subjects(), now_ms);
        }
    }

    /// Records that the endpoint has run a request and lives.
    pub(crate) fn record_survival(&self, key: &RequestKey, now_ms: u64) {
        self.crashes.record_survival(key.subjects(), now_ms);
    }

    /// Records that a connection broke, and returns the answers that began shortly before it.
    pub(crate) fn record_broken(&self, now_ms: u64) -> Vec<Start> {
        self.cold.record_broken(now_ms);
        let suspects = self.recent_starts.borrow_mut().broke(now_ms);
        for start in &suspects {
            self.crashes
                .record_crash(start.key.subjects(), self.crash(now_ms));
        }
        suspects
    }

    /// Records that the connection of a request broke before its answer began.
    pub(crate) fn record_broken_before_start(&self, key: &RequestKey, now_ms: u64) {
        self.crashes
            .record_crash(key.subjects(), self.crash(now_ms));
        self.recent_starts
            .borrow_mut()
            .broke_before_start(key.clone(), now_ms);
    }

    fn crash(&self, now_ms: u64) -> Crash {
        Crash {
            endpoint: self.shared_hash,
            at_ms: now_ms,
        }
    }

    /// Records the time to the head of a response.
    pub(crate) fn record_head(&self, head_ms: u64, now_ms: u64) {
        let sent_ms = now_ms.saturating_sub(head_ms);
        self.record_sign(Some(sent_ms), Some(now_ms), now_ms);
        let head_ms = head_ms as f64;
        let mean = self.head_ms.get().unwrap_or(head_ms);
        self.head_ms.set(Some(mean + SMOOTHING * (head_ms - mean)));
    }

    /// Records the ratio of a latency to the baseline.
    pub(crate) fn record_latency_ratio(&self, ratio: f64, now_ms: u64) {
        self.latency.record(ratio, now_ms);
    }

    /// Returns the average time to the head of a response, in milliseconds.
    pub(crate) fn head_ms(&self) -> Option<f64> {
        self.head_ms.get()
    }

    /// Returns when the last bytes of any response arrived, in milliseconds.
    pub(crate) fn last_received_ms(&self) -> u64 {
        self.last_received_ms.get()
    }

    pub(crate) fn add(&self, load: f64) {
        self.load.set((self.load.get() + load).max(0.0));
        self.shared_load.set_own(self.load.get());
    }

    /// Records whether the run is listed, and returns whether its state must be kept.
    pub(crate) fn is_kept(&self, is_listed: bool, now_ms: u64) -> bool {
        if is_listed {
            self.unlisted_since_ms.set(None);
            return true;
        }
        let since_ms = self.unlisted_since_ms.get().unwrap_or(now_ms);
        self.unlisted_since_ms.set(Some(since_ms));
        self.connections() > 0 || now_ms < since_ms + UNLISTED_KEEP_MS
    }

    fn pause_until(&self, until_ms: u64) {
        self.paused_until_ms
            .set(self.paused_until_ms.get().max(until_ms));
    }
}
