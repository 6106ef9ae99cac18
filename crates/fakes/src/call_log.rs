//! The record of what endpoints ran.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One run of a call at an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The identifier that the router sent.
    pub request: String,
    /// The endpoint's name.
    pub endpoint: String,
    /// The version or service call.
    pub target: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether it ran to its end.
    pub finished: bool,
}

/// All runs, in order.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<Vec<Run>>,
}

impl RunLog {
    /// Notes the start of a run and returns its index.
    pub fn start(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Notes the end of a run.
    pub fn finish(&self, index: usize) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(index) {
            run.finished = true;
        }
    }

    /// Returns all runs.
    pub fn all(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// One order to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The endpoint's name.
    pub endpoint: String,
    /// The version.
    pub version: String,
    /// The fencing number.
    pub fencing: u64,
    /// Whether the endpoint obeyed.
    pub obeyed: bool,
}

/// All orders, in time order, and the highest fencing number of each endpoint.
#[derive(Debug, Default)]
pub struct OrderLog {
    orders: Mutex<Vec<OrderRecord>>,
}

impl OrderLog {
    /// Takes an order. An endpoint that checks fencing refuses one that is older than another.
    pub fn submit(&self, endpoint: &str, version: &str, fencing: u64, checks: bool) -> bool {
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = |order: &OrderRecord| order.endpoint == endpoint && order.fencing > fencing;
        let obeyed = !(checks && orders.iter().any(newer));
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
