//! The sequential tests of a new version during one roll-out.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Incarnation;

use crate::cusum::{Cusum, CusumSettings};
use crate::evidence::{Evidence, OutcomeCounts};

/// The way in which a new version is worse than it should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Regression {
    /// Too many answers were rated bad.
    Quality,
    /// Too many calls failed.
    Failures,
    /// Too many answers were slow.
    Latency,
}

impl Regression {
    /// All regressions, in the order of declaration.
    pub const ALL: [Regression; 3] = [
        Regression::Quality,
        Regression::Failures,
        Regression::Latency,
    ];

    /// Returns a description for logs and for the reason in the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Regression::Quality => "too many answers rated bad",
            Regression::Failures => "too many failed calls",
            Regression::Latency => "too many slow answers",
        }
    }

    /// Returns how many outcomes show the regression and how many do not.
    pub(crate) fn event_counts(self, counts: &OutcomeCounts) -> (u64, u64) {
        match self {
            Regression::Quality => (counts.bad, counts.good),
            Regression::Failures => (counts.failed, counts.answered),
            Regression::Latency => (counts.slow, counts.answered.saturating_sub(counts.slow)),
        }
    }
}

/// The normal shares, the rises to detect and the thresholds of the tests.
///
/// Shares and rises are fractions of the outcomes, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MonitorSettings {
    /// The share of answers of the proven version that are rated bad.
    pub bad_share: f64,
    /// The rise in answers rated bad that must be detected.
    pub quality_rise: f64,
    /// The share of failed calls that is normal.
    pub failed_share: f64,
    /// The rise in failed calls that must be detected.
    pub failure_rise: f64,
    /// The share of slow answers that is normal.
    pub slow_share: f64,
    /// The rise in slow answers that must be detected.
    pub slow_rise: f64,
    /// The evidence, in nats, at which any one test reports a regression.
    pub stop_nats: f64,
    /// The evidence, in nats, that all tests over all classes need for a step to pass.
    pub pass_nats: f64,
}

impl Default for MonitorSettings {
    fn default() -> MonitorSettings {
        MonitorSettings {
            bad_share: 0.1,
            quality_rise: 0.15,
            failed_share: 0.005,
            failure_rise: 0.08,
            slow_share: 0.05,
            slow_rise: 0.25,
            stop_nats: 13.0,
            pass_nats: 3.0,
        }
    }
}

impl MonitorSettings {
    fn cusum(&self, regression: Regression) -> CusumSettings {
        let (normal, rise) = match regression {
            Regression::Quality => (self.bad_share, self.quality_rise),
            Regression::Failures => (self.failed_share, self.failure_rise),
            Regression::Latency => (self.slow_share, self.slow_rise),
        };
        CusumSettings {
            normal_share: normal,
            bad_share: normal + rise,
            threshold_nats: self.stop_nats,
        }
    }
}

/// The result of the tests so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Assessment {
    /// There is not enough evidence either way.
    Undecided,
    /// The step may pass.
    Healthy,
    /// The version must stop, for the regression in the class.
    Regressed(Regression, Arc<str>),
}

/// The class name of the tests over all classes together.
pub(crate) const ALL_CLASSES: &str = "all";

/// The tests of one roll-out, by regression and class.
#[derive(Debug)]
pub struct Monitor {
    settings: MonitorSettings,
    tests: BTreeMap<(Regression, Arc<str>), Cusum>,
    recorded: BTreeMap<Incarnation, Evidence>,
}

impl Monitor {
    /// Starts the tests over all classes; those of single classes start with their first outcome.
    pub fn new(settings: MonitorSettings) -> Monitor {
        let mut monitor = Monitor {
            settings,
            tests: BTreeMap::new(),
            recorded: BTreeMap::new(),
        };
        let all: Arc<str> = ALL_CLASSES.into();
        for regression in Regression::ALL {
            monitor.test_mut(regression, &all);
        }
        monitor
    }

    /// Records an instance's counts, which are totals since its start.
    pub fn record(&mut self, instance: Incarnation, evidence: &Evidence) {
        let all: Arc<str> = ALL_CLASSES.into();
        let mut recorded = self.recorded.remove(&instance).unwrap_or_default();
        for (class, counts) in &evidence.classes {
            let difference = counts.since(recorded.class_mut(class));
            for regression in Regression::ALL {
                let (occurred, absent) = regression.event_counts(&difference);
                if occurred + absent == 0 {
                    continue;
                }
                self.test_mut(regression, class).record(occurred, absent);
                self.test_mut(regression, &all).record(occurred, absent);
            }
        }
        recorded.merge(evidence);
        self.recorded.insert(instance, recorded);
    }

    /// Returns a class in which the version regressed in this way, if there is one.
    pub fn regressed_class(&self, regression: Regression) -> Option<Arc<str>> {
        let mut tests = self.tests.iter();
        let found = tests.find(|((tested, _), test)| *tested == regression && test.is_bad());
        found.map(|((_, class), _)| class.clone())
    }

    /// Returns the result of the tests so far.
    ///
    /// A regression in one class is enough to stop; a step passes on the tests over all classes.
    pub fn assess(&self) -> Assessment {
        for ((regression, class), test) in &self.tests {
            if test.is_bad() {
                return Assessment::Regressed(*regression, class.clone());
            }
        }
        let is_normal = |test: &Cusum| test.normal_evidence() >= self.settings.pass_nats;
        let passes = |(key, test): (&(Regression, Arc<str>), &Cusum)| {
            &*key.1 != ALL_CLASSES || is_normal(test)
        };
        if self.tests.iter().all(passes) {
            Assessment::Healthy
        } else {
            Assessment::Undecided
        }
    }

    /// Requires new evidence before the next step passes.
    pub fn begin_step(&mut self) {
        self.tests.values_mut().for_each(Cusum::begin_step);
    }

    /// Returns the sums over all instances, by class.
    pub fn evidence(&self) -> Evidence {
        let mut sum = Evidence::default();
        for evidence in self.recorded.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Returns the sums over all instances and classes.
    pub fn total(&self) -> OutcomeCounts {
        self.evidence().total()
    }

    fn test_mut(&mut self, regression: Regression, class: &Arc<str>) -> &mut Cusum {
        let settings = self.settings.cusum(regression);
        self.tests
            .entry((regression, class.clone()))
            .or_insert_with(|| Cusum::new(settings))
    }
}
