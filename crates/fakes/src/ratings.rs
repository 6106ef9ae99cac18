//! A rating service that reads the mark that the stand-in engines leave in their answers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use store::{AnswerSample, Rating};

use crate::completion;

#[derive(Debug)]
struct Entry {
    good: bool,
    submitted_ms: u64,
}

/// The ratings, by sample.
#[derive(Debug, Default)]
pub(crate) struct Ratings {
    entries: Mutex<HashMap<Arc<str>, Entry>>,
}

impl Ratings {
    /// Takes in samples.
    pub(crate) fn submit(&self, samples: &[AnswerSample], now_ms: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for sample in samples {
            let good = completion::is_good(&sample.answer);
            entries.insert(
                sample.id.clone(),
                Entry {
                    good,
                    submitted_ms: now_ms,
                },
            );
        }
    }

    /// Returns the ratings that are ready after a lag, in milliseconds.
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
