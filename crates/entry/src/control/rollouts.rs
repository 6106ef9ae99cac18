//! Control of roll-outs.
//!
//! The instance that ranks highest for a roll-out coordinates it. Its writes are conditional on the
//! status that it read, so an instance that resumes after a pause cannot overwrite a newer status.

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
use wire::{Body, Envelope, EvidenceReport};

use crate::control::state::ControlState;
use crate::control::{endpoint_commands, gossip};

/// Checks all roll-outs at every roll-out interval.
pub(super) async fn run(control: Rc<ControlState>) {
    let interval = Duration::from_millis(control.shared.settings.rollout_interval_ms);
    let mut reported: HashMap<Arc<str>, Evidence> = HashMap::new();
    loop {
        Timer::after(interval).await;
        let snapshot = control.shared.view.load().snapshot.clone();
        for rollout in snapshot.rollouts.values() {
            if !is_open(&snapshot, rollout, control.shared.clock.wall_ms()) {
                continue;
            }
            check_local_evidence(&control, &snapshot, rollout);
            let coordinator = highest_ranked(
                &format!("rollout/{}", rollout.name),
                &control.table.borrow().live(),
            )
            .cloned();
            match coordinator {
                Some(coordinator) if coordinator.incarnation != control.shared.incarnation => {
                    control
                        .rollouts
                        .borrow_mut()
                        .controllers
                        .remove(&rollout.name);
                    report_evidence(&control, rollout, &coordinator.peer_addr, &mut reported).await;
                }
                _ => coordinate(&control, &snapshot, rollout).await,
            }
        }
    }
}

/// The time for which a version is monitored after the last step.
const MONITOR_AFTER_DONE_MS: u64 = 1_800_000;

/// Returns whether a roll-out is running, or is monitored after its last step.
fn is_open(snapshot: &Snapshot, rollout: &Rollout, now_ms: u64) -> bool {
    let open = |status: &RolloutStatus| match status.phase {
        RolloutPhase::Running => true,
        RolloutPhase::Done => now_ms < status.changed_ms + MONITOR_AFTER_DONE_MS,
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

/// Returns the settings of a monitor, with the share of bad answers expected of the proven version.
fn monitor_settings(snapshot: &Snapshot, rollout: &Rollout) -> MonitorSettings {
    let prior = snapshot
        .versions
        .get(&rollout.from)
        .map_or(0.9, |version| version.quality_prior);
    MonitorSettings {
        bad_share: 1.0 - prior,
        ..MonitorSettings::default()
    }
}

/// Stops a version at this instance at once if the local evidence alone shows a regression.
fn check_local_evidence(control: &ControlState, snapshot: &Snapshot, rollout: &Rollout) {
    let mut rollouts = control.rollouts.borrow_mut();
    let Some(evidence) = rollouts.evidence.get(&rollout.name).cloned() else {
        return;
    };
    let settings = monitor_settings(snapshot, rollout);
    let monitor = rollouts
        .local
        .entry(rollout.name.clone())
        .or_insert_with(|| Monitor::new(settings));
    monitor.record(control.shared.incarnation, &evidence);
    let Assessment::Regressed(symptom, class) = monitor.assess() else {
        return;
    };
    if rollouts.stopped_locally.insert(rollout.name.clone()) {
        tracing::warn!(
            "rollout: {} stopped at this instance, {} in class '{class}'",
            rollout.name,
            symptom.as_str()
        );
        control.mark_view_outdated();
    }
}

/// Sends the local evidence to the coordinator if it changed since the last accepted report.
async fn report_evidence(
    control: &ControlState,
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
    let envelope = control.shared.identity.envelope(Body::Evidence(body));
    let timeout = Duration::from_millis(control.shared.settings.gossip_timeout_ms);
    let Ok(mut link) = control.shared.connect_peer(addr, timeout).await else {
        return;
    };
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

/// Decides on the next status of a roll-out and writes it.
async fn coordinate(control: &Rc<ControlState>, snapshot: &Snapshot, rollout: &Rollout) {
    let path = format!("{ROLLOUT_STATUS_PREFIX}{}", rollout.name);
    let held = control.replica.borrow().get(&path).cloned();
    let held = held.filter(|object| object.value.is_some());
    let status = snapshot.rollout_statuses.get(&rollout.name);
    let next = match status {
        None if !load_target(control, snapshot, rollout).await => None,
        None => Some(new_status(control, RolloutPhase::Running, 0, "began")),
        Some(status) => next_status(control, snapshot, rollout, status),
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
            control.apply_objects(vec![Object {
                path: path.into(),
                revision,
                value: Some(value),
            }]);
            gossip::push_config(control).await;
        }
        Err(err) => tracing::warn!("rollout: status of {} not written, {err}", rollout.name),
    }
}

/// Makes the endpoints load the unproven version.
async fn load_target(control: &ControlState, snapshot: &Snapshot, rollout: &Rollout) -> bool {
    match snapshot.versions.get(&rollout.to) {
        Some(version) => endpoint_commands::load_version(control, snapshot, version).await,
        None => false,
    }
}

fn next_status(
    control: &ControlState,
    snapshot: &Snapshot,
    rollout: &Rollout,
    status: &RolloutStatus,
) -> Option<RolloutStatus> {
    let settings = monitor_settings(snapshot, rollout);
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
        StepAction::Advance(index) => Some(new_status(
            control,
            RolloutPhase::Running,
            index,
            "the step before passed",
        )),
        StepAction::Finish => Some(new_status(
            control,
            RolloutPhase::Done,
            status.step,
            "all steps passed",
        )),
        StepAction::Stop(reason) => Some(new_status(
            control,
            RolloutPhase::Stopped,
            status.step,
            &reason,
        )),
    }
}

fn new_status(
    control: &ControlState,
    phase: RolloutPhase,
    step: usize,
    reason: &str,
) -> RolloutStatus {
    RolloutStatus {
        phase,
        step,
        reason: reason.to_owned(),
        changed_ms: control.shared.clock.wall_ms(),
    }
}
