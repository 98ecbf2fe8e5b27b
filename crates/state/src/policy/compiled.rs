//! The policy document compiled into indexes, so that the request path finds route, service and
//! organisation without searching the sections.

use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync;
use std::sync::atomic;

use crate::ids;
use crate::outcome;
use crate::policy::document;
use crate::policy::organisation;
use crate::policy::route;
use crate::policy::service;
use crate::quota;

/// Immutable, indexed form of one version of the policy document.
#[derive(Debug, Default)]
pub struct CompiledPolicy {
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
    /// Index of the next request in the low-discrepancy sequence of
    /// [`CompiledRoute::select_weighted`].
    next_index: atomic::AtomicU32,
}

/// Route, service and organisation of one request.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Matching route.
    pub route: sync::Arc<route::Route>,
    /// Service that runs the request.
    pub service: sync::Arc<service::Service>,
    /// Organisation under which the request is counted.
    pub organisation: ids::OrganisationName,
    /// Rank of the request: that of the organisation or, if it has none, that of the route.
    pub rank: u32,
    /// Fleet-wide quota of the organisation; `None` for no limit.
    pub quota: Option<quota::Limit>,
    is_authenticated: bool,
}

impl RouteMatch {
    /// Returns whether the request was authenticated by the key of an organisation, which may have
    /// any name, also [`organisation::PUBLIC`].
    pub fn has_organisation(&self) -> bool {
        self.is_authenticated
    }
}

impl CompiledPolicy {
    /// Builds the indexes of `document`, whose version is `version`. `seed` should differ between
    /// daemons and versions: it determines which part of a split route gets the first request.
    pub fn compile(version: ids::PolicyVersion, document: &document::Document, seed: u64) -> Self {
        let mut compiled = CompiledPolicy {
            version,
            limits: document.limits.clone(),
            ..CompiledPolicy::default()
        };
        for (team, section) in &document.sections {
            for service in &section.service {
                compiled.services.insert(service.name.clone(), sync::Arc::new(service.clone()));
            }
            for route in &section.route {
                let compiled_route = CompiledRoute::compile(team, route, &compiled.services, seed);
                compiled.routes.entry(route.host.clone()).or_default().push(compiled_route);
            }
            for organisation in &section.organisation {
                let organisation = organisation.clone();
                let indexed = sync::Arc::new(TeamOrganisation { team: team.clone(), organisation });
                for hash in indexed.organisation.hashes() {
                    compiled.by_key.insert(hash.clone(), indexed.clone());
                }
                compiled.by_name.insert(indexed.organisation.name.clone(), indexed);
            }
        }
        for routes in compiled.routes.values_mut() {
            routes.sort_by_key(|candidate| {
                let has_methods = !candidate.route.methods.is_empty();
                (std::cmp::Reverse(candidate.route.path.len()), std::cmp::Reverse(has_methods))
            });
        }
        compiled
    }

    /// Returns the policy of a service; `None` if the policy has no such service.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<service::Service>> {
        self.services.get(name)
    }

    /// Returns an iterator over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<service::Service>> {
        self.services.values()
    }

    /// Returns the weight of an organisation in fair queueing; 1 for callers without a key and for
    /// organisations that the policy does not have.
    pub fn weight(&self, organisation: &str) -> u32 {
        self.by_name.get(organisation).map_or(1, |found| found.organisation.weight)
    }

    /// Returns the fleet-wide quota of an organisation; `None` if it has no limit or is not in the
    /// policy.
    pub fn quota(&self, organisation: &str) -> Option<quota::Limit> {
        self.by_name.get(organisation).and_then(|found| found.organisation.quota())
    }

    /// Returns whether the policy has organisations. Without any, the header of the key has no
    /// meaning.
    pub fn has_organisations(&self) -> bool {
        !self.by_name.is_empty()
    }

    /// Returns the route of a request, whatever its organisation; `None` if no route matches. `host`
    /// is in lower case and without port.
    pub fn find_route(&self, host: &str, path: &str, method: &str) -> Option<&route::Route> {
        let mut routes = self.routes.get(host)?.iter().map(|candidate| &*candidate.route);
        routes.find(|route| route.matches(path, method))
    }

    /// Finds the route, service and organisation of a request.
    ///
    /// `host` is in lower case and without port; `key` is the organisation's key as sent by the
    /// caller.
    ///
    /// # Errors
    ///
    /// Returns the reason for rejecting the request if there is no policy yet, no route matches,
    /// the key is missing or unknown, or the organisation belongs to another team than the route.
    pub fn match_request(
        &self,
        host: &str,
        path: &str,
        method: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, outcome::Rejection> {
        if self.version == 0 {
            return Err(outcome::Rejection::NoPolicy);
        }
        let routes = self.routes.get(host).ok_or(outcome::Rejection::NoRoute)?;
        let matching = routes.iter().find(|candidate| candidate.route.matches(path, method));
        let matching = matching.ok_or(outcome::Rejection::NoRoute)?;
        let route = matching.route.clone();
        let organisation = match key {
            Some(key) => match self.authenticate(key, &matching.team) {
                Err(_) if route.public && route.any_key => None,
                authenticated => Some(authenticated?),
            },
            None if route.public => None,
            None => return Err(outcome::Rejection::UnknownKey),
        };
        // Rejected requests do not count in the split of the route.
        let service = matching.select_service().ok_or(outcome::Rejection::NoRoute)?;
        let rank = organisation.and_then(|found| found.rank).unwrap_or(route.rank);
        let quota = organisation.and_then(organisation::Organisation::quota);
        let name =
            organisation.map_or_else(|| organisation::PUBLIC.into(), |found| found.name.clone());
        let is_authenticated = organisation.is_some();
        Ok(RouteMatch { route, service, organisation: name, rank, quota, is_authenticated })
    }

    /// Returns the organisation whose key is `key`. Rejects an unknown key and an organisation of
    /// another team than `team`.
    fn authenticate(
        &self,
        key: &str,
        team: &ids::TeamName,
    ) -> Result<&organisation::Organisation, outcome::Rejection> {
        let found = self.by_key.get(&organisation::hash_key(key));
        let found = found.ok_or(outcome::Rejection::UnknownKey)?;
        if found.team != *team {
            return Err(outcome::Rejection::Forbidden);
        }
        Ok(&found.organisation)
    }
}

impl CompiledRoute {
    fn compile(
        team: &ids::TeamName,
        route: &route::Route,
        services: &collections::HashMap<ids::ServiceName, sync::Arc<service::Service>>,
        seed: u64,
    ) -> Self {
        let targets = route.targets().filter_map(|(name, weight)| {
            services.get(name).map(|service| (service.clone(), weight))
        });
        Self {
            team: team.clone(),
            route: sync::Arc::new(route.clone()),
            targets: targets.collect(),
            next_index: atomic::AtomicU32::new(first_index(seed, route)),
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
        let index = self.next_index.fetch_add(1, atomic::Ordering::Relaxed);
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

/// Returns the index at which the sequence of a route starts. If all daemons started at the same one,
/// their first requests after a start or a new version would all go to the same part.
fn first_index(seed: u64, route: &route::Route) -> u32 {
    let mut hasher = hash::DefaultHasher::new();
    (seed, &route.host, &route.path).hash(&mut hasher);
    hasher.finish() as u32
}

/// Fractional part of the golden ratio, scaled by 2^32. Its multiples modulo 2^32 are evenly
/// distributed (Fibonacci hashing).
const GOLDEN_RATIO_U32: u32 = 2_654_435_769;
