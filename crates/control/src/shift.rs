//! What this instance saw of the versions that traffic moves to.

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
/// operator bears a share of all requests on a bad version, and a few dozen besides.
const STOP_NATS: f64 = 5.0;

/// The share of failed calls that is normal on days with trouble.
const NORMAL_FAILED_SHARE: f64 = 0.03;

/// The share of slow answers that is normal on days with trouble: good versions showed 0 to 0.08.
const NORMAL_SLOW_SHARE: f64 = 0.05;

/// The rise in slow answers that must be found: a third of the calls of a bad version are slow, and
/// half of all answers are too short to show it.
const SLOW_RISE: f64 = 0.2;

/// The rise in failed calls that must be found.
const FAILURE_RISE: f64 = 0.2;

/// A symptom that a version shows, with the counts that tell it.
struct Suspicion {
    symptom: Regression,
    class: Arc<str>,
    new: OutcomeCounts,
    old: OutcomeCounts,
}

impl fmt::Display for Suspicion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Suspicion {
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

/// One roll-out as this instance sees it.
pub(crate) struct Track {
    pub(crate) target: Arc<str>,
    pub(crate) phase: Phase,
    /// The part of the time that was over when this instance learned of the phase, and when it did.
    base_share: f64,
    since_ms: u64,
    /// Since when something is due that nobody has done, in milliseconds.
    pub(crate) due_since_ms: Option<u64>,
    pub(crate) monitor: Monitor,
    reports: HashMap<Incarnation, VersionReport>,
    slowness: SustainedSlowness,
}

/// All roll-outs, by service.
#[derive(Default)]
pub(crate) struct Shifts {
    pub(crate) tracks: HashMap<Arc<str>, Track>,
}

impl Shifts {
    /// Returns what requests see of a service's roll-out.
    pub(crate) fn view(
        &self,
        service: &str,
        settings: &TimedRolloutSettings,
    ) -> Option<RolloutView> {
        let track = self.tracks.get(service)?;
        let stage = match track.phase {
            Phase::Waiting => RolloutStage::Trial(0.0),
            Phase::Trial => RolloutStage::Trial(settings.trial_share),
            Phase::Half => RolloutStage::Ramping(0.5),
            Phase::All => RolloutStage::Ramping(1.0),
            Phase::Done => RolloutStage::Done,
            Phase::Withdrawn => RolloutStage::Withdrawn,
        };
        Some(RolloutView {
            target: track.target.clone(),
            stage,
        })
    }

    /// Takes what a peer saw.
    pub(crate) fn note(&mut self, from: Incarnation, reports: &[VersionReport]) {
        for report in reports {
            let Some(track) = self.tracks.get_mut(report.service.as_str()) else {
                continue;
            };
            if *track.target != *report.version {
                continue;
            }
            track
                .monitor
                .record(from, &evidence_from_wire(&report.on_version));
            track.reports.insert(from, report.clone());
        }
    }
}

impl Track {
    pub(crate) fn new(target: &Arc<str>, now_ms: u64) -> Track {
        let settings = MonitorSettings {
            failed_share: NORMAL_FAILED_SHARE,
            failure_rise: FAILURE_RISE,
            slow_share: NORMAL_SLOW_SHARE,
            slow_rise: SLOW_RISE,
            stop_nats: STOP_NATS,
            ..MonitorSettings::default()
        };
        Track {
            target: target.clone(),
            phase: Phase::Waiting,
            base_share: 0.0,
            since_ms: now_ms,
            due_since_ms: None,
            monitor: Monitor::new(settings),
            reports: HashMap::new(),
            slowness: SustainedSlowness::default(),
        }
    }

    /// Enters a phase that was agreed when this part of the time was over.
    pub(crate) fn enter(&mut self, phase: Phase, agreed_share: f64, duration_ms: u64, now_ms: u64) {
        self.phase = phase;
        // Who learned of the order early knows better how much time is over.
        if agreed_share > self.elapsed_share(duration_ms, now_ms) {
            self.base_share = agreed_share;
            self.since_ms = now_ms;
        }
    }

    pub(crate) fn elapsed_share(&self, duration_ms: u64, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.since_ms);
        self.base_share + since_ms as f64 / duration_ms.max(1) as f64
    }

    /// Returns the outcomes on the other versions, all instances together.
    pub(crate) fn besides(&self) -> OutcomeCounts {
        let mut sum = Evidence::default();
        let class: Arc<str> = "all".into();
        for report in self.reports.values() {
            let total = evidence_from_wire(&report.besides).total();
            let held = sum.class_mut(&class);
            held.answered += total.answered;
            held.failed += total.failed;
            held.slow += total.slow;
        }
        sum.total()
    }

    /// Returns why the version is bad, if it is.
    pub(crate) fn fault(&mut self, now_ms: u64) -> Option<String> {
        if matches!(self.phase, Phase::Done | Phase::Withdrawn) {
            return None;
        }
        let suspicion = self.suspicion();
        let is_slow = suspicion
            .as_ref()
            .is_some_and(|suspicion| suspicion.symptom == Regression::Latency);
        let lasts = self.slowness.update(is_slow, self.phase, now_ms);
        let suspicion = suspicion.filter(|_| lasts || !is_slow)?;
        Some(suspicion.to_string())
    }

    /// Returns what a test found that is worse than on the other versions.
    fn suspicion(&self) -> Option<Suspicion> {
        let Assessment::Regressed(symptom, class) = self.monitor.assess() else {
            return None;
        };
        let suspicion = Suspicion {
            symptom,
            class,
            new: self.monitor.total(),
            old: self.besides(),
        };
        is_worse(symptom, &suspicion.new, &suspicion.old).then_some(suspicion)
    }

    pub(crate) fn running_on_old(&self) -> u64 {
        self.reports
            .values()
            .map(|report| report.running_besides)
            .sum()
    }
}
