//! Estimates of the quality of versions, from ratings and from the confidence of answers.

use std::collections::HashMap;
use std::sync::Arc;

use crate::estimate::Estimate;

/// The number of confidence bins.
pub const CONFIDENCE_BINS: usize = 10;

/// The factor on the weight of earlier answers in the bins with each new one.
const BIN_DECAY: f64 = 0.998;

/// Returns the index of the bin of a confidence from 0 to 1.
pub fn confidence_bin(confidence: f64) -> usize {
    ((confidence * CONFIDENCE_BINS as f64) as usize).min(CONFIDENCE_BINS - 1)
}

/// An answer that a cascade did not keep, so that another version ran.
#[derive(Debug, Clone, PartialEq)]
pub struct EscalatedAnswer {
    /// The version that answered.
    pub version: Arc<str>,
    /// The confidence of the answer, from 0 to 1.
    pub confidence: f64,
}

/// One answer, either when it is given or when its rating arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// The request class.
    pub class: Arc<str>,
    /// The version that answered.
    pub version: Arc<str>,
    /// The earlier answer of the request, if that one was not kept.
    pub escalated_from: Option<EscalatedAnswer>,
    /// The answer's confidence from 0 to 1, if it carried one.
    pub confidence: Option<f64>,
    /// Whether the answer was rated good, or `None` for an answer without a rating.
    pub good: Option<bool>,
}

/// The estimates of one version in one class.
#[derive(Debug, Clone, Default)]
struct VersionEstimates {
    overall: Estimate,
    /// The estimates by the confidence of the rated answer.
    by_confidence: [Estimate; CONFIDENCE_BINS],
    /// The decayed number of answers by their confidence.
    answers: [f64; CONFIDENCE_BINS],
}

/// A version in a request class.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClassVersion {
    class: Arc<str>,
    version: Arc<str>,
}

impl ClassVersion {
    fn new(class: &str, version: &Arc<str>) -> ClassVersion {
        ClassVersion {
            class: class.into(),
            version: version.clone(),
        }
    }
}

/// A pair of versions of which the second runs if the first is not confident.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Escalation {
    first: ClassVersion,
    then: Arc<str>,
}

/// The quality estimates for the policy of one workspace.
#[derive(Debug, Clone, Default)]
pub struct QualityEstimates {
    versions: HashMap<ClassVersion, VersionEstimates>,
    escalated: HashMap<Escalation, [Estimate; CONFIDENCE_BINS]>,
}

/// The expected result of a cascade.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CascadeForecast {
    /// The share of first answers that the cascade keeps.
    pub(crate) kept_share: f64,
    /// The share of good answers.
    pub(crate) quality: f64,
}

/// The shares of good answers that are expected before any rating, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CascadePriors {
    /// The prior of the first version.
    pub(crate) first: f64,
    /// The prior of the second version for requests of which the first is not confident.
    pub(crate) then: f64,
}

impl QualityEstimates {
    /// Records an answer or its rating.
    pub fn record(&mut self, observation: &Observation) {
        if let Some(first) = &observation.escalated_from {
            let bin = confidence_bin(first.confidence);
            let first = ClassVersion::new(&observation.class, &first.version);
            let key = Escalation {
                first,
                then: observation.version.clone(),
            };
            if let Some(good) = observation.good {
                self.escalated.entry(key).or_default()[bin].record(good);
            }
            return;
        }
        let key = ClassVersion::new(&observation.class, &observation.version);
        let estimates = self.versions.entry(key).or_default();
        if let Some(good) = observation.good {
            estimates.overall.record(good);
        }
        let Some(confidence) = observation.confidence else {
            return;
        };
        let bin = confidence_bin(confidence);
        match observation.good {
            Some(good) => estimates.by_confidence[bin].record(good),
            None => {
                estimates
                    .answers
                    .iter_mut()
                    .for_each(|count| *count *= BIN_DECAY);
                estimates.answers[bin] += 1.0;
            }
        }
    }

    /// Returns the estimate of a version in a class.
    pub fn quality(&self, class: &str, version: &Arc<str>) -> Estimate {
        let estimates = self.versions.get(&ClassVersion::new(class, version));
        estimates.map_or_else(Estimate::default, |estimates| estimates.overall)
    }

    /// Returns the forecast of a cascade of two versions for each bin as its threshold.
    ///
    /// Returns `None` if too few answers of the first version are recorded.
    pub(crate) fn cascade_forecasts(
        &self,
        class: &str,
        first: &Arc<str>,
        then: &Arc<str>,
        priors: CascadePriors,
    ) -> Option<Vec<CascadeForecast>> {
        let class_version = ClassVersion::new(class, first);
        let estimates = self.versions.get(&class_version)?;
        let total: f64 = estimates.answers.iter().sum();
        if total < MIN_ANSWERS {
            return None;
        }
        let key = Escalation {
            first: class_version,
            then: then.clone(),
        };
        let escalated = self.escalated.get(&key).copied().unwrap_or_default();
        let overall = estimates.overall.mean(priors.first);
        let mut forecasts = Vec::with_capacity(CONFIDENCE_BINS + 1);
        for threshold in 0..=CONFIDENCE_BINS {
            let mut forecast = CascadeForecast {
                kept_share: 0.0,
                quality: 0.0,
            };
            for (bin, estimate) in escalated.iter().enumerate() {
                let weight = estimates.answers[bin] / total;
                if bin >= threshold {
                    forecast.kept_share += weight;
                    forecast.quality += weight * estimates.by_confidence[bin].mean(overall);
                } else {
                    forecast.quality += weight * estimate.mean(priors.then);
                }
            }
            forecasts.push(forecast);
        }
        Some(forecasts)
    }
}

/// The minimum decayed number of answers before a cascade is planned on their confidence.
const MIN_ANSWERS: f64 = 20.0;
