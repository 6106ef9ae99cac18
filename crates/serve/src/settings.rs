//! Settings of the pipeline.

use std::sync::Arc;

use limits::WindowedRetrySettings;

/// Settings of the pipeline, fixed at start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub name: Arc<str>,
    /// Availability zone of this instance.
    pub zone: Arc<str>,
    /// Retry window of each service.
    pub retry_window: WindowedRetrySettings,
    /// Number of instances that the settings name, this one included; not all need be running.
    pub configured_instances: usize,
    /// Timeout for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Cost of one run of a model's largest size on idle engines, in good answers.
    pub largest_run_cost: f64,
    /// Factor on the rate of a cold endpoint up to which it may get requests.
    pub cold_overage: f64,
    /// Requests in a second that a cold endpoint may get beyond that.
    pub cold_slack: f64,
    /// Whether the chance that a run ends by its deadline is weighed.
    pub completion: bool,
    /// Whether requests for model engines are ordered by what their delay costs while capacity is
    /// short.
    pub service_order: bool,
    /// Memory of all response bodies that are being read together, in bytes.
    pub max_buffered_bytes: u64,
}

/// As much as two of the largest bodies.
const MAX_BUFFERED_BYTES: u64 = 32 << 20;

/// Several round trips to another zone. A lost SYN is retransmitted only after a second.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// A run of the largest size costs a part of what its answer is worth also when nothing waits.
const DEFAULT_LARGEST_RUN_COST: f64 = 0.3;

impl Settings {
    /// Creates settings for a zone.
    pub fn new(zone: &str, retry_window: WindowedRetrySettings) -> Settings {
        Settings {
            name: "".into(),
            zone: zone.into(),
            retry_window,
            configured_instances: 1,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            largest_run_cost: DEFAULT_LARGEST_RUN_COST,
            cold_overage: 1.0,
            cold_slack: 0.0,
            completion: true,
            service_order: false,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
        }
    }

    /// Sets the name of this instance.
    pub fn name(mut self, name: &str) -> Settings {
        self.name = name.into();
        self
    }

    /// Sets the number of instances that the settings name, this one included.
    pub fn configured_instances(mut self, instances: usize) -> Settings {
        self.configured_instances = instances;
        self
    }

    /// Sets the cost of one run of a model's largest size on idle engines, in good answers.
    pub fn largest_run_cost(mut self, cost: f64) -> Settings {
        self.largest_run_cost = cost;
        self
    }

    /// Sets the factor on the rate of a cold endpoint up to which it may get requests, and the requests in a second
    /// beyond that.
    pub fn cold_bound(mut self, overage: f64, slack: f64) -> Settings {
        self.cold_overage = overage;
        self.cold_slack = slack;
        self
    }

    /// Sets whether the chance that a run ends by its deadline is weighed.
    pub fn completion(mut self, is_on: bool) -> Settings {
        self.completion = is_on;
        self
    }

    /// Sets whether requests are ordered by what their delay costs while capacity is short.
    pub fn service_order(mut self, is_on: bool) -> Settings {
        self.service_order = is_on;
        self
    }

    /// Returns whether lengths of answers and times per event are needed.
    pub(crate) fn learns_runs(&self) -> bool {
        self.completion || self.service_order
    }

    /// Sets the memory of all response bodies that are being read together, in bytes, if it is less than usual.
    pub fn max_buffered_bytes(mut self, bytes: u64) -> Settings {
        self.max_buffered_bytes = bytes.min(MAX_BUFFERED_BYTES);
        self
    }

    /// Sets the timeout for connecting to an endpoint, in milliseconds.
    pub fn connect_timeout_ms(mut self, timeout_ms: u64) -> Settings {
        self.connect_timeout_ms = timeout_ms;
        self
    }
}
