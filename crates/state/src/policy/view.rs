//! The policy compiled for look-ups on the request path.

use std::collections;
use std::sync;
use std::sync::atomic;

use crate::ids;
use crate::outcome;
use crate::policy::document;
use crate::policy::organisation;
use crate::policy::route;
use crate::policy::service;

/// Policy at one version, indexed for requests. Shared by reference; never changed in place.
#[derive(Debug, Default)]
pub struct View {
    /// Version compiled.
    pub version: ids::PolicyVersion,
    /// What callers may send and how long they may take.
    pub limits: document::CallerLimits,
    services: collections::HashMap<ids::ServiceName, sync::Arc<service::Service>>,
    /// Routes by host, longest path first.
    routes: collections::HashMap<String, Vec<Rule>>,
    by_key: collections::HashMap<String, sync::Arc<Member>>,
    by_name: collections::HashMap<ids::OrganisationName, sync::Arc<Member>>,
}

/// An organisation with the team whose services it uses.
#[derive(Debug, PartialEq)]
pub struct Member {
    /// Team whose services the organisation uses.
    pub team: ids::TeamName,
    /// Policy of the organisation.
    pub organisation: organisation::Organisation,
}

#[derive(Debug)]
struct Rule {
    team: ids::TeamName,
    route: sync::Arc<route::Route>,
    /// Services that share the requests, with their weights.
    targets: Vec<(sync::Arc<service::Service>, u32)>,
    /// Requests decided so far; spreads them over the targets.
    decided: atomic::AtomicU32,
}

/// Everything that the policy says about one request.
#[derive(Debug, Clone)]
pub struct Decision {
    /// Route that matched.
    pub route: sync::Arc<route::Route>,
    /// Service of the route.
    pub service: sync::Arc<service::Service>,
    /// Organisation that the request is counted for.
    pub organisation: ids::OrganisationName,
    /// Rate limit of the organisation over the fleet, in requests a second.
    pub rate: Option<f64>,
}

impl View {
    /// Compiles a document.
    pub fn compile(version: ids::PolicyVersion, document: &document::Document) -> Self {
        let mut view = View { version, limits: document.limits.clone(), ..View::default() };
        for (team, section) in &document.sections {
            for service in &section.service {
                view.services.insert(service.name.clone(), sync::Arc::new(service.clone()));
            }
            for route in &section.route {
                let rule = Rule::compile(team, route, &view.services);
                view.routes.entry(route.host.clone()).or_default().push(rule);
            }
            for organisation in &section.organisation {
                let organisation = organisation.clone();
                let member = sync::Arc::new(Member { team: team.clone(), organisation });
                view.by_key.insert(member.organisation.key_hash.clone(), member.clone());
                view.by_name.insert(member.organisation.name.clone(), member);
            }
        }
        for rules in view.routes.values_mut() {
            rules.sort_by_key(|rule| {
                let specific = !rule.route.methods.is_empty();
                (std::cmp::Reverse(rule.route.path.len()), std::cmp::Reverse(specific))
            });
        }
        view
    }

    /// Returns a service's policy.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<service::Service>> {
        self.services.get(name)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<service::Service>> {
        self.services.values()
    }

    /// Returns an organisation's weight; callers without key weigh one.
    pub fn weight(&self, organisation: &str) -> u32 {
        self.by_name.get(organisation).map_or(1, |member| member.organisation.weight)
    }

    /// Returns an organisation's rate limit over the fleet.
    pub fn rate(&self, organisation: &str) -> Option<f64> {
        self.by_name.get(organisation).and_then(|member| member.organisation.rate)
    }

    /// Decides which route, service and organisation a request belongs to.
    ///
    /// `key` is the organisation's key as presented, `host` is lower case without port.
    ///
    /// # Errors
    ///
    /// Refuses requests without route, with an unknown key, or from an organisation of another
    /// team.
    pub fn decide(
        &self,
        host: &str,
        path: &str,
        method: &str,
        key: Option<&str>,
    ) -> Result<Decision, outcome::Refusal> {
        if self.version == 0 {
            return Err(outcome::Refusal::NoPolicy);
        }
        let rules = self.routes.get(host).ok_or(outcome::Refusal::NoRoute)?;
        let rule = rules.iter().find(|rule| rule.route.matches(path, method));
        let rule = rule.ok_or(outcome::Refusal::NoRoute)?;
        let service = rule.target().ok_or(outcome::Refusal::NoRoute)?;
        let (organisation, rate) = match key {
            Some(key) => self.identify(key, &rule.team)?,
            None if rule.route.public => (organisation::PUBLIC.into(), None),
            None => return Err(outcome::Refusal::UnknownKey),
        };
        let route = rule.route.clone();
        Ok(Decision { route, service, organisation, rate })
    }

    fn identify(
        &self,
        key: &str,
        team: &ids::TeamName,
    ) -> Result<(ids::OrganisationName, Option<f64>), outcome::Refusal> {
        let member = self.by_key.get(&organisation::hash_key(key));
        let member = member.ok_or(outcome::Refusal::UnknownKey)?;
        if member.team != *team {
            return Err(outcome::Refusal::Forbidden);
        }
        Ok((member.organisation.name.clone(), member.organisation.rate))
    }
}

impl Rule {
    fn compile(
        team: &ids::TeamName,
        route: &route::Route,
        services: &collections::HashMap<ids::ServiceName, sync::Arc<service::Service>>,
    ) -> Self {
        let known = route.targets().filter_map(|(name, weight)| {
            services.get(name).map(|service| (service.clone(), weight))
        });
        Self {
            team: team.clone(),
            route: sync::Arc::new(route.clone()),
            targets: known.collect(),
            decided: Default::default(),
        }
    }

    /// Chooses the service of the next request. A low-discrepancy sequence keeps the shares of
    /// any run of requests close to the weights.
    fn target(&self) -> Option<sync::Arc<service::Service>> {
        let [(only, _)] = self.targets.as_slice() else { return self.weighted_target() };
        Some(only.clone())
    }

    fn weighted_target(&self) -> Option<sync::Arc<service::Service>> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let number = self.decided.fetch_add(1, atomic::Ordering::Relaxed);
        let point = number.wrapping_mul(GOLDEN_RATIO);
        let mut mark = (u64::from(point) * total) >> u32::BITS;
        let chosen = self.targets.iter().find(|(_, weight)| {
            let is_here = mark < u64::from(*weight);
            mark = mark.saturating_sub(u64::from(*weight));
            is_here
        });
        chosen.map(|(service, _)| service.clone())
    }
}

/// Golden ratio as a fraction of 2^32; its multiples fill the circle evenly.
const GOLDEN_RATIO: u32 = 2_654_435_769;
