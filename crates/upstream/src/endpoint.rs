//! What an instance knows of one endpoint.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use limits::{EndpointView, OutlierDetector};

/// The weight of the latest call in the mean time of calls.
const TIME_WEIGHT: f64 = 0.1;

/// The running state of one endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// The name.
    pub name: Arc<str>,
    /// The address.
    pub addr: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    in_flight: AtomicU32,
    reported: AtomicU32,
    in_flight_at_report: AtomicU32,
    leaving: AtomicBool,
    record: Mutex<Record>,
}

#[derive(Debug, Default)]
struct Record {
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
            reported: AtomicU32::new(0),
            in_flight_at_report: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            record: Mutex::default(),
        }
    }

    /// Notes that the endpoint is leaving, which is never taken back.
    pub fn set_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::SeqCst)
    }

    /// Returns whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the requests in flight from this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the mean time of a call, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .mean_ms
    }

    /// Returns what the choice of an endpoint looks at.
    pub(crate) fn view(&self, zone: &str, pool_mean_ms: f64, now_ms: u64) -> EndpointView {
        let record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        let known = record.mean_ms > 0.0 && pool_mean_ms > 0.0;
        EndpointView {
            slots: self.slots,
            in_flight: self.in_flight(),
            reported_load: self.reported.load(Ordering::Relaxed),
            in_flight_at_report: self.in_flight_at_report.load(Ordering::Relaxed),
            latency_ratio: if known {
                record.mean_ms / pool_mean_ms
            } else {
                1.0
            },
            same_zone: &*self.zone == zone,
            serving: !self.is_leaving(),
            health: record.outlier.health(now_ms),
        }
    }

    /// Takes in a load report of the form `running;queued`.
    pub(crate) fn report(&self, text: &str) {
        let sum = text
            .split(';')
            .filter_map(|part| part.trim().parse::<u32>().ok())
            .sum();
        self.reported.store(sum, Ordering::Relaxed);
        self.in_flight_at_report
            .store(self.in_flight(), Ordering::Relaxed);
    }

    /// Takes in the outcome of a call.
    pub(crate) fn note(&self, failed: bool, elapsed_ms: u64, now_ms: u64) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.outlier.record(failed, now_ms);
        if failed {
            return;
        }
        let elapsed_ms = elapsed_ms as f64;
        if record.mean_ms == 0.0 {
            record.mean_ms = elapsed_ms;
        }
        record.mean_ms += TIME_WEIGHT * (elapsed_ms - record.mean_ms);
    }
}

/// Counts a call as in flight while it lives.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<EndpointState>);

impl InFlight {
    pub(crate) fn new(endpoint: &Arc<EndpointState>) -> InFlight {
        endpoint.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(endpoint.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
