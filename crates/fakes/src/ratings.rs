//! Fake rating service: rates answers by the marker word that the fake engines write into them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use store::{AnswerSample, Rating};

use crate::completion;

#[derive(Debug)]
struct Submission {
    good: bool,
    submitted_ms: u64,
}

/// Submitted samples that have not been returned as ratings yet, by sample identifier.
#[derive(Debug, Default)]
pub(crate) struct Ratings {
    entries: Mutex<HashMap<Arc<str>, Submission>>,
}

impl Ratings {
    /// Accepts samples for rating.
    pub(crate) fn submit(&self, samples: &[AnswerSample], now_ms: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for sample in samples {
            let good = completion::is_good(&sample.answer);
            entries.insert(
                sample.id.clone(),
                Submission {
                    good,
                    submitted_ms: now_ms,
                },
            );
        }
    }

    /// Returns and removes the ratings of samples submitted at least `lag_ms` milliseconds ago.
    pub(crate) fn poll(&self, ids: &[Arc<str>], lag_ms: u64, now_ms: u64) -> Vec<Rating> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rated = Vec::new();
        for id in ids {
            if entries
                .get(id)
                .is_none_or(|entry| entry.submitted_ms + lag_ms > now_ms)
            {
                continue;
            }
            if let Some(entry) = entries.remove(id) {
                rated.push(Rating {
                    id: id.clone(),
                    good: entry.good,
                });
            }
        }
        rated
    }
}
