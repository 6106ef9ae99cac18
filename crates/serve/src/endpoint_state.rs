//! Load, rate limit, health and latency of each endpoint. All but the first two come from this
//! instance's own calls.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use async_lock::Mutex;
use limits::{
    Crash, EndpointRate, EndpointUse, Health, OutlierDetector, Path, RateDivision, RefusalAllowance,
};

use crate::calls_in_flight::CallsInFlight;
use crate::endpoint::Endpoint;
use crate::latency_ratio::LatencyRatio;
use crate::life_check::LifeCheck;
use crate::recent_starts::{RecentStarts, Start};
use crate::request_key::RequestKey;
use crate::run::Run;
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
    paused_until_ms: Cell<u64>,
    /// Until when the endpoint itself wants no requests from this instance.
    wanted_pause_until_ms: Cell<u64>,
    /// When it last said so.
    wanted_pause_at_ms: Cell<u64>,
    misdirected: Cell<bool>,
    /// This instance's part of the endpoint's rate limit, if it has one.
    rate: RefCell<Option<EndpointRate>>,
    /// The refusals that this instance may cause, if the endpoint ends by too many.
    refusals: RefCell<Option<RefusalAllowance>>,
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

    /// Returns the time that the endpoint takes, relative to the others of its service; 1 where unknown.
    pub(crate) fn time_ratio(&self, _now_ms: u64) -> f64 {
        1.0
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
        self.wanted_pause_until_ms.get().saturating_sub(now_ms)
    }

    /// Records that the endpoint wants no requests for a while. It gets them back spread over a part
    /// of that time, since all instances that it refused would return together.
    pub(crate) fn record_wanted_pause(&self, pause_ms: u64, now_ms: u64) {
        let spread_ms = fastrand::u64(..=pause_ms / PAUSE_SPREAD_PART);
        let until_ms = now_ms + pause_ms + spread_ms;
        let latest_ms = until_ms.max(self.wanted_pause_until_ms.get());
        self.wanted_pause_until_ms.set(latest_ms);
        self.wanted_pause_at_ms.set(now_ms);
    }

    /// Takes over the pause that this run wanted before it was listed, when what it said was recorded for an
    /// earlier one. One that was wanted before a connection to that one broke is its own.
    fn take_over_pause(&self, earlier: &EndpointState) {
        let broke_ms = earlier.recent_starts.borrow().broke_ms();
        let wanted_at_ms = earlier.wanted_pause_at_ms.get();
        if broke_ms.is_some_and(|broke_ms| wanted_at_ms >= broke_ms) {
            let until_ms = earlier.wanted_pause_until_ms.get();
            self.wanted_pause_until_ms.set(until_ms);
            self.wanted_pause_at_ms.set(wanted_at_ms);
        }
    }

    pub(crate) fn record_full(&self, now_ms: u64) {
        if let Some(refusals) = self.refusals.borrow_mut().as_mut() {
            refusals.record_refusal(now_ms);
        }
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
            self.restore();
            self.shared_load.record_reached_again(opened_ms);
        }
        is_news
    }

    /// Lets the endpoint get requests again that was out of reach.
    pub(crate) fn restore(&self) {
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
        let mut refusals = self.refusals.borrow_mut();
        let before = refusals.as_ref().map(RefusalAllowance::limit_per_s);
        match (limit_per_s, refusals.as_mut()) {
            (Some(limit_per_s), Some(refusals)) => refusals.set_limit(limit_per_s),
            (Some(limit_per_s), None) => *refusals = Some(RefusalAllowance::new(limit_per_s)),
            (None, _) => *refusals = None,
        }
        before != limit_per_s
    }

    /// Returns whether a request may be sent without the endpoint ending by its refusals.
    pub(crate) fn is_within_refusals(&self, endpoint: &Endpoint, view: &View, now_ms: u64) -> bool {
        let mut refusals = self.refusals.borrow_mut();
        let Some(refusals) = refusals.as_mut() else {
            return true;
        };
        let place = EndpointUse {
            rank: view.rank_for(&endpoint.id),
            instances: view.instance_count,
            own_requests: self.connections(),
            load: self.load(),
            slots: endpoint.slots,
        };
        refusals.is_open(&place, now_ms)
    }

    /// Takes a health check from what the endpoint wants of requests, and returns whether it wants any.
    pub(crate) fn try_acquire_check(&self, endpoint: &Endpoint, view: &View, now_ms: u64) -> bool {
        let is_open = self.wanted_pause_ms(now_ms) == 0
            && self.is_within_refusals(endpoint, view, now_ms)
            && self.is_within_rate(now_ms);
        if is_open {
            self.acquire_rate(now_ms);
        }
        is_open
    }

    /// Returns whether the endpoint's rate limit permits a request now.
    pub(crate) fn is_within_rate(&self, now_ms: u64) -> bool {
        let mut rate = self.rate.borrow_mut();
        rate.as_mut().is_none_or(|rate| rate.is_open(now_ms))
    }

    /// Takes a request from the endpoint's rate limit, if it has one.
    pub(crate) fn acquire_rate(&self, now_ms: u64) {
        if let Some(rate) = self.rate.borrow_mut().as_mut() {
            rate.try_acquire(now_ms);
        }
    }

    /// Returns how the endpoint's rate limit is divided, if it has one.
    pub(crate) fn rate_division(&self) -> Option<RateDivision> {
        self.rate.borrow().as_ref().map(EndpointRate::division)
    }

    /// Sets how the endpoint's rate limit is divided, and returns whether the limit changed.
    fn set_rate_division(&self, division: Option<RateDivision>, now_ms: u64) -> bool {
        let limit = |division: RateDivision| division.limit_per_s;
        let before = self.rate_division().map(limit);
        let mut rate = self.rate.borrow_mut();
        match (division, rate.as_mut()) {
            (Some(division), Some(rate)) => rate.set_division(division, now_ms),
            (Some(division), None) => *rate = Some(EndpointRate::new(division, now_ms)),
            (None, _) => *rate = None,
        }
        before != division.map(limit)
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
    fn record_ended(&self, now_ms: u64) {
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
    fn is_kept(&self, is_listed: bool, now_ms: u64) -> bool {
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

/// States of all endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointStates {
    by_key: RefCell<HashMap<Run, Rc<EndpointState>>>,
    /// Generation of the view and number of limit changes that the states reflect.
    synced: Cell<Option<(u64, u64)>>,
    shared_loads: Arc<SharedLoads>,
}

impl EndpointStates {
    /// Returns the state of an endpoint, which is created if there is none yet.
    pub(crate) fn of(&self, endpoint: &Endpoint) -> Rc<EndpointState> {
        let mut states = self.by_key.borrow_mut();
        let key = Run::of(endpoint);
        if let Some(state) = states.get(&key) {
            return state.clone();
        }
        let state = Rc::new(EndpointState {
            shared_load: self.shared_loads.entry(key.shared_hash()),
            crashes: self.shared_loads.crashes().clone(),
            shared_hash: key.shared_hash(),
            ..EndpointState::default()
        });
        let earlier = states.iter().filter(|(run, _)| key.follows(run));
        if let Some((_, earlier)) = earlier.max_by_key(|(run, _)| run.started_ms) {
            state.take_over_pause(earlier);
        }
        states.insert(key, state.clone());
        // Others may have reported a rate limit of this endpoint.
        self.synced.set(None);
        state
    }

    /// Closes the idle connections that no answer has needed for a while.
    pub(crate) fn drop_unused_witnesses(&self) {
        for state in self.by_key.borrow().values() {
            state.witness.drop_unused();
        }
    }

    /// Returns what crashes endpoints.
    pub(crate) fn crashes(&self) -> &SharedCrashes {
        self.shared_loads.crashes()
    }

    pub(crate) fn shared_loads(&self) -> Arc<SharedLoads> {
        self.shared_loads.clone()
    }

    /// Records the rate limit that an endpoint names in a response, or that it names none.
    pub(crate) fn record_rate_limit(
        &self,
        endpoint: &Endpoint,
        limit_per_s: Option<f64>,
        now_ms: u64,
    ) {
        let endpoint = Run::of(endpoint).shared_hash();
        let limits = self.shared_loads.limits();
        limits.observe(endpoint, limit_per_s, now_ms);
    }

    /// Drops the states of endpoints that were removed a while ago and have no call in flight, and divides
    /// the rate limits of the others.
    pub(crate) fn sync(&self, view: &View, now_ms: u64) {
        let current = (view.generation, self.shared_loads.limits().changes());
        if self.synced.replace(Some(current)) == Some(current) {
            return;
        }
        self.drop_unlisted(view, now_ms);
        for (key, state) in self.by_key.borrow().iter() {
            let limit_per_s = self.shared_loads.limits().limit_per_s(key.shared_hash());
            let division = limit_per_s.map(|limit_per_s| RateDivision {
                limit_per_s,
                rank: view.rank_for(&key.id),
                instances: view.instance_count,
            });
            if state.set_rate_division(division, now_ms) {
                tracing::info!(
                    id = &*key.id,
                    limit_per_s,
                    share_per_s = division.map(|division| division.share_per_s()),
                    instances = view.instance_count,
                    "endpoint: rate limit"
                );
            }
        }
    }

    /// What an endpoint says of itself holds for its run, also while its entry lapses and comes back.
    fn drop_unlisted(&self, view: &View, now_ms: u64) {
        let endpoints = view.endpoints();
        let listed: HashSet<Run> = endpoints.map(|endpoint| Run::of(endpoint)).collect();
        let mut states = self.by_key.borrow_mut();
        states.retain(|key, state| {
            let is_listed = listed.contains(key);
            if !is_listed && listed.iter().any(|run| run.follows(key)) {
                state.record_ended(now_ms);
            }
            let is_kept = state.is_kept(is_listed, now_ms);
            if !is_kept {
                self.shared_loads.remove(key.shared_hash());
            }
            is_kept
        });
    }
}
