//! Upstream selection at the ingress: load-aware balancing that prefers the ingress's own failure
//! domain, exclusion of failing upstreams down to the floor, and subsetting of large services.

mod availability;
mod selection;

use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::net;
use std::time;

use indexmap::IndexMap;
use rand::Rng;

use crate::backoff;
use crate::ids;
use crate::load;
use crate::outlier;
use crate::request_limit;
use crate::spillover;
use crate::statistics;

pub use availability::Availability;

/// Load-balancing policy of an ingress. All but `LoadSeen` are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// Upstream with the lowest expected cost among a few random ones, from the load and the
    /// latency seen in responses.
    #[default]
    LoadSeen,
    /// Each upstream in turn.
    RoundRobin,
    /// Upstream with the fewest outstanding requests from this ingress.
    LeastConnections,
}

/// Upstream that accepts requests, according to the membership.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Service and address.
    pub id: ids::UpstreamId,
    /// Daemon whose sidecar forwards to the upstream.
    pub daemon: ids::DaemonName,
    /// Address of that sidecar.
    pub sidecar: net::SocketAddr,
    /// Failure domain of the daemon.
    pub domain: ids::DomainName,
    /// Number of slots that the backend server announced.
    pub slots: u32,
    /// Incarnation of the backend server.
    pub incarnation: ids::Incarnation,
    /// Incarnation of the daemon.
    pub daemon_incarnation: ids::Incarnation,
}

/// Criteria for selecting the upstream of a request.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Minimum number of slots that must remain selectable in the service even if more of its
    /// upstreams are avoided.
    pub floor: u32,
    /// The same minimum as a fraction of the slots of the service; the larger one applies.
    pub floor_share: f64,
    /// Whether the request may probe a suspected upstream, since it can be retried if it fails
    /// there.
    pub may_probe: bool,
    /// Whether avoided upstreams may be selected if no other is left.
    pub use_avoided: bool,
    /// Declared size of the request body in bytes; 0 if it is unknown.
    pub body_size: u64,
    /// Expected size of the response body in bytes; 0 if it is unknown.
    pub response_size: u64,
    /// What a byte sent to another failure domain may cost in latency, in seconds.
    pub transfer_cost: f64,
    /// Time left to meet the request's objective; `None` if it has none.
    pub objective: Option<time::Duration>,
    /// Upstreams that earlier attempts of the request have used.
    pub tried: &'a [net::SocketAddr],
    /// Time of the selection.
    pub now: time::Instant,
}

impl Criteria<'_> {
    /// Returns the size of the request and its expected response in bytes.
    fn bytes(&self) -> u64 {
        self.body_size.saturating_add(self.response_size)
    }

    /// Returns what the transfer of the request and its response to another failure domain may cost
    /// in latency, in seconds.
    pub fn transfer_seconds(&self) -> f64 {
        self.bytes() as f64 * self.transfer_cost
    }

    /// Returns the class of the request in the plan of its service.
    pub fn class(&self) -> spillover::Class {
        spillover::Class::of(self.bytes(), self.objective)
    }
}

/// Result of an attempt at an upstream, for upstream selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// The upstream responded.
    Responded {
        /// Time from forwarding the request to the response head, measured by the sidecar.
        elapsed: time::Duration,
        /// Whether the response is a server error.
        is_error: bool,
    },
    /// The attempt ended in a way that is no evidence about the upstream, such as a rejection by
    /// the sidecar's admission control.
    Inconclusive,
    /// This ingress cannot reach the sidecar, or the sidecar cannot use the upstream.
    Unavailable,
    /// The attempt failed without a complete, valid response.
    Failed,
    /// The ingress or the caller abandoned the attempt before a response.
    Abandoned {
        /// Time waited, which is a lower bound of the upstream's latency.
        after: time::Duration,
    },
}

/// Upstreams that one ingress can select, with their statistics.
#[derive(Debug)]
pub struct Router {
    daemon: ids::DaemonName,
    domain: ids::DomainName,
    balance: Balance,
    pools: IndexMap<ids::ServiceName, Pool>,
    /// Upstreams that have stated in responses that they are about to leave, oldest first. Their
    /// sidecars may have restarted since and not know it.
    leaving: IndexMap<ids::UpstreamId, ids::Incarnation>,
}

/// Upstreams of one service.
#[derive(Debug, Default)]
struct Pool {
    upstreams: IndexMap<net::SocketAddr, Upstream>,
    /// Number of round-robin selections so far.
    cursor: usize,
    /// Requests that leave the failure domain; empty without load reports.
    plan: spillover::Plan,
}

#[derive(Debug)]
struct Upstream {
    candidate: Candidate,
    outstanding: u32,
    last_load: Option<LoadSample>,
    latency: statistics::MovingAverage,
    latency_sampled: Option<time::Instant>,
    error_rate: statistics::MovingAverage,
    backoff: backoff::Backoff,
    /// Starts from the failure probability that the sidecar reported last; `None` before the first
    /// report.
    detector: Option<outlier::Detector>,
    /// `None` if the upstream names no limit.
    room: Option<RoomEstimate>,
}

/// Estimate of when an upstream's limit has room for a request of this ingress.
#[derive(Debug, Clone, Copy)]
struct RoomEstimate {
    ready: time::Instant,
    /// Time between two requests within the limit.
    spacing: time::Duration,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    load: load::Load,
    /// Outstanding requests from this ingress when the load was reported.
    own_outstanding: u32,
    at: time::Instant,
}

/// Maximum number of upstreams of one service that an ingress uses.
pub const SUBSET_MAX: usize = 32;
/// Number of these that may be in the ingress's own failure domain before the other domains have
/// got their part.
const OWN_DOMAIN_MAX: usize = 20;
const LATENCY_HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// Shortest and longest half-life of the load that other ingresses cause, as reported by the sidecar.
const LOAD_HALF_LIFE_MIN: time::Duration = time::Duration::from_millis(500);
const LOAD_HALF_LIFE_MAX: time::Duration = time::Duration::from_secs(4);
/// The half-life between these as a multiple of the median latency, since a queue lasts as many service
/// times as it is long. Half a second at a median of 300 ms made most full upstreams look free: an
/// ingress with 7 requests/s over 27 upstreams hears of each every 4 s.
const LOAD_HALF_LIFE_FACTOR: f64 = 6.0;
/// Multiple of the service's median latency above which an upstream is excluded, as long as the
/// others have enough slots for the floor.
const SLOW_FACTOR: f64 = 3.0;
/// Half-life of an upstream's latency in excess of the median, so that a slow upstream is tried
/// again.
const SLOW_HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Number of samples at the median latency assumed in addition to the recorded ones, as the latency of
/// a few requests says more about these than about the upstream.
const LATENCY_PRIOR_SAMPLES: f64 = 8.0;
/// Multiple of the service's median latency above which an upstream counts as clearly slower.
const LATENCY_NOISE_FACTOR: f64 = 1.5;
/// Maximum of an upstream's excess latency, as a multiple of the service's median latency.
const LATENCY_FACTOR_MAX: f64 = 20.0;
/// Cost added if all slots are busy, as a fraction of the median latency; spreads load below
/// saturation.
const BUSY_COST_FRACTION: f64 = 0.1;
/// Factor by which the cost of an upstream rises if all its requests fail, so that one that fails
/// fast does not attract requests.
const ERROR_COST_FACTOR: f64 = 50.0;
/// Number of successful requests assumed in addition to the recorded results.
const ERROR_PRIOR_SAMPLES: f64 = 2.0;
/// Maximum number of leaving upstreams that an ingress remembers.
const LEAVING_MAX: usize = 1024;
/// Time after the room of a limited upstream over which the ingresses spread their requests, as a
/// multiple of the time between two requests within the limit.
const ROOM_SPREAD: f64 = 1.0;
/// Latency in seconds assumed for an upstream before any is measured.
const LATENCY_DEFAULT_S: f64 = 0.01;

impl Router {
    /// Returns a router without upstreams for the ingress of `daemon` in failure domain `domain`.
    pub fn new(daemon: ids::DaemonName, domain: ids::DomainName, balance: Balance) -> Self {
        Self { daemon, domain, balance, pools: IndexMap::new(), leaving: IndexMap::new() }
    }

    /// Replaces the candidates and keeps the statistics of those that remain.
    pub fn sync(&mut self, candidates: Vec<Candidate>) {
        let mut by_service: IndexMap<ids::ServiceName, Vec<Candidate>> = IndexMap::new();
        for candidate in candidates.into_iter().filter(|candidate| !self.is_leaving(candidate)) {
            by_service.entry(candidate.id.service.clone()).or_default().push(candidate);
        }
        self.pools.retain(|name, _| by_service.contains_key(name));
        for (name, candidates) in by_service {
            let subset = self.subset(candidates);
            self.pools.entry(name).or_default().sync(subset);
        }
    }

    /// Selects an upstream and counts the request as outstanding there.
    ///
    /// Returns `None` if the service has no upstream left that is not in `criteria.tried`.
    pub fn pick(&mut self, criteria: &Criteria<'_>, rng: &mut impl Rng) -> Option<Candidate> {
        let pool = self.pools.get_mut(criteria.service)?;
        let usable = pool.usable(criteria);
        let index = match self.balance {
            Balance::RoundRobin => pool.next_round_robin(&usable),
            Balance::LeastConnections => pool.least_outstanding(&usable, rng),
            Balance::LoadSeen => {
                let usable = pool.filter_limited(usable, criteria.now);
                let usable = pool.filter_slow(usable, criteria);
                let usable = pool.filter_suspected(usable, criteria, rng);
                pool.lowest_cost(&usable, &self.domain, criteria, rng)
            }
        }?;
        let (_, upstream) = pool.upstreams.get_index_mut(index)?;
        upstream.outstanding += 1;
        if let Some(room) = &mut upstream.room {
            room.ready = room.ready.max(criteria.now) + room.spacing;
        }
        Some(upstream.candidate.clone())
    }

    /// Records the result of an attempt. Returns `true` if it starts a back-off from the upstream.
    pub fn record_result(
        &mut self,
        id: &ids::UpstreamId,
        result: AttemptResult,
        now: time::Instant,
    ) -> bool {
        let pool = self.pools.get_mut(&id.service);
        let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) else {
            return false;
        };
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match result {
            AttemptResult::Responded { elapsed, is_error } => {
                upstream.record_latency(elapsed, now);
                // If the sidecar reports a failure probability, that already reflects the error.
                let is_counted = is_error && upstream.detector.is_none();
                upstream.error_rate.record(f64::from(u8::from(is_counted)), now);
                upstream.backoff.record_success();
                false
            }
            AttemptResult::Failed => {
                upstream.error_rate.record(1.0, now);
                upstream.latency_sampled = Some(now);
                false
            }
            AttemptResult::Abandoned { after } => {
                let latency = upstream.latency.value().unwrap_or(LATENCY_DEFAULT_S);
                if after.as_secs_f64() > latency {
                    upstream.record_latency(after, now);
                }
                false
            }
            AttemptResult::Unavailable => {
                let was_avoided = upstream.backoff.is_active(now);
                upstream.backoff.record_failure(now);
                !was_avoided
            }
            AttemptResult::Inconclusive => false,
        }
    }

    /// Records the load that a sidecar reported for its upstream.
    pub fn record_load(&mut self, id: &ids::UpstreamId, load: load::Load, now: time::Instant) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.last_load =
                Some(LoadSample { load, own_outstanding: upstream.outstanding, at: now });
        }
    }

    /// Records the failure probability that a sidecar reported for its upstream.
    pub fn record_failure_probability(
        &mut self,
        id: &ids::UpstreamId,
        failure_probability: f64,
        now: time::Instant,
    ) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.detector = Some(outlier::Detector::from_report(failure_probability, now));
        }
    }

    /// Records what a sidecar reported about the limit of its upstream; `None` if it names none.
    ///
    /// All ingresses wait for the same room, so each spreads its next request over some time after
    /// it.
    pub fn record_room(
        &mut self,
        id: &ids::UpstreamId,
        room: Option<request_limit::Room>,
        now: time::Instant,
        rng: &mut impl Rng,
    ) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.room = room.map(|room| {
                let spacing = time::Duration::from_secs_f64(1.0 / room.rate);
                let spread = spacing.mul_f64(rng.random_range(0.0..ROOM_SPREAD));
                let wait = if room.wait.is_zero() { room.wait } else { room.wait + spread };
                RoomEstimate { ready: now + wait, spacing }
            });
        }
    }

    /// Records that an upstream has stated in a response that it is about to leave. It is no longer
    /// selected under any incarnation up to this one.
    pub fn record_leaving(&mut self, id: &ids::UpstreamId, incarnation: ids::Incarnation) {
        if self.leaving.get(id).is_some_and(|known| *known >= incarnation) {
            return;
        }
        if self.leaving.len() >= LEAVING_MAX {
            self.leaving.shift_remove_index(0);
        }
        self.leaving.shift_remove(id);
        self.leaving.insert(id.clone(), incarnation);
        let Some(pool) = self.pools.get_mut(&id.service) else { return };
        let upstream = pool.upstreams.get(&id.address);
        if upstream.is_some_and(|upstream| upstream.candidate.incarnation <= incarnation) {
            pool.upstreams.swap_remove(&id.address);
        }
    }

    fn is_leaving(&self, candidate: &Candidate) -> bool {
        let leaving = self.leaving.get(&candidate.id);
        leaving.is_some_and(|incarnation| candidate.incarnation <= *incarnation)
    }

    /// Returns the time until the limit of one of the upstreams of a service has room; `None` if no
    /// upstream names a limit.
    pub fn next_room(&self, service: &str, now: time::Instant) -> Option<time::Duration> {
        let upstreams = self.pools.get(service)?.upstreams.values();
        let next = upstreams.filter_map(|upstream| upstream.room).map(|room| room.ready).min();
        next.map(|ready| ready.saturating_duration_since(now))
    }

    /// Backs off from every upstream of a daemon whose sidecar this ingress cannot reach.
    pub fn record_sidecar_failure(&mut self, daemon: &str, now: time::Instant) {
        for pool in self.pools.values_mut() {
            for upstream in pool.upstreams.values_mut() {
                if &*upstream.candidate.daemon == daemon {
                    upstream.backoff.record_failure(now);
                }
            }
        }
    }

    /// Changes the plan of a service, which states the requests that leave the failure domain.
    /// Returns what `change` returns; `None` if the service has no candidates.
    pub fn change_plan<R>(
        &mut self,
        service: &str,
        change: impl FnOnce(&mut spillover::Plan) -> R,
    ) -> Option<R> {
        self.pools.get_mut(service).map(|pool| change(&mut pool.plan))
    }

    /// Returns whether a service has candidates.
    pub fn has_candidates(&self, service: &str) -> bool {
        self.pools.get(service).is_some_and(|pool| !pool.upstreams.is_empty())
    }

    /// Returns the candidates of a service, including those that are avoided.
    pub fn candidates(&self, service: &str) -> Vec<Candidate> {
        let pool = self.pools.get(service);
        let upstreams = pool.into_iter().flat_map(|pool| pool.upstreams.values());
        upstreams.map(|upstream| upstream.candidate.clone()).collect()
    }

    /// Counts the upstreams of each service by whether and why they are left out of selection.
    pub fn availability(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::ServiceName, Availability)> {
        self.pools.iter().map(move |(service, pool)| (service, pool.availability(now)))
    }

    /// Reduces the candidates to [`SUBSET_MAX`] by rendezvous hashing, so that each ingress has its own
    /// subset and a membership change affects few of them. Up to [`OWN_DOMAIN_MAX`] are in the
    /// ingress's own failure domain, so that most requests find room there; the others are spread
    /// over the other domains.
    fn subset(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        if candidates.len() <= SUBSET_MAX {
            return candidates;
        }
        candidates.sort_by_cached_key(|candidate| {
            let mut hasher = hash::DefaultHasher::new();
            (&self.daemon, &candidate.id).hash(&mut hasher);
            hasher.finish()
        });
        let mut by_domain: IndexMap<ids::DomainName, collections::VecDeque<Candidate>> =
            IndexMap::new();
        for candidate in candidates {
            by_domain.entry(candidate.domain.clone()).or_default().push_back(candidate);
        }
        let mut own_domain = by_domain.swap_remove(&self.domain).unwrap_or_default();
        let preferred = own_domain.len().min(OWN_DOMAIN_MAX);
        let mut chosen: Vec<Candidate> = own_domain.drain(..preferred).collect();
        while chosen.len() < SUBSET_MAX && by_domain.values().any(|others| !others.is_empty()) {
            let remaining = SUBSET_MAX - chosen.len();
            let heads = by_domain.values_mut().filter_map(collections::VecDeque::pop_front);
            chosen.extend(heads.take(remaining));
        }
        let remaining = SUBSET_MAX - chosen.len();
        chosen.extend(own_domain.into_iter().take(remaining));
        chosen
    }
}

impl Pool {
    fn sync(&mut self, candidates: Vec<Candidate>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for candidate in candidates {
            let address = candidate.id.address;
            let existing = old.swap_remove(&address).filter(|upstream| {
                upstream.candidate.incarnation == candidate.incarnation
                    && upstream.candidate.sidecar == candidate.sidecar
                    && upstream.candidate.daemon_incarnation == candidate.daemon_incarnation
            });
            let upstream = match existing {
                Some(existing) => Upstream { candidate, ..existing },
                None => Upstream::new(candidate),
            };
            self.upstreams.insert(address, upstream);
        }
    }
}

impl Upstream {
    fn new(candidate: Candidate) -> Self {
        Self {
            candidate,
            outstanding: 0,
            last_load: None,
            latency: statistics::MovingAverage::new(LATENCY_HALF_LIFE),
            latency_sampled: None,
            error_rate: statistics::MovingAverage::new(LATENCY_HALF_LIFE),
            backoff: backoff::Backoff::default(),
            detector: None,
            room: None,
        }
    }

    fn record_latency(&mut self, elapsed: time::Duration, now: time::Instant) {
        self.latency.record(elapsed.as_secs_f64(), now);
        self.latency_sampled = Some(now);
    }

    /// Returns the recent fraction of failed requests, lowered by [`ERROR_PRIOR_SAMPLES`] while
    /// there are few samples.
    fn smoothed_error_rate(&self, now: time::Instant) -> f64 {
        let weight = self.error_rate.weight(now);
        self.error_rate.value().unwrap_or(0.0) * weight / (weight + ERROR_PRIOR_SAMPLES)
    }

    /// Returns the cost of selecting the upstream, in seconds: the expected time of the request,
    /// including the wait for a slot, plus [`BUSY_COST_FRACTION`].
    fn cost(&self, median: f64, now: time::Instant) -> f64 {
        let slots = f64::from(self.open_slots());
        let load = self.expected_load(median, now);
        let wait = (load + 1.0 - slots).max(0.0) / slots;
        self.effective_latency(median, now) * (1.0 + wait)
            + median * BUSY_COST_FRACTION * load / slots
            + self.limit_wait(now).as_secs_f64()
    }

    /// Returns the time until the limit of the upstream is expected to have room.
    fn limit_wait(&self, now: time::Instant) -> time::Duration {
        let ready = self.room.map_or(now, |room| room.ready);
        ready.saturating_duration_since(now)
    }

    /// Returns the number of open slots last reported, or 1 without a report, since the upstream
    /// may be at the start of its ramp.
    fn open_slots(&self) -> u32 {
        let reported = self.last_load.map_or(1, |sample| sample.load.slots);
        reported.clamp(1, self.candidate.slots.max(1))
    }

    /// Returns the outstanding requests of this ingress plus those of other ingresses, which decay
    /// with the age of the report.
    fn expected_load(&self, median: f64, now: time::Instant) -> f64 {
        let half_life = time::Duration::from_secs_f64(median * LOAD_HALF_LIFE_FACTOR)
            .clamp(LOAD_HALF_LIFE_MIN, LOAD_HALF_LIFE_MAX);
        let others = self.last_load.map_or(0.0, |sample| {
            let total = sample.load.in_use + sample.load.queued;
            let age = now.saturating_duration_since(sample.at);
            f64::from(total.saturating_sub(sample.own_outstanding)) * decay(age, half_life)
        });
        others + f64::from(self.outstanding)
    }

    /// Returns whether the effective latency is within [`SLOW_FACTOR`] of the median.
    fn is_fast(&self, median: f64, now: time::Instant) -> bool {
        self.effective_latency(median, now) <= median * SLOW_FACTOR
    }

    /// Returns the expected latency in seconds, raised by the fraction of failed requests.
    fn effective_latency(&self, median: f64, now: time::Instant) -> f64 {
        let factor = 1.0 + ERROR_COST_FACTOR * self.smoothed_error_rate(now);
        self.expected_latency(median, now) * factor
    }

    /// Returns the expected latency in seconds: that of the upstream, moved towards the median while
    /// there are few samples, unless it is clearly slower; then the median plus its excess, which
    /// decays with the age of the latest sample.
    fn expected_latency(&self, median: f64, now: time::Instant) -> f64 {
        let Some(latency) = self.latency.value() else { return median };
        if latency < median * LATENCY_NOISE_FACTOR {
            let weight = self.latency.weight(now);
            return median + (latency - median) * weight / (weight + LATENCY_PRIOR_SAMPLES);
        }
        let age = self
            .latency_sampled
            .map_or(time::Duration::MAX, |at| now.saturating_duration_since(at));
        let excess = (latency - median) * decay(age, SLOW_HALF_LIFE);
        median + excess.min(median * LATENCY_FACTOR_MAX)
    }
}

fn decay(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

#[cfg(test)]
mod tests;
