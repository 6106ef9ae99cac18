//! Faults that are switched on and off at run time.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Faults of the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose response is an error.
    pub lose_answers: u64,
    /// Listings are those that `ObjectStore::capture_stale_list` saved.
    pub stale_list: bool,
    /// Every watch fails as expired.
    pub expire_watches: bool,
    /// Callers whose calls fail with status 503, by the value of their `x-caller` header.
    pub cut_off: Vec<String>,
    /// Delay from the submission of a sample to its rating, in milliseconds.
    pub rating_lag_ms: u64,
}

/// How an endpoint handles a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// Runs the call and answers.
    #[default]
    None,
    /// Refuses with 503 and the header that says the call was not started.
    Refuse,
    /// Like `Refuse`, with the header that says the endpoint is leaving.
    Leaving,
    /// Breaks the connection without running the call.
    ResetBeforeRun,
    /// Runs the call, then breaks the connection.
    ResetAfterRun,
    /// Runs the call, then answers 500.
    ErrorAfterRun,
    /// Answers 500 without running the call.
    ErrorBeforeRun,
    /// Runs the call and breaks the connection half-way through the response.
    CutHalf,
    /// Answers with the identifier of another call.
    WrongId,
    /// Sends the response twice.
    Twice,
    /// Sends the response head but never the body.
    Hang,
}

/// Faults of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// How it handles a call.
    pub fault: EndpointFault,
    /// Number of calls to which the fault applies; 0 for all.
    pub calls: u64,
    /// Extra time per token or service call, in milliseconds.
    pub slow_ms: u64,
}

/// All faults of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultConfig {
    /// Faults of the platform.
    pub platform: PlatformFaults,
    /// Faults of endpoints, by endpoint name.
    pub endpoints: BTreeMap<String, EndpointFaults>,
    /// Share of good answers by version, where it differs from the declared prior.
    pub quality: BTreeMap<String, f64>,
    /// Endpoints that the instance list shows as leaving, as `pool/endpoint`.
    pub leaving: Vec<String>,
}

impl FaultConfig {
    /// Sets the share of good answers of a version, from 0 to 1.
    pub fn set_quality(&mut self, version: &str, share: f64) {
        self.quality.insert(version.to_owned(), share);
    }
}

/// Holds the active faults.
#[derive(Debug, Default)]
pub struct FaultInjector {
    config: Mutex<FaultConfig>,
    next_call_only: AtomicBool,
}

impl FaultInjector {
    /// Returns a copy of the active faults.
    pub fn get(&self) -> FaultConfig {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes the active faults.
    pub fn change(&self, change: impl FnOnce(&mut FaultConfig)) {
        change(&mut self.config.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the faults of an endpoint for one call and counts that call against their limit.
    pub fn consume(&self, endpoint: &str) -> EndpointFaults {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(faults) = config.endpoints.get_mut(endpoint) else {
            return EndpointFaults::default();
        };
        let taken = faults.clone();
        if self.next_call_only.swap(false, Ordering::SeqCst) {
            config.endpoints.clear();
            return taken;
        }
        if faults.calls == 1 {
            faults.fault = EndpointFault::None;
        }
        faults.calls = faults.calls.saturating_sub(1);
        taken
    }

    /// Limits the endpoint faults to the next call at any faulty endpoint, which clears them all.
    pub fn limit_to_next_call(&self) {
        self.next_call_only.store(true, Ordering::SeqCst);
    }

    /// Returns whether the response to a write is lost, and counts the write.
    pub fn consume_lost_answer(&self) -> bool {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        let lost = config.platform.lose_answers > 0;
        config.platform.lose_answers = config.platform.lose_answers.saturating_sub(1);
        lost
    }
}
