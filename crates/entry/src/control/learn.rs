//! What ratings teach the policies and the roll-outs.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use policy::Observation;
use smol::Timer;
use store::{AnswerSample, RatingService};

use crate::control::brain::BrainState;
use crate::control::state::Control;
use crate::state::exposure::ExposurePermit;
use crate::state::messages::{CallOutcome, CallReport, PlannedQuality};
use crate::state::view::PolicyKey;

/// The most answers that wait for their rating.
const MAX_PENDING: usize = 20_000;

/// How long a rating is waited for, in milliseconds.
const PENDING_MS: u64 = 300_000;

/// The most answers that are handed in or asked for at once.
const BATCH: usize = 500;

/// An answer that waits for its rating.
struct Pending {
    workspace: Arc<str>,
    policy: Arc<str>,
    observation: Observation,
    planned: Option<PlannedQuality>,
    since_ms: u64,
    _exposed: Option<ExposurePermit>,
}

/// Learns from lessons and ratings.
pub(super) async fn run(control: Rc<Control>, lessons: Receiver<CallReport>) {
    let interval = Duration::from_millis(control.shared.settings.learn_interval_ms);
    let mut pending: HashMap<Arc<str>, Pending> = HashMap::new();
    let mut samples = Vec::new();
    loop {
        let end = Timer::after(interval);
        let collect = async {
            while let Ok(lesson) = lessons.recv().await {
                take(&control, lesson, &mut pending, &mut samples);
            }
        };
        let expire = async {
            end.await;
        };
        collect.or(expire).await;
        submit(&control, &mut samples).await;
        poll(&control, &mut pending).await;
    }
}

fn take(
    control: &Control,
    lesson: CallReport,
    pending: &mut HashMap<Arc<str>, Pending>,
    samples: &mut Vec<AnswerSample>,
) {
    note_ending(control, &lesson);
    if lesson.outcome == CallOutcome::Failed {
        return;
    }
    if !lesson.policy.is_empty() {
        let mut brains = control.brains.borrow_mut();
        let brain = brains
            .entry(PolicyKey {
                workspace: lesson.workspace.clone(),
                policy: lesson.policy.clone(),
            })
            .or_insert_with(BrainState::new);
        brain.note(&lesson.observation);
        if let Some(planned) = lesson.planned {
            brain.price.record_decision(planned.quality, planned.target);
        }
        control.touch();
    }
    let Some(sample) = lesson.sample else {
        return;
    };
    if pending.len() >= MAX_PENDING {
        return;
    }
    let waiting = Pending {
        workspace: lesson.workspace,
        policy: lesson.policy,
        observation: lesson.observation,
        planned: lesson.planned,
        since_ms: control.now_ms(),
        _exposed: lesson.exposure_permit,
    };
    pending.insert(sample.id.clone(), waiting);
    samples.push(sample);
}

/// Counts a call on an unproven version.
fn note_ending(control: &Control, lesson: &CallReport) {
    let view = control.shared.view.load();
    let Some(rollout) = view.snapshot.rollout_to(&lesson.observation.version) else {
        return;
    };
    let mut rollouts = control.rollouts.borrow_mut();
    let evidence = rollouts.evidence.entry(rollout.name.clone()).or_default();
    let counts = evidence.class_mut(&lesson.observation.class);
    match lesson.outcome {
        CallOutcome::Answered => counts.answered += 1,
        CallOutcome::Slow => {
            counts.answered += 1;
            counts.slow += 1;
        }
        CallOutcome::Failed => counts.failed += 1,
    }
}

async fn submit(control: &Control, samples: &mut Vec<AnswerSample>) {
    while !samples.is_empty() {
        let count = samples.len().min(BATCH);
        if let Err(err) = control.shared.platform.submit(&samples[..count]).await {
            tracing::debug!("rating: not handed in, {err}");
            let excess = samples.len().saturating_sub(MAX_PENDING);
            samples.drain(..excess);
            return;
        }
        samples.drain(..count);
    }
}

async fn poll(control: &Control, pending: &mut HashMap<Arc<str>, Pending>) {
    let now_ms = control.now_ms();
    pending.retain(|_, waiting| waiting.since_ms + PENDING_MS > now_ms);
    let ids: Vec<Arc<str>> = pending.keys().cloned().collect();
    for ids in ids.chunks(BATCH) {
        let Ok(rated) = control.shared.platform.ratings(ids).await else {
            return;
        };
        for rating in rated {
            if let Some(waiting) = pending.remove(&rating.id) {
                note_rating(control, waiting, rating.good);
            }
        }
    }
}

fn note_rating(control: &Control, waiting: Pending, good: bool) {
    let observation = Observation {
        good: Some(good),
        ..waiting.observation
    };
    let view = control.shared.view.load();
    if let Some(rollout) = view.snapshot.rollout_to(&observation.version) {
        let mut rollouts = control.rollouts.borrow_mut();
        let evidence = rollouts.evidence.entry(rollout.name.clone()).or_default();
        let counts = evidence.class_mut(&observation.class);
        if good {
            counts.good += 1;
        } else {
            counts.bad += 1;
        }
    }
    let key = PolicyKey {
        workspace: waiting.workspace,
        policy: waiting.policy,
    };
    let mut brains = control.brains.borrow_mut();
    let Some(brain) = brains.get_mut(&key) else {
        return;
    };
    brain.note(&observation);
    if let Some(planned) = waiting.planned {
        brain.price.record_rating(good, planned.target);
    }
    control.touch();
}
