//! Validation of a set of declarations, including references between resources.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::declarations::{Declaration, Declarations};
use crate::error::ValidationError;
use crate::resource::{
    Experiment, Pool, Resource, ResourceKind, Rollout, Version, VersionState, Workspace,
};

/// The tolerance for rounding errors when the shares of an experiment are summed.
const SHARE_TOLERANCE: f64 = 1e-9;

/// The length of a SHA-256 hash in hexadecimal digits.
const SHA256_HEX_CHARS: usize = 64;

impl Declarations {
    /// Validates all declarations and returns the errors, sorted by file and resource.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut checker = Checker {
            set: self,
            names: BTreeMap::new(),
            errors: Vec::new(),
        };
        checker.index_names();
        for item in &self.items {
            checker.check_item(item);
        }
        checker.errors.sort();
        checker.errors
    }
}

struct Checker<'a> {
    set: &'a Declarations,
    names: BTreeMap<(ResourceKind, &'a str), &'a Declaration>,
    errors: Vec<ValidationError>,
}

impl<'a> Checker<'a> {
    fn index_names(&mut self) {
        for item in &self.set.items {
            let Some(first) = self.names.insert((item.kind, &item.name), item) else {
                continue;
            };
            let expected = format!("expected a unique name, also declared in {}", first.file);
            self.report(item, "name", expected);
        }
    }

    fn report(&mut self, item: &Declaration, field: &str, expected: String) {
        self.errors.push(ValidationError {
            file: item.file.clone(),
            resource: format!("{}/{}", item.kind.as_str(), item.name),
            field: field.to_owned(),
            expected,
        });
    }

    fn check_reference(&mut self, item: &Declaration, field: &str, kind: ResourceKind, name: &str) {
        if self.names.contains_key(&(kind, name)) {
            return;
        }
        let same_kind = self.names.keys().filter(|(known, _)| *known == kind);
        let known: Vec<&str> = same_kind.map(|(_, name)| *name).collect();
        let hint = kernel::nearest(name, &known).map(|near| format!(" (did you mean '{near}'?)"));
        let expected = format!(
            "expected the name of a {}, found '{name}'{}",
            kind.as_str(),
            hint.unwrap_or_default()
        );
        self.report(item, field, expected);
    }

    fn check_share(&mut self, item: &Declaration, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.report(
                item,
                field,
                format!("expected a share from 0 to 1, found {value}"),
            );
        }
    }

    fn check_item(&mut self, item: &'a Declaration) {
        match &item.resource {
            Resource::Model(_) => {}
            Resource::Pool(pool) => self.check_pool(item, pool),
            Resource::Version(version) => self.check_version(item, version),
            Resource::Policy(policy) => self.check_share(item, "sample_share", policy.sample_share),
            Resource::Workspace(workspace) => self.check_workspace(item, workspace),
            Resource::Experiment(experiment) => self.check_experiment(item, experiment),
            Resource::Rollout(rollout) => self.check_rollout(item, rollout),
        }
    }

    fn check_pool(&mut self, item: &Declaration, pool: &Pool) {
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

    fn check_version(&mut self, item: &Declaration, version: &Version) {
        self.check_reference(item, "model", ResourceKind::Model, &version.model);
        self.check_reference(item, "pool", ResourceKind::Pool, &version.pool);
        self.check_share(item, "quality_prior", version.quality_prior);
    }

    fn check_workspace(&mut self, item: &Declaration, workspace: &Workspace) {
        for (index, name) in workspace.versions.iter().enumerate() {
            self.check_reference(
                item,
                &format!("versions[{index}]"),
                ResourceKind::Version,
                name,
            );
        }
        for (index, name) in workspace.services.iter().enumerate() {
            self.check_reference(
                item,
                &format!("services[{index}]"),
                ResourceKind::Pool,
                name,
            );
        }
        self.check_reference(item, "policy", ResourceKind::Policy, &workspace.policy);
        self.check_share(item, "quality_target", workspace.quality_target);
        self.check_share(item, "objective.share", workspace.objective.share);
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

    fn check_experiment(&mut self, item: &Declaration, experiment: &Experiment) {
        for (index, name) in experiment.workspaces.iter().enumerate() {
            self.check_reference(
                item,
                &format!("workspaces[{index}]"),
                ResourceKind::Workspace,
                name,
            );
        }
        for (index, arm) in experiment.arms.iter().enumerate() {
            self.check_reference(
                item,
                &format!("arms[{index}].policy"),
                ResourceKind::Policy,
                &arm.policy,
            );
            self.check_share(item, &format!("arms[{index}].share"), arm.share);
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

    fn check_rollout(&mut self, item: &Declaration, rollout: &Rollout) {
        self.check_reference(item, "from", ResourceKind::Version, &rollout.from);
        self.check_reference(item, "to", ResourceKind::Version, &rollout.to);
        for (index, step) in rollout.steps.iter().enumerate() {
            self.check_share(item, &format!("steps[{index}]"), *step);
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
        self.check_rollout_versions(item, rollout);
    }

    fn check_rollout_versions(&mut self, item: &Declaration, rollout: &Rollout) {
        let version_named = |name: &str| match self
            .names
            .get(&(ResourceKind::Version, name))
            .map(|found| &found.resource)
        {
            Some(Resource::Version(version)) => Some(version.clone()),
            _ => None,
        };
        let (Some(from), Some(to)) = (version_named(&rollout.from), version_named(&rollout.to))
        else {
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
