//! Lengths of answers and times per event, learned from the streams of this instance.
//!
//! It is meant for loads in which slow endpoints cut answers at their deadlines: streams that are
//! still being written or are cut count as well, which an average over finished ones leaves out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use policy::{AnswerLength, LengthEstimate, LogEstimate};

use crate::baseline::BaselineKey;

/// Time in which a pace counts as known for refusing requests, in milliseconds. Requests that are
/// refused bring no samples, so that an old pace must not refuse further ones.
const FRESH_MS: u64 = 5_000;

/// Requests whose answers have similar lengths.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LengthKey {
    pub(crate) route: Arc<str>,
    /// Index of the model size in the route, and name of the workspace.
    pub(crate) size: Option<usize>,
    pub(crate) workspace: Option<Arc<str>>,
}

impl LengthKey {
    /// Returns the key of all requests of the route.
    fn of_route(&self) -> LengthKey {
        LengthKey {
            route: self.route.clone(),
            size: None,
            workspace: None,
        }
    }
}

/// Tokens that a caller names.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NamedTokens {
    /// What it expects, if it says so.
    pub(crate) hint: Option<u32>,
    /// The largest number that it allows, 0 if it names none.
    pub(crate) max: u32,
}

/// The time per event of one size of a service.
#[derive(Debug, Default)]
struct Pace {
    event_ms: LogEstimate,
    updated_ms: u64,
}

/// The median time per event and the standard deviation of its logarithm.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownPace {
    pub(crate) event_ms: f64,
    pub(crate) spread: f64,
    /// Whether a stream showed it lately.
    pub(crate) is_fresh: bool,
}

/// What the streams of this instance show of lengths and paces.
#[derive(Debug, Default)]
pub(crate) struct RunBook {
    lengths: RefCell<HashMap<LengthKey, LengthEstimate>>,
    paces: RefCell<HashMap<BaselineKey, Pace>>,
}

impl RunBook {
    /// Records the events of a whole answer, or of one that was cut.
    pub(crate) fn record_length(
        &self,
        key: LengthKey,
        events: u32,
        hint: Option<u32>,
        is_whole: bool,
    ) {
        let mut lengths = self.lengths.borrow_mut();
        for key in [key.of_route(), key] {
            let estimate = lengths.entry(key).or_default();
            if is_whole {
                estimate.record(events, hint);
            } else {
                estimate.record_cut(events, hint);
            }
        }
    }

    /// Returns the expected length of an answer, by the most specific requests of which enough are
    /// known, or `None` if there are none.
    pub(crate) fn length(&self, key: &LengthKey, tokens: NamedTokens) -> Option<AnswerLength> {
        let lengths = self.lengths.borrow();
        let length_of = |key: &LengthKey| lengths.get(key)?.length(tokens.hint, tokens.max);
        length_of(key).or_else(|| length_of(&key.of_route()))
    }

    /// Records the mean time per event of a stream so far, in milliseconds.
    pub(crate) fn record_pace(&self, key: &BaselineKey, event_ms: f64, now_ms: u64) {
        let mut paces = self.paces.borrow_mut();
        let pace = paces.entry(key.clone()).or_default();
        pace.event_ms.record(event_ms);
        pace.updated_ms = now_ms;
    }

    pub(crate) fn pace(&self, key: &BaselineKey, now_ms: u64) -> Option<KnownPace> {
        let paces = self.paces.borrow();
        let pace = paces.get(key)?;
        Some(KnownPace {
            event_ms: pace.event_ms.median()?,
            spread: pace.event_ms.spread(),
            is_fresh: now_ms < pace.updated_ms + FRESH_MS,
        })
    }
}
