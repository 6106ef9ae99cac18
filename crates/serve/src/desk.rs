//! What the requests of one thread share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kernel::Clock;
use limits::WindowedRetryBudget;
use policy::Cascade;

use crate::caller_protocol::CallerProtocol;
use crate::endpoint_protocol::EndpointProtocol;
use crate::outcome::{Counters, Observer};
use crate::pace::Paces;
use crate::settings::Settings;
use crate::station::Stations;
use crate::version_counters::VersionCounters;
use crate::view::View;

/// What all requests of one thread share.
pub(crate) struct Desk {
    pub(crate) settings: Settings,
    pub(crate) face: Rc<dyn CallerProtocol>,
    pub(crate) protocol: Rc<dyn EndpointProtocol>,
    pub(crate) stations: Stations,
    pub(crate) tally: Arc<VersionCounters>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) observer: Rc<dyn Observer>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) repeats: RefCell<HashMap<Arc<str>, WindowedRetryBudget>>,
    pub(crate) ladder: Cascade,
    pub(crate) paces: Paces,
    pub(crate) stopped: Cell<bool>,
}

impl Desk {
    pub(crate) fn view(&self) -> Arc<View> {
        let view = self.view.load_full();
        self.stations.follow(&view);
        view
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.mono_ms()
    }

    pub(crate) fn note_request(&self, service: &Arc<str>) {
        let now_ms = self.now_ms();
        self.with_window(service, |window| window.record_request(now_ms));
    }

    /// Takes one repeat from this instance's part of a service's budget.
    pub(crate) fn take_repeat(&self, service: &Arc<str>) -> bool {
        let now_ms = self.now_ms();
        let instances = self.view.load().instance_count;
        self.with_window(service, |window| window.try_acquire(now_ms, instances))
    }

    /// Returns how much of the budget of repeats is used.
    pub(crate) fn repeats_used(&self, service: &Arc<str>) -> f64 {
        let now_ms = self.now_ms();
        let instances = self.view.load().instance_count;
        self.with_window(service, |window| window.used_share(now_ms, instances))
    }

    fn with_window<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let mut windows = self.repeats.borrow_mut();
        let fresh = || WindowedRetryBudget::new(self.settings.retry_window);
        act(windows.entry(service.clone()).or_insert_with(fresh))
    }
}
