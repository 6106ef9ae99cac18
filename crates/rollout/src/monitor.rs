//! The sequential tests of one roll-out.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Incarnation;

use crate::cusum::{Cusum, CusumSettings};
use crate::evidence::{Evidence, OutcomeCounts};

/// What went wrong with a version.
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
    /// All symptoms.
    pub const ALL: [Regression; 3] = [
        Regression::Quality,
        Regression::Failures,
        Regression::Latency,
    ];

    /// Returns a phrase for people.
    pub fn as_str(self) -> &'static str {
        match self {
            Regression::Quality => "too many answers rated bad",
            Regression::Failures => "too many failed calls",
            Regression::Latency => "too many slow answers",
        }
    }

    /// Returns how often the symptom showed and how often it did not.
    pub(crate) fn split(self, counts: &OutcomeCounts) -> (u64, u64) {
        match self {
            Regression::Quality => (counts.bad, counts.good),
            Regression::Failures => (counts.failed, counts.answered),
            Regression::Latency => (counts.slow, counts.answered.saturating_sub(counts.slow)),
        }
    }
}

/// What the tests take for normal and for bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MonitorSettings {
    /// The share of bad answers of the proven version.
    pub bad_share: f64,
    /// The rise in bad answers that must be found.
    pub quality_rise: f64,
    /// The share of failed calls that is normal.
    pub failed_share: f64,
    /// The rise in failed calls that must be found.
    pub failure_rise: f64,
    /// The share of slow answers that is normal.
    pub slow_share: f64,
    /// The rise in slow answers that must be found.
    pub slow_rise: f64,
    /// The evidence, in nats, at which one test stops the version.
    pub stop_nats: f64,
    /// The evidence, in nats, at which a step passes.
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
    fn cusum(&self, symptom: Regression) -> CusumSettings {
        let (normal, rise) = match symptom {
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

/// What the tests say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Assessment {
    /// Neither is sure yet.
    Undecided,
    /// The step may pass.
    Healthy,
    /// The version must stop, for the symptom in the class.
    Regressed(Regression, Arc<str>),
}

/// The class name under which all classes are tested together.
const ALL_CLASSES: &str = "all";

/// The tests of one roll-out, by symptom and class.
#[derive(Debug)]
pub struct Monitor {
    settings: MonitorSettings,
    tests: BTreeMap<(Regression, Arc<str>), Cusum>,
    seen: BTreeMap<Incarnation, Evidence>,
}

impl Monitor {
    /// Starts the tests.
    pub fn new(settings: MonitorSettings) -> Monitor {
        let mut monitor = Monitor {
            settings,
            tests: BTreeMap::new(),
            seen: BTreeMap::new(),
        };
        let all: Arc<str> = ALL_CLASSES.into();
        for symptom in Regression::ALL {
            monitor.test(symptom, &all);
        }
        monitor
    }

    /// Takes in an instance's counts, which are sums since its start.
    pub fn record(&mut self, instance: Incarnation, evidence: &Evidence) {
        let all: Arc<str> = ALL_CLASSES.into();
        let mut held = self.seen.remove(&instance).unwrap_or_default();
        for (class, counts) in &evidence.classes {
            let since = counts.since(held.class_mut(class));
            for symptom in Regression::ALL {
                let (happened, absent) = symptom.split(&since);
                if happened + absent == 0 {
                    continue;
                }
                self.test(symptom, class).record(happened, absent);
                self.test(symptom, &all).record(happened, absent);
            }
        }
        held.merge(evidence);
        self.seen.insert(instance, held);
    }

    /// Returns what the tests say now.
    pub fn assess(&self) -> Assessment {
        for ((symptom, class), test) in &self.tests {
            if test.is_bad() {
                return Assessment::Regressed(*symptom, class.clone());
            }
        }
        let enough = |test: &Cusum| test.normal_evidence() >= self.settings.pass_nats;
        let overall =
            |(key, test): (&(Regression, Arc<str>), &Cusum)| &*key.1 != ALL_CLASSES || enough(test);
        if self.tests.iter().all(overall) {
            Assessment::Healthy
        } else {
            Assessment::Undecided
        }
    }

    /// Asks for new evidence before the next step passes.
    pub fn begin_step(&mut self) {
        self.tests.values_mut().for_each(Cusum::begin_step);
    }

    /// Returns the sums over all instances.
    pub fn total(&self) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for evidence in self.seen.values() {
            let total = evidence.total();
            sum.good += total.good;
            sum.bad += total.bad;
            sum.answered += total.answered;
            sum.failed += total.failed;
            sum.slow += total.slow;
        }
        sum
    }

    fn test(&mut self, symptom: Regression, class: &Arc<str>) -> &mut Cusum {
        let settings = self.settings.cusum(symptom);
        self.tests
            .entry((symptom, class.clone()))
            .or_insert_with(|| Cusum::new(settings))
    }
}
