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
