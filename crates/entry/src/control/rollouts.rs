//! The control of roll-outs.
//!
//! Whichever instance ranks first moves a roll-out along. Its writes are conditional on the status
//! it read, so that one that was paused and resumes changes nothing that moved on meanwhile.

use ::control::evidence_to_wire;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use catalog::{
    Object, ROLLOUT_STATUS_PREFIX, Rollout, RolloutPhase, RolloutStatus, Snapshot, VersionState,
};
use member::highest_ranked;
use rollout::{
    Assessment, Evidence, Monitor, MonitorSettings, StepAction, StepController, StepState,
};
use smol::Timer;
use store::{ObjectApi, Precondition};
use wire::{Body, Envelope, EvidenceReport, Link};

use crate::control::state::Control;
use crate::control::{gossip, orders};

/// Looks after roll-outs at the set interval.
pub(super) async fn run(control: Rc<Control>) {
    let interval = Duration::from_millis(control.shared.settings.rollout_interval_ms);
    let mut reported: HashMap<Arc<str>, Evidence> = HashMap::new();
    loop {
        Timer::after(interval).await;
        let snapshot = control.shared.view.load().snapshot.clone();
        for rollout in snapshot.rollouts.values() {
            if !is_open(&snapshot, rollout, control.shared.clock.wall_ms()) {
                continue;
            }
            judge_here(&control, &snapshot, rollout);
            let first = highest_ranked(
                &format!("rollout/{}", rollout.name),
                &control.table.borrow().live(),
            )
            .cloned();
            match first {
                Some(first) if first.incarnation != control.shared.incarnation => {
                    control
                        .rollouts
                        .borrow_mut()
                        .controllers
                        .remove(&rollout.name);
                    report(&control, rollout, &first.peer_addr, &mut reported).await;
                }
                _ => step(&control, &snapshot, rollout).await,
            }
        }
    }
}

/// How long a version is watched after the last step, in milliseconds.
const DONE_WATCH_MS: u64 = 1_800_000;

/// Returns whether a roll-out is still to be moved along, or watched after its last step.
fn is_open(snapshot: &Snapshot, rollout: &Rollout, now_ms: u64) -> bool {
    let open = |status: &RolloutStatus| match status.phase {
        RolloutPhase::Running => true,
        RolloutPhase::Done => now_ms < status.changed_ms + DONE_WATCH_MS,
        RolloutPhase::Stopped => false,
    };
    let version = snapshot.versions.get(&rollout.to);
    let usable = version.is_some_and(|version| version.state != VersionState::Withdrawn);
    usable
        && snapshot
            .rollout_statuses
            .get(&rollout.name)
            .is_none_or(open)
}

/// Sets the tests by what the proven version is known to do.
fn test_settings(snapshot: &Snapshot, rollout: &Rollout) -> MonitorSettings {
    let prior = snapshot
        .versions
        .get(&rollout.from)
        .map_or(0.9, |version| version.quality_prior);
    MonitorSettings {
        bad_share: 1.0 - prior,
        ..MonitorSettings::default()
    }
}

/// Stops a version at this instance at once when own evidence is enough.
fn judge_here(control: &Control, snapshot: &Snapshot, rollout: &Rollout) {
    let mut rollouts = control.rollouts.borrow_mut();
    let Some(evidence) = rollouts.evidence.get(&rollout.name).cloned() else {
        return;
    };
    let settings = test_settings(snapshot, rollout);
    let monitor = rollouts
        .local
        .entry(rollout.name.clone())
        .or_insert_with(|| Monitor::new(settings));
    monitor.record(control.shared.incarnation, &evidence);
    let Assessment::Regressed(symptom, class) = monitor.assess() else {
        return;
    };
    if rollouts.stopped_here.insert(rollout.name.clone()) {
        tracing::warn!(
            "rollout: {} stopped here, {} in class '{class}'",
            rollout.name,
            symptom.as_str()
        );
        control.touch();
    }
}

/// Sends own evidence to the instance that moves the roll-out.
async fn report(
    control: &Control,
    rollout: &Rollout,
    addr: &str,
    reported: &mut HashMap<Arc<str>, Evidence>,
) {
    let evidence = control
        .rollouts
        .borrow()
        .evidence
        .get(&rollout.name)
        .cloned();
    let Some(evidence) = evidence.filter(|evidence| reported.get(&rollout.name) != Some(evidence))
    else {
        return;
    };
    let Ok(addr) = addr.parse() else {
        return;
    };
    let body = EvidenceReport {
        rollout: rollout.name.to_string(),
        classes: evidence_to_wire(&evidence),
    };
    let envelope = Envelope::new(control.shared.incarnation.as_u64(), Body::Evidence(body));
    let timeout = Duration::from_millis(control.shared.settings.gossip_timeout_ms);
    let Ok(link) = Link::connect(addr, timeout).await else {
        return;
    };
    let mut link = link.metered(&control.shared.peer_bytes);
    let answer = link.call(&envelope, timeout).await;
    if let Ok(Envelope {
        body: Some(Body::AcceptReply(held)),
        ..
    }) = answer
        && held.accepted
    {
        reported.insert(rollout.name.clone(), evidence);
    }
}

/// Moves a roll-out along.
async fn step(control: &Rc<Control>, snapshot: &Snapshot, rollout: &Rollout) {
    let path = format!("{ROLLOUT_STATUS_PREFIX}{}", rollout.name);
    let held = control.replica.borrow().get(&path).cloned();
    let held = held.filter(|object| object.value.is_some());
    let status = snapshot.rollout_statuses.get(&rollout.name);
    let next = match status {
        None if !load_first(control, snapshot, rollout).await => None,
        None => Some(status_of(control, RolloutPhase::Running, 0, "began")),
        Some(status) => advance(control, snapshot, rollout, status),
    };
    let Some(next) = next else {
        return;
    };
    let expect = held.map_or(Precondition::Absent, |object| {
        Precondition::Revision(object.revision)
    });
    let value = serde_json::to_value(&next).unwrap_or_default();
    match control.shared.platform.put(&path, &value, expect).await {
        Ok(revision) => {
            tracing::info!(
                "rollout: {} step {} {:?}, {}",
                rollout.name,
                next.step,
                next.phase,
                next.reason
            );
            control.take_objects(vec![Object {
                path: path.into(),
                revision,
                value: Some(value),
            }]);
            gossip::push(control).await;
        }
        Err(err) => tracing::warn!("rollout: {} not written, {err}", rollout.name),
    }
}

/// Has the endpoints load the unproven version.
async fn load_first(control: &Control, snapshot: &Snapshot, rollout: &Rollout) -> bool {
    match snapshot.versions.get(&rollout.to) {
        Some(version) => orders::load(control, snapshot, version).await,
        None => false,
    }
}

fn advance(
    control: &Control,
    snapshot: &Snapshot,
    rollout: &Rollout,
    status: &RolloutStatus,
) -> Option<RolloutStatus> {
    let settings = test_settings(snapshot, rollout);
    let mut rollouts = control.rollouts.borrow_mut();
    let own = rollouts
        .evidence
        .get(&rollout.name)
        .cloned()
        .unwrap_or_default();
    let controller = rollouts
        .controllers
        .entry(rollout.name.clone())
        .or_insert_with(|| StepController::new(settings));
    controller.monitor.record(control.shared.incarnation, &own);
    let step = StepState {
        index: status.step,
        count: rollout.steps.len(),
        since_ms: status.changed_ms,
        min_ms: rollout.min_step_ms,
        paused: rollout.paused,
        done: status.phase == RolloutPhase::Done,
    };
    match controller.next_action(step, control.shared.clock.wall_ms()) {
        StepAction::Wait => None,
        StepAction::Advance(index) => Some(status_of(
            control,
            RolloutPhase::Running,
            index,
            "the step before passed",
        )),
        StepAction::Finish => Some(status_of(
            control,
            RolloutPhase::Done,
            status.step,
            "all steps passed",
        )),
        StepAction::Stop(reason) => Some(status_of(
            control,
            RolloutPhase::Stopped,
            status.step,
            &reason,
        )),
    }
}

fn status_of(control: &Control, phase: RolloutPhase, step: usize, reason: &str) -> RolloutStatus {
    RolloutStatus {
        phase,
        step,
        reason: reason.to_owned(),
        changed_ms: control.shared.clock.wall_ms(),
    }
}
