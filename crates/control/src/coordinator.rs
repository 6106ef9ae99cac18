//! Coordinates roll-outs: reads their state from the store, decides the next step, and picks the
//! instance that writes it.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use catalog::Object;
use member::{Member, rank};
use rollout::{Phase, TimedRolloutState, next_phase};
use serde::{Deserialize, Serialize};
use store::{Precondition, StoreError};

use crate::codec::{Feed, RolloutSpec, RolloutState};
use crate::draining;
use crate::reports;
use crate::state::{Control, STATUS_SUFFIX};
use crate::tracker::RolloutTracker;

/// How long an instance waits for each one ranked before it, in milliseconds, as those may have
/// lost the store. Writes are conditional, so two instances that act at once do no harm.
const RANK_DELAY_MS: u64 = 600;

/// The quantiles of answer times that are logged.
const MEDIAN: f64 = 0.5;
const HIGH_QUANTILE: f64 = 0.9;

/// The phase of a roll-out that the instances agreed on, as written to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct AgreedPhase {
    target: String,
    phase: String,
    /// The share of the roll-out's duration that had passed when the phase began.
    elapsed_share: f64,
    /// The share of the traffic during the trial; absent in phases of earlier builds.
    #[serde(default)]
    trial_share: Option<f64>,
}

const PHASES: [(Phase, &str); 7] = [
    (Phase::Waiting, "waiting"),
    (Phase::Trial, "trial"),
    (Phase::Half, "half"),
    (Phase::All, "all"),
    (Phase::Draining, "draining"),
    (Phase::Done, "done"),
    (Phase::Withdrawn, "withdrawn"),
];

fn phase_name(phase: Phase) -> &'static str {
    let row = PHASES.iter().find(|row| row.0 == phase);
    row.map_or("waiting", |row| row.1)
}

fn phase_from_name(name: &str) -> Phase {
    let row = PHASES.iter().find(|row| row.1 == name);
    row.map_or(Phase::Waiting, |row| row.0)
}

/// A roll-out with its status and its agreed phase, as read from the store.
struct RolloutRecord {
    spec: RolloutSpec,
    path: String,
    state: Option<RolloutState>,
    status_revision: u64,
    agreed: Option<AgreedPhase>,
    agreed_path: String,
    agreed_revision: Option<u64>,
}

fn list_rollouts(control: &Control) -> Vec<RolloutRecord> {
    let replica = control.replica.borrow();
    let prefix = control.codec.prefix(Feed::Rollouts);
    let phases_prefix = control.codec.prefix(Feed::Shifts);
    let mut found = Vec::new();
    for object in replica.live() {
        let is_spec = object.path.starts_with(prefix) && !object.path.ends_with(STATUS_SUFFIX);
        if !is_spec {
            continue;
        }
        // Logged when the object changes.
        let Ok(spec) = control.codec.decode_rollout(object) else {
            continue;
        };
        let status = replica.get(&format!("{}{STATUS_SUFFIX}", object.path));
        let state = status
            .and_then(|status| status.value.as_ref())
            .and_then(|value| control.codec.decode_rollout_state(value, &spec.target));
        let agreed_path = format!("{phases_prefix}{}", spec.service);
        let agreed_object = replica.get(&agreed_path);
        found.push(RolloutRecord {
            path: object.path.to_string(),
            state,
            status_revision: status.map_or(object.revision, |status| {
                status.revision.max(object.revision)
            }),
            agreed: agreed_object.and_then(read_agreed),
            agreed_revision: agreed_object
                .filter(|object| object.value.is_some())
                .map(|object| object.revision),
            agreed_path,
            spec,
        });
    }
    found
}

fn read_agreed(object: &Object) -> Option<AgreedPhase> {
    serde_json::from_value(object.value.clone()?).ok()
}

/// How often the roll-outs are evaluated. A bad version reaches few callers in that time.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Evaluates the roll-outs at a fixed interval.
pub(crate) async fn run(control: Rc<Control>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        advance_all(&control, &executor).await;
    }
}

/// Evaluates all roll-outs and performs the next step of each.
async fn advance_all(control: &Rc<Control>, executor: &LocalExecutor<'static>) {
    let local_reports = reports::local_reports(control);
    let now_ms = control.now_ms();
    control
        .trackers
        .borrow_mut()
        .record_reports(control.incarnation, &local_reports, now_ms);
    for record in list_rollouts(control) {
        sync_tracker(control, &record);
        if let Some(why) = detect_fault(control, &record.spec) {
            withdraw(control, &record, &why).await;
            continue;
        }
        if waits_for_old_calls(control, &record.spec) {
            draining::ask(control, executor, &record.spec.service, &record.path);
        }
        advance_rollout(control, &record).await;
    }
}

/// Updates the local tracker of a roll-out from the store's state.
fn sync_tracker(control: &Control, record: &RolloutRecord) {
    let now_ms = control.now_ms();
    let spec = &record.spec;
    let mut trackers = control.trackers.borrow_mut();
    let tracker = trackers.by_service.get(&spec.service);
    let is_tracked = tracker.is_some_and(|tracker| tracker.target == spec.target);
    if !is_tracked {
        tracing::info!(
            service = &*spec.service,
            target = &*spec.target,
            duration_ms = spec.duration_ms,
            "rollout: learned of"
        );
        trackers.by_service.insert(
            spec.service.clone(),
            RolloutTracker::new(&spec.target, now_ms),
        );
    }
    let Some(tracker) = trackers.by_service.get_mut(&spec.service) else {
        return;
    };
    let before = tracker.phase;
    match record.state {
        Some(RolloutState::Succeeded) => tracker.phase = Phase::Done,
        Some(RolloutState::RolledBack) => tracker.phase = Phase::Withdrawn,
        Some(RolloutState::Running) | None => {
            if let Some(agreed) = &record.agreed
                && *agreed.target == *spec.target
                && phase_from_name(&agreed.phase) > tracker.phase
            {
                let phase = phase_from_name(&agreed.phase);
                tracker.trial_share = agreed.trial_share;
                tracker.enter(phase, agreed.elapsed_share, spec.duration_ms, now_ms);
            }
        }
    }
    let after = tracker.phase;
    drop(trackers);
    if before != after {
        tracing::info!(
            service = &*spec.service,
            phase = phase_name(after),
            "rollout: moved"
        );
    }
    if before != after || !is_tracked {
        control.publish();
    }
}

fn detect_fault(control: &Control, spec: &RolloutSpec) -> Option<String> {
    let now_ms = control.now_ms();
    let mut trackers = control.trackers.borrow_mut();
    trackers.by_service.get_mut(&spec.service)?.fault(now_ms)
}

fn waits_for_old_calls(control: &Control, spec: &RolloutSpec) -> bool {
    let trackers = control.trackers.borrow();
    let tracker = trackers.by_service.get(&spec.service);
    tracker.is_some_and(|tracker| matches!(tracker.phase, Phase::All | Phase::Draining))
}

/// Stops traffic to a version on this instance at once, then writes the rollback to the store.
async fn withdraw(control: &Control, record: &RolloutRecord, why: &str) {
    let spec = &record.spec;
    if let Some(tracker) = control
        .trackers
        .borrow_mut()
        .by_service
        .get_mut(&spec.service)
    {
        tracker.phase = Phase::Withdrawn;
    }
    control.publish();
    tracing::warn!(
        service = &*spec.service,
        target = &*spec.target,
        why,
        "rollout: withdrawn"
    );
    write_state(control, record, RolloutState::RolledBack).await;
}

async fn write_state(control: &Control, record: &RolloutRecord, state: RolloutState) -> bool {
    let value = control
        .codec
        .encode_rollout_state(state, &record.spec.target);
    let path = format!("{}{STATUS_SUFFIX}", record.path);
    let expect = Precondition::Revision(record.status_revision);
    match control.store.put(&path, &value, expect).await {
        Ok(_) => {
            log_written(control, &record.spec, state);
            true
        }
        Err(err) => {
            tracing::warn!(
                service = &*record.spec.service,
                ?state,
                error = %err,
                "rollout: cannot write state"
            );
            false
        }
    }
}

/// Logs a state that the store accepted, with the call counts of both versions.
fn log_written(control: &Control, spec: &RolloutSpec, state: RolloutState) {
    let trackers = control.trackers.borrow();
    let Some(tracker) = trackers.by_service.get(&spec.service) else {
        return;
    };
    let new = tracker.monitor.total();
    let old = tracker.other_versions_total();
    tracing::info!(
        service = &*spec.service,
        ?state,
        answered = new.answered,
        failed = new.failed,
        slow = new.slow,
        old_answered = old.answered,
        old_failed = old.failed,
        old_slow = old.slow,
        worse_nats = tracker.comparison.as_ref().map(|found| found.worse_nats),
        "rollout: state written"
    );
    log_classes(spec, tracker);
}

/// Logs what the instances counted for each class, with quantiles of the answer times.
fn log_classes(spec: &RolloutSpec, tracker: &RolloutTracker) {
    let mut old = tracker.other_versions();
    for (class, new) in &tracker.monitor.evidence().classes {
        let old = old.class_mut(class);
        tracing::info!(
            service = &*spec.service,
            target = &*spec.target,
            class = &**class,
            answered = new.answered,
            failed = new.failed,
            slow = new.slow,
            median_ms = new.times.quantile(MEDIAN),
            high_ms = new.times.quantile(HIGH_QUANTILE),
            old_answered = old.answered,
            old_failed = old.failed,
            old_slow = old.slow,
            old_median_ms = old.times.quantile(MEDIAN),
            old_high_ms = old.times.quantile(HIGH_QUANTILE),
            median_pace = new.paces.quantile(MEDIAN),
            high_pace = new.paces.quantile(HIGH_QUANTILE),
            old_median_pace = old.paces.quantile(MEDIAN),
            old_high_pace = old.paces.quantile(HIGH_QUANTILE),
            "rollout: class"
        );
    }
}

/// The next step of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Action {
    /// Write this state to the status that operators read.
    WriteState(RolloutState),
    /// Write this phase, with the share of the duration that has passed, for all instances.
    AgreePhase(Phase, f64),
}

/// Performs the next step of a roll-out if it is this instance's turn.
async fn advance_rollout(control: &Control, record: &RolloutRecord) {
    let has_ended = matches!(
        record.state,
        Some(RolloutState::Succeeded | RolloutState::RolledBack)
    );
    if has_ended || control.store_unavailable() {
        return;
    }
    let action = next_action(control, record);
    if !is_turn(control, record, action.is_some()) {
        return;
    }
    match action {
        Some(Action::WriteState(state)) => {
            write_state(control, record, state).await;
        }
        Some(Action::AgreePhase(phase, elapsed_share)) => {
            write_agreed_phase(control, record, phase, elapsed_share).await;
        }
        None => {}
    }
}

fn next_action(control: &Control, record: &RolloutRecord) -> Option<Action> {
    let spec = &record.spec;
    let old_calls = draining::old_calls(control, &spec.service);
    let trackers = control.trackers.borrow();
    let tracker = trackers.by_service.get(&spec.service)?;
    let elapsed_share = tracker.elapsed_share(spec.duration_ms, control.now_ms());
    let state = TimedRolloutState {
        phase: tracker.phase,
        elapsed_share,
        new: tracker.monitor.total(),
        old_calls,
        is_suspect: tracker.is_suspect,
        judgement: tracker.judgement(),
    };
    let next = next_phase(&state, &control.settings.rollout);
    if next == Phase::Withdrawn {
        // The instance that withdrew the version may have lost the store before it wrote the state.
        return Some(Action::WriteState(RolloutState::RolledBack));
    }
    if record.state.is_none() {
        return Some(Action::WriteState(RolloutState::Running));
    }
    if next == Phase::Done {
        return Some(Action::WriteState(RolloutState::Succeeded));
    }
    let agreed = record.agreed.as_ref();
    let unwritten = agreed.is_none_or(|agreed| *agreed.target != *spec.target);
    (next != tracker.phase || unwritten).then_some(Action::AgreePhase(next, elapsed_share))
}

/// Returns whether this instance is to perform the next step, after the delay of its rank.
fn is_turn(control: &Control, record: &RolloutRecord, has_action: bool) -> bool {
    let now_ms = control.now_ms();
    // Other instances may still have a watch from a time when they knew fewer members.
    if !control.is_watcher() {
        return false;
    }
    let watchers = control.watchers();
    let watchers: Vec<&Member> = watchers.iter().collect();
    let rank = rank(&record.path, control.incarnation, &watchers) as u64;
    let mut trackers = control.trackers.borrow_mut();
    let Some(tracker) = trackers.by_service.get_mut(&record.spec.service) else {
        return false;
    };
    if !has_action {
        tracker.pending_since_ms = None;
        return false;
    }
    let since_ms = *tracker.pending_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + rank * RANK_DELAY_MS
}

/// Returns the share of the traffic during the trial, by the requests that all instances counted.
fn trial_share(control: &Control, spec: &RolloutSpec) -> Option<f64> {
    let trackers = control.trackers.borrow();
    let tracker = trackers.by_service.get(&spec.service)?;
    let requests_per_s = tracker.requests_per_s(control.now_ms());
    let settings = &control.settings.rollout;
    Some(settings.trial_share_for(requests_per_s, spec.duration_ms))
}

async fn write_agreed_phase(
    control: &Control,
    record: &RolloutRecord,
    phase: Phase,
    elapsed_share: f64,
) {
    let agreed = AgreedPhase {
        target: record.spec.target.to_string(),
        phase: phase_name(phase).to_owned(),
        elapsed_share,
        trial_share: trial_share(control, &record.spec),
    };
    let Ok(value) = serde_json::to_value(&agreed) else {
        return;
    };
    let expect = record
        .agreed_revision
        .map_or(Precondition::Absent, Precondition::Revision);
    let written = control.store.put(&record.agreed_path, &value, expect).await;
    match written {
        Ok(_) => tracing::info!(
            service = &*record.spec.service,
            phase = phase_name(phase),
            elapsed_share,
            trial_share = agreed.trial_share,
            "rollout: phase agreed"
        ),
        Err(StoreError::Conflict) => {}
        Err(err) => tracing::warn!(error = %err, "rollout: cannot write phase"),
    }
}
