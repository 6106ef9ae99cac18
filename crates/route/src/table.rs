//! One version of the whole configuration.

use std::collections::HashMap;
use std::sync::Arc;

use crate::limit::CallerLimits;
use crate::route::Route;
use crate::service::Service;
use crate::workspace::Workspace;

/// Why a key names no workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// None was sent.
    Missing,
    /// No workspace holds it.
    Unknown,
}

/// One version of the whole configuration.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    has_workspaces: bool,
    limits: Option<CallerLimits>,
}

impl Table {
    /// Makes an empty table of a version.
    pub fn new(version: u64) -> Table {
        Table {
            version,
            ..Table::default()
        }
    }

    /// Adds a route.
    pub fn with_route(mut self, route: Route) -> Table {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Table {
        self.services
            .insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Adds a workspace with its keys.
    pub fn with_workspace(mut self, workspace: Workspace, keys: &[Arc<str>]) -> Table {
        let workspace = Arc::new(workspace);
        self.has_workspaces = true;
        for key in keys {
            self.keys.insert(key.clone(), workspace.clone());
        }
        self
    }

    /// Sets the bounds on callers.
    pub fn with_limits(mut self, limits: CallerLimits) -> Table {
        self.limits = Some(limits);
        self
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.limits.as_ref()
    }

    /// Finds the route with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Finds the workspace of a key, or none where no key is needed.
    ///
    /// # Errors
    ///
    /// Fails when a key is needed and names no workspace.
    pub fn workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Workspace>>, KeyError> {
        let found = key.and_then(|key| self.keys.get(key));
        if found.is_some() || route.public || !self.has_workspaces {
            return Ok(found);
        }
        Err(if key.is_some() {
            KeyError::Unknown
        } else {
            KeyError::Missing
        })
    }
}
