//! The resource types of the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKind {
    /// A language model or task, served by its versions.
    Model,
    /// A group of endpoints.
    Pool,
    /// One deployable version of a model.
    Version,
    /// A routing policy and its parameters.
    Policy,
    /// A tenant with its own key, quota and objective.
    Workspace,
    /// A comparison of policies on live traffic.
    Experiment,
    /// A stepwise roll-out from one version to another.
    Rollout,
}

impl ResourceKind {
    /// All kinds, each after the kinds that it may refer to.
    pub const ALL: [ResourceKind; 7] = [
        ResourceKind::Model,
        ResourceKind::Pool,
        ResourceKind::Version,
        ResourceKind::Policy,
        ResourceKind::Workspace,
        ResourceKind::Experiment,
        ResourceKind::Rollout,
    ];

    /// Returns the name used in declarations and object paths.
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

    /// Parses the name used in declarations and object paths.
    pub fn parse(text: &str) -> Option<ResourceKind> {
        ResourceKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
}

/// A model, which one or more versions serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The unique name.
    pub name: Arc<str>,
    /// A description for operators; the router does not use it.
    #[serde(default)]
    pub description: String,
}

/// The type of the endpoints of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model servers with the chat completions API.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// The declaration of one endpoint in a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The unique name within the pool.
    pub name: Arc<str>,
    /// The IP address and port.
    pub addr: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The number of requests that the endpoint runs concurrently, at least 1.
    pub slots: u32,
    /// Whether the endpoint is draining and gets no new requests.
    #[serde(default)]
    pub draining: bool,
}

/// A group of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The unique name.
    pub name: Arc<str>,
    /// The type of the endpoints.
    pub kind: PoolKind,
    /// Whether calls of a service are idempotent and may be retried.
    #[serde(default, rename = "repeatable")]
    pub idempotent: bool,
    /// Whether the endpoints reject load orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The cost of one service call, in millionths of the currency unit.
    #[serde(default)]
    pub cost_per_call_micros: u64,
    /// The endpoints, at least one.
    pub endpoints: Vec<EndpointSpec>,
}

/// The approval state of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Approved: gets traffic without a roll-out.
    Proven,
    /// Gets only the share of traffic that a roll-out assigns to it.
    Unproven,
    /// Gets no new requests, permanently.
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
    /// The pool that serves it.
    pub pool: Arc<str>,
    /// The approval state.
    pub state: VersionState,
    /// The expected share of good answers before any are rated, from 0 to 1.
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
    /// The maximum time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// The maximum time to the complete answer, in milliseconds.
    pub total_ms: u64,
    /// The target share of requests within both limits, from 0 to 1.
    pub share: f64,
}

/// A tenant: its key, permitted versions and services, quota and objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The unique name.
    pub name: Arc<str>,
    /// The SHA-256 hash of the bearer key, in hexadecimal.
    pub key_sha256: Arc<str>,
    /// The names of the versions that requests may use.
    pub versions: Vec<Arc<str>>,
    /// The names of the service pools that requests may use.
    #[serde(default)]
    pub services: Vec<Arc<str>>,
    /// The name of the routing policy.
    pub policy: Arc<str>,
    /// The target share of good answers, from 0 to 1.
    pub quality_target: f64,
    /// The request classes that callers may set.
    #[serde(default)]
    pub classes: Vec<Arc<str>>,
    /// The quota over all instances, in requests per second.
    pub quota_per_s: f64,
    /// The service-level objective.
    pub objective: Objective,
    /// Whether non-idempotent requests are kept off unproven versions.
    #[serde(default)]
    pub protect_non_idempotent: bool,
}

/// A routing policy and its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The unique name.
    pub name: Arc<str>,
    /// The name of the plug-in that implements the policy.
    pub plugin: Arc<str>,
    /// Whether a cascade may try a cheaper version before a better one.
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
    /// The name of the policy of this arm.
    pub policy: Arc<str>,
    /// The share of requests, from 0 to 1.
    pub share: f64,
}

/// A comparison of policies on live traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The unique name, also the salt of the hash that assigns requests to arms.
    pub name: Arc<str>,
    /// The names of the participating workspaces.
    pub workspaces: Vec<Arc<str>>,
    /// The arms. Their shares sum to 1.
    pub arms: Vec<Arm>,
}

/// A stepwise roll-out from one version to another of the same model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The unique name.
    pub name: Arc<str>,
    /// The name of the proven version, which serves the remaining traffic.
    pub from: Arc<str>,
    /// The name of the unproven version that is rolled out.
    pub to: Arc<str>,
    /// The share of traffic at each step, strictly increasing, from 0 to 1.
    pub steps: Vec<f64>,
    /// The maximum number of requests run on the unproven version and not yet rated, at least 1.
    pub max_unrated: u32,
    /// The minimum duration of each step, in milliseconds.
    #[serde(default = "default_min_step_ms")]
    pub min_step_ms: u64,
    /// Whether the roll-out is paused at its current step.
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
    /// The roll-out proceeds through its steps.
    Running,
    /// Stopped because the unproven version did worse than the proven one.
    Stopped,
    /// The unproven version passed the last step.
    Done,
}

/// The status of a roll-out, written by the instance that coordinates it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The current phase.
    pub phase: RolloutPhase,
    /// The index of the current step, from 0.
    pub step: usize,
    /// The reason for the last change, for operators.
    pub reason: String,
    /// The time of the last change, in milliseconds since the Unix epoch.
    pub changed_ms: u64,
}

/// A resource of any kind.
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
