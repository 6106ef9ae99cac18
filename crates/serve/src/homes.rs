//! Instances and endpoints in the home regions of requests.

use std::sync::Arc;

use kernel::{Failure, Reason};
use member::Member;

use crate::active_request::ActiveRequest;
use crate::outcome::Counters;
use crate::request_context::RequestContext;
use crate::view::View;

/// Retry-after of a request without an endpoint in a home region, in milliseconds: the duration of a restart.
const NO_HOME_RETRY_AFTER_MS: u64 = 500;

impl View {
    /// Returns the region of a zone, if the settings name it.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(|region| &**region)
    }

    /// Returns whether a zone is in one of these home regions. One without a known region is in none.
    pub(crate) fn is_in_homes(&self, homes: &[Arc<str>], zone: &str) -> bool {
        let region = self.region(zone);
        region.is_some_and(|region| homes.iter().any(|home| **home == *region))
    }

    /// Returns the members that a caller may be told for a host.
    ///
    /// If all routes of the host have homes, these are the members in regions that are homes of all of them or
    /// that the caller is in; without any, those in homes of one of them; without any, all members. A caller
    /// that names no region is in that of its zone.
    pub fn members_for_host<'a>(
        &self,
        members: &'a [Member],
        host: &str,
        region: &str,
        zone: &str,
    ) -> Vec<&'a Member> {
        let mut chosen: Vec<&Member> = members.iter().collect();
        let routes = self
            .table
            .as_ref()
            .map_or(&[][..], |table| table.routes(host));
        if routes.is_empty() || routes.iter().any(|route| route.homes.is_none()) {
            return chosen;
        }
        chosen.retain(|member| member.accepts_requests());
        let caller_region = if region.is_empty() {
            self.region(zone)
        } else {
            Some(region)
        };
        let homes = || routes.iter().flat_map(|route| &route.homes);
        let is_preferred = |member: &Member| {
            caller_region.is_some() && self.region(&member.zone) == caller_region
                || homes().all(|homes| self.is_in_homes(homes, &member.zone))
        };
        let is_home_of_one =
            |member: &Member| homes().any(|homes| self.is_in_homes(homes, &member.zone));
        for is_allowed in [&is_preferred as &dyn Fn(&Member) -> bool, &is_home_of_one] {
            if chosen.iter().any(|member| is_allowed(member)) {
                chosen.retain(|member| is_allowed(member));
                return chosen;
            }
        }
        chosen
    }
}

impl ActiveRequest {
    /// Returns whether the request and its body may be sent to a zone.
    pub(crate) fn is_permitted_in(&self, view: &View, zone: &str) -> bool {
        let homes = self.homes.as_ref();
        homes.is_none_or(|homes| view.is_in_homes(homes, zone))
    }

    /// Checks that the service has an endpoint in a home region, if the request has homes.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub(crate) fn check_homes(&self, context: &RequestContext, view: &View) -> Result<(), Failure> {
        if self.homes.is_none() {
            return Ok(());
        }
        let pool = view.pools.get(&self.service);
        let mut endpoints = pool.into_iter().flat_map(|pool| &pool.endpoints);
        if endpoints.any(|endpoint| self.is_permitted_in(view, &endpoint.zone)) {
            return Ok(());
        }
        Counters::add(&context.counters.without_home);
        let detail = "the service has no endpoint in a home region of the request";
        let failure = self.failure(Reason::NoEndpoint, detail);
        Err(failure.retry_after_ms(self.retry_after_ms(NO_HOME_RETRY_AFTER_MS)))
    }
}
