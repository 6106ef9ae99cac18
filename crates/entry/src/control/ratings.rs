//! Feedback from calls and ratings to the policies and roll-outs.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use policy::Observation;
use smol::Timer;
use store::{AnswerSample, RatingService};

use crate::control::policy_learner::PolicyLearner;
use crate::control::state::ControlState;
use crate::state::exposure::ExposurePermit;
use crate::state::messages::{CallOutcome, CallReport, PlannedQuality};
use crate::state::view::PolicyKey;

/// The maximum number of answers that wait for their rating.
const MAX_PENDING: usize = 20_000;

/// The time after which an answer without a rating is dropped.
const RATING_TIMEOUT_MS: u64 = 300_000;

/// The maximum number of answers in one request to the rating service.
const MAX_BATCH: usize = 500;

/// An answer that waits for its rating.
struct Pending {
    workspace: Arc<str>,
    policy: Arc<str>,
    observation: Observation,
    planned: Option<PlannedQuality>,
    since_ms: u64,
    _exposure_permit: Option<ExposurePermit>,
}

/// Processes call reports, submits sampled answers and polls their ratings.
pub(super) async fn run(control: Rc<ControlState>, reports: Receiver<CallReport>) {
    let interval = Duration::from_millis(control.shared.settings.learn_interval_ms);
    let mut pending: HashMap<Arc<str>, Pending> = HashMap::new();
    let mut samples = Vec::new();
    loop {
        let end = Timer::after(interval);
        let collect = async {
            while let Ok(report) = reports.recv().await {
                process(&control, report, &mut pending, &mut samples);
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

fn process(
    control: &ControlState,
    report: CallReport,
    pending: &mut HashMap<Arc<str>, Pending>,
    samples: &mut Vec<AnswerSample>,
) {
    record_outcome(control, &report);
    if report.outcome == CallOutcome::Failed {
        return;
    }
    if !report.policy.is_empty() {
        let mut policies = control.policies.borrow_mut();
        let learner = policies
            .entry(PolicyKey {
                workspace: report.workspace.clone(),
                policy: report.policy.clone(),
            })
            .or_insert_with(PolicyLearner::new);
        learner.record(&report.observation);
        if let Some(planned) = report.planned {
            learner
                .price
                .record_decision(planned.quality, planned.target);
        }
        control.mark_view_outdated();
    }
    let Some(sample) = report.sample else {
        return;
    };
    if pending.len() >= MAX_PENDING {
        return;
    }
    let entry = Pending {
        workspace: report.workspace,
        policy: report.policy,
        observation: report.observation,
        planned: report.planned,
        since_ms: control.now_ms(),
        _exposure_permit: report.exposure_permit,
    };
    pending.insert(sample.id.clone(), entry);
    samples.push(sample);
}

/// Counts a call to an unproven version as evidence of its roll-out.
fn record_outcome(control: &ControlState, report: &CallReport) {
    let view = control.shared.view.load();
    let Some(rollout) = view.snapshot.rollout_to(&report.observation.version) else {
        return;
    };
    let mut rollouts = control.rollouts.borrow_mut();
    let evidence = rollouts.evidence.entry(rollout.name.clone()).or_default();
    let counts = evidence.class_mut(&report.observation.class);
    match report.outcome {
        CallOutcome::Answered => counts.answered += 1,
        CallOutcome::Slow => {
            counts.answered += 1;
            counts.slow += 1;
        }
        CallOutcome::Failed => counts.failed += 1,
    }
}

async fn submit(control: &ControlState, samples: &mut Vec<AnswerSample>) {
    while !samples.is_empty() {
        let count = samples.len().min(MAX_BATCH);
        if let Err(err) = control.shared.platform.submit(&samples[..count]).await {
            tracing::debug!("rating: submission failed, {err}");
            let excess = samples.len().saturating_sub(MAX_PENDING);
            samples.drain(..excess);
            return;
        }
        samples.drain(..count);
    }
}

async fn poll(control: &ControlState, pending: &mut HashMap<Arc<str>, Pending>) {
    let now_ms = control.now_ms();
    pending.retain(|_, entry| entry.since_ms + RATING_TIMEOUT_MS > now_ms);
    let ids: Vec<Arc<str>> = pending.keys().cloned().collect();
    for ids in ids.chunks(MAX_BATCH) {
        let Ok(rated) = control.shared.platform.ratings(ids).await else {
            return;
        };
        for rating in rated {
            if let Some(entry) = pending.remove(&rating.id) {
                record_rating(control, entry, rating.good);
            }
        }
    }
}

fn record_rating(control: &ControlState, entry: Pending, good: bool) {
    let observation = Observation {
        good: Some(good),
        ..entry.observation
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
        workspace: entry.workspace,
        policy: entry.policy,
    };
    let mut policies = control.policies.borrow_mut();
    let Some(learner) = policies.get_mut(&key) else {
        return;
    };
    learner.record(&observation);
    if let Some(planned) = entry.planned {
        learner.price.record_rating(good, planned.target);
    }
    control.mark_view_outdated();
}
