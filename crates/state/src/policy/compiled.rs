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
use crate::policy::sharded_map;
use crate::quota;

/// Immutable, indexed form of one version of the policy document.
#[derive(Debug, Default)]
pub struct CompiledPolicy {
    /// Policy version that was compiled.
    pub version: ids::PolicyVersion,
    /// Size and time limits on requests of callers.
    pub limits: document::CallerLimits,
    /// Shared with the previous version if no service and no route has changed.
    routing: sync::Arc<Routing>,
    /// Shared with the previous version if no organisation has changed.
    organisations: sync::Arc<Organisations>,
}

/// Services and routes of a document.
#[derive(Debug, Default)]
struct Routing {
    /// Services and routes from which this was compiled, by team.
    source: Vec<(ids::TeamName, Vec<service::Service>, Vec<route::Route>)>,
    services: collections::HashMap<ids::ServiceName, sync::Arc<service::Service>>,
    /// Routes by host, in order of precedence: longest path first, then routes with methods.
    routes: collections::HashMap<String, Vec<CompiledRoute>>,
}

/// Organisations of a document. Entries of unchanged organisations, and the parts of the indexes
/// without a change, are shared between versions.
#[derive(Debug, Clone, Default)]
struct Organisations {
    by_key: sharded_map::ShardedMap<organisation::KeyHash, sync::Arc<TeamOrganisation>>,
    by_name: sharded_map::ShardedMap<ids::OrganisationName, sync::Arc<TeamOrganisation>>,
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
        CompiledPolicy::default().recompile(version, document, seed)
    }

    /// Builds the indexes of a later document and shares those parts with this policy that have not
    /// changed, so that a change of one key costs no new routes and services.
    pub fn recompile(
        &self,
        version: ids::PolicyVersion,
        document: &document::Document,
        seed: u64,
    ) -> Self {
        let routing = match self.routing.is_compiled_from(document) {
            true => self.routing.clone(),
            false => sync::Arc::new(Routing::compile(document, seed)),
        };
        let updated = self.organisations.updated(document).map(sync::Arc::new);
        let organisations = updated.unwrap_or_else(|| self.organisations.clone());
        CompiledPolicy { version, limits: document.limits.clone(), routing, organisations }
    }

    /// Returns the policy of a service; `None` if the policy has no such service.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<service::Service>> {
        self.routing.services.get(name)
    }

    /// Returns an iterator over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<service::Service>> {
        self.routing.services.values()
    }

    /// Returns the weight of an organisation in fair queueing; 1 for callers without a key and for
    /// organisations that the policy does not have.
    pub fn weight(&self, organisation: &str) -> u32 {
        self.organisations.by_name.get(organisation).map_or(1, |found| found.organisation.weight)
    }

    /// Returns the fleet-wide quota of an organisation; `None` if it has no limit or is not in the
    /// policy.
    pub fn quota(&self, organisation: &str) -> Option<quota::Limit> {
        let found = self.organisations.by_name.get(organisation);
        found.and_then(|found| found.organisation.quota())
    }

    /// Returns whether the policy has organisations. Without any, the header of the key has no
    /// meaning.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.by_name.is_empty()
    }

    /// Returns the number of organisations.
    pub fn organisation_count(&self) -> usize {
        self.organisations.by_name.len()
    }

    /// Returns the number of organisations whose entry is shared with `other`.
    pub fn shared_entries(&self, other: &CompiledPolicy) -> usize {
        let others = &other.organisations.by_name;
        let names = self.organisations.by_name.keys();
        let is_shared = |name: &&ids::OrganisationName| {
            let (entry, other) = (self.organisations.by_name.get(*name), others.get(*name));
            entry.zip(other).is_some_and(|(entry, other)| sync::Arc::ptr_eq(entry, other))
        };
        names.filter(is_shared).count()
    }

    /// Returns the route of a request, whatever its organisation; `None` if no route matches. `host`
    /// is in lower case and without port.
    pub fn find_route(&self, host: &str, path: &str, method: &str) -> Option<&route::Route> {
        let mut routes = self.routing.routes.get(host)?.iter().map(|candidate| &*candidate.route);
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
        let routes = self.routing.routes.get(host).ok_or(outcome::Rejection::NoRoute)?;
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
        let found = self.organisations.by_key.get(&organisation::KeyHash::of_key(key));
        let found = found.ok_or(outcome::Rejection::UnknownKey)?;
        if found.team != *team {
            return Err(outcome::Rejection::Forbidden);
        }
        Ok(&found.organisation)
    }
}

impl Routing {
    fn is_compiled_from(&self, document: &document::Document) -> bool {
        self.source.len() == document.sections.len()
            && self.source.iter().zip(&document.sections).all(
                |((team, services, routes), (other, section))| {
                    team == other && *services == section.service && *routes == section.route
                },
            )
    }

    fn compile(document: &document::Document, seed: u64) -> Self {
        let mut compiled = Routing::default();
        for (team, section) in &document.sections {
            for service in &section.service {
                compiled.services.insert(service.name.clone(), sync::Arc::new(service.clone()));
            }
            for route in &section.route {
                let compiled_route = CompiledRoute::compile(team, route, &compiled.services, seed);
                compiled.routes.entry(route.host.clone()).or_default().push(compiled_route);
            }
            compiled.source.push((team.clone(), section.service.clone(), section.route.clone()));
        }
        for routes in compiled.routes.values_mut() {
            routes.sort_by_key(|candidate| {
                let has_methods = !candidate.route.methods.is_empty();
                (std::cmp::Reverse(candidate.route.path.len()), std::cmp::Reverse(has_methods))
            });
        }
        compiled
    }
}

impl Organisations {
    /// Returns the organisations of `document`, or `None` if they are the same.
    fn updated(&self, document: &document::Document) -> Option<Organisations> {
        let changed: Vec<_> = organisations(document)
            .filter(|(team, organisation)| self.find(team, organisation).is_none())
            .collect();
        let replaced = changed.iter().filter(|(_, new)| self.by_name.get(&new.name).is_some());
        let kept = organisations(document).count() - changed.len();
        let has_removals = kept + replaced.count() < self.by_name.len();
        if changed.is_empty() && !has_removals {
            return None;
        }
        let mut updated = self.clone();
        // Keys are removed before any is added, as a key may move to another organisation.
        if has_removals {
            let names: collections::HashSet<_> =
                organisations(document).map(|(_, organisation)| &organisation.name).collect();
            let removed = self.by_name.keys().filter(|name| !names.contains(name));
            removed.for_each(|name| updated.remove(name));
        }
        changed.iter().for_each(|(_, organisation)| updated.remove(&organisation.name));
        for (team, organisation) in changed {
            let (team, organisation) = (team.clone(), organisation.clone());
            updated.insert(sync::Arc::new(TeamOrganisation { team, organisation }));
        }
        Some(updated)
    }

    fn insert(&mut self, entry: sync::Arc<TeamOrganisation>) {
        for hash in entry.key_hashes() {
            self.by_key.insert(hash, entry.clone());
        }
        self.by_name.insert(entry.organisation.name.clone(), entry);
    }

    fn remove(&mut self, name: &ids::OrganisationName) {
        let Some(entry) = self.by_name.remove(name) else { return };
        for hash in entry.key_hashes() {
            self.by_key.remove(&hash);
        }
    }

    /// Returns the entry of an organisation if it has not changed.
    fn find(
        &self,
        team: &ids::TeamName,
        organisation: &organisation::Organisation,
    ) -> Option<&sync::Arc<TeamOrganisation>> {
        let found = self.by_name.get(&organisation.name)?;
        (found.team == *team && found.organisation == *organisation).then_some(found)
    }
}

impl TeamOrganisation {
    fn key_hashes(&self) -> impl Iterator<Item = organisation::KeyHash> {
        self.organisation.hashes().filter_map(|hash| hash.parse().ok())
    }
}

fn organisations(
    document: &document::Document,
) -> impl Iterator<Item = (&ids::TeamName, &organisation::Organisation)> {
    let sections = document.sections.iter();
    sections.flat_map(|(team, section)| {
        section.organisation.iter().map(move |organisation| (team, organisation))
    })
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
