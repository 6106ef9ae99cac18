//! The check of a whole set of declarations.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::declarations::{Declaration, Declarations};
use crate::error::ValidationError;
use crate::resource::{
    Experiment, Pool, Resource, ResourceKind, Rollout, Version, VersionState, Workspace,
};

/// How far a sum of shares may be from 1.
const SHARE_TOLERANCE: f64 = 1e-9;

/// The length of a SHA-256 in hexadecimal.
const SHA256_HEX_CHARS: usize = 64;

impl Declarations {
    /// Checks the whole set and returns every fault.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut checker = Checker {
            set: self,
            names: BTreeMap::new(),
            problems: Vec::new(),
        };
        checker.index();
        for item in &self.items {
            checker.item(item);
        }
        checker.problems.sort();
        checker.problems
    }
}

struct Checker<'a> {
    set: &'a Declarations,
    names: BTreeMap<(ResourceKind, &'a str), &'a Declaration>,
    problems: Vec<ValidationError>,
}

impl<'a> Checker<'a> {
    fn index(&mut self) {
        for item in &self.set.items {
            let Some(first) = self.names.insert((item.kind, &item.name), item) else {
                continue;
            };
            let expected = format!("expected a unique name, also declared in {}", first.file);
            self.report(item, "name", expected);
        }
    }

    fn report(&mut self, item: &Declaration, field: &str, expected: String) {
        self.problems.push(ValidationError {
            file: item.file.clone(),
            resource: format!("{}/{}", item.kind.as_str(), item.name),
            field: field.to_owned(),
            expected,
        });
    }

    fn refer(&mut self, item: &Declaration, field: &str, kind: ResourceKind, name: &str) {
        if self.names.contains_key(&(kind, name)) {
            return;
        }
        let names = self.names.keys().filter(|(known, _)| *known == kind);
        let known: Vec<&str> = names.map(|(_, name)| *name).collect();
        let near = kernel::nearest(name, &known).map(|near| format!(" (did you mean '{near}'?)"));
        let expected = format!(
            "expected the name of a {}, found '{name}'{}",
            kind.as_str(),
            near.unwrap_or_default()
        );
        self.report(item, field, expected);
    }

    fn share(&mut self, item: &Declaration, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.report(
                item,
                field,
                format!("expected a share from 0 to 1, found {value}"),
            );
        }
    }

    fn item(&mut self, item: &'a Declaration) {
        match &item.resource {
            Resource::Model(_) => {}
            Resource::Pool(pool) => self.pool(item, pool),
            Resource::Version(version) => self.version(item, version),
            Resource::Policy(policy) => self.share(item, "sample_share", policy.sample_share),
            Resource::Workspace(workspace) => self.workspace(item, workspace),
            Resource::Experiment(experiment) => self.experiment(item, experiment),
            Resource::Rollout(rollout) => self.rollout(item, rollout),
        }
    }

    fn pool(&mut self, item: &Declaration, pool: &Pool) {
        if pool.endpoints.is_empty() {
            self.report(
                item,
                "endpoints",
                "expected at least one endpoint".to_owned(),
            );
        }
        for (index, endpoint) in pool.endpoints.iter().enumerate() {
            if endpoint.addr.parse::<SocketAddr>().is_err() {
                let expected =
                    format!("expected an IP address and port, found '{}'", endpoint.addr);
                self.report(item, &format!("endpoints[{index}].addr"), expected);
            }
            if endpoint.slots == 0 {
                self.report(
                    item,
                    &format!("endpoints[{index}].slots"),
                    "expected at least 1".to_owned(),
                );
            }
        }
    }

    fn version(&mut self, item: &Declaration, version: &Version) {
        self.refer(item, "model", ResourceKind::Model, &version.model);
        self.refer(item, "pool", ResourceKind::Pool, &version.pool);
        self.share(item, "quality_prior", version.quality_prior);
    }

    fn workspace(&mut self, item: &Declaration, workspace: &Workspace) {
        for (index, name) in workspace.versions.iter().enumerate() {
            self.refer(
                item,
                &format!("versions[{index}]"),
                ResourceKind::Version,
                name,
            );
        }
        for (index, name) in workspace.services.iter().enumerate() {
            self.refer(
                item,
                &format!("services[{index}]"),
                ResourceKind::Pool,
                name,
            );
        }
        self.refer(item, "policy", ResourceKind::Policy, &workspace.policy);
        self.share(item, "quality_target", workspace.quality_target);
        self.share(item, "objective.share", workspace.objective.share);
        if workspace.quota_per_s.is_nan() || workspace.quota_per_s < 0.0 {
            let expected = format!(
                "expected a rate of 0 or more, found {}",
                workspace.quota_per_s
            );
            self.report(item, "quota_per_s", expected);
        }
        let key = &workspace.key_sha256;
        if key.len() != SHA256_HEX_CHARS || !key.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            self.report(
                item,
                "key_sha256",
                "expected 64 hexadecimal digits".to_owned(),
            );
        }
    }

    fn experiment(&mut self, item: &Declaration, experiment: &Experiment) {
        for (index, name) in experiment.workspaces.iter().enumerate() {
            self.refer(
                item,
                &format!("workspaces[{index}]"),
                ResourceKind::Workspace,
                name,
            );
        }
        for (index, arm) in experiment.arms.iter().enumerate() {
            self.refer(
                item,
                &format!("arms[{index}].policy"),
                ResourceKind::Policy,
                &arm.policy,
            );
            self.share(item, &format!("arms[{index}].share"), arm.share);
        }
        let sum: f64 = experiment.arms.iter().map(|arm| arm.share).sum();
        if (sum - 1.0).abs() > SHARE_TOLERANCE {
            self.report(
                item,
                "arms",
                format!("expected shares that sum to 1, found {sum}"),
            );
        }
    }

    fn rollout(&mut self, item: &Declaration, rollout: &Rollout) {
        self.refer(item, "from", ResourceKind::Version, &rollout.from);
        self.refer(item, "to", ResourceKind::Version, &rollout.to);
        for (index, step) in rollout.steps.iter().enumerate() {
            self.share(item, &format!("steps[{index}]"), *step);
        }
        let rising = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
        if rollout.steps.is_empty() || !rising {
            self.report(
                item,
                "steps",
                "expected one or more rising shares".to_owned(),
            );
        }
        if rollout.max_unrated == 0 {
            self.report(item, "max_unrated", "expected at least 1".to_owned());
        }
        self.rollout_versions(item, rollout);
    }

    fn rollout_versions(&mut self, item: &Declaration, rollout: &Rollout) {
        let find = |name: &str| match self
            .names
            .get(&(ResourceKind::Version, name))
            .map(|found| &found.resource)
        {
            Some(Resource::Version(version)) => Some(version.clone()),
            _ => None,
        };
        let (Some(from), Some(to)) = (find(&rollout.from), find(&rollout.to)) else {
            return;
        };
        if from.model != to.model {
            let expected = format!(
                "expected a version of model '{}', found one of '{}'",
                from.model, to.model
            );
            self.report(item, "to", expected);
        }
        if to.state == VersionState::Proven {
            self.report(
                item,
                "to",
                "expected an unproven version, found a proven one".to_owned(),
            );
        }
    }
}
