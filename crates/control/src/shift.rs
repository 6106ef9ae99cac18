//! Moving traffic to new versions.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use catalog::Object;
use kernel::Incarnation;
use member::{Member, rank};
use rollout::{
    Counts, Evidence, Judgement, Monitor, Phase, ShiftSettings, ShiftState, TestSettings, is_worse,
    next_phase,
};
use serde::{Deserialize, Serialize};
use serve::{Shift, Stage};
use store::{Expect, StoreError};
use wire::VersionReport;

use crate::convert::{evidence_from_wire, evidence_to_wire};
use crate::dialect::{Feed, RolloutOrder, RolloutState};
use crate::state::{Control, STATUS_SUFFIX};

/// The evidence, in nats, at which a version is withdrawn: three failures in a row are enough. The
/// operator bears a share of all requests on a bad version, and a few dozen besides.
const STOP_NATS: f64 = 5.0;

/// The share of failed calls that is normal on days with trouble.
const NORMAL_FAILED_SHARE: f64 = 0.03;

/// The share of slow answers that is normal on days with trouble.
const NORMAL_SLOW_SHARE: f64 = 0.15;

/// The rise in slow answers that must be found.
const SLOW_RISE: f64 = 0.4;

/// The rise in failed calls that must be found.
const FAILURE_RISE: f64 = 0.2;

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

/// How long an instance leaves what is due to each one that ranks before it, in milliseconds: those
/// may be turned away by the store. Writes are conditional, so that two may act at once.
const RANK_DELAY_MS: u64 = 600;

/// One roll-out as this instance sees it.
struct Track {
    target: Arc<str>,
    phase: Phase,
    /// The part of the time that was over when this instance learned of the phase, and when it did.
    base_share: f64,
    since_ms: u64,
    /// Since when something is due that nobody has done, in milliseconds.
    due_since_ms: Option<u64>,
    monitor: Monitor,
    reports: HashMap<Incarnation, VersionReport>,
}

/// All roll-outs, by service.
#[derive(Default)]
pub(crate) struct Shifts {
    tracks: HashMap<Arc<str>, Track>,
}

impl Shifts {
    /// Returns what requests see of a service's roll-out.
    pub(crate) fn view(&self, service: &str, settings: &ShiftSettings) -> Option<Shift> {
        let track = self.tracks.get(service)?;
        let stage = match track.phase {
            Phase::Waiting => Stage::Trial(0.0),
            Phase::Trial => Stage::Trial(settings.trial_share),
            Phase::Half => Stage::Moving(0.5),
            Phase::All => Stage::Moving(1.0),
            Phase::Done => Stage::Done,
            Phase::Withdrawn => Stage::Withdrawn,
        };
        Some(Shift {
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
                .note(from, &evidence_from_wire(&report.on_version));
            track.reports.insert(from, report.clone());
        }
    }
}

impl Track {
    fn new(target: &Arc<str>, now_ms: u64) -> Track {
        let settings = TestSettings {
            failed_share: NORMAL_FAILED_SHARE,
            failure_rise: FAILURE_RISE,
            slow_share: NORMAL_SLOW_SHARE,
            slow_rise: SLOW_RISE,
            stop_nats: STOP_NATS,
            ..TestSettings::default()
        };
        Track {
            target: target.clone(),
            phase: Phase::Waiting,
            base_share: 0.0,
            since_ms: now_ms,
            due_since_ms: None,
            monitor: Monitor::new(settings),
            reports: HashMap::new(),
        }
    }

    /// Enters a phase that was agreed when this part of the time was over.
    fn enter(&mut self, phase: Phase, agreed_share: f64, duration_ms: u64, now_ms: u64) {
        self.phase = phase;
        // Who learned of the order early knows better how much time is over.
        if agreed_share > self.elapsed_share(duration_ms, now_ms) {
            self.base_share = agreed_share;
            self.since_ms = now_ms;
        }
    }

    fn elapsed_share(&self, duration_ms: u64, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.since_ms);
        self.base_share + since_ms as f64 / duration_ms.max(1) as f64
    }

    fn besides(&self) -> Counts {
        let mut sum = Evidence::default();
        let class: Arc<str> = "all".into();
        for report in self.reports.values() {
            let total = evidence_from_wire(&report.besides).total();
            let held = sum.class(&class);
            held.answered += total.answered;
            held.failed += total.failed;
            held.slow += total.slow;
        }
        sum.total()
    }

    fn running_on_old(&self) -> u64 {
        self.reports
            .values()
            .map(|report| report.running_besides)
            .sum()
    }
}

/// Returns what this instance saw of the versions that are rolled out.
pub(crate) fn reports(control: &Control) -> Vec<VersionReport> {
    let shifts = control.shifts.borrow();
    let mut reports = Vec::new();
    for (service, track) in &shifts.tracks {
        if matches!(track.phase, Phase::Done | Phase::Withdrawn) {
            continue;
        }
        let on_version = control.tally.evidence(service, &track.target);
        let besides = control.tally.evidence_besides(service, &track.target);
        reports.push(VersionReport {
            service: service.to_string(),
            version: track.target.to_string(),
            on_version: evidence_to_wire(&on_version),
            besides: evidence_to_wire(&besides),
            running_besides: control.tally.running_besides(service, &track.target),
        });
    }
    reports
}

/// An order as it stands in the store.
struct Standing {
    order: RolloutOrder,
    path: String,
    state: Option<RolloutState>,
    status_revision: u64,
    agreed: Option<Agreed>,
    agreed_path: String,
    agreed_revision: Option<u64>,
}

fn orders(control: &Control) -> Vec<Standing> {
    let replica = control.replica.borrow();
    let prefix = control.dialect.prefix(Feed::Rollouts);
    let shifts = control.dialect.prefix(Feed::Shifts);
    let mut found = Vec::new();
    for object in replica.live() {
        let is_order = object.path.starts_with(prefix) && !object.path.ends_with(STATUS_SUFFIX);
        if !is_order {
            continue;
        }
        let order = match control.dialect.rollout(object) {
            Ok(order) => order,
            Err(problem) => {
                tracing::warn!(path = &*object.path, %problem, "rollout: unreadable order");
                continue;
            }
        };
        let status = replica.get(&format!("{}{STATUS_SUFFIX}", object.path));
        let state = status
            .and_then(|status| status.value.as_ref())
            .and_then(|value| control.dialect.rollout_state(value, &order.target));
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
    for standing in orders(control) {
        follow(control, &standing);
        note_own(control, &standing.order);
        if let Some(why) = bad(control, &standing.order) {
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

fn note_own(control: &Control, order: &RolloutOrder) {
    let on_version = control.tally.evidence(&order.service, &order.target);
    let besides = control
        .tally
        .evidence_besides(&order.service, &order.target);
    let report = VersionReport {
        service: order.service.to_string(),
        version: order.target.to_string(),
        on_version: evidence_to_wire(&on_version),
        besides: evidence_to_wire(&besides),
        running_besides: control.tally.running_besides(&order.service, &order.target),
    };
    control.shifts.borrow_mut().note(control.me, &[report]);
}

/// Returns why a version is bad, if it is.
fn bad(control: &Control, order: &RolloutOrder) -> Option<String> {
    let shifts = control.shifts.borrow();
    let track = shifts.tracks.get(&order.service)?;
    if matches!(track.phase, Phase::Done | Phase::Withdrawn) {
        return None;
    }
    let Judgement::Bad(symptom, class) = track.monitor.judge() else {
        return None;
    };
    let new = track.monitor.total();
    let old = track.besides();
    if !is_worse(symptom, &new, &old) {
        return None;
    }
    Some(format!(
        "{} in {class}: {} failed and {} slow of {}, on the other version {} and {} of {}",
        symptom.as_str(),
        new.failed,
        new.slow,
        new.answered + new.failed,
        old.failed,
        old.slow,
        old.answered + old.failed,
    ))
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
        .dialect
        .write_rollout_state(state, &standing.order.target);
    let path = format!("{}{STATUS_SUFFIX}", standing.path);
    let expect = Expect::Revision(standing.status_revision);
    match control.store.put(&path, &value, expect).await {
        Ok(_) => {
            tracing::info!(
                service = &*standing.order.service,
                ?state,
                "rollout: state written"
            );
            true
        }
        Err(err) => {
            tracing::warn!(service = &*standing.order.service, ?state, error = %err, "rollout: state not written");
            false
        }
    }
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
    let state = ShiftState {
        phase: track.phase,
        elapsed_share,
        new: track.monitor.total(),
        running_on_old: track.running_on_old(),
    };
    let next = next_phase(&state, &control.settings.shift);
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
