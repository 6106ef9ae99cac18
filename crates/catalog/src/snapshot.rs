//! The immutable configuration snapshot that requests read.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::ValidationError;
use crate::key::KeyRing;
use crate::object::Object;
use crate::replica::Replica;
use crate::resource::{
    Experiment, Policy, Pool, Resource, ResourceKind, Rollout, RolloutStatus, Version,
    VersionState, Workspace,
};

/// The object path of the [`KeyRing`].
pub const KEY_RING_PATH: &str = "config/system/keys";

/// The path prefix of [`RolloutStatus`] objects, followed by the name of the roll-out.
pub const ROLLOUT_STATUS_PREFIX: &str = "config/status/rollout/";

/// The path prefix of all configuration objects.
pub const CONFIG_PREFIX: &str = "config/";

/// The path prefix of declared resources, followed by `kind/name`.
pub const SPEC_PREFIX: &str = "config/spec/";

/// The effective configuration of an instance.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The highest object revision included.
    pub revision: u64,
    /// The workspaces, by name.
    pub workspaces: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// The versions, by name.
    pub versions: BTreeMap<Arc<str>, Arc<Version>>,
    /// The pools, by name.
    pub pools: BTreeMap<Arc<str>, Arc<Pool>>,
    /// The policies, by name.
    pub policies: BTreeMap<Arc<str>, Arc<Policy>>,
    /// The experiments, by name.
    pub experiments: BTreeMap<Arc<str>, Arc<Experiment>>,
    /// The roll-outs, by name.
    pub rollouts: BTreeMap<Arc<str>, Arc<Rollout>>,
    /// The statuses of roll-outs, by name of the roll-out.
    pub rollout_statuses: BTreeMap<Arc<str>, RolloutStatus>,
    /// The keys that sign session tokens.
    pub keys: KeyRing,
    /// The invalid objects. The last valid value of each stays in effect.
    pub rejected: Vec<ValidationError>,
    by_key: HashMap<Arc<str>, Arc<Workspace>>,
    by_model: HashMap<Arc<str>, Vec<Arc<Version>>>,
}

impl Snapshot {
    /// Builds a snapshot of a replica, with the value from `last` for each invalid object.
    pub fn build(replica: &Replica, last: &Snapshot) -> Snapshot {
        let mut snapshot = Snapshot {
            revision: replica.digest().max_revision,
            ..Snapshot::default()
        };
        for object in replica.live() {
            snapshot.apply(object, last);
        }
        snapshot.apply_withdrawals(replica);
        snapshot.build_indexes();
        snapshot
    }

    /// Returns the workspace of a bearer key, by the hash that `key_hash` returns.
    pub fn workspace_by_key(&self, key_sha256: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key_sha256)
    }

    /// Returns the versions of a model, withdrawn ones included.
    pub fn versions_of(&self, model: &str) -> &[Arc<Version>] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of the models that have versions, sorted.
    pub fn models(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> = self.by_model.keys().cloned().collect();
        names.sort();
        names
    }

    /// Returns whether a workspace lists a version that is not withdrawn.
    pub fn permits(&self, workspace: &Workspace, version: &str) -> bool {
        let listed = workspace.versions.iter().any(|name| &**name == version);
        let usable = self
            .versions
            .get(version)
            .is_some_and(|found| found.state != VersionState::Withdrawn);
        listed && usable
    }

    /// Returns the roll-out whose target is the version.
    pub fn rollout_to(&self, version: &str) -> Option<&Arc<Rollout>> {
        self.rollouts
            .values()
            .find(|rollout| &*rollout.to == version)
    }

    fn apply(&mut self, object: &Object, last: &Snapshot) {
        let Some(value) = &object.value else {
            return;
        };
        if &*object.path == KEY_RING_PATH {
            self.keys = deserialize(value).unwrap_or_else(|| last.keys.clone());
            return;
        }
        if let Some(name) = object.path.strip_prefix(ROLLOUT_STATUS_PREFIX) {
            if let Some(status) = deserialize(value) {
                self.rollout_statuses.insert(name.into(), status);
            }
            return;
        }
        let Some((kind, name)) = split_spec_path(&object.path) else {
            return;
        };
        match Resource::from_value(kind, value) {
            Ok(resource) => self.insert(name, resource),
            Err((field, expected)) => {
                self.rejected.push(ValidationError {
                    file: object.path.clone(),
                    resource: name.to_string(),
                    field,
                    expected,
                });
                self.keep_last_valid(kind, &name, last);
            }
        }
    }

    fn insert(&mut self, name: Arc<str>, resource: Resource) {
        match resource {
            Resource::Model(_) => {}
            Resource::Pool(pool) => drop(self.pools.insert(name, Arc::new(pool))),
            Resource::Version(version) => drop(self.versions.insert(name, Arc::new(version))),
            Resource::Policy(policy) => drop(self.policies.insert(name, Arc::new(policy))),
            Resource::Workspace(workspace) => {
                drop(self.workspaces.insert(name, Arc::new(workspace)))
            }
            Resource::Experiment(experiment) => {
                drop(self.experiments.insert(name, Arc::new(experiment)))
            }
            Resource::Rollout(rollout) => drop(self.rollouts.insert(name, Arc::new(rollout))),
        }
    }

    fn keep_last_valid(&mut self, kind: ResourceKind, name: &Arc<str>, last: &Snapshot) {
        match kind {
            ResourceKind::Model => {}
            ResourceKind::Pool => copy_entry(&mut self.pools, &last.pools, name),
            ResourceKind::Version => copy_entry(&mut self.versions, &last.versions, name),
            ResourceKind::Policy => copy_entry(&mut self.policies, &last.policies, name),
            ResourceKind::Workspace => copy_entry(&mut self.workspaces, &last.workspaces, name),
            ResourceKind::Experiment => copy_entry(&mut self.experiments, &last.experiments, name),
            ResourceKind::Rollout => copy_entry(&mut self.rollouts, &last.rollouts, name),
        }
    }

    fn apply_withdrawals(&mut self, replica: &Replica) {
        for (name, version) in &mut self.versions {
            if replica.is_withdrawn(name) && version.state != VersionState::Withdrawn {
                Arc::make_mut(version).state = VersionState::Withdrawn;
            }
        }
    }

    fn build_indexes(&mut self) {
        for workspace in self.workspaces.values() {
            self.by_key
                .insert(workspace.key_sha256.clone(), workspace.clone());
        }
        for version in self.versions.values() {
            self.by_model
                .entry(version.model.clone())
                .or_default()
                .push(version.clone());
        }
    }
}

fn copy_entry<T>(
    to: &mut BTreeMap<Arc<str>, Arc<T>>,
    from: &BTreeMap<Arc<str>, Arc<T>>,
    name: &Arc<str>,
) {
    if let Some(value) = from.get(name) {
        to.insert(name.clone(), value.clone());
    }
}

fn split_spec_path(path: &str) -> Option<(ResourceKind, Arc<str>)> {
    let (kind, name) = path.strip_prefix(SPEC_PREFIX)?.split_once('/')?;
    Some((ResourceKind::parse(kind)?, name.into()))
}

fn deserialize<T: DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}
