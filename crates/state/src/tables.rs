//! Tables that the tasks of one daemon share, and the order in which they are locked.
//!
//! Lock order: `policy`, `members`, `router`, `usage`, `keeper`, `traffic`, `events`. A task that
//! holds one lock takes only later ones. No lock is held across an await point. The gate's
//! admission tables are private to the gate and never held together with these.

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;

use crate::clock;
use crate::event;
use crate::ids;
use crate::latency;
use crate::member;
use crate::members;
use crate::policy::document;
use crate::policy::reducer;
use crate::policy::view;
use crate::retry;
use crate::router;
use crate::usage;

/// Shared tables of one daemon.
#[derive(Debug)]
pub struct Tables<C> {
    /// Source of time.
    pub clock: C,
    /// Name of the daemon, for its log lines.
    daemon: ids::DaemonName,
    policy: sync::RwLock<Policy>,
    members: sync::Mutex<members::Members>,
    router: sync::Mutex<router::Router>,
    usage: sync::Mutex<usage::Entry>,
    keeper: sync::Mutex<usage::Keeper>,
    traffic: sync::Mutex<IndexMap<ids::ServiceName, Traffic>>,
    events: sync::Mutex<event::Ring>,
    /// Generation of the membership that the router knows.
    synced: atomic::AtomicU64,
    /// Whether the policy is as new as the predecessor's of this daemon can have been.
    current: atomic::AtomicBool,
}

#[derive(Debug, Default)]
struct Policy {
    reducer: reducer::Reducer,
    view: sync::Arc<view::View>,
}

const EVENTS_MAX: usize = 4096;

impl<C: clock::Clock> Tables<C> {
    /// Returns the tables of a daemon that has heard nothing yet.
    pub fn new(own: member::Record, balance: router::Balance, clock: C) -> Self {
        let router = router::Router::new(own.daemon.clone(), own.domain.clone(), balance);
        let ring = event::Ring::new(own.daemon.clone(), EVENTS_MAX);
        Self {
            clock,
            daemon: own.daemon.clone(),
            policy: Default::default(),
            members: sync::Mutex::new(members::Members::new(own)),
            router: sync::Mutex::new(router),
            usage: Default::default(),
            keeper: Default::default(),
            traffic: Default::default(),
            events: sync::Mutex::new(ring),
            synced: Default::default(),
            current: Default::default(),
        }
    }

    /// Returns the policy in force.
    pub fn view(&self) -> sync::Arc<view::View> {
        read(&self.policy).view.clone()
    }

    /// Tells whether the policy has been as new as the log, or as enough peers, since the start.
    pub fn is_current(&self) -> bool {
        self.current.load(atomic::Ordering::Acquire)
    }

    /// Notes that the policy is as new as the log or enough peers.
    pub fn set_current(&self) {
        self.current.store(true, atomic::Ordering::Release);
    }

    /// Runs `f` on the reducer without changing it.
    pub fn with_reducer<R>(&self, f: impl FnOnce(&reducer::Reducer) -> R) -> R {
        f(&read(&self.policy).reducer)
    }

    /// Changes the document in force without a new version, after settings that it was completed
    /// from have changed.
    pub fn revise_policy(&self, change: impl FnOnce(&mut document::Document)) {
        let mut policy = write(&self.policy);
        change(&mut policy.reducer.document);
        let view = view::View::compile(policy.reducer.version, &policy.reducer.document);
        policy.view = sync::Arc::new(view);
    }

    /// Changes the reducer and puts a new version into force if that made one.
    ///
    /// A change that would lower the version or the next offset is discarded.
    pub fn change_policy(&self, change: impl FnOnce(&mut reducer::Reducer)) {
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
        let view = view::View::compile(policy.reducer.version, &policy.reducer.document);
        policy.view = sync::Arc::new(view);
        let version = policy.reducer.version;
        drop(policy);
        self.members().set_policy(version);
        self.event(event::Kind::PolicyInForce { version });
    }

    /// Locks the membership table.
    pub fn members(&self) -> sync::MutexGuard<'_, members::Members> {
        lock(&self.members)
    }

    /// Locks the router.
    pub fn router(&self) -> sync::MutexGuard<'_, router::Router> {
        lock(&self.router)
    }

    /// Locks the usage of organisations at this entry.
    pub fn usage(&self) -> sync::MutexGuard<'_, usage::Entry> {
        lock(&self.usage)
    }

    /// Locks the demand known of the organisations kept here.
    pub fn keeper(&self) -> sync::MutexGuard<'_, usage::Keeper> {
        lock(&self.keeper)
    }

    /// Runs `f` on what this entry knows of a service's traffic.
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

    /// Adds an event to the time line and writes its line to the log.
    pub fn event(&self, what: event::Kind) {
        if let Some(level) = what.level() {
            log::log!(level, event = what.word(), daemon = &*self.daemon; "{what}");
        }
        lock(&self.events).push(what, self.clock.wall());
    }

    /// Returns the events kept and the number dropped.
    pub fn timeline(&self) -> Timeline {
        let ring = lock(&self.events);
        Timeline { dropped: ring.dropped(), events: ring.events().cloned().collect() }
    }

    /// Gives the router the upstreams that membership knows to be serving, if those may have
    /// changed since the last time.
    pub fn sync_router(&self) {
        let now = self.now();
        let members = self.members();
        let generation = members.generation();
        if self.synced.swap(generation, atomic::Ordering::AcqRel) == generation {
            return;
        }
        let candidates = members.candidates(now);
        self.router().sync(candidates);
    }

    /// Reads the clock.
    pub fn now(&self) -> time::Instant {
        self.clock.now()
    }
}

/// What one entry knows of a service's traffic.
#[derive(Debug)]
pub struct Traffic {
    /// Retries and hedges allowed.
    pub budget: retry::Budget,
    /// Time to an answer's head that 95 of 100 requests stay below, in seconds.
    pub usual: latency::Quantile,
}

const USUAL_QUANTILE: f64 = 0.95;

impl Default for Traffic {
    fn default() -> Self {
        let usual = latency::Quantile::new(USUAL_QUANTILE);
        Self { budget: retry::Budget::default(), usual }
    }
}

value! {
    /// Part of one daemon's time line.
    pub struct Timeline {
        /// Events that the ring no longer holds.
        pub dropped: u64,
        /// Events kept, oldest first.
        pub events: Vec<event::Event>,
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn read<T>(table: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    table.read().unwrap_or_else(sync::PoisonError::into_inner)
}

fn write<T>(table: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    table.write().unwrap_or_else(sync::PoisonError::into_inner)
}
