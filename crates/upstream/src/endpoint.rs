//! The state that an instance keeps of one endpoint.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use limits::{EndpointView, OutlierDetector};

/// Weight of the latest request in the moving average of request durations.
const MEAN_WEIGHT: f64 = 0.1;

/// The load, request statistics and status of one endpoint, as seen by this instance.
#[derive(Debug)]
pub struct EndpointState {
    /// The name, unique in its pool.
    pub name: Arc<str>,
    /// The address of its HTTP server.
    pub addr: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    in_flight: AtomicU32,
    reported_load: AtomicU32,
    in_flight_at_report: AtomicU32,
    leaving: AtomicBool,
    stats: Mutex<RequestStats>,
}

#[derive(Debug, Default)]
struct RequestStats {
    outlier: OutlierDetector,
    mean_ms: f64,
}

impl EndpointState {
    pub(crate) fn new(
        name: Arc<str>,
        addr: SocketAddr,
        zone: Arc<str>,
        slots: u32,
    ) -> EndpointState {
        EndpointState {
            name,
            addr,
            zone,
            slots,
            in_flight: AtomicU32::new(0),
            reported_load: AtomicU32::new(0),
            in_flight_at_report: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            stats: Mutex::default(),
        }
    }

    /// Marks the endpoint as leaving, which is final. Returns false if it was already.
    pub fn set_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::SeqCst)
    }

    /// Returns whether the endpoint is leaving and takes no further requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight from this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the moving average duration of successful requests, in milliseconds; 0 before the
    /// first.
    pub fn mean_ms(&self) -> f64 {
        self.stats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .mean_ms
    }

    /// Returns the inputs to endpoint selection.
    pub(crate) fn view(&self, zone: &str, pool_mean_ms: f64, now_ms: u64) -> EndpointView {
        let stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        let has_means = stats.mean_ms > 0.0 && pool_mean_ms > 0.0;
        EndpointView {
            slots: self.slots,
            in_flight: self.in_flight(),
            reported_load: self.reported_load.load(Ordering::Relaxed),
            in_flight_at_report: self.in_flight_at_report.load(Ordering::Relaxed),
            latency_ratio: if has_means {
                stats.mean_ms / pool_mean_ms
            } else {
                1.0
            },
            same_zone: &*self.zone == zone,
            serving: !self.is_leaving(),
            health: stats.outlier.health(now_ms),
        }
    }

    /// Records a load report of the form `running;queued`.
    pub(crate) fn record_load(&self, text: &str) {
        let sum = text
            .split(';')
            .filter_map(|part| part.trim().parse::<u32>().ok())
            .sum();
        self.reported_load.store(sum, Ordering::Relaxed);
        self.in_flight_at_report
            .store(self.in_flight(), Ordering::Relaxed);
    }

    /// Records the outcome of a request and, if it succeeded, its duration.
    pub(crate) fn record_outcome(&self, failed: bool, elapsed_ms: u64, now_ms: u64) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.outlier.record(failed, now_ms);
        if failed {
            return;
        }
        let elapsed_ms = elapsed_ms as f64;
        if stats.mean_ms == 0.0 {
            stats.mean_ms = elapsed_ms;
        }
        stats.mean_ms += MEAN_WEIGHT * (elapsed_ms - stats.mean_ms);
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<EndpointState>);

impl InFlightGuard {
    pub(crate) fn new(endpoint: &Arc<EndpointState>) -> InFlightGuard {
        endpoint.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(endpoint.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
