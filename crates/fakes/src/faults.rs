//! The switches for faults.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// What is wrong with the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call gets its connection closed.
    pub down: bool,
    /// Every call waits this long, in milliseconds.
    pub slow_ms: u64,
    /// This many writes take effect and get no answer.
    pub lose_answers: u64,
    /// Listings are those of the moment when the switch was set.
    pub stale_list: bool,
    /// Watches are answered as expired.
    pub expire_watches: bool,
    /// Callers on these TCP ports get their connections closed; callers name their port in the
    /// `x-caller` header.
    pub cut_off: Vec<String>,
    /// How long ratings take, in milliseconds.
    pub rating_lag_ms: u64,
}

/// What an endpoint does with a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// It answers.
    #[default]
    None,
    /// It refuses and says that it did not start.
    Refuse,
    /// It refuses since it is leaving.
    Leaving,
    /// It closes the connection before it runs the call.
    ResetBeforeRun,
    /// It runs the call and closes the connection.
    ResetAfterRun,
    /// It runs the call and answers 500.
    ErrorAfterRun,
    /// It answers 500 and does not run the call.
    ErrorBeforeRun,
    /// It cuts the answer half-way.
    CutHalf,
    /// It answers under another call's identifier.
    WrongId,
    /// It sends the answer twice.
    Twice,
    /// It never answers.
    Hang,
}

/// What is wrong with one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// What it does with a call.
    pub fault: EndpointFault,
    /// How many calls that concerns; 0 for all.
    pub calls: u64,
    /// How much longer each token or call takes, in milliseconds.
    pub slow_ms: u64,
}

/// All switches.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultConfig {
    /// The platform's.
    pub platform: PlatformFaults,
    /// The endpoints', by name.
    pub endpoints: BTreeMap<String, EndpointFaults>,
    /// The share of good answers of a version, where it differs from the declared prior.
    pub quality: BTreeMap<String, f64>,
    /// Endpoints that the instance list shows as leaving.
    pub leaving: Vec<String>,
}

impl FaultConfig {
    /// Sets the share of good answers of a version.
    pub fn set_quality(&mut self, version: &str, share: f64) {
        self.quality.insert(version.to_owned(), share);
    }
}

/// The switches in force.
#[derive(Debug, Default)]
pub struct FaultInjector {
    set: Mutex<FaultConfig>,
    once: AtomicBool,
}

impl FaultInjector {
    /// Returns the switches.
    pub fn get(&self) -> FaultConfig {
        self.set
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes the switches.
    pub fn change(&self, change: impl FnOnce(&mut FaultConfig)) {
        change(&mut self.set.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the fault of one endpoint and uses up one call of it.
    pub fn consume(&self, endpoint: &str) -> EndpointFaults {
        let mut set = self.set.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(faults) = set.endpoints.get_mut(endpoint) else {
            return EndpointFaults::default();
        };
        let taken = faults.clone();
        if self.once.swap(false, Ordering::SeqCst) {
            set.endpoints.clear();
            return taken;
        }
        if faults.calls == 1 {
            faults.fault = EndpointFault::None;
        }
        faults.calls = faults.calls.saturating_sub(1);
        taken
    }

    /// Lets the endpoints' faults show once over all of them.
    pub fn limit_to_next_call(&self) {
        self.once.store(true, Ordering::SeqCst);
    }

    /// Returns whether a write's answer is to be lost, and uses up one.
    pub fn consume_lost_answer(&self) -> bool {
        let mut set = self.set.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = set.platform.lose_answers > 0;
        set.platform.lose_answers = set.platform.lose_answers.saturating_sub(1);
        loses
    }
}
