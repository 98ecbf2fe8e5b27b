//! Calls that the local backend server makes while it runs requests.

use std::time;

use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::policy::compiled;
use lynxmast_state::running;

use crate::ingress;
use crate::ingress::head;

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Returns the running request of which a request is probably a call: it has no key and expires
    /// together with that one. The timeout counts as the sender stated it, since a route may have a
    /// shorter deadline.
    pub(super) fn find_parent(
        &self,
        parsed: &head::RequestHead,
        route_match: &compiled::RouteMatch,
        arrived: time::Instant,
    ) -> Option<running::Running> {
        let timeout = parsed.timeout.filter(|_| parsed.key.is_none())?;
        let deadline = arrived.checked_add(timeout)?;
        let service = &route_match.service.name;
        let parent = self.sidecar.find_parent(service, deadline)?;
        metrics::counter!("lynxmast_calls_total", "service" => service.to_string()).increment(1);
        Some(parent)
    }
}

impl ingress::RequestContext {
    /// Returns whether the request is probably a call of a running one.
    pub(super) fn is_call(&self) -> bool {
        self.parent.is_some()
    }

    /// Returns the organisation whose share of the slots the request uses: for a call, that of its
    /// parent.
    pub(super) fn charged_organisation(&self) -> &ids::OrganisationName {
        let own = &self.route_match.organisation;
        self.parent.as_ref().map_or(own, |parent| &parent.organisation)
    }

    /// Returns the rank of the request: for a call, that of its parent.
    pub(super) fn rank(&self) -> u32 {
        self.parent.as_ref().map_or(self.route_match.rank, |parent| parent.rank)
    }

    /// Returns the time left until the objective: for a call, that of its parent. Zero once it is
    /// missed, `None` without an objective.
    pub(super) fn objective_left(&self, now: time::Instant) -> Option<time::Duration> {
        match &self.parent {
            Some(parent) => parent.objective.map(|until| until.saturating_duration_since(now)),
            None => self.objective_remaining(now),
        }
    }
}
