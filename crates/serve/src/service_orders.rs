//! The orders of all services on one instance.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use limits::{Order, PendingRequest, Pressure, ServiceOrder};

/// Time for which the load of a pool is used, in milliseconds. The sum over 90 endpoints for each send is
/// notable on a tenth of a core.
const POOL_LOAD_MS: u64 = 20;

/// Load and relative speed of the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PoolLoad {
    /// Load, as a share of the slots.
    pub(crate) load_share: f64,
    /// Time ratio of the fastest endpoint, at most 1.
    pub(crate) fastest_ratio: f64,
}

/// The order of one service, and whether its capacity was short at the last request.
#[derive(Debug, Default)]
struct OrderState {
    order: ServiceOrder,
    is_short: bool,
    /// When the load of the pool was summed last, and what it was.
    pool_load: Option<(u64, PoolLoad)>,
}

/// The orders of all services.
#[derive(Debug, Default)]
pub(crate) struct ServiceOrders {
    by_service: RefCell<HashMap<Arc<str>, OrderState>>,
}

impl ServiceOrders {
    /// Records how long a request of a priority that was sent for a reason waited for its first event beyond
    /// undisturbed prefill.
    pub(crate) fn record_wait(&self, service: &Arc<str>, priority: u8, wait_ms: f64, now_ms: u64) {
        let mut orders = self.by_service.borrow_mut();
        let state = orders.entry(service.clone()).or_default();
        state.order.record_wait(priority, wait_ms, now_ms);
    }

    /// Returns the load of a service's pool, which `sum` computes if the last one is too old.
    pub(crate) fn pool_load(
        &self,
        service: &Arc<str>,
        now_ms: u64,
        sum: impl FnOnce() -> PoolLoad,
    ) -> PoolLoad {
        let orders = self.by_service.borrow();
        let last = orders.get(service).and_then(|state| state.pool_load);
        drop(orders);
        if let Some((summed_ms, load)) = last
            && now_ms < summed_ms + POOL_LOAD_MS
        {
            return load;
        }
        let load = sum();
        let mut orders = self.by_service.borrow_mut();
        orders.entry(service.clone()).or_default().pool_load = Some((now_ms, load));
        load
    }

    /// Returns the place of a request, or `None` while capacity is not short.
    pub(crate) fn order(
        &self,
        service: &Arc<str>,
        request: &PendingRequest<'_>,
        pressure: Pressure,
        now_ms: u64,
    ) -> Option<Order> {
        let mut orders = self.by_service.borrow_mut();
        let state = orders.entry(service.clone()).or_default();
        let is_short = pressure.is_short();
        if is_short != state.is_short {
            state.is_short = is_short;
            tracing::info!(
                service = &**service,
                is_short,
                wait_share = pressure.wait_share,
                load_share = pressure.load_share,
                "order: capacity"
            );
        }
        state.order.order(request, pressure, now_ms)
    }
}
