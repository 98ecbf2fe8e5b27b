//! Sidecar: admits requests for the upstreams on its VM and forwards them. All requests to these
//! upstreams pass through it.
//!
//! It owns their slots, queues, connections and drain state. It forwards an attempt to a backend
//! server at most once, except that a request without a body is sent again if a reused connection
//! does not respond and the ingress allows it to be resent. A request that the sidecar rejects has not been forwarded.

mod admission;
mod announcements;
mod attempt;
mod bodies;
mod calls;
pub mod departure_error;
mod forwarding;

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::departures::history;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::parent_admission;
use lynxmast_state::retry;
use lynxmast_state::shared_state;

use crate::departure_tracker;
use crate::exchange;
use crate::quota_signals;
use crate::request_body;
use crate::upstream;

/// Sidecar of one daemon.
#[derive(Debug)]
pub struct Sidecar<C: clock::Clock> {
    shared: sync::Arc<shared_state::SharedState<C>>,
    upstreams: sync::RwLock<IndexMap<ids::UpstreamId, sync::Arc<upstream::Upstream<C>>>>,
    stall_monitor: exchange::StallMonitor<C>,
    /// Wakes the policy follower to fetch a newer policy version at once.
    pub policy_refresh: sync::Arc<tokio::sync::Notify>,
    /// Signals of the requests that wait for tokens of a quota.
    pub quota_signals: sync::Arc<quota_signals::QuotaSignals>,
    header_scheme: sync::Arc<header_scheme::HeaderScheme>,
    /// Time between heartbeats that is requested from backend servers.
    heartbeat_interval: time::Duration,
    /// Time without a heartbeat after which a backend server counts as gone.
    lease_duration: time::Duration,
    /// Departures of the local backend servers.
    pub departures: sync::Arc<departure_tracker::DepartureTracker<C>>,
    /// When a request sent from this VM last failed. It may have been the call of a local backend
    /// server to a dependency, made while serving a request; the backend server then responds with
    /// an error, which is no evidence that it is failing itself.
    last_call_failure: sync::Mutex<Option<time::Instant>>,
    /// Calls of the local backend servers, and which requests are not started as theirs would fail.
    parents: sync::Mutex<parent_admission::ParentAdmission>,
    /// When a request was last not started for its calls.
    last_held_back: sync::Mutex<Option<time::Instant>>,
    /// When a daemon that shuts down ends.
    shutdown_end: sync::OnceLock<time::Instant>,
    /// Whether new requests are rejected.
    closing: atomic::AtomicBool,
    exchange_counter: atomic::AtomicU64,
}

/// Options for the communication with local backend servers.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Names and units of the headers in requests and responses.
    pub header_scheme: sync::Arc<header_scheme::HeaderScheme>,
    /// Time between heartbeats of a backend server.
    pub heartbeat_interval: time::Duration,
    /// Whether the daemon stores departures in a registry outside the fleet.
    pub has_registry: bool,
}

/// Time before the end of a daemon that shuts down at which the requests that still wait are answered.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Default time between heartbeats of a backend server.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of heartbeat intervals without a heartbeat after which a backend server counts as gone; a
/// single heartbeat may be seconds late.
const HEARTBEATS_MISSED_MAX: u32 = 4;

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            header_scheme: Default::default(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            has_registry: false,
        }
    }
}

/// Response to one attempt, with the report for the ingress.
#[derive(Debug)]
pub struct AttemptResponse<C: clock::Clock> {
    /// The response, or why there is none.
    pub result: Result<http::Response<exchange::SidecarBody<C>>, retry::AttemptEnd>,
    /// Outcome, load and failure probability, sent to the ingress with the response.
    pub report: envelope::AttemptReport,
}

/// Time after a failed call to a dependency within which an error response of a backend server is
/// attributed to that call.
const DEPENDENCY_FAILURE_WINDOW: time::Duration = time::Duration::from_millis(60);

impl<C: clock::Clock> Sidecar<C> {
    /// Creates a sidecar without upstreams.
    pub fn new(shared: sync::Arc<shared_state::SharedState<C>>, options: BackendOptions) -> Self {
        let lease_duration = options.heartbeat_interval * HEARTBEATS_MISSED_MAX;
        let (started, wall) = (shared.now(), shared.clock.wall());
        let history = history::History::new(started, wall, lease_duration);
        let history = options.has_registry.then_some(history);
        let departures = departure_tracker::DepartureTracker::new(shared.clone(), history);
        Self {
            shared,
            upstreams: Default::default(),
            stall_monitor: exchange::StallMonitor::default(),
            policy_refresh: Default::default(),
            quota_signals: Default::default(),
            header_scheme: options.header_scheme,
            lease_duration,
            heartbeat_interval: options.heartbeat_interval,
            departures: sync::Arc::new(departures),
            last_call_failure: Default::default(),
            parents: Default::default(),
            last_held_back: Default::default(),
            shutdown_end: Default::default(),
            closing: Default::default(),
            exchange_counter: atomic::AtomicU64::new(1),
        }
    }

    /// Admits a request, forwards it to a local upstream and returns the response with a report.
    pub async fn serve(
        &self,
        envelope: &envelope::Envelope,
        request: http::Request<request_body::RequestBody>,
    ) -> AttemptResponse<C> {
        let now = self.shared.now();
        let upstream = self.find_upstream(&envelope.upstream);
        let mut observed = attempt::Observation::default();
        let result = match &upstream {
            None => Err(retry::AttemptEnd::NotRun(outcome::Rejection::NoUpstream)),
            Some(upstream) => self.attempt(envelope, upstream, request, &mut observed).await,
        };
        let now = now.max(self.shared.now());
        let failure_percent = upstream.as_ref().map(|upstream| upstream.failure_percent(now));
        let leaving = upstream.as_ref().and_then(|upstream| upstream.lease.leaving());
        let room = upstream.as_ref().and_then(|upstream| upstream.room(now));
        let policy = self.shared.policy();
        let has_budget =
            policy.service(&envelope.upstream.service).is_some_and(|s| s.retry_reserve.is_some());
        let retries_left = upstream.as_ref().filter(|_| has_budget).map(|u| u.retries.left());
        let load = upstream.map(|upstream| upstream.load(now));
        let end = result.as_ref().err().copied();
        let policy = policy.version;
        let attempt::Observation { elapsed, dependency_failed, crashed } = observed;
        let report = envelope::AttemptReport {
            end,
            load,
            elapsed,
            failure_percent,
            dependency_failed,
            crashed,
            room,
            leaving,
            retries_left,
            policy,
        };
        AttemptResponse { result, report }
    }

    /// Returns the probability that a call to a dependency, made by a local backend server while
    /// serving a retryable request, is due to a retry: the fraction of retries among the retryable
    /// requests in flight at the local upstreams.
    pub fn retry_probability(&self) -> f64 {
        let upstreams = self.read_upstreams();
        let retries: u32 = upstreams.values().map(|upstream| upstream.retries.retries()).sum();
        if retries == 0 {
            return 0.0;
        }
        let total: u32 = upstreams.values().map(|upstream| upstream.retries.retryable()).sum();
        f64::from(retries) / f64::from(total.max(retries))
    }

    /// Records that a request sent from this VM failed.
    pub fn record_call_failure(&self, now: time::Instant) {
        *self.last_call_failure.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(now);
    }

    /// Returns whether an error response at `now` may be due to a failed call to a dependency.
    fn may_be_dependency_error(&self, now: time::Instant) -> bool {
        let last_failure =
            self.last_call_failure.lock().unwrap_or_else(sync::PoisonError::into_inner);
        last_failure.is_some_and(|at| now.saturating_duration_since(at) < DEPENDENCY_FAILURE_WINDOW)
    }

    /// Marks the sidecar as about to shut down; it still accepts requests until
    /// [`Sidecar::close`]. The daemon ends at `end`.
    pub fn announce_shutdown(&self, end: time::Instant) {
        // A repeated announcement does not move the end.
        let _ = self.shutdown_end.set(end);
    }

    /// Returns whether the sidecar rejects new requests or is about to.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_end.get().is_some() || self.is_closing()
    }

    /// Returns the latest deadline of requests that arrive at the ingress from now on: it leaves time
    /// for responses before a daemon that shuts down ends. `None` while none is announced.
    pub fn latest_deadline(&self) -> Option<time::Instant> {
        self.shutdown_end.get().and_then(|end| end.checked_sub(RESPONSE_MARGIN))
    }

    /// Discards state that may be outdated after a suspension of the VM: closes idle connections,
    /// which backend servers may have closed meanwhile, and requests a policy update.
    pub fn resume(&self) {
        for upstream in self.upstreams() {
            upstream.pool.close_idle();
        }
        self.policy_refresh.notify_one();
    }

    /// Rejects new requests from now on and drains all upstreams.
    pub fn close(&self) {
        self.closing.store(true, atomic::Ordering::Release);
        self.shared.record_event(event::Kind::SidecarClosed);
        for upstream in self.upstreams() {
            upstream.drain();
        }
        self.publish();
    }

    /// Returns the names and units of the headers exchanged with callers and backend servers.
    pub fn header_scheme(&self) -> sync::Arc<header_scheme::HeaderScheme> {
        self.header_scheme.clone()
    }

    /// Returns whether the sidecar rejects new requests.
    pub fn is_closing(&self) -> bool {
        self.closing.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        let now = self.shared.now();
        self.upstreams().iter().map(|upstream| upstream.load(now).in_use).sum()
    }

    /// Returns the local upstreams.
    pub fn upstreams(&self) -> Vec<sync::Arc<upstream::Upstream<C>>> {
        self.read_upstreams().values().cloned().collect()
    }

    fn find_upstream(&self, id: &ids::UpstreamId) -> Option<sync::Arc<upstream::Upstream<C>>> {
        self.read_upstreams().get(id).cloned()
    }

    fn read_upstreams(&self) -> sync::RwLockReadGuard<'_, Upstreams<C>> {
        self.upstreams.read().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn write_upstreams(&self) -> sync::RwLockWriteGuard<'_, Upstreams<C>> {
        self.upstreams.write().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

type Upstreams<C> = IndexMap<ids::UpstreamId, sync::Arc<upstream::Upstream<C>>>;
