//! What ratings taught about versions and about the confidence that answers carry.

use std::collections::HashMap;
use std::sync::Arc;

use crate::estimate::Estimate;

/// The number of confidence bins.
pub const CONFIDENCE_BINS: usize = 10;

/// The factor by which each answer ages the earlier ones in the bins.
const BIN_AGING: f64 = 0.998;

/// Returns the bin of a confidence from 0 to 1.
pub fn confidence_bin(confidence: f64) -> usize {
    ((confidence * CONFIDENCE_BINS as f64) as usize).min(CONFIDENCE_BINS - 1)
}

/// The answer that a cascade did not keep.
#[derive(Debug, Clone, PartialEq)]
pub struct EscalatedAnswer {
    /// The version that gave it.
    pub version: Arc<str>,
    /// Its confidence.
    pub confidence: f64,
}

/// What an answer and its rating say.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// The request class.
    pub class: Arc<str>,
    /// The version that answered.
    pub version: Arc<str>,
    /// The answer before, if that one was not confident.
    pub escalated_from: Option<EscalatedAnswer>,
    /// The answer's confidence, if it carried one.
    pub confidence: Option<f64>,
    /// The rating, or `None` for an answer that was not rated.
    pub good: Option<bool>,
}

/// What is known of one version in one class.
#[derive(Debug, Clone, Default)]
struct Record {
    overall: Estimate,
    rated: [Estimate; CONFIDENCE_BINS],
    seen: [f64; CONFIDENCE_BINS],
}

/// A version in a class.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Served {
    class: Arc<str>,
    version: Arc<str>,
}

impl Served {
    fn new(class: &str, version: &Arc<str>) -> Served {
        Served {
            class: class.into(),
            version: version.clone(),
        }
    }
}

/// A version that answers what another was not sure of.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Escalation {
    first: Served,
    then: Arc<str>,
}

/// The knowledge of one workspace's policy.
#[derive(Debug, Clone, Default)]
pub struct QualityEstimates {
    records: HashMap<Served, Record>,
    escalated: HashMap<Escalation, [Estimate; CONFIDENCE_BINS]>,
}

/// What a cascade is expected to do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CascadeForecast {
    /// The share of first answers that it keeps.
    pub(crate) kept_share: f64,
    /// The share of good answers.
    pub(crate) quality: f64,
}

/// The shares of good answers that are expected before any rating.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CascadePriors {
    /// Of the first version.
    pub(crate) first: f64,
    /// Of the second version where the first is not sure.
    pub(crate) then: f64,
}

impl QualityEstimates {
    /// Takes in an observation.
    pub fn record(&mut self, observation: &Observation) {
        if let Some(first) = &observation.escalated_from {
            let bin = confidence_bin(first.confidence);
            let first = Served::new(&observation.class, &first.version);
            let key = Escalation {
                first,
                then: observation.version.clone(),
            };
            if let Some(good) = observation.good {
                self.escalated.entry(key).or_default()[bin].record(good);
            }
            return;
        }
        let key = Served::new(&observation.class, &observation.version);
        let record = self.records.entry(key).or_default();
        if let Some(good) = observation.good {
            record.overall.record(good);
        }
        let Some(confidence) = observation.confidence else {
            return;
        };
        let bin = confidence_bin(confidence);
        match observation.good {
            Some(good) => record.rated[bin].record(good),
            None => {
                record.seen.iter_mut().for_each(|count| *count *= BIN_AGING);
                record.seen[bin] += 1.0;
            }
        }
    }

    /// Returns the estimate of a version in a class.
    pub fn quality(&self, class: &str, version: &Arc<str>) -> Estimate {
        let record = self.records.get(&Served::new(class, version));
        record.map_or_else(Estimate::default, |record| record.overall)
    }

    /// Returns, for each threshold bin, what a cascade of two versions keeps and gets.
    ///
    /// The priors are those of the first version, and of the second where the first was not sure.
    pub(crate) fn cascades(
        &self,
        class: &str,
        first: &Arc<str>,
        then: &Arc<str>,
        priors: CascadePriors,
    ) -> Option<Vec<CascadeForecast>> {
        let served = Served::new(class, first);
        let record = self.records.get(&served)?;
        let total: f64 = record.seen.iter().sum();
        if total < MIN_SEEN {
            return None;
        }
        let key = Escalation {
            first: served,
            then: then.clone(),
        };
        let escalated = self.escalated.get(&key).copied().unwrap_or_default();
        let overall = record.overall.mean(priors.first);
        let mut cascades = Vec::with_capacity(CONFIDENCE_BINS + 1);
        for threshold in 0..=CONFIDENCE_BINS {
            let mut cascade = CascadeForecast {
                kept_share: 0.0,
                quality: 0.0,
            };
            for (bin, unsure) in escalated.iter().enumerate() {
                let weight = record.seen[bin] / total;
                if bin >= threshold {
                    cascade.kept_share += weight;
                    cascade.quality += weight * record.rated[bin].mean(overall);
                } else {
                    cascade.quality += weight * unsure.mean(priors.then);
                }
            }
            cascades.push(cascade);
        }
        Some(cascades)
    }
}

/// How many answers must be seen before a cascade is planned on their confidence.
const MIN_SEEN: f64 = 20.0;
