//! Choice of an upstream at the entry: load seen, failure domain preference, avoidance above the
//! floor, and a subset of large services.

use std::cmp;
use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::net;
use std::time;

use indexmap::IndexMap;
use rand::Rng;

use crate::doubt;
use crate::health;
use crate::ids;
use crate::latency;
use crate::load;

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
    pub gate: net::SocketAddr,
    /// Failure domain of the daemon.
    pub domain: ids::DomainName,
    /// Slots announced.
    pub slots: u32,
    /// Start of the backend server that is meant.
    pub incarnation: ids::Incarnation,
    /// Start of the daemon whose gate leads to it.
    pub daemon_start: ids::Incarnation,
}

/// A request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Healthy slots that avoidance must leave in the service.
    pub floor: u32,
    /// The same as a share of the slots of the service.
    pub floor_share: f64,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Bytes of its body, as far as stated.
    pub size: u64,
    /// Upstreams already tried.
    pub tried: &'a [net::SocketAddr],
    /// Time of the decision.
    pub now: time::Instant,
}

/// How a request at an upstream ended, as far as routing is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Report {
    /// Answered; `took` is the gate's time from hand-over to the answer's head.
    Answered {
        /// Time that the upstream took.
        took: time::Duration,
        /// Whether the answer is a server error.
        is_error: bool,
    },
    /// Refused by a gate that is reachable and does not blame the upstream.
    Refused,
    /// The gate or the upstream behind it cannot be used from here.
    Unusable,
    /// Lost, cut or wrong without an answer.
    Failed,
    /// Given up by this entry or its caller after a time without an answer.
    GivenUp {
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
    seen: Option<Seen>,
    latency: latency::Average,
    sampled: Option<time::Instant>,
    trouble: latency::Average,
    path: health::PathHealth,
    /// What the gate believes, as last heard.
    doubt: Option<doubt::Doubt>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    load: load::Load,
    own: u32,
    at: time::Instant,
}

/// Upstreams of one service that an entry uses at most.
pub const SUBSET_MAX: usize = 32;
const LATENCY_HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// Age at which reports of other entries' load count half.
const LOAD_HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Age at which a slow upstream's timing counts half, so that it is tried again.
const BLAME_HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Multiple of the pool's median below which timing differences are taken as noise.
const NOISE_FACTOR: f64 = 1.5;
/// Multiple of the pool's median above which an upstream is left out while others hold the floor.
const OUTLIER_FACTOR: f64 = 3.0;
/// Multiple of the pool's median at which timing is capped.
const SLOW_FACTOR_MAX: f64 = 20.0;
/// Cost of another failure domain, as a share of the median time.
const REMOTE_SHARE: f64 = 0.3;
/// Cost of another failure domain in seconds, on top of the share.
const REMOTE_SECONDS: f64 = 0.001;
/// Bytes of a body whose way into another failure domain costs as much as a second of time: bytes
/// between domains are paid for, so that a large upload rather waits for an upstream near.
const REMOTE_BYTES_PER_SECOND: f64 = 128.0 * 1024.0;
/// Cost of each busy slot as a share of the median time, to spread load below saturation.
const BUSY_SHARE: f64 = 0.1;
/// Factor on the expected time of an upstream where everything goes wrong, so that one that fails
/// fast does not attract requests.
const TROUBLE_FACTOR: f64 = 50.0;
/// Good requests assumed before any is known.
const TROUBLE_PRIOR: f64 = 2.0;
/// Time assumed for an upstream before any is known.
const LATENCY_UNKNOWN_S: f64 = 0.01;
/// Share of the repeatable requests that go to a doubted upstream, so that it can prove itself.
const TRIAL_SHARE: f64 = 0.2;

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
    pub fn pick(&mut self, want: &Want<'_>, rng: &mut impl Rng) -> Option<Candidate> {
        let pool = self.pools.get_mut(want.service)?;
        let usable = pool.usable(want);
        let index = match self.balance {
            Balance::RoundRobin => pool.next_in_turn(&usable),
            Balance::LeastConnections => pool.least_outstanding(&usable, rng),
            Balance::LoadSeen => {
                let usable = pool.without_outliers(usable, want);
                let usable = pool.by_doubt(usable, want, rng);
                pool.cheapest(&usable, &self.domain, want, rng)
            }
        }?;
        let (_, upstream) = pool.upstreams.get_index_mut(index)?;
        upstream.outstanding += 1;
        Some(upstream.candidate.clone())
    }

    /// Counts a request as ended. Returns whether the upstream just became avoided.
    pub fn ended(&mut self, id: &ids::UpstreamId, report: Report, now: time::Instant) -> bool {
        let pool = self.pools.get_mut(&id.service);
        let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) else {
            return false;
        };
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match report {
            Report::Answered { took, is_error } => {
                upstream.note_time(took, now);
                // Errors are the gate's evidence where it tells what it believes.
                let is_trouble = is_error && upstream.doubt.is_none();
                upstream.trouble.record(f64::from(u8::from(is_trouble)), now);
                upstream.path.worked();
                false
            }
            Report::Failed => {
                upstream.trouble.record(1.0, now);
                upstream.sampled = Some(now);
                false
            }
            Report::GivenUp { after } => {
                let known = upstream.latency.value().unwrap_or(LATENCY_UNKNOWN_S);
                if after.as_secs_f64() > known {
                    upstream.note_time(after, now);
                }
                false
            }
            Report::Unusable => {
                let before = upstream.path.is_avoided(now);
                upstream.path.failed(now);
                !before
            }
            Report::Refused => false,
        }
    }

    /// Notes the load that a gate reported for an upstream.
    pub fn saw_load(&mut self, id: &ids::UpstreamId, load: load::Load, now: time::Instant) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.seen = Some(Seen { load, own: upstream.outstanding, at: now });
        }
    }

    /// Notes how likely a gate takes its upstream to be failing.
    pub fn saw_doubt(&mut self, id: &ids::UpstreamId, likelihood: f64, now: time::Instant) {
        let pool = self.pools.get_mut(&id.service);
        if let Some(upstream) = pool.and_then(|p| p.upstreams.get_mut(&id.address)) {
            upstream.doubt = Some(doubt::Doubt::heard(likelihood, now));
        }
    }

    /// Avoids every upstream behind a daemon's gate, which cannot be reached from here.
    pub fn gate_failed(&mut self, daemon: &str, now: time::Instant) {
        for pool in self.pools.values_mut() {
            for upstream in pool.upstreams.values_mut() {
                if &*upstream.candidate.daemon == daemon {
                    upstream.path.failed(now);
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
                    && upstream.candidate.gate == candidate.gate
                    && upstream.candidate.daemon_start == candidate.daemon_start
            });
            let upstream = match known {
                Some(known) => Upstream { candidate, ..known },
                None => Upstream::new(candidate),
            };
            self.upstreams.insert(address, upstream);
        }
    }

    /// Returns the indexes that may be chosen: untried ones that are not avoided, and, while
    /// those hold fewer slots than the floor, avoided ones that come back soonest.
    fn usable(&self, want: &Want<'_>) -> Vec<usize> {
        let numbered = || self.upstreams.values().enumerate();
        let is_avoided = |upstream: &Upstream| upstream.path.is_avoided(want.now);
        let mut usable: Vec<usize> =
            numbered().filter(|(_, u)| !is_avoided(u)).map(|(index, _)| index).collect();
        let mut slots: u32 = usable.iter().map(|&i| self.upstreams[i].candidate.slots).sum();
        let mut avoided: Vec<(usize, &Upstream)> =
            numbered().filter(|(_, u)| is_avoided(u)).collect();
        avoided.sort_by_key(|(_, upstream)| upstream.path.avoided_until());
        let floor = self.floor(want);
        for (index, upstream) in avoided {
            if slots >= floor {
                break;
            }
            slots += upstream.candidate.slots;
            usable.push(index);
        }
        usable.retain(|&i| !want.tried.contains(&self.upstreams[i].candidate.id.address));
        usable
    }

    /// Leaves out upstreams that are far slower or more troubled than their peers, as long as
    /// those left hold the floor's worth of slots.
    fn without_outliers(&self, usable: Vec<usize>, want: &Want<'_>) -> Vec<usize> {
        let median = self.median(want.now);
        let is_fair = |&index: &usize| {
            self.upstreams[index].troubled_time(median, want.now) <= median * OUTLIER_FACTOR
        };
        let fair: Vec<usize> = usable.iter().copied().filter(is_fair).collect();
        let slots: u32 = fair.iter().map(|&i| self.upstreams[i].candidate.slots).sum();
        if slots >= self.floor(want) { fair } else { usable }
    }

    /// Narrows the choice by what gates believe of their upstreams. What must not be repeated goes
    /// where nothing speaks against the upstream, or to the least doubted; a share of the rest goes
    /// to doubted upstreams, whose gates learn from it.
    fn by_doubt(&self, usable: Vec<usize>, want: &Want<'_>, rng: &mut impl Rng) -> Vec<usize> {
        let is_doubted = |&index: &usize| {
            let doubt = &self.upstreams[index].doubt;
            doubt.as_ref().is_some_and(|doubt| doubt.is_serious(want.now))
        };
        let (doubted, trusted): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(is_doubted);
        let is_first = want.tried.is_empty();
        let tries = want.repeatable && is_first && !doubted.is_empty();
        if tries && rng.random_bool(TRIAL_SHARE) {
            return doubted;
        }
        if !trusted.is_empty() {
            return trusted;
        }
        let likelihood = |index: usize| {
            let doubt = &self.upstreams[index].doubt;
            doubt.as_ref().map_or(0.0, |doubt| doubt.likelihood(want.now))
        };
        let least = doubted.into_iter().min_by(|&a, &b| likelihood(a).total_cmp(&likelihood(b)));
        least.into_iter().collect()
    }

    /// Slots that avoidance must leave in the service.
    fn floor(&self, want: &Want<'_>) -> u32 {
        let slots: u32 = self.upstreams.values().map(|upstream| upstream.candidate.slots).sum();
        let share = (f64::from(slots) * want.floor_share).ceil() as u32;
        want.floor.max(share).max(1)
    }

    fn next_in_turn(&mut self, usable: &[usize]) -> Option<usize> {
        self.cursor = self.cursor.wrapping_add(1);
        usable.get(self.cursor % usable.len().max(1)).copied()
    }

    fn least_outstanding(&self, usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
        let offset = rng.random_range(0..usable.len().max(1));
        let rotated = usable.iter().cycle().skip(offset).take(usable.len());
        rotated.copied().min_by_key(|&index| self.upstreams[index].outstanding)
    }

    /// Compares two random upstreams of the own failure domain with two of the others.
    fn cheapest(
        &self,
        usable: &[usize],
        domain: &str,
        want: &Want<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let now = want.now;
        let (near, far): (Vec<usize>, Vec<usize>) =
            usable.iter().partition(|&&i| &*self.upstreams[i].candidate.domain == domain);
        let median = self.median(now);
        let crossing = want.size as f64 / REMOTE_BYTES_PER_SECOND;
        let crossing = REMOTE_SHARE * median + REMOTE_SECONDS + crossing;
        let mut best: Option<(f64, usize)> = None;
        for (group, is_far) in [(near, false), (far, true)] {
            for index in sample_two(&group, rng) {
                let remote = if is_far { crossing } else { 0.0 };
                let cost = self.upstreams[index].cost(median, now) + remote;
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, index));
                }
            }
        }
        best.map(|(_, index)| index)
    }

    fn median(&self, now: time::Instant) -> f64 {
        let known = self.upstreams.values().filter(|u| u.latency.weight(now) > 0.0);
        let mut times: Vec<f64> = known.filter_map(|u| u.latency.value()).collect();
        if times.is_empty() {
            return LATENCY_UNKNOWN_S;
        }
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}

impl Upstream {
    fn new(candidate: Candidate) -> Self {
        Self {
            candidate,
            outstanding: 0,
            seen: None,
            latency: latency::Average::new(LATENCY_HALF_LIFE),
            sampled: None,
            trouble: latency::Average::new(LATENCY_HALF_LIFE),
            path: health::PathHealth::default(),
            doubt: None,
        }
    }

    fn note_time(&mut self, took: time::Duration, now: time::Instant) {
        self.latency.record(took.as_secs_f64(), now);
        self.sampled = Some(now);
    }

    /// Share of requests that went wrong here lately; few samples count as fewer troubles.
    fn trouble_share(&self, now: time::Instant) -> f64 {
        let weight = self.trouble.weight(now);
        self.trouble.value().unwrap_or(0.0) * weight / (weight + TROUBLE_PRIOR)
    }

    /// Expected time at this upstream in seconds: its own time plus the wait for a slot.
    fn cost(&self, median: f64, now: time::Instant) -> f64 {
        let slots = f64::from(self.open_slots());
        let load = self.expected_load(now);
        let wait = (load + 1.0 - slots).max(0.0) / slots;
        self.troubled_time(median, now) * (1.0 + wait) + median * BUSY_SHARE * load / slots
    }

    /// Slots open as the gate last said; a cold upstream that was never asked counts one.
    fn open_slots(&self) -> u32 {
        let seen = self.seen.map_or(1, |seen| seen.load.slots);
        seen.clamp(1, self.candidate.slots.max(1))
    }

    /// Own outstanding requests plus those of others as last seen, which fade with age.
    fn expected_load(&self, now: time::Instant) -> f64 {
        let others = self.seen.map_or(0.0, |seen| {
            let total = seen.load.in_use + seen.load.queued;
            let age = now.saturating_duration_since(seen.at);
            f64::from(total.saturating_sub(seen.own)) * fade(age, LOAD_HALF_LIFE)
        });
        others + f64::from(self.outstanding)
    }

    /// Expected time of a request without waiting, raised by the share that goes wrong here.
    fn troubled_time(&self, median: f64, now: time::Instant) -> f64 {
        let trouble = 1.0 + TROUBLE_FACTOR * self.trouble_share(now);
        self.expected_time(median, now) * trouble
    }

    fn expected_time(&self, median: f64, now: time::Instant) -> f64 {
        let Some(own) = self.latency.value() else { return median };
        if own < median * NOISE_FACTOR {
            return median;
        }
        let age = self.sampled.map_or(time::Duration::MAX, |at| now.saturating_duration_since(at));
        let excess = (own - median) * fade(age, BLAME_HALF_LIFE);
        median + excess.min(median * SLOW_FACTOR_MAX)
    }
}

fn fade(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

fn sample_two(group: &[usize], rng: &mut impl Rng) -> impl Iterator<Item = usize> {
    let length = group.len();
    let first = (length > 0).then(|| rng.random_range(0..length.max(1)));
    let second = first.filter(|_| length > 1).map(|first| {
        let other = rng.random_range(0..length - 1);
        if other < first { other } else { cmp::min(other + 1, length - 1) }
    });
    let picked = [first, second].map(|index| index.map(|i| group[i]));
    picked.into_iter().flatten()
}

#[cfg(test)]
mod tests;
