//! The policy compiled into indexes for lookups on the request path.

use std::collections;
use std::sync;
use std::sync::atomic;

use crate::ids;
use crate::outcome;
use crate::policy::document;
use crate::policy::organisation;
use crate::policy::route;
use crate::policy::service;

/// Immutable, indexed form of one policy version.
#[derive(Debug, Default)]
pub struct View {
    /// Policy version that was compiled.
    pub version: ids::PolicyVersion,
    /// Size and time limits on requests of callers.
    pub limits: document::CallerLimits,
    services: collections::HashMap<ids::ServiceName, sync::Arc<service::Service>>,
    /// Routes by host, in order of precedence: longest path first, then routes with methods.
    routes: collections::HashMap<String, Vec<CompiledRoute>>,
    /// Organisations by the hash of their key.
    by_key: collections::HashMap<String, sync::Arc<TeamOrganisation>>,
    by_name: collections::HashMap<ids::OrganisationName, sync::Arc<TeamOrganisation>>,
}

/// An organisation and the team whose services it uses.
#[derive(Debug, PartialEq)]
pub struct TeamOrganisation {
    /// Team whose services the organisation uses.
    pub team: ids::TeamName,
    /// Policy of the organisation.
    pub organisation: organisation::Organisation,
}

/// A route with its services looked up.
#[derive(Debug)]
struct CompiledRoute {
    team: ids::TeamName,
    route: sync::Arc<route::Route>,
    /// Services that requests are split over, with their weights.
    targets: Vec<(sync::Arc<service::Service>, u32)>,
    /// Number of requests seen; index into the sequence that splits them over the targets.
    requests: atomic::AtomicU32,
}

/// Route, service and organisation of one request.
#[derive(Debug, Clone)]
pub struct Decision {
    /// Matching route.
    pub route: sync::Arc<route::Route>,
    /// Service that runs the request.
    pub service: sync::Arc<service::Service>,
    /// Organisation to which the request is accounted.
    pub organisation: ids::OrganisationName,
    /// Fleet-wide rate limit of the organisation, in requests per second; `None` for no limit.
    pub rate: Option<f64>,
}

impl View {
    /// Compiles `document`.
    pub fn compile(version: ids::PolicyVersion, document: &document::Document) -> Self {
        let mut view = View { version, limits: document.limits.clone(), ..View::default() };
        for (team, section) in &document.sections {
            for service in &section.service {
                view.services.insert(service.name.clone(), sync::Arc::new(service.clone()));
            }
            for route in &section.route {
                let compiled = CompiledRoute::compile(team, route, &view.services);
                view.routes.entry(route.host.clone()).or_default().push(compiled);
            }
            for organisation in &section.organisation {
                let organisation = organisation.clone();
                let entry = sync::Arc::new(TeamOrganisation { team: team.clone(), organisation });
                view.by_key.insert(entry.organisation.key_hash.clone(), entry.clone());
                view.by_name.insert(entry.organisation.name.clone(), entry);
            }
        }
        for routes in view.routes.values_mut() {
            routes.sort_by_key(|compiled| {
                let has_methods = !compiled.route.methods.is_empty();
                (std::cmp::Reverse(compiled.route.path.len()), std::cmp::Reverse(has_methods))
            });
        }
        view
    }

    /// Returns the policy of a service; `None` if the policy has no such service.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<service::Service>> {
        self.services.get(name)
    }

    /// Returns an iterator over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<service::Service>> {
        self.services.values()
    }

    /// Returns the weight of an organisation; 1 for callers without a key.
    pub fn weight(&self, organisation: &str) -> u32 {
        self.by_name.get(organisation).map_or(1, |entry| entry.organisation.weight)
    }

    /// Returns the fleet-wide rate limit of an organisation, in requests per second; `None` for no
    /// limit.
    pub fn rate(&self, organisation: &str) -> Option<f64> {
        self.by_name.get(organisation).and_then(|entry| entry.organisation.rate)
    }

    /// Finds the route, service and organisation of a request.
    ///
    /// `host` is in lower case and without port; `key` is the organisation's key as sent by the
    /// caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no policy yet, no route matches, the key is missing or
    /// unknown, or the organisation belongs to another team than the route.
    pub fn decide(
        &self,
        host: &str,
        path: &str,
        method: &str,
        key: Option<&str>,
    ) -> Result<Decision, outcome::Rejection> {
        if self.version == 0 {
            return Err(outcome::Rejection::NoPolicy);
        }
        let routes = self.routes.get(host).ok_or(outcome::Rejection::NoRoute)?;
        let matching = routes.iter().find(|compiled| compiled.route.matches(path, method));
        let matching = matching.ok_or(outcome::Rejection::NoRoute)?;
        let service = matching.select_service().ok_or(outcome::Rejection::NoRoute)?;
        let (organisation, rate) = match key {
            Some(key) => self.authenticate(key, &matching.team)?,
            None if matching.route.public => (organisation::PUBLIC.into(), None),
            None => return Err(outcome::Rejection::UnknownKey),
        };
        let route = matching.route.clone();
        Ok(Decision { route, service, organisation, rate })
    }

    /// Returns name and rate limit of the organisation whose key is `key`, if it may use the
    /// services of `team`.
    fn authenticate(
        &self,
        key: &str,
        team: &ids::TeamName,
    ) -> Result<(ids::OrganisationName, Option<f64>), outcome::Rejection> {
        let entry = self.by_key.get(&organisation::hash_key(key));
        let entry = entry.ok_or(outcome::Rejection::UnknownKey)?;
        if entry.team != *team {
            return Err(outcome::Rejection::Forbidden);
        }
        Ok((entry.organisation.name.clone(), entry.organisation.rate))
    }
}

impl CompiledRoute {
    fn compile(
        team: &ids::TeamName,
        route: &route::Route,
        services: &collections::HashMap<ids::ServiceName, sync::Arc<service::Service>>,
    ) -> Self {
        let targets = route.targets().filter_map(|(name, weight)| {
            services.get(name).map(|service| (service.clone(), weight))
        });
        Self {
            team: team.clone(),
            route: sync::Arc::new(route.clone()),
            targets: targets.collect(),
            requests: Default::default(),
        }
    }

    /// Selects the service for the next request; `None` if the route has no service.
    fn select_service(&self) -> Option<sync::Arc<service::Service>> {
        let [(only, _)] = self.targets.as_slice() else { return self.select_weighted() };
        Some(only.clone())
    }

    /// Selects a service in proportion to the weights. Uses a low-discrepancy sequence, which keeps
    /// the split close to the weights in any run of consecutive requests.
    fn select_weighted(&self) -> Option<sync::Arc<service::Service>> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let index = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        let fraction = index.wrapping_mul(GOLDEN_RATIO_U32);
        let mut position = (u64::from(fraction) * total) >> u32::BITS;
        let selected = self.targets.iter().find(|(_, weight)| {
            let is_selected = position < u64::from(*weight);
            position = position.saturating_sub(u64::from(*weight));
            is_selected
        });
        selected.map(|(service, _)| service.clone())
    }
}

/// Fractional part of the golden ratio, scaled by 2^32. Its multiples modulo 2^32 are evenly
/// distributed (Fibonacci hashing).
const GOLDEN_RATIO_U32: u32 = 2_654_435_769;
