//! Routing table built from one version of the configuration.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::limit::CallerLimits;
use crate::route::{DEFAULT_TIMEOUT_MS, Route};
use crate::service::Service;
use crate::workspace::Workspace;

/// Error when the API key of a request identifies no workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The request carries no key.
    Missing,
    /// No workspace has this key.
    Unknown,
}

/// Routes, services, workspaces and limits of one version of the configuration.
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
    /// Creates an empty table for a configuration version.
    pub fn new(version: u64) -> Table {
        Table {
            version,
            ..Table::default()
        }
    }

    /// Adds a route.
    pub fn with_route(mut self, route: Route) -> Table {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        // The routes of a host are kept sorted, the longest prefix first.
        let position = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(position, Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Table {
        self.services
            .insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Adds a workspace with its API keys.
    pub fn with_workspace(mut self, workspace: Workspace, keys: &[Arc<str>]) -> Table {
        let workspace = Arc::new(workspace);
        self.has_workspaces = true;
        for key in keys {
            self.keys.insert(key.clone(), workspace.clone());
        }
        self
    }

    /// Sets the limits on callers.
    pub fn with_limits(mut self, limits: CallerLimits) -> Table {
        self.limits = Some(limits);
        self
    }

    /// Returns the configuration version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers, if any are declared.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.limits.as_ref()
    }

    /// Finds the route of a host with the longest prefix that matches a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of a host, the longest prefix first.
    pub fn routes(&self, host: &str) -> &[Arc<Route>] {
        self.hosts.get(host).map_or(&[], Vec::as_slice)
    }

    /// Returns the longest timeout of the requests to a service, in milliseconds, if any route leads to it.
    pub fn longest_timeout_ms(&self, service: &str) -> Option<u64> {
        let routes = self.hosts.values().flatten();
        let to_service = routes.filter(|route| route.target(service).is_some());
        to_service
            .map(|route| route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS))
            .max()
    }

    /// Returns the home regions of all routes and workspaces.
    pub fn home_regions(&self) -> BTreeSet<&Arc<str>> {
        let of_routes = self.hosts.values().flatten().flat_map(|route| &route.homes);
        let of_workspaces = self.keys.values().flat_map(|workspace| &workspace.homes);
        let lists = of_routes.chain(of_workspaces);
        lists.flat_map(|homes| homes.iter()).collect()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Finds the workspace of an API key.
    ///
    /// Returns `None` if the key is missing or unknown and the route is public, or if no workspaces
    /// are declared.
    ///
    /// # Errors
    ///
    /// Fails if the route requires a key and the request has none, or an unknown one.
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
