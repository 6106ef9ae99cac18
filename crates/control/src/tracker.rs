//! Tracks roll-outs: their phases, the counts that all instances report, and regressions.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use kernel::Incarnation;
use rollout::{
    Comparison, Evidence, Judgement, Monitor, MonitorSettings, OldCalls, OldCallsBound,
    OldCallsReport, OutcomeCounts, Phase, Regression, SustainedSlowness, TimedRolloutSettings,
    VersionTest, is_worse,
};
use serve::{RolloutStage, RolloutView};
use wire::VersionReport;

use crate::convert::evidence_from_wire;

/// The evidence, in nats, at which the share of slow answers counts as raised.
const SLOW_NATS: f64 = 5.0;

/// The share of slow answers that is normal on days with faults: good versions had 0 to 0.08.
const BASELINE_SLOW_SHARE: f64 = 0.05;

/// The smallest rise in the share of slow answers to detect: a third of the calls of a bad version
/// are slow, and half of all answers are too short to show it.
const MIN_SLOW_RISE: f64 = 0.2;

/// The outcomes on the other versions that are enough to compare a new version with.
const MIN_RECENT_OUTCOMES: u64 = 150;

/// Time after a move in which requests that were placed before it begin their calls, in milliseconds.
const SETTLE_MS: u64 = 200;

const MS_PER_S: f64 = 1_000.0;

/// A symptom in which the target is worse than the other versions, with the counts of both.
struct DetectedRegression {
    symptom: Regression,
    class: Arc<str>,
    /// The evidence of the comparison that found it, in nats.
    worse_nats: Option<f64>,
    new: OutcomeCounts,
    old: OutcomeCounts,
}

impl fmt::Display for DetectedRegression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DetectedRegression {
            symptom,
            class,
            worse_nats,
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
        )?;
        worse_nats.map_or(Ok(()), |nats| write!(f, ", evidence {nats:.1} nats"))
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
    /// When this instance moved all new calls to the target, in milliseconds.
    moved_ms: Option<u64>,
    old_calls: OldCalls,
    /// When this instance last asked each other one for a report, in milliseconds.
    pub(crate) asked_ms: HashMap<Incarnation, u64>,
    /// The instances that were awaited at the last check.
    pub(crate) awaited_count: Option<usize>,
    /// The outcomes on other versions in the first report of each instance, which are of the time
    /// before the roll-out.
    before: HashMap<Incarnation, Evidence>,
    /// When this instance learned of the roll-out, in milliseconds.
    learned_ms: u64,
    slowness: SustainedSlowness,
    /// Whether the target seems to have regressed, but not for long enough to withdraw it.
    pub(crate) is_suspect: bool,
    test: VersionTest,
    /// The target's worst comparison with the other versions so far, if there are outcomes.
    pub(crate) comparison: Option<Comparison>,
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
            Phase::All | Phase::Draining => RolloutStage::Ramping(1.0),
            Phase::Done => RolloutStage::Done,
            Phase::Withdrawn => RolloutStage::Withdrawn,
        };
        Some(RolloutView {
            target: tracker.target.clone(),
            stage,
        })
    }

    /// Records the reports of an instance that were received now, except those for another target.
    pub(crate) fn record_reports(
        &mut self,
        from: Incarnation,
        reports: &[VersionReport],
        now_ms: u64,
    ) {
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
            let others = evidence_from_wire(&report.on_other_versions);
            tracker.before.entry(from).or_insert(others);
            let old_calls = OldCallsReport {
                running: report.running_on_other_versions,
                lost_if_ended: report.lost_if_ended,
                has_moved: report.has_moved,
            };
            tracker.old_calls.record(from, old_calls, now_ms);
            tracker.reports.insert(from, report.clone());
        }
    }
}

impl RolloutTracker {
    pub(crate) fn new(target: &Arc<str>, now_ms: u64) -> RolloutTracker {
        let settings = MonitorSettings {
            slow_share: BASELINE_SLOW_SHARE,
            slow_rise: MIN_SLOW_RISE,
            stop_nats: SLOW_NATS,
            ..MonitorSettings::default()
        };
        RolloutTracker {
            target: target.clone(),
            phase: Phase::Waiting,
            base_share: 0.0,
            base_ms: now_ms,
            pending_since_ms: None,
            trial_share: None,
            before: HashMap::new(),
            learned_ms: now_ms,
            monitor: Monitor::new(settings),
            reports: HashMap::new(),
            moved_ms: None,
            old_calls: OldCalls::default(),
            asked_ms: HashMap::new(),
            awaited_count: None,
            slowness: SustainedSlowness::default(),
            is_suspect: false,
            test: VersionTest::default(),
            comparison: None,
        }
    }

    /// Enters a phase that was agreed when `agreed_share` of the duration had passed.
    pub(crate) fn enter(&mut self, phase: Phase, agreed_share: f64, duration_ms: u64, now_ms: u64) {
        self.phase = phase;
        if phase >= Phase::All {
            self.moved_ms.get_or_insert(now_ms);
        }
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
        let total = self.other_versions_since_learned().total();
        let requests = total.answered + total.failed;
        let elapsed_ms = now_ms.saturating_sub(self.learned_ms).max(1);
        requests as f64 * MS_PER_S / elapsed_ms as f64
    }

    /// Returns the outcomes on the other versions by class, summed over all instances.
    ///
    /// Those since this instance learned of the roll-out are of the same time as those on the target.
    /// An instance that learned of it late has too few of them and takes all.
    pub(crate) fn other_versions(&self) -> Evidence {
        let recent = self.other_versions_since_learned();
        let total = recent.total();
        if total.answered + total.failed >= MIN_RECENT_OUTCOMES {
            return recent;
        }
        let mut sum = Evidence::default();
        for report in self.reports.values() {
            sum.add(&evidence_from_wire(&report.on_other_versions));
        }
        sum
    }

    fn other_versions_since_learned(&self) -> Evidence {
        let mut sum = Evidence::default();
        for (instance, report) in &self.reports {
            let mut counts = evidence_from_wire(&report.on_other_versions);
            if let Some(before) = self.before.get(instance) {
                counts = counts.since(before);
            }
            sum.add(&counts);
        }
        sum
    }

    /// Returns the outcomes on the other versions, summed over all instances and classes.
    pub(crate) fn other_versions_total(&self) -> OutcomeCounts {
        self.other_versions().total()
    }

    /// Returns what the outcomes on all versions permit; without outcomes, no step is ruled out.
    pub(crate) fn judgement(&self) -> Judgement {
        let comparison = self.comparison.as_ref();
        comparison.map_or(Judgement::Acceptable, Comparison::judgement)
    }

    /// Returns why the target must be withdrawn, if it must. Slowness of one endpoint counts only once
    /// it lasts.
    pub(crate) fn fault(&mut self, now_ms: u64) -> Option<String> {
        if matches!(self.phase, Phase::Done | Phase::Withdrawn) {
            return None;
        }
        let new = self.monitor.evidence();
        if !new.classes.is_empty() {
            let comparison = self.test.update(&new, &self.other_versions(), now_ms);
            self.comparison = Some(comparison);
        }
        let slowness = self.detect_slowness();
        self.is_suspect = slowness.is_some();
        let lasts = self.slowness.update(self.is_suspect, self.phase, now_ms);
        let regression = slowness
            .filter(|_| lasts)
            .or_else(|| self.detect_regression())?;
        Some(regression.to_string())
    }

    /// Returns a regression by which the target must be withdrawn at once.
    fn detect_regression(&self) -> Option<DetectedRegression> {
        let comparison = self.comparison.as_ref()?;
        if comparison.judgement() < Judgement::Regressed {
            return None;
        }
        Some(DetectedRegression {
            symptom: comparison.symptom,
            class: comparison.class.clone(),
            worse_nats: Some(comparison.worse_nats),
            new: self.monitor.total(),
            old: self.other_versions_total(),
        })
    }

    /// Returns that too many answers are slow, if they are and the other versions do not share it.
    fn detect_slowness(&self) -> Option<DetectedRegression> {
        let symptom = Regression::Latency;
        let regression = DetectedRegression {
            symptom,
            class: self.monitor.regressed_class(symptom)?,
            worse_nats: None,
            new: self.monitor.total(),
            old: self.other_versions_total(),
        };
        is_worse(symptom, &regression.new, &regression.old).then_some(regression)
    }

    /// Returns whether this instance starts no more calls on the other versions.
    pub(crate) fn has_moved(&self, now_ms: u64) -> bool {
        self.moved_ms
            .is_some_and(|moved_ms| now_ms >= moved_ms + SETTLE_MS)
    }

    /// Returns the reports on calls on the other versions.
    pub(crate) fn old_calls(&self) -> &OldCalls {
        &self.old_calls
    }

    /// Returns what bounds the wait for these calls, of which none takes longer than `longest_call_ms`.
    pub(crate) fn old_calls_bound(&self, longest_call_ms: u64, now_ms: u64) -> OldCallsBound {
        OldCallsBound {
            moved_ms: self.moved_ms.unwrap_or(now_ms),
            longest_call_ms,
        }
    }
}
