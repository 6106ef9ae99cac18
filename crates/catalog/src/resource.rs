//! The kinds of resource.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKind {
    /// A language model or task, served by versions.
    Model,
    /// A group of endpoints.
    Pool,
    /// One deployable version of a model.
    Version,
    /// A routing policy with its parameters.
    Policy,
    /// A customer of the system.
    Workspace,
    /// A comparison of policies under live traffic.
    Experiment,
    /// A stepwise move from one version to another.
    Rollout,
}

impl ResourceKind {
    /// All kinds, in the order in which they may refer to one another.
    pub const ALL: [ResourceKind; 7] = [
        ResourceKind::Model,
        ResourceKind::Pool,
        ResourceKind::Version,
        ResourceKind::Policy,
        ResourceKind::Workspace,
        ResourceKind::Experiment,
        ResourceKind::Rollout,
    ];

    /// Returns the name used in files and object paths.
    pub fn as_str(self) -> &'static str {
        match self {
            ResourceKind::Model => "model",
            ResourceKind::Pool => "pool",
            ResourceKind::Version => "version",
            ResourceKind::Policy => "policy",
            ResourceKind::Workspace => "workspace",
            ResourceKind::Experiment => "experiment",
            ResourceKind::Rollout => "rollout",
        }
    }

    /// Reads a name.
    pub fn parse(text: &str) -> Option<ResourceKind> {
        ResourceKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
}

/// A model that versions serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The unique name.
    pub name: Arc<str>,
    /// A sentence for people.
    #[serde(default)]
    pub description: String,
}

/// What a pool's endpoints are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines with the chat-completions API.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// One endpoint of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The unique name within the pool.
    pub name: Arc<str>,
    /// The IP address and port.
    pub addr: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A group of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The unique name.
    pub name: Arc<str>,
    /// What the endpoints are.
    pub kind: PoolKind,
    /// Whether a service's calls may be repeated.
    #[serde(default, rename = "repeatable")]
    pub idempotent: bool,
    /// Whether the endpoints refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The cost of one service call, in millionths of the currency unit.
    #[serde(default)]
    pub cost_per_call_micros: u64,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
}

/// How far a version is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Takes traffic without a roll-out.
    Proven,
    /// Takes only the traffic that a roll-out gives it.
    Unproven,
    /// Takes no new work, for good.
    Withdrawn,
}

/// One deployable version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The unique name.
    pub name: Arc<str>,
    /// The model it serves.
    pub model: Arc<str>,
    /// The pool that runs it.
    pub pool: Arc<str>,
    /// How far it is trusted.
    pub state: VersionState,
    /// The share of good answers expected before any rating, from 0 to 1.
    pub quality_prior: f64,
    /// The cost of 1,000 prompt tokens, in millionths of the currency unit.
    pub cost_prompt_micros: u64,
    /// The cost of 1,000 generated tokens, in millionths of the currency unit.
    pub cost_completion_micros: u64,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The longest time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// The longest time to the whole answer, in milliseconds.
    pub total_ms: u64,
    /// The share of requests that must keep both, from 0 to 1.
    pub share: f64,
}

/// A customer of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The unique name.
    pub name: Arc<str>,
    /// The SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: Arc<str>,
    /// The versions that requests may run on.
    pub versions: Vec<Arc<str>>,
    /// The service pools that requests may call.
    #[serde(default)]
    pub services: Vec<Arc<str>>,
    /// The routing policy.
    pub policy: Arc<str>,
    /// The share of answers that must be good, from 0 to 1.
    pub quality_target: f64,
    /// The request classes that callers may name.
    #[serde(default)]
    pub classes: Vec<Arc<str>>,
    /// The quota over all instances, in requests a second.
    pub quota_per_s: f64,
    /// The service-level objective.
    pub objective: Objective,
    /// Whether non-idempotent work stays off unproven versions.
    #[serde(default)]
    pub protect_non_idempotent: bool,
}

/// A routing policy with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The unique name.
    pub name: Arc<str>,
    /// The plug-in that decides.
    pub plugin: Arc<str>,
    /// Whether a cheap version may be tried before a better one.
    #[serde(default)]
    pub cascade: bool,
    /// The share of answers sent to the rating service, from 0 to 1.
    #[serde(default = "default_sample_share")]
    pub sample_share: f64,
}

const DEFAULT_SAMPLE_SHARE: f64 = 0.1;

fn default_sample_share() -> f64 {
    DEFAULT_SAMPLE_SHARE
}

/// One arm of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// The policy of this arm.
    pub policy: Arc<str>,
    /// The share of traffic, from 0 to 1.
    pub share: f64,
}

/// A comparison of policies under live traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The unique name, which also salts the assignment.
    pub name: Arc<str>,
    /// The workspaces that take part.
    pub workspaces: Vec<Arc<str>>,
    /// The arms, whose shares sum to 1.
    pub arms: Vec<Arm>,
}

/// A stepwise move from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The unique name.
    pub name: Arc<str>,
    /// The proven version.
    pub from: Arc<str>,
    /// The unproven version.
    pub to: Arc<str>,
    /// The share of traffic of each step, rising, from 0 to 1.
    pub steps: Vec<f64>,
    /// The most requests at one time that ran on the unproven version and are not rated yet.
    pub max_unrated: u32,
    /// How long each step lasts at least, in milliseconds.
    #[serde(default = "default_min_step_ms")]
    pub min_step_ms: u64,
    /// Whether the roll-out holds its step.
    #[serde(default)]
    pub paused: bool,
}

const DEFAULT_MIN_STEP_MS: u64 = 180_000;

fn default_min_step_ms() -> u64 {
    DEFAULT_MIN_STEP_MS
}

/// The phase of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// Steps are under way.
    Running,
    /// The unproven version was judged bad.
    Stopped,
    /// The unproven version was judged good on the last step.
    Done,
}

/// The status of a roll-out, written by its controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The phase.
    pub phase: RolloutPhase,
    /// The index of the step in force.
    pub step: usize,
    /// Why the phase is what it is.
    pub reason: String,
    /// When the status changed, in milliseconds since the Unix epoch.
    pub changed_ms: u64,
}

/// Any resource.
#[derive(Debug, Clone, PartialEq)]
pub enum Resource {
    /// See [`Model`].
    Model(Model),
    /// See [`Pool`].
    Pool(Pool),
    /// See [`Version`].
    Version(Version),
    /// See [`Policy`].
    Policy(Policy),
    /// See [`Workspace`].
    Workspace(Workspace),
    /// See [`Experiment`].
    Experiment(Experiment),
    /// See [`Rollout`].
    Rollout(Rollout),
}
