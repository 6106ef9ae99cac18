//! Tracks roll-outs: their phases, the counts that all instances report, and regressions.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use kernel::Incarnation;
use rollout::{
    Assessment, Evidence, Monitor, MonitorSettings, OutcomeCounts, Phase, Regression,
    SustainedSlowness, TimedRolloutSettings, is_worse,
};
use serve::{RolloutStage, RolloutView};
use wire::VersionReport;

use crate::convert::evidence_from_wire;

/// The evidence, in nats, at which a version is withdrawn: three failures in a row are enough. The
/// operator accepts a share of all requests on a bad version, plus a few dozen.
const WITHDRAW_NATS: f64 = 5.0;

/// The share of failed calls that is normal on days with faults.
const BASELINE_FAILED_SHARE: f64 = 0.03;

/// The share of slow answers that is normal on days with faults: good versions had 0 to 0.08.
const BASELINE_SLOW_SHARE: f64 = 0.05;

/// The smallest rise in the share of slow answers to detect: a third of the calls of a bad version
/// are slow, and half of all answers are too short to show it.
const MIN_SLOW_RISE: f64 = 0.2;

/// The smallest rise in the share of failed calls to detect.
const MIN_FAILURE_RISE: f64 = 0.2;

const MS_PER_S: f64 = 1_000.0;

fn outcomes_on_others(report: &VersionReport) -> u64 {
    let total = evidence_from_wire(&report.on_other_versions).total();
    total.answered + total.failed
}

/// A symptom in which the target is worse than the other versions, with the counts of both.
struct DetectedRegression {
    symptom: Regression,
    class: Arc<str>,
    new: OutcomeCounts,
    old: OutcomeCounts,
}

impl fmt::Display for DetectedRegression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DetectedRegression {
            symptom,
            class,
            new,
            old,
        } = self;
        write!(
            f,
            "{} in {class}: {} failed and {} slow of {}, on the other version {} and {} of {}",
            symptom.as_str(),
            new.failed,
            new.slow,
            new.answered + new.failed,
            old.failed,
            old.slow,
            old.answered + old.failed,
        )
    }
}

/// The state of one roll-out on this instance.
pub(crate) struct RolloutTracker {
    pub(crate) target: Arc<str>,
    pub(crate) phase: Phase,
    /// The share of the duration that had passed at `base_ms`, the time from which this instance
    /// counts, in milliseconds.
    base_share: f64,
    base_ms: u64,
    /// Since when the next step has been pending without an instance performing it, in
    /// milliseconds.
    pub(crate) pending_since_ms: Option<u64>,
    /// The share of the traffic during the trial that the instances agreed on.
    pub(crate) trial_share: Option<f64>,
    pub(crate) monitor: Monitor,
    reports: HashMap<Incarnation, VersionReport>,
    /// The outcomes on other versions in the first report of each instance.
    first_counts: HashMap<Incarnation, u64>,
    /// When this instance learned of the roll-out, in milliseconds.
    learned_ms: u64,
    slowness: SustainedSlowness,
    /// Whether the target seems to have regressed, but not for long enough to withdraw it.
    pub(crate) is_suspect: bool,
}

/// All roll-outs, by service.
#[derive(Default)]
pub(crate) struct RolloutTrackers {
    pub(crate) by_service: HashMap<Arc<str>, RolloutTracker>,
}

impl RolloutTrackers {
    /// Returns the target and stage of a service's roll-out, as requests are routed by them.
    pub(crate) fn view(
        &self,
        service: &str,
        settings: &TimedRolloutSettings,
    ) -> Option<RolloutView> {
        let tracker = self.by_service.get(service)?;
        let stage = match tracker.phase {
            Phase::Waiting => RolloutStage::Trial(0.0),
            Phase::Trial => {
                RolloutStage::Trial(tracker.trial_share.unwrap_or(settings.trial_share))
            }
            Phase::Half => RolloutStage::Ramping(0.5),
            Phase::All => RolloutStage::Ramping(1.0),
            Phase::Done => RolloutStage::Done,
            Phase::Withdrawn => RolloutStage::Withdrawn,
        };
        Some(RolloutView {
            target: tracker.target.clone(),
            stage,
        })
    }

    /// Records the reports of an instance, except those for another target.
    pub(crate) fn record_reports(&mut self, from: Incarnation, reports: &[VersionReport]) {
        for report in reports {
            let Some(tracker) = self.by_service.get_mut(report.service.as_str()) else {
                continue;
            };
            if *tracker.target != *report.version {
                continue;
            }
            tracker
                .monitor
                .record(from, &evidence_from_wire(&report.on_version));
            let count = outcomes_on_others(report);
            tracker.first_counts.entry(from).or_insert(count);
            tracker.reports.insert(from, report.clone());
        }
    }
}

impl RolloutTracker {
    pub(crate) fn new(target: &Arc<str>, now_ms: u64) -> RolloutTracker {
        let settings = MonitorSettings {
            failed_share: BASELINE_FAILED_SHARE,
            failure_rise: MIN_FAILURE_RISE,
            slow_share: BASELINE_SLOW_SHARE,
            slow_rise: MIN_SLOW_RISE,
            stop_nats: WITHDRAW_NATS,
            ..MonitorSettings::default()
        };
        RolloutTracker {
            target: target.clone(),
            phase: Phase::Waiting,
            base_share: 0.0,
            base_ms: now_ms,
            pending_since_ms: None,
            trial_share: None,
            first_counts: HashMap::new(),
            learned_ms: now_ms,
            monitor: Monitor::new(settings),
            reports: HashMap::new(),
            slowness: SustainedSlowness::default(),
            is_suspect: false,
        }
    }

    /// Enters a phase that was agreed when `agreed_share` of the duration had passed.
    pub(crate) fn enter(&mut self, phase: Phase, agreed_share: f64, duration_ms: u64, now_ms: u64) {
        self.phase = phase;
        // The instance that saw the spec first has the most accurate elapsed share, which is the
        // larger one.
        if agreed_share > self.elapsed_share(duration_ms, now_ms) {
            self.base_share = agreed_share;
            self.base_ms = now_ms;
        }
    }

    /// Returns the share of the duration that has passed; above 1 when the time is over.
    pub(crate) fn elapsed_share(&self, duration_ms: u64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.base_ms);
        self.base_share + elapsed_ms as f64 / duration_ms.max(1) as f64
    }

    /// Returns the requests per second on the other versions since this instance learned of the
    /// roll-out, summed over all instances.
    pub(crate) fn requests_per_s(&self, now_ms: u64) -> f64 {
        let mut requests = 0;
        for (instance, report) in &self.reports {
            let first = self.first_counts.get(instance).copied();
            requests += outcomes_on_others(report).saturating_sub(first.unwrap_or_default());
        }
        let elapsed_ms = now_ms.saturating_sub(self.learned_ms).max(1);
        requests as f64 * MS_PER_S / elapsed_ms as f64
    }

    /// Returns the outcomes on the other versions by class, summed over all instances.
    pub(crate) fn other_versions(&self) -> Evidence {
        let mut sum = Evidence::default();
        for report in self.reports.values() {
            sum.add(&evidence_from_wire(&report.on_other_versions));
        }
        sum
    }

    /// Returns the outcomes on the other versions, summed over all instances and classes.
    pub(crate) fn other_versions_total(&self) -> OutcomeCounts {
        self.other_versions().total()
    }

    /// Returns why the target must be withdrawn, if it must. Slowness counts only once it lasts.
    pub(crate) fn fault(&mut self, now_ms: u64) -> Option<String> {
        if matches!(self.phase, Phase::Done | Phase::Withdrawn) {
            return None;
        }
        let regression = self.detect_regression();
        self.is_suspect = regression.is_some();
        let is_slow = regression
            .as_ref()
            .is_some_and(|regression| regression.symptom == Regression::Latency);
        let lasts = self.slowness.update(is_slow, self.phase, now_ms);
        let regression = regression.filter(|_| lasts || !is_slow)?;
        Some(regression.to_string())
    }

    /// Returns a regression that the monitor found and the other versions do not share.
    fn detect_regression(&self) -> Option<DetectedRegression> {
        let Assessment::Regressed(symptom, class) = self.monitor.assess() else {
            return None;
        };
        let regression = DetectedRegression {
            symptom,
            class,
            new: self.monitor.total(),
            old: self.other_versions_total(),
        };
        is_worse(symptom, &regression.new, &regression.old).then_some(regression)
    }

    /// Returns the number of calls running on the other versions, over all instances.
    pub(crate) fn running_on_old(&self) -> u64 {
        self.reports
            .values()
            .map(|report| report.running_on_other_versions)
            .sum()
    }
}
