//! State shared by the tasks of one daemon, and its lock order.
//!
//! Lock order: `policy`, `freshness`, `membership`, `router`, `upstream_counts`, `spender`, `quota_owner`, `traffic`,
//! `response_sizes`, `load_reports`, `quarantine`, `events`. A task that holds one lock acquires only
//! later ones. No lock is held across an await point. `held_bytes` locks for single additions and is
//! acquired last. The admission state is private to the sidecar and never locked together with these.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;

use crate::byte_budget;
use crate::clock;
use crate::drain_time;
use crate::event;
use crate::freshness;
use crate::ids;
use crate::load_report;
use crate::member;
use crate::membership;
use crate::policy::compiled;
use crate::policy::document;
use crate::policy::reducer;
use crate::quarantine;
use crate::quota;
use crate::quota::bounds;
use crate::quota::message;
use crate::quota::owner;
use crate::quota::spender;
use crate::response_hold;
use crate::response_size;
use crate::retry;
use crate::router;
use crate::spillover;
use crate::startup;
use crate::statistics;

/// Shared state of one daemon.
#[derive(Debug)]
pub struct SharedState<C> {
    /// Time source.
    pub clock: C,
    /// Start of the daemon.
    pub startup: startup::Startup,
    /// Budget of the bytes that the daemon holds in memory.
    pub held_bytes: byte_budget::HeldBytes,
    /// Name of the daemon, for log lines.
    daemon: ids::DaemonName,
    policy: sync::RwLock<Policy>,
    freshness: sync::Mutex<freshness::Freshness>,
    membership: sync::Mutex<membership::Membership>,
    router: sync::Mutex<router::Router>,
    /// Upstreams of each service in all membership records.
    upstream_counts: sync::RwLock<IndexMap<ids::ServiceName, usize>>,
    spender: sync::Mutex<spender::Spender>,
    quota_owner: sync::Mutex<owner::Owner>,
    traffic: sync::Mutex<IndexMap<ids::ServiceName, Traffic>>,
    response_sizes: sync::Mutex<response_size::ResponseSizes>,
    load_reports: sync::Mutex<load_report::LoadReports>,
    quarantine: sync::Mutex<quarantine::Quarantine>,
    events: sync::Mutex<event::Ring>,
    /// Generation of the membership that the router was last synchronised with.
    router_generation: atomic::AtomicU64,
    /// Whether the policy is at least as new as any that the previous instance of this daemon may
    /// have used.
    is_current: atomic::AtomicBool,
}

#[derive(Debug, Default)]
struct Policy {
    reducer: reducer::Reducer,
    compiled: sync::Arc<compiled::CompiledPolicy>,
}

const EVENTS_MAX: usize = 4096;

impl<C: clock::Clock> SharedState<C> {
    /// Returns the state of a daemon that has received neither a policy nor a record of a peer.
    ///
    /// `own_record` is the daemon's record.
    pub fn new(own_record: member::Record, balance: router::Balance, clock: C) -> Self {
        let router =
            router::Router::new(own_record.daemon.clone(), own_record.domain.clone(), balance);
        let ring = event::Ring::new(own_record.daemon.clone(), EVENTS_MAX);
        let quota_start = clock.now() + clock.suspended();
        let quota_owner =
            owner::Owner::new(bounds::Bounds::default(), own_record.incarnation, quota_start);
        Self {
            startup: startup::Startup::new(clock.now()),
            held_bytes: byte_budget::HeldBytes::new(byte_budget::LIMIT_DEFAULT),
            clock,
            daemon: own_record.daemon.clone(),
            policy: Default::default(),
            freshness: Default::default(),
            membership: sync::Mutex::new(membership::Membership::new(own_record)),
            router: sync::Mutex::new(router),
            upstream_counts: Default::default(),
            spender: Default::default(),
            quota_owner: sync::Mutex::new(quota_owner),
            traffic: Default::default(),
            response_sizes: Default::default(),
            load_reports: Default::default(),
            quarantine: Default::default(),
            events: sync::Mutex::new(ring),
            router_generation: Default::default(),
            is_current: Default::default(),
        }
    }

    /// Returns the active policy.
    pub fn policy(&self) -> sync::Arc<compiled::CompiledPolicy> {
        read(&self.policy).compiled.clone()
    }

    /// Returns whether the policy has caught up with the log or with enough peers since the start.
    pub fn is_current(&self) -> bool {
        self.is_current.load(atomic::Ordering::Acquire)
    }

    /// Marks the policy as caught up with the log or with enough peers.
    pub fn mark_current(&self) {
        self.is_current.store(true, atomic::Ordering::Release);
    }

    /// Runs `f` on the policy reducer.
    pub fn with_reducer<R>(&self, f: impl FnOnce(&reducer::Reducer) -> R) -> R {
        f(&read(&self.policy).reducer)
    }

    /// Changes the active document without a new version, for settings that are merged into it and
    /// have changed.
    pub fn amend_policy(&self, change: impl FnOnce(&mut document::Document)) {
        let mut policy = write(&self.policy);
        change(&mut policy.reducer.document);
        let compiled = self.compile(&policy);
        policy.compiled = sync::Arc::new(compiled);
    }

    fn compile(&self, policy: &Policy) -> compiled::CompiledPolicy {
        let reducer = &policy.reducer;
        let mut hasher = hash::DefaultHasher::new();
        (&self.daemon, reducer.version).hash(&mut hasher);
        policy.compiled.recompile(reducer.version, &reducer.document, hasher.finish())
    }

    /// Changes the policy reducer and activates its document if the version increased.
    ///
    /// Discards a change that would lower the version or the next offset.
    pub fn update_policy(&self, change: impl FnOnce(&mut reducer::Reducer)) {
        let mut policy = write(&self.policy);
        let mut next = policy.reducer.clone();
        change(&mut next);
        if next.next < policy.reducer.next || next.version < policy.reducer.version {
            return;
        }
        let is_new = next.version > policy.reducer.version;
        policy.reducer = next;
        if !is_new {
            return;
        }
        let compiled = self.compile(&policy);
        policy.compiled = sync::Arc::new(compiled);
        let version = policy.reducer.version;
        drop(policy);
        self.membership().set_policy_version(version);
        self.record_event(event::Kind::PolicyInForce { version });
    }

    /// Locks the freshness of the policy. It takes [`boot_time`](Self::boot_time).
    pub fn freshness(&self) -> sync::MutexGuard<'_, freshness::Freshness> {
        lock(&self.freshness)
    }

    /// Returns this daemon's place among those that pass on confirmations of the policy.
    pub fn relay(&self) -> membership::Relay {
        let mut freshness = self.freshness();
        let suspects = freshness.suspects(self.boot_time());
        let is_failing = freshness.is_failing();
        drop(freshness);
        self.membership().relay(&suspects, is_failing, self.now())
    }

    /// Locks the membership.
    pub fn membership(&self) -> sync::MutexGuard<'_, membership::Membership> {
        lock(&self.membership)
    }

    /// Locks the router.
    pub fn router(&self) -> sync::MutexGuard<'_, router::Router> {
        lock(&self.router)
    }

    /// Locks the tokens of organisations at this ingress.
    pub fn spender(&self) -> sync::MutexGuard<'_, spender::Spender> {
        lock(&self.spender)
    }

    /// Decides about a request under the quota of its organisation, see [`spender::Spender::admit`].
    /// Also returns whether an ask for tokens is due.
    pub fn spend(
        &self,
        organisation: &ids::OrganisationName,
        limit: &quota::Limit,
        arrived: time::Instant,
        now: time::Instant,
    ) -> (spender::Decision, bool) {
        let mut spender = self.spender();
        let decision = spender.admit(organisation, limit, arrived, now);
        (decision, spender.is_ask_due(organisation, now))
    }

    /// Locks the quotas that this daemon owns.
    pub fn quota_owner(&self) -> sync::MutexGuard<'_, owner::Owner> {
        lock(&self.quota_owner)
    }

    /// Returns the monotonic time for what must expire also while the VM is suspended: tokens of quotas
    /// and confirmations of the policy. Unlike it, [`now`](Self::now) stands still meanwhile.
    pub fn boot_time(&self) -> time::Instant {
        self.clock.now() + self.clock.suspended()
    }

    /// Lends tokens to the ingress of `daemon` from the quotas that this daemon owns. Asks for
    /// organisations that it does not own, or that the policy does not limit, get no grant.
    pub fn lend(&self, daemon: &ids::DaemonName, asks: &[message::Ask]) -> Vec<message::Grant> {
        let (policy, now, boot_time) = (self.policy(), self.now(), self.boot_time());
        let mut grants = Vec::new();
        for ask in asks.iter().take(message::ASKS_MAX) {
            let Some(limit) = policy.quota(&ask.organisation) else { continue };
            let placement = self.membership().place(&ask.organisation, now);
            if placement.control.is_some() {
                continue;
            }
            let mut owner = self.quota_owner();
            grants.push(owner.lend(daemon, ask, &limit, placement.position, boot_time));
        }
        grants
    }

    /// Locks the expected sizes of responses.
    pub fn response_sizes(&self) -> sync::MutexGuard<'_, response_size::ResponseSizes> {
        lock(&self.response_sizes)
    }

    /// Locks the load reports.
    pub fn load_reports(&self) -> sync::MutexGuard<'_, load_report::LoadReports> {
        lock(&self.load_reports)
    }

    /// Returns the loads of the failure domains by service, from the reports of live daemons.
    pub fn domain_loads(&self) -> load_report::ServiceLoads {
        let now = self.now();
        let membership = self.membership();
        let own_domain = membership.own_record().domain.clone();
        let live = membership.live_records(now).map(|record| (&record.daemon, &record.domain));
        self.load_reports().domain_loads(live, &own_domain, now)
    }

    /// Returns the requests that callers send to this ingress, by service.
    pub fn demands(&self) -> Vec<(ids::ServiceName, spillover::CallerDemand)> {
        let now = self.now();
        let traffic = lock(&self.traffic);
        let demands =
            traffic.iter().map(|(name, traffic)| (name.clone(), traffic.demand.read(now)));
        demands.collect()
    }

    /// Locks the requests that are suspected of crashing upstreams.
    pub fn quarantine(&self) -> sync::MutexGuard<'_, quarantine::Quarantine> {
        lock(&self.quarantine)
    }

    /// Runs `f` on the traffic statistics of a service at this ingress.
    pub fn with_traffic<R>(
        &self,
        service: &ids::ServiceName,
        f: impl FnOnce(&mut Traffic) -> R,
    ) -> R {
        let mut traffic = lock(&self.traffic);
        if let Some(known) = traffic.get_mut(service) {
            return f(known);
        }
        f(traffic.entry(service.clone()).or_default())
    }

    /// Adds an event to the timeline, and logs it if [`event::Kind::level`] gives a level.
    pub fn record_event(&self, kind: event::Kind) {
        if let Some(level) = kind.level() {
            log::log!(level, event = kind.as_str(), daemon = &*self.daemon; "{kind}");
        }
        lock(&self.events).push(kind, self.clock.wall());
    }

    /// Returns the part of the timeline that is held in memory.
    pub fn timeline(&self) -> Timeline {
        let ring = lock(&self.events);
        Timeline { dropped: ring.dropped(), events: ring.events().cloned().collect() }
    }

    /// Updates the router with the current candidates if the membership has changed since the last
    /// call.
    pub fn sync_router(&self) {
        let now = self.now();
        let mut membership = self.membership();
        membership.skip_pause(now);
        let generation = membership.generation();
        if self.router_generation.swap(generation, atomic::Ordering::AcqRel) == generation {
            return;
        }
        let candidates = membership.candidates(now);
        let counts = membership.upstream_counts();
        self.router().sync(candidates);
        *write(&self.upstream_counts) = counts;
    }

    /// Returns the number of known upstreams of a service, including those that accept no requests.
    pub fn upstream_count(&self, service: &str) -> usize {
        read(&self.upstream_counts).get(service).copied().unwrap_or(0)
    }

    /// Reads the clock.
    pub fn now(&self) -> time::Instant {
        self.clock.now()
    }
}

/// Traffic statistics of one service at this ingress.
#[derive(Debug)]
pub struct Traffic {
    /// Budget for retries and hedges, unless the upstreams of the service keep it.
    pub budget: retry::Budget,
    /// Retries left that sidecars of the service have reported recently.
    pub retries_left: statistics::MovingAverage,
    /// Requests of callers.
    pub demand: spillover::DemandMeter,
    /// Estimate of the 95th percentile of the time until a response can be passed on, in seconds.
    pub latency_p95: statistics::Quantile,
    /// Speed at which responses arrive.
    pub speed: response_hold::Speed,
    /// When callers that are rejected for lack of capacity are to come back.
    pub drain_time: drain_time::DrainTime,
}

const LATENCY_QUANTILE: f64 = 0.95;
const RETRIES_HALF_LIFE: time::Duration = time::Duration::from_secs(1);

impl Default for Traffic {
    fn default() -> Self {
        let latency_p95 = statistics::Quantile::new(LATENCY_QUANTILE);
        let retries_left = statistics::MovingAverage::new(RETRIES_HALF_LIFE);
        let (budget, demand, speed, drain_time) = Default::default();
        Self { budget, retries_left, demand, latency_p95, speed, drain_time }
    }
}

value! {
    /// Part of one daemon's timeline that is still held in memory.
    pub struct Timeline {
        /// Number of events dropped from the ring.
        pub dropped: u64,
        /// Events kept, oldest first.
        pub events: Vec<event::Event>,
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}
