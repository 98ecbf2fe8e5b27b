//! Calls that the local backend server makes while it runs requests.

use std::time;

use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::policy::compiled;
use lynxmast_state::retry;

use crate::ingress;
use crate::ingress::call_slot;
use crate::ingress::head;
use crate::ingress::request_context;

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Returns a place among the calls for a request that is probably the call of a running request
    /// although it expires with none: in a policy with organisations, callers have keys and backend
    /// servers have none. At most as many such calls are under way as requests that may have made
    /// them, so that callers of public routes gain little by being mistaken for a backend server.
    pub(super) fn find_call(
        &self,
        parsed: &head::RequestHead,
        policy: &compiled::CompiledPolicy,
        route_match: &compiled::RouteMatch,
    ) -> Option<call_slot::CallSlot> {
        if !policy.has_organisations() || parsed.key.is_some() {
            return None;
        }
        let service = &route_match.service.name;
        let (running, rank) = self.sidecar.running_elsewhere(service);
        let slot = call_slot::CallSlot::take(&self.calls, running, rank?)?;
        metrics::counter!("lynxmast_calls_total", "service" => service.to_string()).increment(1);
        Some(slot)
    }

    /// Returns the running request of which a request is probably a call: it has no key and expires
    /// together with that one. The timeout counts as the sender stated it, since a route may have a
    /// shorter deadline.
    pub(super) fn find_parent(
        &self,
        parsed: &head::RequestHead,
        route_match: &compiled::RouteMatch,
        arrived: time::Instant,
    ) -> Option<call_slot::Parent> {
        let timeout = parsed.timeout.filter(|_| parsed.key.is_none())?;
        let deadline = arrived.checked_add(timeout)?;
        let service = &route_match.service.name;
        let running = self.sidecar.find_parent(service, deadline)?;
        metrics::counter!("lynxmast_calls_total", "service" => service.to_string()).increment(1);
        let held_back = self.sidecar.record_call(&running, service);
        Some(call_slot::Parent { running, held_back })
    }

    /// Records the end of a request that is a call, and whether capacity was missing for it.
    pub(super) fn record_call_end<B>(
        &self,
        context: &request_context::RequestContext,
        result: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let Some(parent) = &context.parent else { return };
        let is_rejected = matches!(
            result,
            Err(retry::AttemptEnd::NotRun(rejection)) if rejection.shows_missing_capacity()
        );
        let service = &context.route_match.service.name;
        self.sidecar.record_call_end(service, parent.held_back, is_rejected);
    }
}

impl request_context::RequestContext {
    /// Returns whether the request is probably a call of a running one.
    pub(super) fn is_call(&self) -> bool {
        self.parent.is_some() || self.call.is_some()
    }

    /// Returns the organisation whose share of the slots the request uses: for a call, that of its
    /// parent.
    pub(super) fn charged_organisation(&self) -> &ids::OrganisationName {
        let own = &self.route_match.organisation;
        self.parent.as_ref().map_or(own, |parent| &parent.running.organisation)
    }

    /// Returns the rank of the request: for a call, that of its parent or, if that is not known, the
    /// most urgent one of those that may be.
    pub(super) fn rank(&self) -> u32 {
        let parent = self.parent.as_ref().map(|parent| parent.running.rank);
        let possible = self.call.as_ref().map(|slot| slot.rank);
        parent.or(possible).unwrap_or(self.route_match.rank)
    }

    /// Returns the time left until the objective: for a call, that of its parent. Zero once it is
    /// missed, `None` without an objective.
    pub(super) fn objective_left(&self, now: time::Instant) -> Option<time::Duration> {
        match &self.parent {
            Some(parent) => {
                parent.running.objective.map(|until| until.saturating_duration_since(now))
            }
            None => self.objective_remaining(now),
        }
    }
}
