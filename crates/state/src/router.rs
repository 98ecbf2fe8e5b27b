//! Choice of an upstream at the entry: load seen, failure domain preference, avoidance above the
//! floor, and a subset of large services.

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
use crate::statistics;

/// How an entry balances; all but `LoadSeen` are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// Two random choices compared by expected time, from load and timing seen on answers.
    #[default]
    LoadSeen,
    /// Each upstream in turn.
    RoundRobin,
    /// Fewest requests outstanding from this entry.
    LeastConnections,
}

/// An upstream that takes requests, as membership knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Names the upstream.
    pub id: ids::UpstreamId,
    /// Daemon whose gate leads to it.
    pub daemon: ids::DaemonName,
    /// Address of that gate.
    pub sidecar: net::SocketAddr,
    /// Failure domain of the daemon.
    pub domain: ids::DomainName,
    /// Slots announced.
    pub slots: u32,
    /// Start of the backend server that is meant.
    pub incarnation: ids::Incarnation,
    /// Start of the daemon whose gate leads to it.
    pub daemon_incarnation: ids::Incarnation,
}

/// A request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Healthy slots that avoidance must leave in the service.
    pub floor: u32,
    /// The same as a share of the slots of the service.
    pub floor_share: f64,
    /// Whether the request may be run more than once.
    pub retryable: bool,
    /// Bytes of its body, as far as stated.
    pub body_size: u64,
    /// Upstreams already tried.
    pub tried: &'a [net::SocketAddr],
    /// Time of the decision.
    pub now: time::Instant,
}

/// How a request at an upstream ended, as far as routing is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// Answered; `took` is the gate's time from hand-over to the answer's head.
    Responded {
        /// Time that the upstream took.
        elapsed: time::Duration,
        /// Whether the answer is a server error.
        is_error: bool,
    },
    /// Refused by a gate that is reachable and does not blame the upstream.
    Refused,
    /// The gate or the upstream behind it cannot be used from here.
    Unavailable,
    /// Lost, cut or wrong without an answer.
    Failed,
    /// Given up by this entry or its caller after a time without an answer.
    Abandoned {
        /// Time waited, a lower bound of the time that the upstream would have taken.
        after: time::Duration,
    },
}

/// Routing state of one entry.
#[derive(Debug)]
pub struct Router {
    own: ids::DaemonName,
    domain: ids::DomainName,
    balance: Balance,
    pools: IndexMap<ids::ServiceName, Pool>,
}

#[derive(Debug, Default)]
struct Pool {
    upstreams: IndexMap<net::SocketAddr, Upstream>,
    cursor: usize,
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
    /// What the gate believes, as last heard.
    suspicion: Option<outlier::Detector>,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    load: load::Load,
    own_outstanding: u32,
    at: time::Instant,
}

/// Upstreams of one service that an entry uses at most.
pub const SUBSET_MAX: usize = 32;
const LATENCY_HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// Age at which reports of other entries' load count half.
const LOAD_HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Age at which a slow upstream's timing counts half, so that it is tried again.
const SLOW_HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Multiple of the pool's median below which timing differences are taken as noise.
const LATENCY_NOISE_FACTOR: f64 = 1.5;
/// Multiple of the pool's median at which timing is capped.
const LATENCY_FACTOR_MAX: f64 = 20.0;
/// Cost of each busy slot as a share of the median time, to spread load below saturation.
const BUSY_COST_SHARE: f64 = 0.1;
/// Factor on the expected time of an upstream where everything goes wrong, so that one that fails
/// fast does not attract requests.
const ERROR_COST_FACTOR: f64 = 50.0;
/// Good requests assumed before any is known.
const ERROR_PRIOR_SAMPLES: f64 = 2.0;
/// Time assumed for an upstream before any is known.
const LATENCY_DEFAULT_S: f64 = 0.01;

impl Router {
    /// Returns a router without upstreams for the entry of daemon `own` in `domain`.
    pub fn new(own: ids::DaemonName, domain: ids::DomainName, balance: Balance) -> Self {
        Self { own, domain, balance, pools: IndexMap::new() }
    }

    /// Replaces the candidates; what is known of upstreams that stay is kept.
    pub fn sync(&mut self, candidates: Vec<Candidate>) {
        let mut by_service: IndexMap<ids::ServiceName, Vec<Candidate>> = IndexMap::new();
        for candidate in candidates {
            by_service.entry(candidate.id.service.clone()).or_default().push(candidate);
        }
        self.pools.retain(|name, _| by_service.contains_key(name));
        for (name, candidates) in by_service {
            let chosen = self.subset(candidates);
            self.pools.entry(name).or_default().sync(chosen);
        }
    }

    /// Chooses an upstream and counts the request as outstanding there.
    ///
    /// Returns `None` when the service has no upstream that was not tried yet.
    pub fn pick(&mut self, criteria: &Criteria<'_>, rng: &mut impl Rng) -> Option<Candidate> {
        let pool = self.pools.get_mut(criteria.service)?;
        let usable = pool.usable(criteria);
        let index = match self.balance {
            Balance::RoundRobin => pool.next_round_robin(&usable),
            Balance::LeastConnections => pool.least_outstanding(&usable, rng),
            Balance::LoadSeen => {
                let usable = pool.without_outliers(usable, criteria);
                let usable = pool.filter_suspected(usable, criteria, rng);
                pool.lowest_cost(&usable, &self.domain, criteria, rng)
            }
        }?;
        let (_, upstream) = pool.upstreams.get_index_mut(index)?;
        upstream.outstanding += 1;
        Some(upstream.candidate.clone())
    }

    /// Counts a request as ended. Returns whether the upstream just became avoided.
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
                // Errors are the gate's evidence where it tells what it believes.
                let is_counted = is_error && upstream.suspicion.is_none();
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
                let known = upstream.latency.value().unwrap_or(LATENCY_DEFAULT_S);
                if after.as_secs_f64() > known {
                    upstream.record_latency(after, now);
                }
                false
            }
            AttemptResult::Unavailable => {
                let before = upstream.backoff.is_active(now);
                upstream.backoff.record_failure(now);
                !before
            }
            AttemptResult::Refused => false,
        }
    }

    /// Notes the load that a gate reported for an upstream.
    pub fn record_load(&mut self, id: &ids::UpstreamId, load: load::Load, now: time::Instant) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.last_load =
                Some(LoadSample { load, own_outstanding: upstream.outstanding, at: now });
        }
    }

    /// Notes how likely a gate takes its upstream to be failing.
    pub fn record_failure_probability(
        &mut self,
        id: &ids::UpstreamId,
        failure_probability: f64,
        now: time::Instant,
    ) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.suspicion = Some(outlier::Detector::from_report(failure_probability, now));
        }
    }

    /// Avoids every upstream behind a daemon's gate, which cannot be reached from here.
    pub fn record_sidecar_failure(&mut self, daemon: &str, now: time::Instant) {
        for pool in self.pools.values_mut() {
            for upstream in pool.upstreams.values_mut() {
                if &*upstream.candidate.daemon == daemon {
                    upstream.backoff.record_failure(now);
                }
            }
        }
    }

    /// Tells whether a service has candidates.
    pub fn has_candidates(&self, service: &str) -> bool {
        self.pools.get(service).is_some_and(|pool| !pool.upstreams.is_empty())
    }

    /// Returns the candidates in use for a service, avoided ones included.
    pub fn candidates(&self, service: &str) -> Vec<Candidate> {
        let pool = self.pools.get(service);
        let upstreams = pool.into_iter().flat_map(|pool| pool.upstreams.values());
        upstreams.map(|upstream| upstream.candidate.clone()).collect()
    }

    /// Keeps at most [`SUBSET_MAX`] candidates, spread over failure domains by rendezvous
    /// hashing, so that every entry has its own subset and membership changes move few.
    fn subset(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        if candidates.len() <= SUBSET_MAX {
            return candidates;
        }
        candidates.sort_by_cached_key(|candidate| {
            let mut hasher = hash::DefaultHasher::new();
            (&self.own, &candidate.id).hash(&mut hasher);
            hasher.finish()
        });
        let mut by_domain: IndexMap<ids::DomainName, collections::VecDeque<Candidate>> =
            IndexMap::new();
        for candidate in candidates {
            by_domain.entry(candidate.domain.clone()).or_default().push_back(candidate);
        }
        let mut chosen = Vec::with_capacity(SUBSET_MAX);
        while chosen.len() < SUBSET_MAX {
            let room = SUBSET_MAX - chosen.len();
            let heads = by_domain.values_mut().filter_map(collections::VecDeque::pop_front);
            chosen.extend(heads.take(room));
        }
        chosen
    }
}

impl Pool {
    fn sync(&mut self, candidates: Vec<Candidate>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for candidate in candidates {
            let address = candidate.id.address;
            let known = old.swap_remove(&address).filter(|upstream| {
                upstream.candidate.incarnation == candidate.incarnation
                    && upstream.candidate.sidecar == candidate.sidecar
                    && upstream.candidate.daemon_incarnation == candidate.daemon_incarnation
            });
            let upstream = match known {
                Some(known) => Upstream { candidate, ..known },
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
            suspicion: None,
        }
    }

    fn record_latency(&mut self, elapsed: time::Duration, now: time::Instant) {
        self.latency.record(elapsed.as_secs_f64(), now);
        self.latency_sampled = Some(now);
    }

    /// Share of requests that went wrong here lately; few samples count as fewer troubles.
    fn error_share(&self, now: time::Instant) -> f64 {
        let weight = self.error_rate.weight(now);
        self.error_rate.value().unwrap_or(0.0) * weight / (weight + ERROR_PRIOR_SAMPLES)
    }

    /// Expected time at this upstream in seconds: its own time plus the wait for a slot.
    fn cost(&self, median: f64, now: time::Instant) -> f64 {
        let slots = f64::from(self.open_slots());
        let load = self.expected_load(now);
        let wait = (load + 1.0 - slots).max(0.0) / slots;
        self.effective_latency(median, now) * (1.0 + wait) + median * BUSY_COST_SHARE * load / slots
    }

    /// Slots open as the gate last said; a cold upstream that was never asked counts one.
    fn open_slots(&self) -> u32 {
        let reported = self.last_load.map_or(1, |sample| sample.load.slots);
        reported.clamp(1, self.candidate.slots.max(1))
    }

    /// Own outstanding requests plus those of others as last seen, which fade with age.
    fn expected_load(&self, now: time::Instant) -> f64 {
        let others = self.last_load.map_or(0.0, |sample| {
            let total = sample.load.in_use + sample.load.queued;
            let age = now.saturating_duration_since(sample.at);
            f64::from(total.saturating_sub(sample.own_outstanding)) * decay(age, LOAD_HALF_LIFE)
        });
        others + f64::from(self.outstanding)
    }

    /// Expected time of a request without waiting, raised by the share that goes wrong here.
    fn effective_latency(&self, median: f64, now: time::Instant) -> f64 {
        let factor = 1.0 + ERROR_COST_FACTOR * self.error_share(now);
        self.expected_latency(median, now) * factor
    }

    fn expected_latency(&self, median: f64, now: time::Instant) -> f64 {
        let Some(own) = self.latency.value() else { return median };
        if own < median * LATENCY_NOISE_FACTOR {
            return median;
        }
        let age = self
            .latency_sampled
            .map_or(time::Duration::MAX, |at| now.saturating_duration_since(at));
        let excess = (own - median) * decay(age, SLOW_HALF_LIFE);
        median + excess.min(median * LATENCY_FACTOR_MAX)
    }
}

fn decay(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

#[cfg(test)]
mod tests;
