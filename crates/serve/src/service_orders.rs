//! The orders of all services on one instance.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use limits::{Order, PendingRequest, Pressure, ServiceOrder};

/// The order of one service, and whether its capacity was short at the last request.
#[derive(Debug, Default)]
struct OrderState {
    order: ServiceOrder,
    is_short: bool,
}

/// The orders of all services.
#[derive(Debug, Default)]
pub(crate) struct ServiceOrders {
    by_service: RefCell<HashMap<Arc<str>, OrderState>>,
}

impl ServiceOrders {
    /// Records how long a request waited for its first event beyond undisturbed prefill.
    pub(crate) fn record_wait(&self, service: &Arc<str>, priority: u8, wait_ms: f64, now_ms: u64) {
        let mut orders = self.by_service.borrow_mut();
        let state = orders.entry(service.clone()).or_default();
        state.order.record_wait(priority, wait_ms, now_ms);
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
