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

/// What an answer and its rating say.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// The request class.
    pub class: Arc<str>,
    /// The version that answered.
    pub version: Arc<str>,
    /// The version that answered before and was not confident, if any.
    pub escalated_from: Option<Arc<str>>,
    /// The answer's confidence, if it carried one.
    pub confidence: Option<f64>,
    /// The rating, or `None` for an answer that was not rated.
    pub good: Option<bool>,
}

/// What is known of one version in one class.
#[derive(Debug, Clone)]
struct Record {
    overall: Estimate,
    rated: Vec<Estimate>,
    seen: Vec<f64>,
}

impl Record {
    fn new(prior: f64) -> Record {
        Record {
            overall: Estimate::new(prior),
            rated: vec![Estimate::new(prior); CONFIDENCE_BINS],
            seen: vec![0.0; CONFIDENCE_BINS],
        }
    }
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
pub struct Learned {
    records: HashMap<Served, Record>,
    escalated: HashMap<Escalation, Estimate>,
    priors: HashMap<Arc<str>, f64>,
}

/// The prior of a version that is not in the catalogue.
const UNKNOWN_PRIOR: f64 = 0.5;

/// The share of answers that a cascade keeps, and how good those are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Kept {
    /// The share of answers at or above the threshold.
    pub(crate) share: f64,
    /// The share of good answers among them.
    pub(crate) quality: f64,
}

impl Learned {
    /// Sets the prior of a version.
    pub fn set_prior(&mut self, version: &Arc<str>, prior: f64) {
        self.priors.insert(version.clone(), prior);
    }

    /// Takes in an observation.
    pub fn note(&mut self, observation: &Observation) {
        let prior = self.prior(&observation.version);
        if let Some(first) = &observation.escalated_from {
            let first = Served::new(&observation.class, first);
            let key = Escalation {
                first,
                then: observation.version.clone(),
            };
            if let Some(good) = observation.good {
                self.escalated
                    .entry(key)
                    .or_insert_with(|| Estimate::new(prior))
                    .note(good);
            }
            return;
        }
        let key = Served::new(&observation.class, &observation.version);
        let record = self
            .records
            .entry(key)
            .or_insert_with(|| Record::new(prior));
        if let Some(good) = observation.good {
            record.overall.note(good);
        }
        let Some(confidence) = observation.confidence else {
            return;
        };
        let bin = confidence_bin(confidence);
        match observation.good {
            Some(good) => record.rated[bin].note(good),
            None => {
                record.seen.iter_mut().for_each(|count| *count *= BIN_AGING);
                record.seen[bin] += 1.0;
            }
        }
    }

    /// Returns the estimate of a version in a class.
    pub fn quality(&self, class: &str, version: &Arc<str>, prior: f64) -> Estimate {
        let key = Served::new(class, version);
        self.records
            .get(&key)
            .map_or_else(|| Estimate::new(prior), |record| record.overall)
    }

    /// Returns the estimate of a version's answers after another was not confident.
    pub(crate) fn escalated_quality(
        &self,
        class: &str,
        first: &Arc<str>,
        then: &Arc<str>,
    ) -> Option<Estimate> {
        self.escalated
            .get(&Escalation {
                first: Served::new(class, first),
                then: then.clone(),
            })
            .copied()
    }

    /// Returns, for each threshold bin, what a cascade that starts with a version keeps.
    pub(crate) fn kept(&self, class: &str, version: &Arc<str>) -> Option<Vec<Kept>> {
        let record = self.records.get(&Served::new(class, version))?;
        let total: f64 = record.seen.iter().sum();
        if total < MIN_SEEN {
            return None;
        }
        let mut kept = vec![
            Kept {
                share: 0.0,
                quality: 1.0
            };
            CONFIDENCE_BINS + 1
        ];
        let (mut share, mut good) = (0.0, 0.0);
        for bin in (0..CONFIDENCE_BINS).rev() {
            let weight = record.seen[bin] / total;
            share += weight;
            good += weight * record.rated[bin].mean();
            let quality = if share > 0.0 { good / share } else { 1.0 };
            kept[bin] = Kept { share, quality };
        }
        Some(kept)
    }

    fn prior(&self, version: &Arc<str>) -> f64 {
        self.priors.get(version).copied().unwrap_or(UNKNOWN_PRIOR)
    }
}

/// How many answers must be seen before a cascade is planned on their confidence.
const MIN_SEEN: f64 = 20.0;
