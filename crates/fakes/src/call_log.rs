//! Logs of the calls that endpoints executed and the orders that they received.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One execution of a call at an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Request identifier that the router sent.
    pub request: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Version, or path of the service call.
    pub target: String,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether execution completed.
    pub finished: bool,
}

/// All executions, in order of their start.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<Vec<Run>>,
}

impl RunLog {
    /// Records the start of an execution and returns its index.
    pub fn start(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Marks an execution as completed.
    pub fn finish(&self, index: usize) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(index) {
            run.finished = true;
        }
    }

    /// Returns all executions.
    pub fn all(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// One order to an endpoint to load a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Version to load.
    pub version: String,
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Whether the endpoint accepted the order.
    pub obeyed: bool,
}

/// All orders, in order of arrival.
#[derive(Debug, Default)]
pub struct OrderLog {
    orders: Mutex<Vec<OrderRecord>>,
}

impl OrderLog {
    /// Records an order and returns whether the endpoint accepts it.
    ///
    /// An endpoint that checks fencing rejects an order whose fencing number is below one that it
    /// has received.
    pub fn submit(
        &self,
        endpoint: &str,
        version: &str,
        fencing: u64,
        checks_fencing: bool,
    ) -> bool {
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = |order: &OrderRecord| order.endpoint == endpoint && order.fencing > fencing;
        let obeyed = !(checks_fencing && orders.iter().any(newer));
        let (endpoint, version) = (endpoint.to_owned(), version.to_owned());
        orders.push(OrderRecord {
            endpoint,
            version,
            fencing,
            obeyed,
        });
        obeyed
    }

    /// Returns all orders.
    pub fn all(&self) -> Vec<OrderRecord> {
        self.orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
