//! Leading roll-outs: what the store says of them, what is due, and who does it.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use catalog::Object;
use member::{Member, rank};
use rollout::{Phase, TimedRolloutState, next_phase};
use serde::{Deserialize, Serialize};
use store::{Expect, StoreError};

use crate::codec::{Feed, RolloutSpec, RolloutState};
use crate::reports;
use crate::shift::Track;
use crate::state::{Control, STATUS_SUFFIX};

/// How long an instance leaves what is due to each one that ranks before it, in milliseconds: those
/// may be turned away by the store. Writes are conditional, so that two may act at once.
const RANK_DELAY_MS: u64 = 600;

/// How far traffic has moved, as the instances agree on it in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Agreed {
    target: String,
    phase: String,
    /// The part of the time that was over when the phase began.
    elapsed_share: f64,
}

const PHASES: [(Phase, &str); 6] = [
    (Phase::Waiting, "waiting"),
    (Phase::Trial, "trial"),
    (Phase::Half, "half"),
    (Phase::All, "all"),
    (Phase::Done, "done"),
    (Phase::Withdrawn, "withdrawn"),
];

fn phase_name(phase: Phase) -> &'static str {
    let row = PHASES.iter().find(|row| row.0 == phase);
    row.map_or("waiting", |row| row.1)
}

fn phase_of(name: &str) -> Phase {
    let row = PHASES.iter().find(|row| row.1 == name);
    row.map_or(Phase::Waiting, |row| row.0)
}

/// An order as it stands in the store.
struct Standing {
    order: RolloutSpec,
    path: String,
    state: Option<RolloutState>,
    status_revision: u64,
    agreed: Option<Agreed>,
    agreed_path: String,
    agreed_revision: Option<u64>,
}

fn orders(control: &Control) -> Vec<Standing> {
    let replica = control.replica.borrow();
    let prefix = control.codec.prefix(Feed::Rollouts);
    let shifts = control.codec.prefix(Feed::Shifts);
    let mut found = Vec::new();
    for object in replica.live() {
        let is_order = object.path.starts_with(prefix) && !object.path.ends_with(STATUS_SUFFIX);
        if !is_order {
            continue;
        }
        let order = match control.codec.decode_rollout(object) {
            Ok(order) => order,
            Err(problem) => {
                tracing::warn!(path = &*object.path, %problem, "rollout: unreadable order");
                continue;
            }
        };
        let status = replica.get(&format!("{}{STATUS_SUFFIX}", object.path));
        let state = status
            .and_then(|status| status.value.as_ref())
            .and_then(|value| control.codec.decode_rollout_state(value, &order.target));
        let agreed_path = format!("{shifts}{}", order.service);
        let agreed_object = replica.get(&agreed_path);
        found.push(Standing {
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
            order,
        });
    }
    found
}

fn read_agreed(object: &Object) -> Option<Agreed> {
    serde_json::from_value(object.value.clone()?).ok()
}

/// How often the roll-outs are looked at. A bad version reaches few callers in that time.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Looks at the roll-outs at the set interval.
pub(crate) async fn run(control: Rc<Control>) {
    loop {
        Timer::after(LOOK_EVERY).await;
        advance(&control).await;
    }
}

/// Looks at all roll-outs and does what is due.
async fn advance(control: &Control) {
    let own = reports::own(control);
    control.shifts.borrow_mut().note(control.me, &own);
    for standing in orders(control) {
        follow(control, &standing);
        if let Some(why) = fault(control, &standing.order) {
            withdraw(control, &standing, &why).await;
            continue;
        }
        lead(control, &standing).await;
    }
}

/// Takes over what the store says.
fn follow(control: &Control, standing: &Standing) {
    let now_ms = control.now_ms();
    let order = &standing.order;
    let mut shifts = control.shifts.borrow_mut();
    let held = shifts.tracks.get(&order.service);
    let held_before = held.is_some_and(|track| track.target == order.target);
    if !held_before {
        tracing::info!(
            service = &*order.service,
            target = &*order.target,
            duration_ms = order.duration_ms,
            "rollout: learned of"
        );
        shifts
            .tracks
            .insert(order.service.clone(), Track::new(&order.target, now_ms));
    }
    let Some(track) = shifts.tracks.get_mut(&order.service) else {
        return;
    };
    let before = track.phase;
    let known = held_before;
    match standing.state {
        Some(RolloutState::Succeeded) => track.phase = Phase::Done,
        Some(RolloutState::RolledBack) => track.phase = Phase::Withdrawn,
        Some(RolloutState::Running) | None => {
            if let Some(agreed) = &standing.agreed
                && *agreed.target == *order.target
                && phase_of(&agreed.phase) > track.phase
            {
                let phase = phase_of(&agreed.phase);
                track.enter(phase, agreed.elapsed_share, order.duration_ms, now_ms);
            }
        }
    }
    let after = track.phase;
    drop(shifts);
    if before != after {
        tracing::info!(
            service = &*order.service,
            phase = phase_name(after),
            "rollout: moved"
        );
    }
    if before != after || !known {
        control.publish();
    }
}

fn fault(control: &Control, order: &RolloutSpec) -> Option<String> {
    let now_ms = control.now_ms();
    let mut shifts = control.shifts.borrow_mut();
    shifts.tracks.get_mut(&order.service)?.fault(now_ms)
}

/// Stops a version here at once, and says so in the store.
async fn withdraw(control: &Control, standing: &Standing, why: &str) {
    let order = &standing.order;
    if let Some(track) = control.shifts.borrow_mut().tracks.get_mut(&order.service) {
        track.phase = Phase::Withdrawn;
    }
    control.publish();
    tracing::warn!(
        service = &*order.service,
        target = &*order.target,
        why,
        "rollout: withdrawn"
    );
    write_state(control, standing, RolloutState::RolledBack).await;
}

async fn write_state(control: &Control, standing: &Standing, state: RolloutState) -> bool {
    let value = control
        .codec
        .encode_rollout_state(state, &standing.order.target);
    let path = format!("{}{STATUS_SUFFIX}", standing.path);
    let expect = Expect::Revision(standing.status_revision);
    match control.store.put(&path, &value, expect).await {
        Ok(_) => {
            log_written(control, &standing.order, state);
            true
        }
        Err(err) => {
            tracing::warn!(service = &*standing.order.service, ?state, error = %err, "rollout: state not written");
            false
        }
    }
}

/// Writes down a state that the store took, with what is known of both versions.
fn log_written(control: &Control, order: &RolloutSpec, state: RolloutState) {
    let shifts = control.shifts.borrow();
    let Some(track) = shifts.tracks.get(&order.service) else {
        return;
    };
    let new = track.monitor.total();
    let old = track.besides();
    tracing::info!(
        service = &*order.service,
        ?state,
        answered = new.answered,
        failed = new.failed,
        slow = new.slow,
        old_answered = old.answered,
        old_failed = old.failed,
        old_slow = old.slow,
        "rollout: state written"
    );
}

/// What is due for a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Due {
    /// The operator is to read this state.
    State(RolloutState),
    /// The instances are to agree on this phase.
    Agree(Phase, f64),
}

/// Moves a roll-out on, if nobody that ranks before this instance does.
async fn lead(control: &Control, standing: &Standing) {
    let settled = matches!(
        standing.state,
        Some(RolloutState::Succeeded | RolloutState::RolledBack)
    );
    if settled || control.store_away() {
        return;
    }
    let due = due(control, standing);
    if !is_turn(control, standing, due.is_some()) {
        return;
    }
    match due {
        Some(Due::State(state)) => {
            write_state(control, standing, state).await;
        }
        Some(Due::Agree(phase, elapsed_share)) => {
            agree(control, standing, phase, elapsed_share).await;
        }
        None => {}
    }
}

fn due(control: &Control, standing: &Standing) -> Option<Due> {
    let order = &standing.order;
    let shifts = control.shifts.borrow();
    let track = shifts.tracks.get(&order.service)?;
    let elapsed_share = track.elapsed_share(order.duration_ms, control.now_ms());
    let state = TimedRolloutState {
        phase: track.phase,
        elapsed_share,
        new: track.monitor.total(),
        running_on_old: track.running_on_old(),
    };
    let next = next_phase(&state, &control.settings.rollout);
    if next == Phase::Withdrawn {
        // Whoever found it bad may have been cut off before it could say so.
        return Some(Due::State(RolloutState::RolledBack));
    }
    if standing.state.is_none() {
        return Some(Due::State(RolloutState::Running));
    }
    if next == Phase::Done {
        return Some(Due::State(RolloutState::Succeeded));
    }
    let agreed = standing.agreed.as_ref();
    let unwritten = agreed.is_none_or(|agreed| *agreed.target != *order.target);
    (next != track.phase || unwritten).then_some(Due::Agree(next, elapsed_share))
}

/// Returns whether this instance does what is due.
fn is_turn(control: &Control, standing: &Standing, is_due: bool) -> bool {
    let now_ms = control.now_ms();
    let watchers = control.watchers();
    let watchers: Vec<&Member> = watchers.iter().collect();
    let rank = rank(&standing.path, control.me, &watchers) as u64;
    let mut shifts = control.shifts.borrow_mut();
    let Some(track) = shifts.tracks.get_mut(&standing.order.service) else {
        return false;
    };
    if !is_due {
        track.due_since_ms = None;
        return false;
    }
    let since_ms = *track.due_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + rank * RANK_DELAY_MS
}

async fn agree(control: &Control, standing: &Standing, phase: Phase, elapsed_share: f64) {
    let agreed = Agreed {
        target: standing.order.target.to_string(),
        phase: phase_name(phase).to_owned(),
        elapsed_share,
    };
    let Ok(value) = serde_json::to_value(&agreed) else {
        return;
    };
    let expect = standing
        .agreed_revision
        .map_or(Expect::Absent, Expect::Revision);
    let written = control
        .store
        .put(&standing.agreed_path, &value, expect)
        .await;
    match written {
        Ok(_) => tracing::info!(
            service = &*standing.order.service,
            phase = phase_name(phase),
            elapsed_share,
            "rollout: phase agreed"
        ),
        Err(StoreError::Conflict) => {}
        Err(err) => tracing::warn!(error = %err, "rollout: phase not agreed"),
    }
}
