//! Findings about a valid section: entries that can never match and limits that contradict each
//! other.

use std::collections;
use std::fmt;

use crate::ids;
use crate::policy::document;
use crate::policy::organisation;
use crate::policy::route;
use crate::policy::section;
use crate::policy::service;

value! {
    /// What is wrong with an entry of a section that is valid as such.
    #[derive(Copy, Eq)]
    pub enum Reason {
        /// Another route matches every request that this one would match.
        ShadowedRoute,
        /// No request can have a path or method of this route.
        UnmatchableRoute,
        /// The route needs a key, and the team has no organisation with one.
        NoKeyForRoute,
        /// The route's share of requests for the service is zero.
        ZeroWeight,
        /// No route leads to the service.
        UnusedService,
        /// The organisation has no key, so that it cannot send requests.
        OrganisationWithoutKey,
        /// Requests end at the deadline before they could miss the objective.
        DeadlineBelowObjective,
        /// The route allows several attempts, and the service allows no retries.
        AttemptsWithoutRetries,
        /// The queue lets requests wait for longer than the deadline of the route.
        WaitAboveDeadline,
        /// The floor is higher than the number of slots of all upstreams.
        FloorAbovePool,
    }

    /// Finding about one entry of a section.
    pub struct Finding {
        /// Key path, such as `route[1].deadline`.
        pub key: String,
        /// What is wrong.
        pub reason: Reason,
        /// Values that the finding is based on.
        pub detail: String,
    }
}

/// Slots of all upstreams of each service, as far as they are known.
pub type Pools = collections::HashMap<ids::ServiceName, u32>;

/// Characters that occur in no path of a request.
const NOT_IN_PATH: [char; 3] = ['?', '#', ' '];
/// Method of requests that every ingress rejects.
const REJECTED_METHOD: &str = "CONNECT";

impl Reason {
    /// Returns the description of the reason.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::ShadowedRoute => "can never match: another route matches the same requests",
            Reason::UnmatchableRoute => "can never match: no request has such a path or method",
            Reason::NoKeyForRoute => "can never match: no organisation of the team has a key",
            Reason::ZeroWeight => "gets no requests: its weight is 0",
            Reason::UnusedService => "gets no requests: no route leads to it",
            Reason::OrganisationWithoutKey => "cannot send requests: it has no key",
            Reason::DeadlineBelowObjective => "the deadline ends requests before the objective",
            Reason::AttemptsWithoutRetries => "several attempts, but the service allows no retries",
            Reason::WaitAboveDeadline => "the queue's longest wait is above the route's deadline",
            Reason::FloorAbovePool => "the floor is above the slots of all upstreams",
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.key, self.reason.as_str(), self.detail)
    }
}

/// Returns the findings about `section`. `pools` may lack services; their floors are not checked
/// then.
///
/// # Examples
///
/// ```
/// use lynxmast_state::policy::{finding, section};
/// let text = "team = 't'\n[[service]]\nname = 's'\n";
/// let section = section::Section::parse(text).unwrap();
/// let findings = finding::find(&section, &finding::Pools::default());
/// assert_eq!(findings[0].reason, finding::Reason::UnusedService);
/// ```
pub fn find(section: &section::Section, pools: &Pools) -> Vec<Finding> {
    let mut findings = Findings::default();
    for (index, route) in section.route.iter().enumerate() {
        findings.check_route(section, index, route);
    }
    for (index, service) in section.service.iter().enumerate() {
        findings.check_service(section, index, service, pools);
    }
    for (index, organisation) in section.organisation.iter().enumerate() {
        if organisation.hashes().next().is_none() {
            let detail = format!("organisation '{}'", organisation.name);
            let key = format!("organisation[{index}].key-hashes");
            findings.add(key, Reason::OrganisationWithoutKey, detail);
        }
    }
    findings.found
}

/// Returns the findings about all sections of `document`.
pub fn find_all(document: &document::Document, pools: &Pools) -> Vec<Finding> {
    document.sections.values().flat_map(|section| find(section, pools)).collect()
}

#[derive(Default)]
struct Findings {
    found: Vec<Finding>,
}

impl Findings {
    fn add(&mut self, key: String, reason: Reason, detail: String) {
        self.found.push(Finding { key, reason, detail });
    }

    fn check_route(&mut self, section: &section::Section, index: usize, route: &route::Route) {
        let name = format!("{}{}", route.host, route.path);
        let key = |field: &str| format!("route[{index}].{field}");
        let earlier = &section.route[..index];
        if earlier.iter().any(|other| other.covers(route)) {
            self.add(key("path"), Reason::ShadowedRoute, name.clone());
        }
        let is_rejected = !route.methods.is_empty()
            && route.methods.iter().all(|method| method == REJECTED_METHOD);
        if is_rejected || route.path.contains(NOT_IN_PATH) {
            self.add(key("path"), Reason::UnmatchableRoute, name.clone());
        }
        let has_key = |o: &organisation::Organisation| o.hashes().next().is_some();
        if !route.public && !section.organisation.iter().any(has_key) {
            self.add(key("public"), Reason::NoKeyForRoute, name.clone());
        }
        for target in route.split.iter().filter(|target| target.weight == 0) {
            let detail = format!("{name}, service '{}'", target.service);
            self.add(key("split"), Reason::ZeroWeight, detail);
        }
        if route.deadline < route.objective {
            let (deadline, objective) = (route.deadline, route.objective);
            let detail = format!("{name}: {deadline:?}, objective {objective:?}");
            self.add(key("deadline"), Reason::DeadlineBelowObjective, detail);
        }
        let services = route.targets().filter_map(|(target, _)| {
            section.service.iter().find(|service| service.name == *target)
        });
        for service in services {
            let no_retries =
                service.retry_ratio == 0.0 && service.retry_reserve.is_none_or(|r| r == 0.0);
            if route.attempts > 1 && no_retries {
                let detail = format!("{name}: {}, service '{}'", route.attempts, service.name);
                self.add(key("attempts"), Reason::AttemptsWithoutRetries, detail);
            }
            if service.max_wait > route.deadline {
                let (wait, deadline) = (service.max_wait, route.deadline);
                let detail = format!("{name}: {deadline:?}, service '{}': {wait:?}", service.name);
                self.add(key("deadline"), Reason::WaitAboveDeadline, detail);
            }
        }
    }

    fn check_service(
        &mut self,
        section: &section::Section,
        index: usize,
        service: &service::Service,
        pools: &Pools,
    ) {
        let is_target =
            |route: &route::Route| route.targets().any(|(name, _)| *name == service.name);
        if !section.route.iter().any(is_target) {
            let detail = format!("service '{}'", service.name);
            self.add(format!("service[{index}].name"), Reason::UnusedService, detail);
        }
        if let Some(&slots) = pools.get(&service.name)
            && service.floor > slots
        {
            let detail = format!("service '{}': {} of {slots}", service.name, service.floor);
            self.add(format!("service[{index}].floor"), Reason::FloorAbovePool, detail);
        }
    }
}

#[cfg(test)]
mod tests;
