//! Whether a request is worth starting while the calls that it will make are rejected.
//!
//! A request whose call is rejected for lack of capacity has cost its caller a whole request and a
//! backend server its work. It is better rejected before it runs. The sidecar of a VM knows which
//! requests its backend server runs, and sees the results of their calls.

use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::statistics;

/// Identifies a route.
pub type RouteKey = u64;

/// Calls that requests usually make, by route, and how many of the calls are rejected.
///
/// # Examples
///
/// ```
/// use lynxmast_state::parent_admission;
///
/// let now = std::time::Instant::now();
/// let mut parents = parent_admission::ParentAdmission::default();
/// for _ in 0..20 {
///     parents.record_start(1, now);
///     let call = parents.record_call(1, &"media".into(), now);
///     parents.record_call_end(&"media".into(), call, true, now);
/// }
/// let rejected = (0..20).filter(|_| !parents.admit(1, 0, now)).count();
/// assert!((5..20).contains(&rejected));
/// ```
#[derive(Debug, Default)]
pub struct ParentAdmission {
    routes: IndexMap<RouteKey, RouteCalls>,
    services: IndexMap<ids::ServiceName, Demand>,
}

/// Fraction of the parents that were not started when a call was made, 0 to 1.
pub type HeldBack = f64;

/// Calls of the requests of one route.
#[derive(Debug)]
struct RouteCalls {
    starts: statistics::MovingAverage,
    calls: IndexMap<ids::ServiceName, statistics::MovingAverage>,
    last_start: time::Instant,
}

/// Demand for one called service.
#[derive(Debug)]
struct Demand {
    /// Share of the calls of all parents for which there is no capacity: 1 for a call that was
    /// rejected for lack of it, for any other the fraction of the parents that were not started when
    /// it was made. The current fraction would count twice what has been held back since.
    missing: statistics::MovingAverage,
    last_rejection: Option<time::Instant>,
    /// Parents by rank.
    parents: [statistics::MovingAverage; RANKS],
    /// Fractions of rejections that have not been made, by rank.
    owed: [f64; RANKS],
    last_call: time::Instant,
}

/// Half-life of the results of calls and of decisions.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Half-life of a request in the calls that its route makes.
const LEARNING_HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Calls to a service for each request from which they are usual.
const USUAL_MIN: f64 = 0.5;
/// Weight of the results from which they are acted on.
const WEIGHT_MIN: f64 = 3.0;
/// Time without a rejected call after which all parents are admitted: recovery takes less than a
/// second.
const RECOVERY: time::Duration = time::Duration::from_millis(700);
/// Fraction of the missing share that is rejected. The rest is rejected at the called service, which
/// shows that its capacity is still missing. With 0.9, a few calls that are rejected for bursts alone
/// kept up to 43% of the parents from starting where 30% were too many.
const FRACTION: f64 = 0.8;
/// Smallest served share of a rank relative to that of all parents. Callers need a quarter.
const SHARE_MIN: f64 = 0.35;
const RANK_MAX: u32 = 15;
const RANKS: usize = RANK_MAX as usize + 1;
const ROUTES_MAX: usize = 64;
const SERVICES_MAX: usize = 16;

impl ParentAdmission {
    /// Decides whether to start a request. If so, [`ParentAdmission::record_start`] is to be called
    /// once it has a slot.
    pub fn admit(&mut self, route: RouteKey, rank: u32, now: time::Instant) -> bool {
        let known = self.routes.get(&route);
        let missing = |service: &ids::ServiceName| {
            self.services.get(service).map_or(0.0, |demand| demand.missing_share(now))
        };
        let usual = known.into_iter().flat_map(|known| known.usual_calls(now));
        let scarce = usual.max_by(|a, b| missing(a).total_cmp(&missing(b))).cloned();
        scarce
            .and_then(|service| self.services.get_mut(&service))
            .is_none_or(|demand| demand.admit(rank, now))
    }

    /// Counts a call that a request of `route` makes to `service`. Returns the value to pass to
    /// [`ParentAdmission::record_call_end`].
    pub fn record_call(
        &mut self,
        route: RouteKey,
        service: &ids::ServiceName,
        now: time::Instant,
    ) -> HeldBack {
        if let Some(known) = self.routes.get_mut(&route)
            && (known.calls.contains_key(service) || known.calls.len() < SERVICES_MAX)
        {
            let new = || statistics::MovingAverage::new(LEARNING_HALF_LIFE);
            known.calls.entry(service.clone()).or_insert_with(new).record(1.0, now);
        }
        self.services.get(service).map_or(0.0, |demand| demand.held_back(now))
    }

    /// Counts the end of a call to `service`, and whether it was rejected for lack of capacity.
    pub fn record_call_end(
        &mut self,
        service: &ids::ServiceName,
        held_back: HeldBack,
        is_rejected: bool,
        now: time::Instant,
    ) {
        if !self.services.contains_key(service) && self.services.len() >= SERVICES_MAX {
            let oldest = self.services.values().enumerate().min_by_key(|(_, d)| d.last_call);
            let oldest = oldest.map(|(index, _)| index);
            oldest.and_then(|index| self.services.swap_remove_index(index));
        }
        let demand = self.services.entry(service.clone()).or_insert_with(|| Demand::new(now));
        demand.missing.record(if is_rejected { 1.0 } else { held_back }, now);
        demand.last_call = now;
        if is_rejected {
            demand.last_rejection = Some(now);
        }
    }

    /// Counts a request that is started.
    pub fn record_start(&mut self, route: RouteKey, now: time::Instant) {
        if !self.routes.contains_key(&route) && self.routes.len() >= ROUTES_MAX {
            let oldest = self.routes.values().enumerate().min_by_key(|(_, r)| r.last_start);
            let oldest = oldest.map(|(index, _)| index);
            oldest.and_then(|index| self.routes.swap_remove_index(index));
        }
        let known = self.routes.entry(route).or_insert_with(|| RouteCalls {
            starts: statistics::MovingAverage::new(LEARNING_HALF_LIFE),
            calls: IndexMap::new(),
            last_start: now,
        });
        known.starts.record(1.0, now);
        known.last_start = now;
    }
}

impl RouteCalls {
    fn usual_calls(&self, now: time::Instant) -> impl Iterator<Item = &ids::ServiceName> {
        let starts = self.starts.weight(now);
        let usual = self.calls.iter().filter(move |(_, calls)| {
            starts >= WEIGHT_MIN && calls.weight(now) >= USUAL_MIN * starts
        });
        usual.map(|(service, _)| service)
    }
}

impl Demand {
    fn new(now: time::Instant) -> Self {
        let average = || statistics::MovingAverage::new(HALF_LIFE);
        Self {
            missing: average(),
            last_rejection: None,
            parents: std::array::from_fn(|_| average()),
            owed: [0.0; RANKS],
            last_call: now,
        }
    }

    /// Returns the fraction of the calls that all parents would make, including those that are not
    /// started, for which the service has no capacity.
    fn missing_share(&self, now: time::Instant) -> f64 {
        let is_recent =
            self.last_rejection.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY);
        if !is_recent || self.missing.weight(now) < WEIGHT_MIN {
            return 0.0;
        }
        self.missing.value().unwrap_or(0.0)
    }

    /// Returns the fraction of all parents that are not started.
    fn held_back(&self, now: time::Instant) -> HeldBack {
        FRACTION * self.missing_share(now)
    }

    fn admit(&mut self, rank: u32, now: time::Instant) -> bool {
        let rank = rank.min(RANK_MAX) as usize;
        self.parents[rank].record(1.0, now);
        self.owed[rank] += self.rejected_fraction(rank, now);
        let is_admitted = self.owed[rank] < 1.0;
        if !is_admitted {
            self.owed[rank] -= 1.0;
        }
        is_admitted
    }

    /// Returns the fraction of the parents of a rank that are to be rejected: the lowest ranks first,
    /// as far as none is served too seldom.
    fn rejected_fraction(&self, rank: usize, now: time::Instant) -> f64 {
        let missing = self.held_back(now);
        let weights = self.parents.each_ref().map(|parents| parents.weight(now));
        let fraction_max = 1.0 - SHARE_MIN * (1.0 - missing);
        let mut left = missing * weights.iter().sum::<f64>();
        for lower in (rank + 1..RANKS).rev() {
            left -= (weights[lower] * fraction_max).min(left);
        }
        (left / weights[rank].max(f64::MIN_POSITIVE)).clamp(0.0, fraction_max)
    }
}

#[cfg(test)]
mod tests;
