//! Which part of the requests of a service leaves the failure domain, and where to.
//!
//! The fractions follow from the requests that callers send to each domain and from what its
//! upstreams can do. Neither depends on where requests are routed, so reports that are seconds old
//! delay the result but cause no oscillation. See `docs/design/failure-domains.md`.

use std::time;

use rand::Rng;

use crate::ids;

mod demand;

pub use demand::CallerDemand;
pub use demand::DemandMeter;

/// Demand and room of a service in one failure domain, as far as a daemon knows them.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainLoad {
    /// Failure domain.
    pub domain: ids::DomainName,
    /// Requests of the domain's callers per second.
    pub demand: f64,
    /// Slots of the domain's upstreams that accept requests.
    pub slots: u32,
    /// Slots in use and requests that wait for one.
    pub occupied: u32,
    /// Number of upstreams that have these slots.
    pub upstreams: u32,
    /// Mean time that a request holds a slot.
    pub service_time: time::Duration,
    /// Round trip to the domain beyond that within the own domain.
    pub round_trip: time::Duration,
    /// Mean age of the reports that were added up.
    pub age: time::Duration,
}

/// Class of requests by size and urgency, in the order in which they leave a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Few bytes, short objective.
    SmallUrgent,
    /// Few bytes, long objective or none.
    Small,
    /// Many bytes, short objective.
    LargeUrgent,
    /// Many bytes, long objective or none.
    Large,
}

/// Number of classes.
pub const CLASSES: usize = 4;

/// Requests of one class at an ingress.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ClassLoad {
    /// Part of the service's requests that are of the class, 0 to 1.
    pub share: f64,
    /// Mean cost of the bytes of a request and its response to another domain, in seconds.
    pub transfer: f64,
}

/// Fractions of the requests of a service that leave the domain.
///
/// # Examples
///
/// ```
/// use lynxmast_state::spillover;
/// use std::time::Duration;
///
/// let domain = |name: &str, demand| spillover::DomainLoad {
///     domain: name.into(),
///     demand,
///     slots: 40,
///     occupied: 0,
///     upstreams: 4,
///     service_time: Duration::from_millis(100),
///     round_trip: Duration::from_millis(4),
///     age: Duration::from_secs(1),
/// };
/// let mut classes = [spillover::ClassLoad::default(); spillover::CLASSES];
/// classes[spillover::Class::Small as usize].share = 1.0;
/// let mut plan = spillover::Plan::default();
/// // Domain "a" has twice the demand that its 40 slots serve, "b" has room.
/// let loads = [domain("a", 800.0), domain("b", 100.0)];
/// for _ in 0..10 {
///     plan.update("a", &loads, &classes, Duration::from_secs(1));
/// }
/// assert!(plan.leaving(spillover::Class::Small) > 0.3);
/// ```
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Fraction of each class that leaves.
    leaving: [f64; CLASSES],
    /// Fraction of all requests that goes to each other domain.
    targets: Vec<(ids::DomainName, f64)>,
    /// Demand of each domain in the last update, to extrapolate the next one.
    demands: Vec<Demand>,
}

/// Demand of a domain as last reported.
#[derive(Debug, Clone, PartialEq)]
struct Demand {
    domain: ids::DomainName,
    /// Requests per second.
    rate: f64,
    /// Change of the rate per second, smoothed.
    trend: f64,
}

/// Bytes of request and response above which a request counts as large.
const LARGE_BYTES: u64 = 16 * 1024;
/// Longest time left to the objective with which a request counts as urgent.
const URGENT_OBJECTIVE: time::Duration = time::Duration::from_secs(1);
/// Number of parts in which a domain's demand is assigned.
const PARTS: u32 = 32;
/// Utilisation above which the formula for a queue's wait no longer applies.
const UTILISATION_MAX: f64 = 0.97;
/// Utilisation below which no request leaves a domain: there is hardly a wait that leaving could save.
/// Service times differ between domains by chance, as upstreams that fail at once report short ones;
/// without this limit, 60 to 90% of the requests left domains that used a third of their slots.
const UTILISATION_MIN: f64 = 0.6;
/// Seconds of wait for a utilisation of one beyond [`UTILISATION_MAX`]: a queue that grows for as long
/// as the reports and the steps need to react.
const OVERLOAD_WAIT_S: f64 = 5.0;
/// Part of the service time that leaving the domain must save at least, as service times are
/// estimates from few requests.
const GAIN_FRACTION_MIN: f64 = 0.3;
/// Change of a fraction that is not worth making.
const CHANGE_MIN: f64 = 1.0 / 64.0;
/// Age up to which reports count as equally fresh, in seconds.
const AGE_MIN_S: f64 = 1.5;
/// Part of a change of the trend that is made in one update.
const TREND_STEP: f64 = 0.7;
/// Factor on the variance of a demand below which its squared trend counts as noise.
const TREND_NOISE_FACTOR: f64 = 2.0;
/// Time by which a reported demand lags behind, since it is an average, and the plan behind it.
const DEMAND_LAG_S: f64 = 1.5;
/// Maximum factor between a reported demand and the one extrapolated from it.
const TREND_FACTOR_MAX: f64 = 1.5;
/// Age of a report at which it is no longer used.
pub const REPORT_AGE_MAX: time::Duration = time::Duration::from_secs(5);

impl Class {
    /// Returns the class of a request by its bytes, with those of the response, and the time left to
    /// its objective.
    pub fn of(bytes: u64, objective: Option<time::Duration>) -> Self {
        let is_urgent = objective.is_some_and(|left| left <= URGENT_OBJECTIVE);
        match (bytes > LARGE_BYTES, is_urgent) {
            (false, true) => Class::SmallUrgent,
            (false, false) => Class::Small,
            (true, true) => Class::LargeUrgent,
            (true, false) => Class::Large,
        }
    }
}

impl DomainLoad {
    /// Returns the requests per second that the domain's upstreams serve at most.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) / self.service_time.as_secs_f64().max(1e-4)
    }

    /// Returns the expected time of a request in seconds if `rate` requests per second arrive. The
    /// wait is that of a queue with the slots of one upstream (Sakasegawa's approximation).
    fn expected_time(&self, rate: f64) -> f64 {
        if self.slots == 0 {
            return f64::INFINITY;
        }
        let service_time = self.service_time.as_secs_f64();
        let slots = (f64::from(self.slots) / f64::from(self.upstreams.max(1))).max(1.0);
        let utilisation = rate / self.capacity();
        let bounded = utilisation.min(UTILISATION_MAX);
        let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
        let wait = service_time * bounded.powf(exponent) / (slots * (1.0 - bounded));
        service_time + wait + (utilisation - bounded) * OVERLOAD_WAIT_S
    }
}

/// Demand of a domain extrapolated to the time at which a plan takes effect.
#[derive(Debug)]
struct Forecast<'a> {
    load: &'a DomainLoad,
    /// Expected requests per second of the domain's callers.
    rate: f64,
}

impl Plan {
    /// Returns a plan by which the given fractions of all requests go to other domains. They are
    /// taken from the classes in their order.
    pub fn new(targets: Vec<(ids::DomainName, f64)>, classes: &[ClassLoad; CLASSES]) -> Self {
        let mut remaining: f64 = targets.iter().map(|(_, fraction)| fraction).sum();
        let leaving = classes.map(|class| {
            let part = remaining.min(class.share);
            remaining -= part;
            if class.share > 0.0 { part / class.share } else { 0.0 }
        });
        Self { leaving, targets, demands: Vec::new() }
    }

    /// Moves the fractions towards those that the reports ask for, by a step that is the smaller the
    /// older the reports are. `elapsed` is the time since the last update. Without a fresh report of
    /// the own domain and another one, the plan is cleared. Returns whether a fraction changed.
    pub fn update(
        &mut self,
        own_domain: &str,
        loads: &[DomainLoad],
        classes: &[ClassLoad; CLASSES],
        elapsed: time::Duration,
    ) -> bool {
        let fresh = loads.iter().filter(|load| load.age <= REPORT_AGE_MAX);
        let mut fresh: Vec<Forecast> =
            fresh.map(|load| Forecast { load, rate: load.demand }).collect();
        let own = fresh.iter().position(|forecast| &*forecast.load.domain == own_domain);
        let Some(own) = own.filter(|_| fresh.len() > 1) else {
            return !std::mem::take(self).targets.is_empty();
        };
        let demands = self.extrapolate(&mut fresh, elapsed);
        let rates = assign(&fresh, classes);
        let age =
            fresh.iter().map(|forecast| forecast.load.age).max().unwrap_or_default().as_secs_f64();
        let elapsed = elapsed.as_secs_f64();
        let step = elapsed / (elapsed + (age - AGE_MIN_S).max(0.0) / 2.0).max(f64::MIN_POSITIVE);
        let demand = fresh[own].rate.max(f64::MIN_POSITIVE);
        let wanted = fresh.iter().enumerate().filter(|(index, _)| *index != own);
        let before = std::mem::take(self);
        let targets = wanted
            .map(|(index, Forecast { load, .. })| {
                let wanted = rates[own][index] / demand;
                let current = before.fraction_to(&load.domain);
                let is_small = (wanted - current).abs() < CHANGE_MIN && wanted > 0.0;
                let next = if is_small { current } else { current + (wanted - current) * step };
                (load.domain.clone(), if next < CHANGE_MIN / 2.0 { 0.0 } else { next })
            })
            .filter(|(_, fraction)| *fraction > 0.0)
            .collect();
        *self = Self { demands, ..Plan::new(targets, classes) };
        self.targets != before.targets
    }

    /// Replaces the reported demand of each domain by the one expected now, from its trend over the
    /// age of the report. Returns the demands as reported.
    fn extrapolate(&self, loads: &mut [Forecast], elapsed: time::Duration) -> Vec<Demand> {
        let elapsed = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let extrapolated = loads.iter_mut().map(|forecast| {
            let load = &forecast.load;
            let known = self.demands.iter().find(|demand| demand.domain == load.domain);
            let rate = load.demand;
            let trend = known.map_or(0.0, |known| {
                let change = (rate - known.rate) / elapsed;
                known.trend + (change - known.trend) * TREND_STEP
            });
            let ahead = load.age.as_secs_f64() + DEMAND_LAG_S;
            let (least, most) = (rate / TREND_FACTOR_MAX, rate * TREND_FACTOR_MAX);
            // The number of requests in a second varies by its root, which is no trend.
            let noise = rate / (trend * trend).max(f64::MIN_POSITIVE);
            let expected = trend * (1.0 - noise * TREND_NOISE_FACTOR).max(0.0);
            forecast.rate = (rate + expected * ahead).clamp(least, most);
            Demand { domain: load.domain.clone(), rate, trend }
        });
        extrapolated.collect()
    }

    /// Returns the fraction of a class that leaves the domain.
    pub fn leaving(&self, class: Class) -> f64 {
        self.leaving[class as usize]
    }

    /// Returns the other domains and the fraction of all requests that goes to each.
    pub fn targets(&self) -> &[(ids::DomainName, f64)] {
        &self.targets
    }

    /// Draws the domain of one request; `None` if it stays in its own.
    pub fn draw(&self, class: Class, rng: &mut impl Rng) -> Option<&ids::DomainName> {
        let leaving = self.leaving(class);
        if leaving <= 0.0 || rng.random::<f64>() >= leaving {
            return None;
        }
        let total: f64 = self.targets.iter().map(|(_, fraction)| fraction).sum();
        let mut drawn = rng.random::<f64>() * total;
        let target = self.targets.iter().find(|(_, fraction)| {
            drawn -= fraction;
            drawn < 0.0
        });
        target.map(|(domain, _)| domain)
    }

    /// Returns the fraction of all requests that goes to another domain.
    pub fn fraction_to(&self, domain: &str) -> f64 {
        let known = self.targets.iter().find(|(name, _)| &**name == domain);
        known.map_or(0.0, |(_, fraction)| *fraction)
    }
}

/// Assigns the demand of all domains, part by part: the part that gains most leaves for the domain
/// where it is finished first, until no part gains. Returns the rate from each domain to each. All
/// ingresses get the same result from the same reports.
fn assign(loads: &[Forecast], classes: &[ClassLoad; CLASSES]) -> Vec<Vec<f64>> {
    let count = loads.len();
    let mut rates = vec![vec![0.0; count]; count];
    let mut arriving: Vec<f64> = loads.iter().map(|load| load.rate).collect();
    let mut times: Vec<f64> =
        (0..count).map(|i| loads[i].load.expected_time(arriving[i])).collect();
    let mut left = vec![0_u32; count];
    // A domain that receives requests sends none: they would cross twice for nothing.
    let mut receives = vec![false; count];
    for _ in 0..PARTS * count as u32 {
        let mut best: Option<(f64, usize, usize)> = None;
        let may_leave = |from: usize| {
            let utilisation = arriving[from] / loads[from].load.capacity().max(f64::MIN_POSITIVE);
            left[from] < PARTS && !receives[from] && utilisation >= UTILISATION_MIN
        };
        for from in (0..count).filter(|&from| may_leave(from)) {
            let transfer = transfer_cost(classes, f64::from(left[from]) / f64::from(PARTS));
            let part = loads[from].rate / f64::from(PARTS);
            let margin = loads[from].load.service_time.as_secs_f64() * GAIN_FRACTION_MIN + transfer;
            for to in (0..count).filter(|&to| to != from && left[to] == 0) {
                if times[to] + margin >= times[from] {
                    continue;
                }
                let crossing = loads[to].load.round_trip.max(loads[from].load.round_trip);
                let crossing = crossing.as_secs_f64();
                let there = loads[to].load.expected_time(arriving[to] + part) + crossing;
                let gain = times[from] - there - margin;
                if gain > 0.0 && best.is_none_or(|(most, ..)| gain > most) {
                    best = Some((gain, from, to));
                }
            }
        }
        let Some((_, from, to)) = best else { break };
        let part = loads[from].rate / f64::from(PARTS);
        rates[from][to] += part;
        left[from] += 1;
        receives[to] = true;
        for (index, change) in [(from, -part), (to, part)] {
            arriving[index] += change;
            times[index] = loads[index].load.expected_time(arriving[index]);
        }
    }
    rates
}

/// Returns what the bytes of the next request to leave cost, in seconds, after the fraction `left`
/// has left in the order of the classes.
fn transfer_cost(classes: &[ClassLoad; CLASSES], left: f64) -> f64 {
    let mut covered = 0.0;
    for class in classes {
        covered += class.share;
        if left < covered {
            return class.transfer;
        }
    }
    classes.iter().map(|class| class.transfer).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;
