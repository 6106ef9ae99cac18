//! State shared by the requests of one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use kernel::Clock;
use limits::{Fleet, FleetSize, ReachProbes, RetryAfterSchedule, WindowedRetryBudget};

use crate::baseline::LatencyBaselines;
use crate::buffered_body::BufferedBytes;
use crate::caller_protocol::CallerProtocol;
use crate::carried::CarriedCount;
use crate::endpoint_protocol::EndpointProtocol;
use crate::endpoint_states::EndpointStates;
use crate::late_repeats::LateRepeats;
use crate::outcome::{Counters, Observer};
use crate::pace_comparison::PaceComparison;
use crate::peer_states::PeerStates;
use crate::run_book::RunBook;
use crate::service_orders::ServiceOrders;
use crate::settings::Settings;
use crate::size_book::SizeBook;
use crate::stop_signal::StopSignal;
use crate::version_counters::VersionCounters;
use crate::view::View;

/// State shared by the requests of one thread.
pub(crate) struct RequestContext {
    pub(crate) settings: Settings,
    pub(crate) caller_protocol: Rc<dyn CallerProtocol>,
    pub(crate) endpoint_protocol: Rc<dyn EndpointProtocol>,
    pub(crate) endpoint_states: EndpointStates,
    pub(crate) pace_comparison: PaceComparison,
    pub(crate) version_counters: Arc<VersionCounters>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) observer: Rc<dyn Observer>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: Arc<ArcSwap<View>>,
    /// When the process started, on the monotonic clock.
    pub(crate) started_ms: u64,
    pub(crate) fleet_size: RefCell<FleetSize>,
    /// Retry windows by service.
    pub(crate) retry_windows: RefCell<HashMap<Arc<str>, WindowedRetryBudget>>,
    pub(crate) late_repeats: Rc<LateRepeats>,
    pub(crate) baselines: LatencyBaselines,
    pub(crate) size_book: SizeBook,
    pub(crate) service_orders: ServiceOrders,
    pub(crate) run_book: RunBook,
    /// Times promised to callers whom rate limits turned away, by service.
    pub(crate) retry_schedules: RefCell<HashMap<Arc<str>, RetryAfterSchedule>>,
    /// Probes of endpoints by service.
    pub(crate) reach_probes: RefCell<HashMap<Arc<str>, ReachProbes>>,
    pub(crate) buffered_bytes: BufferedBytes,
    pub(crate) peer_states: Rc<PeerStates>,
    pub(crate) carried_count: CarriedCount,
    pub(crate) stop: StopSignal,
    /// Whether new requests are refused because the instance is stopping.
    pub(crate) stopped: Cell<bool>,
}

impl RequestContext {
    pub(crate) fn view(&self) -> Arc<View> {
        let view = self.view.load_full();
        let now_ms = self.now_ms();
        self.endpoint_states.sync(&view, now_ms);
        self.pace_comparison
            .update(&self.endpoint_states, &view, now_ms);
        view
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.mono_ms()
    }

    /// Returns the monotonic time at a moment that has passed, in milliseconds.
    pub(crate) fn ms_at(&self, at: Instant) -> u64 {
        self.now_ms()
            .saturating_sub(at.elapsed().as_millis() as u64)
    }

    pub(crate) fn record_request(&self, service: &Arc<str>) {
        let now_ms = self.now_ms();
        self.fleet(now_ms);
        self.with_window(service, |window| window.record_request(now_ms));
        let mut probes = self.reach_probes.borrow_mut();
        probes.entry(service.clone()).or_default().record_request();
    }

    /// Acquires one retry from this instance's share of a service's retry budget.
    pub(crate) fn try_acquire_retry(&self, service: &Arc<str>) -> bool {
        let now_ms = self.now_ms();
        let fleet = self.fleet(now_ms);
        self.count_late_repeats(now_ms);
        self.with_window(service, |window| window.try_acquire(now_ms, fleet))
    }

    fn count_late_repeats(&self, now_ms: u64) {
        self.late_repeats.update(
            now_ms,
            |repeat| {
                let acquired_ms = repeat.acquired_ms;
                self.with_window(&repeat.service, |window| window.defer_arrival(acquired_ms));
            },
            |repeat| self.with_window(&repeat.service, |window| window.record_arrival(now_ms)),
        );
    }

    /// Reserves a time at which a caller of a service may come back, and returns the delay until
    /// then in milliseconds.
    pub(crate) fn reserve_retry_after(&self, service: &Arc<str>, rate_per_s: f64) -> u64 {
        let mut schedules = self.retry_schedules.borrow_mut();
        let schedule = schedules.entry(service.clone()).or_default();
        schedule.next_delay_ms(self.now_ms(), rate_per_s, fastrand::f64())
    }

    /// Returns how many retries this instance's share of a service's retry budget allows now.
    pub(crate) fn retries_left(&self, service: &Arc<str>) -> u64 {
        let now_ms = self.now_ms();
        let fleet = self.fleet(now_ms);
        self.with_window(service, |window| window.left(now_ms, fleet))
    }

    /// Returns the used share of a service's retry budget.
    pub(crate) fn retry_budget_used(&self, service: &Arc<str>) -> f64 {
        let now_ms = self.now_ms();
        let fleet = self.fleet(now_ms);
        self.with_window(service, |window| window.used_share(now_ms, fleet))
    }

    /// Records how many instances are seen now, and returns the fleet that shares the retry budgets.
    fn fleet(&self, now_ms: u64) -> Fleet {
        let seen = self.view.load().instance_count;
        self.fleet_size.borrow_mut().record(now_ms, seen)
    }

    fn with_window<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        let new_window = || WindowedRetryBudget::new(self.settings.retry_window, self.started_ms);
        act(windows.entry(service.clone()).or_insert_with(new_window))
    }
}
