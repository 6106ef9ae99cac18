//! Which version a request runs on.

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

/// The prompt and generated tokens that a typical request is taken to use.
const TYPICAL_TOKENS: u64 = 400;

/// One call on a version.
pub(crate) struct Leg {
    pub(crate) version: Arc<Version>,
    pub(crate) exposed: Option<ExposurePermit>,
}

/// The path of a chat request.
pub(crate) struct ChatPlan {
    /// The first call.
    pub(crate) first: Leg,
    /// The second call of a cascade, with the confidence at which the first answer is kept.
    pub(crate) then: Option<(Leg, f64)>,
    /// The policy that planned.
    pub(crate) policy: Arc<str>,
    /// The share of answers to be rated.
    pub(crate) sample_share: f64,
    /// What the policy expects.
    pub(crate) planned: Option<PlannedQuality>,
    /// The arm of an experiment, as `EXPERIMENT/POLICY`.
    pub(crate) arm: Option<Arc<str>>,
}

/// Plans a chat request.
pub(crate) fn plan_chat(
    shared: &Shared,
    context: &Context,
    chat: &ChatRequest,
) -> Result<ChatPlan, Failure> {
    let policy = policy_of(context);
    if let Some(session) = &context.session {
        return session_path(context, chat, &session.model, &session.version, policy);
    }
    let view = &context.view;
    if let Some(version) = view.snapshot.versions.get(&chat.model) {
        check_permitted(context, version)?;
        let leg = take_leg(shared, context, version);
        let leg = leg.ok_or_else(|| exposure_refusal(version))?;
        return Ok(direct(leg, policy));
    }
    let versions = permitted(context, &chat.model)?;
    let path = by_policy(shared, context, &versions, policy)?;
    let arm =
        arm_of(context).map(|(experiment, arm)| format!("{}/{}", experiment.name, arm.policy));
    Ok(ChatPlan {
        arm: arm.map(Arc::from),
        ..path
    })
}

/// Chooses the version of a new session.
pub(crate) fn choose_session_version(
    shared: &Shared,
    context: &Context,
    model: &str,
) -> Result<Arc<Version>, Failure> {
    let versions = permitted(context, model)?;
    let path = by_policy(shared, context, &versions, policy_of(context))?;
    let leg = path.then.map_or(path.first, |(leg, _)| leg);
    Ok(leg.version)
}

/// Returns the experiment that a request takes part in, and its arm.
fn arm_of(context: &Context) -> Option<(&Arc<Experiment>, &Arm)> {
    let mut experiments = context.view.snapshot.experiments.values();
    let joined = |found: &&Arc<Experiment>| found.workspaces.contains(&context.workspace.name);
    let experiment = experiments.find(joined)?;
    let shares: Vec<f64> = experiment.arms.iter().map(|arm| arm.share).collect();
    let index = assign_arm(&experiment.name, &context.request, &shares);
    experiment.arms.get(index).map(|arm| (experiment, arm))
}

/// Returns the policy of the workspace, or of its arm in an experiment.
fn policy_of(context: &Context) -> Option<Arc<Policy>> {
    let name = arm_of(context).map_or(&context.workspace.policy, |(_, arm)| &arm.policy);
    context.view.snapshot.policies.get(name).cloned()
}

fn direct(leg: Leg, policy: Option<Arc<Policy>>) -> ChatPlan {
    let sample_share = policy.as_ref().map_or(0.0, |policy| policy.sample_share);
    let policy = policy.map_or_else(|| "".into(), |policy| policy.name.clone());
    ChatPlan {
        first: leg,
        then: None,
        policy,
        sample_share,
        planned: None,
        arm: None,
    }
}

fn session_path(
    context: &Context,
    chat: &ChatRequest,
    model: &Arc<str>,
    version: &Arc<str>,
    policy: Option<Arc<Policy>>,
) -> Result<ChatPlan, Failure> {
    if chat.model != *model && chat.model != *version {
        let detail = format!(
            "the session is for model '{model}', the request for '{}'",
            chat.model
        );
        return Err(Failure::not_run(Reason::BadSession, detail));
    }
    let Some(found) = context.view.snapshot.versions.get(version) else {
        return Err(withdrawn(version));
    };
    check_permitted(context, found)?;
    if is_stopped(&context.view, found) {
        return Err(withdrawn(version));
    }
    Ok(direct(
        Leg {
            version: found.clone(),
            exposed: None,
        },
        policy,
    ))
}

fn withdrawn(version: &str) -> Failure {
    let detail = format!("version '{version}' is withdrawn; open a new session");
    Failure::not_run(Reason::VersionWithdrawn, detail)
}

fn exposure_refusal(version: &Version) -> Failure {
    let detail = format!(
        "version '{}' is unproven and takes no more unrated requests now",
        version.name
    );
    Failure::not_run(Reason::Overloaded, detail).retry_after_ms(1_000)
}

fn check_permitted(context: &Context, version: &Version) -> Result<(), Failure> {
    if version.state == VersionState::Withdrawn {
        return Err(withdrawn(&version.name));
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

/// Returns the permitted versions of a model.
fn permitted(context: &Context, model: &str) -> Result<Vec<Arc<Version>>, Failure> {
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

/// Returns whether a roll-out stopped a version.
fn is_stopped(view: &View, version: &Version) -> bool {
    let rollout = view.snapshot.rollout_to(&version.name);
    let state = rollout.and_then(|rollout| view.rollouts.get(&rollout.name));
    state.is_some_and(|state| state.share <= 0.0)
}

/// Takes a version for one call, or returns `None` when it is unproven and takes no more.
fn take_leg(shared: &Shared, context: &Context, version: &Arc<Version>) -> Option<Leg> {
    let view = &context.view;
    if is_proven(view, version) {
        return Some(Leg {
            version: version.clone(),
            exposed: None,
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
    let exposed = shared
        .exposure
        .try_acquire(&rollout.name, state.allowance)?;
    Some(Leg {
        version: version.clone(),
        exposed: Some(exposed),
    })
}

/// Plans by the policy, then moves the roll-outs' shares to their unproven versions.
fn by_policy(
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
        let leg = versions
            .iter()
            .find_map(|version| take_leg(shared, context, version));
        let leg = leg.ok_or_else(|| exposure_refusal(&versions[0]))?;
        return Ok(direct(leg, policy));
    }
    let Some(policy) = policy else {
        return Ok(direct(
            Leg {
                version: proven[0].clone(),
                exposed: None,
            },
            None,
        ));
    };
    let decision = decide(context, &proven, &policy)?;
    let leg = |index: usize| Leg {
        version: proven[index].clone(),
        exposed: None,
    };
    let (first, then) = match decision.plan {
        Plan::Direct(index) => (leg(index), None),
        Plan::Cascade {
            first,
            then,
            threshold,
        } => (leg(first), Some((leg(then), threshold))),
    };
    let planned = PlannedQuality {
        quality: decision.quality,
        target: context.workspace.quality_target,
    };
    let mut path = ChatPlan {
        planned: Some(planned),
        then,
        ..direct(first, Some(policy))
    };
    path.first = roll(shared, context, versions, path.first);
    path.then = path
        .then
        .map(|(leg, threshold)| (roll(shared, context, versions, leg), threshold));
    Ok(path)
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
    let candidates: Vec<Candidate> = proven.iter().map(|version| candidate(version)).collect();
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
    let brain = context.view.policy_states.get(&key);
    let brain = brain.cloned().unwrap_or_default();
    let mut random = fastrand::Rng::new();
    Ok(plugin.plan(
        &query,
        &brain.estimates,
        brain.quality_price_micros,
        &mut random,
    ))
}

fn candidate(version: &Version) -> Candidate {
    let price = version.cost_prompt_micros + version.cost_completion_micros;
    Candidate {
        version: version.name.clone(),
        cost_micros: (price * TYPICAL_TOKENS) as f64 / 2000.0,
        prior: version.quality_prior,
        unproven: false,
    }
}

/// Moves a call to the unproven version of a roll-out from its version, for the roll-out's share.
fn roll(shared: &Shared, context: &Context, versions: &[Arc<Version>], leg: Leg) -> Leg {
    let view = &context.view;
    for rollout in view.snapshot.rollouts.values() {
        if rollout.from != leg.version.name || view.rollout_done(&rollout.to) {
            continue;
        }
        let Some(state) = view.rollouts.get(&rollout.name) else {
            continue;
        };
        if unit_hash(&rollout.name, &context.request) >= state.share {
            continue;
        }
        let to = versions.iter().find(|version| version.name == rollout.to);
        if let Some(moved) = to.and_then(|version| take_leg(shared, context, version)) {
            return moved;
        }
    }
    leg
}
