//! Chooses the versions that a request runs on.

use std::sync::Arc;

use catalog::{Arm, Experiment, Policy, Version, VersionState};
use kernel::{Failure, Priority, Reason};
use policy::{Candidate, Plan, Query, assign_arm, unit_hash};

use crate::answer::chat_request::ChatRequest;
use crate::answer::context::Context;
use crate::state::exposure::ExposurePermit;
use crate::state::messages::PlannedQuality;
use crate::state::shared::Shared;
use crate::state::view::{PolicyKey, View};

/// The assumed number of prompt tokens, and of generated tokens, of a typical request.
const TYPICAL_TOKENS: u64 = 400;

/// A planned call to a version.
pub(crate) struct PlannedCall {
    pub(crate) version: Arc<Version>,
    /// The unrated-request allowance in use, if the version is unproven.
    pub(crate) exposure_permit: Option<ExposurePermit>,
}

/// The planned calls of a chat request.
pub(crate) struct ChatPlan {
    /// The first call.
    pub(crate) first: PlannedCall,
    /// The second call of a cascade, and the confidence from which the first answer is returned.
    pub(crate) escalation: Option<(PlannedCall, f64)>,
    /// The name of the policy.
    pub(crate) policy: Arc<str>,
    /// The share of answers to sample for rating, from 0 to 1.
    pub(crate) sample_share: f64,
    /// The quality that the policy expects.
    pub(crate) planned_quality: Option<PlannedQuality>,
    /// The experiment arm of the request, as `EXPERIMENT/POLICY`.
    pub(crate) arm: Option<Arc<str>>,
}

/// Plans the calls of a chat request.
pub(crate) fn plan_chat(
    shared: &Shared,
    context: &Context,
    chat: &ChatRequest,
) -> Result<ChatPlan, Failure> {
    let policy = policy_for(context);
    if let Some(session) = &context.session {
        return plan_session(context, chat, &session.model, &session.version, policy);
    }
    let view = &context.view;
    if let Some(version) = view.snapshot.versions.get(&chat.model) {
        check_permitted(context, version)?;
        let call = acquire_call(shared, context, version);
        let call = call.ok_or_else(|| allowance_used_up(version))?;
        return Ok(single_call(call, policy));
    }
    let versions = permitted_versions(context, &chat.model)?;
    let plan = plan_by_policy(shared, context, &versions, policy)?;
    let arm = experiment_arm(context)
        .map(|(experiment, arm)| format!("{}/{}", experiment.name, arm.policy));
    Ok(ChatPlan {
        arm: arm.map(Arc::from),
        ..plan
    })
}

/// Chooses the version of a new session: the last one that its plan may reach.
pub(crate) fn choose_session_version(
    shared: &Shared,
    context: &Context,
    model: &str,
) -> Result<Arc<Version>, Failure> {
    let versions = permitted_versions(context, model)?;
    let plan = plan_by_policy(shared, context, &versions, policy_for(context))?;
    let call = plan.escalation.map_or(plan.first, |(call, _)| call);
    Ok(call.version)
}

/// Returns the experiment that the workspace takes part in, and the arm of the request.
fn experiment_arm(context: &Context) -> Option<(&Arc<Experiment>, &Arm)> {
    let mut experiments = context.view.snapshot.experiments.values();
    let includes_workspace =
        |found: &&Arc<Experiment>| found.workspaces.contains(&context.workspace.name);
    let experiment = experiments.find(includes_workspace)?;
    let shares: Vec<f64> = experiment.arms.iter().map(|arm| arm.share).collect();
    let index = assign_arm(&experiment.name, &context.request_id, &shares);
    experiment.arms.get(index).map(|arm| (experiment, arm))
}

/// Returns the policy of the experiment arm, or else that of the workspace.
fn policy_for(context: &Context) -> Option<Arc<Policy>> {
    let name = experiment_arm(context).map_or(&context.workspace.policy, |(_, arm)| &arm.policy);
    context.view.snapshot.policies.get(name).cloned()
}

fn single_call(call: PlannedCall, policy: Option<Arc<Policy>>) -> ChatPlan {
    let sample_share = policy.as_ref().map_or(0.0, |policy| policy.sample_share);
    let policy = policy.map_or_else(|| "".into(), |policy| policy.name.clone());
    ChatPlan {
        first: call,
        escalation: None,
        policy,
        sample_share,
        planned_quality: None,
        arm: None,
    }
}

fn plan_session(
    context: &Context,
    chat: &ChatRequest,
    model: &Arc<str>,
    version: &Arc<str>,
    policy: Option<Arc<Policy>>,
) -> Result<ChatPlan, Failure> {
    if chat.model != *model && chat.model != *version {
        let detail = format!(
            "the session is for model '{model}', but the request is for '{}'",
            chat.model
        );
        return Err(Failure::not_run(Reason::BadSession, detail));
    }
    let Some(found) = context.view.snapshot.versions.get(version) else {
        return Err(version_withdrawn(version));
    };
    check_permitted(context, found)?;
    if is_stopped(&context.view, found) {
        return Err(version_withdrawn(version));
    }
    Ok(single_call(
        PlannedCall {
            version: found.clone(),
            exposure_permit: None,
        },
        policy,
    ))
}

fn version_withdrawn(version: &str) -> Failure {
    let detail = format!("version '{version}' is withdrawn; open a new session");
    Failure::not_run(Reason::VersionWithdrawn, detail)
}

fn allowance_used_up(version: &Version) -> Failure {
    let detail = format!(
        "version '{}' is unproven and has reached its limit of unrated requests",
        version.name
    );
    Failure::not_run(Reason::Overloaded, detail).retry_after_ms(1_000)
}

fn check_permitted(context: &Context, version: &Version) -> Result<(), Failure> {
    if version.state == VersionState::Withdrawn {
        return Err(version_withdrawn(&version.name));
    }
    if context
        .view
        .snapshot
        .permits(&context.workspace, &version.name)
    {
        return Ok(());
    }
    let detail = format!(
        "workspace '{}' may not use version '{}'",
        context.workspace.name, version.name
    );
    Err(Failure::not_run(Reason::Forbidden, detail))
}

/// Returns the versions of a model that the workspace may use.
fn permitted_versions(context: &Context, model: &str) -> Result<Vec<Arc<Version>>, Failure> {
    let all = context.view.snapshot.versions_of(model);
    if all.is_empty() {
        let known = context.view.snapshot.models();
        let known: Vec<&str> = known.iter().map(|name| &**name).collect();
        let detail = format!(
            "unknown model '{model}', expected one of {}",
            known.join(", ")
        );
        return Err(Failure::not_run(Reason::NotFound, detail));
    }
    let mut found = Vec::new();
    for version in all {
        if context
            .view
            .snapshot
            .permits(&context.workspace, &version.name)
        {
            found.push(version.clone());
        }
    }
    if found.is_empty() {
        let detail = format!(
            "workspace '{}' may use no version of model '{model}'",
            context.workspace.name
        );
        return Err(Failure::not_run(Reason::Forbidden, detail));
    }
    Ok(found)
}

/// Returns whether a version counts as proven.
fn is_proven(view: &View, version: &Version) -> bool {
    version.state == VersionState::Proven || view.rollout_done(&version.name)
}

/// Returns whether a roll-out has stopped sending requests to a version.
fn is_stopped(view: &View, version: &Version) -> bool {
    let rollout = view.snapshot.rollout_to(&version.name);
    let state = rollout.and_then(|rollout| view.rollouts.get(&rollout.name));
    state.is_some_and(|state| state.share <= 0.0)
}

/// Plans one call to a version, or returns `None` if the version is unproven and the request may
/// not use it now.
fn acquire_call(shared: &Shared, context: &Context, version: &Arc<Version>) -> Option<PlannedCall> {
    let view = &context.view;
    if is_proven(view, version) {
        return Some(PlannedCall {
            version: version.clone(),
            exposure_permit: None,
        });
    }
    if context.non_idempotent && context.workspace.protect_non_idempotent {
        return None;
    }
    let rollout = view.snapshot.rollout_to(&version.name)?;
    let state = view.rollouts.get(&rollout.name)?;
    if state.share <= 0.0 {
        return None;
    }
    let exposure_permit = shared
        .exposure
        .try_acquire(&rollout.name, state.allowance)?;
    Some(PlannedCall {
        version: version.clone(),
        exposure_permit: Some(exposure_permit),
    })
}

/// Plans by the policy over the proven versions, then applies the roll-outs to each call.
fn plan_by_policy(
    shared: &Shared,
    context: &Context,
    versions: &[Arc<Version>],
    policy: Option<Arc<Policy>>,
) -> Result<ChatPlan, Failure> {
    let view = &context.view;
    let proven: Vec<Arc<Version>> = versions
        .iter()
        .filter(|version| is_proven(view, version))
        .cloned()
        .collect();
    if proven.is_empty() {
        let call = versions
            .iter()
            .find_map(|version| acquire_call(shared, context, version));
        let call = call.ok_or_else(|| allowance_used_up(&versions[0]))?;
        return Ok(single_call(call, policy));
    }
    let Some(policy) = policy else {
        return Ok(single_call(
            PlannedCall {
                version: proven[0].clone(),
                exposure_permit: None,
            },
            None,
        ));
    };
    let decision = decide(context, &proven, &policy)?;
    let call = |index: usize| PlannedCall {
        version: proven[index].clone(),
        exposure_permit: None,
    };
    let (first, escalation) = match decision.plan {
        Plan::Direct(index) => (call(index), None),
        Plan::Cascade {
            first,
            then,
            threshold,
        } => (call(first), Some((call(then), threshold))),
    };
    let planned_quality = PlannedQuality {
        quality: decision.quality,
        target: context.workspace.quality_target,
    };
    let mut plan = ChatPlan {
        planned_quality: Some(planned_quality),
        escalation,
        ..single_call(first, Some(policy))
    };
    plan.first = apply_rollouts(shared, context, versions, plan.first);
    plan.escalation = plan
        .escalation
        .map(|(call, threshold)| (apply_rollouts(shared, context, versions, call), threshold));
    Ok(plan)
}

fn decide(
    context: &Context,
    proven: &[Arc<Version>],
    policy: &Arc<Policy>,
) -> Result<policy::Decision, Failure> {
    let plugin = policy::find(&policy.plugin);
    let plugin = plugin.map_err(|err| {
        Failure::not_run(Reason::NotReady, format!("policy '{}': {err}", policy.name))
    })?;
    let candidates: Vec<Candidate> = proven
        .iter()
        .map(|version| policy_candidate(version))
        .collect();
    let query = Query {
        class: &context.class,
        quality_target: context.workspace.quality_target,
        cascade: policy.cascade && context.priority != Priority::Urgent && !context.non_idempotent,
        candidates: &candidates,
    };
    let key = PolicyKey {
        workspace: context.workspace.name.clone(),
        policy: policy.name.clone(),
    };
    let policy_state = context.view.policy_states.get(&key);
    let policy_state = policy_state.cloned().unwrap_or_default();
    let mut random = fastrand::Rng::new();
    Ok(plugin.plan(
        &query,
        &policy_state.estimates,
        policy_state.quality_price_micros,
        &mut random,
    ))
}

fn policy_candidate(version: &Version) -> Candidate {
    let price = version.cost_prompt_micros + version.cost_completion_micros;
    Candidate {
        version: version.name.clone(),
        cost_micros: (price * TYPICAL_TOKENS) as f64 / 2000.0,
        prior: version.quality_prior,
        unproven: false,
    }
}

/// Replaces a call by one to the unproven version of a roll-out, for the roll-out's share.
fn apply_rollouts(
    shared: &Shared,
    context: &Context,
    versions: &[Arc<Version>],
    call: PlannedCall,
) -> PlannedCall {
    let view = &context.view;
    for rollout in view.snapshot.rollouts.values() {
        if rollout.from != call.version.name || view.rollout_done(&rollout.to) {
            continue;
        }
        let Some(state) = view.rollouts.get(&rollout.name) else {
            continue;
        };
        if unit_hash(&rollout.name, &context.request_id) >= state.share {
            continue;
        }
        let to = versions.iter().find(|version| version.name == rollout.to);
        if let Some(moved) = to.and_then(|version| acquire_call(shared, context, version)) {
            return moved;
        }
    }
    call
}
