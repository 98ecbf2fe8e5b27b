//! Sidecar: admits requests for the upstreams on its VM and forwards them. All requests to these
//! upstreams pass through it.
//!
//! It owns their slots, queues, connections and drain state. It forwards an attempt to a backend
//! server at most once, except that a request without a body is sent again if a reused connection
//! does not respond and the ingress allows it to be resent. A request that the sidecar rejects has not been forwarded.

mod announcements;
mod bodies;
mod calls;
mod departed;
pub mod departure_error;
mod forwarding;

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header_scheme;
use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::departure_history;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::parent_admission;
use lynxmast_state::policy::service;
use lynxmast_state::priority;
use lynxmast_state::retry;
use lynxmast_state::running;
use lynxmast_state::shared_state;
use lynxmast_state::upstream_budget;

use crate::departure_tracker;
use crate::exchange;
use crate::hop;
use crate::pool;
use crate::quota_signals;
use crate::request_body;
use crate::result_recorder;
use crate::upstream;
use crate::upstream::retry_account;
use crate::upstream::slot;

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
    departed: sync::Mutex<departed::Departed>,
    /// Progress of the departures that the daemon keeps beyond its process.
    pub departures: sync::Arc<departure_tracker::DepartureTracker>,
    history: departure_history::DepartureHistory,
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

/// Observations made during an attempt, besides its result.
#[derive(Debug, Default)]
struct Observation {
    /// Time from forwarding the request to receiving the response head.
    elapsed: Option<time::Duration>,
    /// Whether an error response follows a failed call of the backend server to a dependency.
    dependency_failed: bool,
    /// Incarnation of the upstream that crashed while it ran the request.
    crashed: Option<ids::Incarnation>,
}

/// Time after a failed call to a dependency within which an error response of a backend server is
/// attributed to that call.
const DEPENDENCY_FAILURE_WINDOW: time::Duration = time::Duration::from_millis(60);
/// Longest wait for the policy version that a request was routed with.
const POLICY_WAIT_MAX: time::Duration = time::Duration::from_millis(500);
const POLICY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl<C: clock::Clock> Sidecar<C> {
    /// Creates a sidecar without upstreams.
    pub fn new(shared: sync::Arc<shared_state::SharedState<C>>, options: BackendOptions) -> Self {
        let lease_duration = options.heartbeat_interval * HEARTBEATS_MISSED_MAX;
        let (started, wall) = (shared.now(), shared.clock.wall());
        let history = departure_history::DepartureHistory::new(started, wall, lease_duration);
        let departures = departure_tracker::DepartureTracker::new(options.has_registry);
        Self {
            shared,
            upstreams: Default::default(),
            stall_monitor: exchange::StallMonitor::default(),
            policy_refresh: Default::default(),
            quota_signals: Default::default(),
            header_scheme: options.header_scheme,
            lease_duration,
            heartbeat_interval: options.heartbeat_interval,
            departed: Default::default(),
            departures: sync::Arc::new(departures),
            history,
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
        let mut observed = Observation::default();
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
        let Observation { elapsed, dependency_failed, crashed } = observed;
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

    /// Makes the attempt: admits the request, forwards it, checks the response head and records the
    /// result with the outlier detector.
    async fn attempt(
        &self,
        envelope: &envelope::Envelope,
        upstream: &sync::Arc<upstream::Upstream<C>>,
        request: http::Request<request_body::RequestBody>,
        observed: &mut Observation,
    ) -> Result<http::Response<exchange::SidecarBody<C>>, retry::AttemptEnd> {
        let now = self.shared.now();
        let deadline = now + envelope.time_left;
        let route = self.route_key(&request);
        let body = self.admit_body(envelope, upstream, request.body(), deadline).await?;
        let now = now.max(self.shared.now());
        let (slot, stall) = self.admit(envelope, upstream, route, now, deadline).await?;
        let slot = slot.with_body(body);
        let connection = upstream.pool.acquire().await.map_err(retry::AttemptEnd::NotRun)?;
        let started = self.shared.now();
        let time_left = deadline.saturating_duration_since(started);
        if time_left.is_zero() {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::DeadlineBeforeRun));
        }
        let exchange_id = self.exchange_id(request.headers());
        let lease = upstream.lease.newest();
        let instance = lease.instance.clone();
        let headers = forwarding::ForwardHeaders {
            scheme: &self.header_scheme,
            exchange_id: &exchange_id,
            instance: instance.as_deref(),
        };
        let request = forwarding::prepare_request(request, time_left, &headers);
        let no_body = *request.method() == http::Method::HEAD;
        let mut recorder = result_recorder::ResultRecorder::start(upstream);
        let result = self.await_response(envelope, &slot, connection, request, deadline).await;
        if matches!(result, Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost))) {
            observed.crashed = upstream.find_crash().await;
        }
        let (response, mut connection) = result.inspect_err(|end| recorder.record_end(*end))?;
        observed.elapsed = Some(self.shared.now().saturating_duration_since(started));
        let checked = forwarding::check_response(&response, &connection, &headers, no_body);
        let returned_id = checked.inspect_err(|end| recorder.record_end(*end))?;
        let rejection = forwarding::rejection(&response, &headers);
        if rejection != Some(outcome::Rejection::Misdirected)
            && upstream.lease.newest().incarnation == lease.incarnation
        {
            self.record_notices(upstream, response.headers());
        }
        upstream.liveness.record_response(upstream.now());
        connection.apply_keep_alive(response.headers());
        if let Some(rejection) = rejection {
            recorder.record_end(retry::AttemptEnd::NotRun(rejection));
            slot.mark_not_run();
            if rejection == outcome::Rejection::Shed {
                upstream.record_rejection(&slot, true);
            }
            if rejection == outcome::Rejection::Misdirected {
                upstream.lease.revoke(instance.as_ref());
            }
            let exchange = exchange::Exchange {
                incoming: response.into_body(),
                connection,
                slot,
                returned_id,
            };
            exchange.discard();
            return Err(retry::AttemptEnd::NotRun(rejection));
        }
        upstream.record_rejection(&slot, false);
        let is_error = response.status().is_server_error();
        observed.dependency_failed = is_error && self.may_be_dependency_error(self.shared.now());
        if observed.dependency_failed {
            recorder.pause();
        } else {
            recorder.record(!is_error);
        }
        let (mut parts, incoming) = response.into_parts();
        hop::strip_hop_by_hop_headers(&mut parts.headers);
        hop::strip_internal_headers(&mut parts.headers);
        let exchange = exchange::Exchange { incoming, connection, slot, returned_id };
        let limits = exchange::BodyLimits { stall, deadline };
        let body = exchange.into_body(recorder, limits, &self.stall_monitor);
        Ok(http::Response::from_parts(parts, body))
    }

    /// Acts on what the backend server states about itself in a response: its limit, and that it is
    /// about to leave, which drains it like a departure.
    fn record_notices(&self, upstream: &upstream::Upstream<C>, headers: &http::HeaderMap) {
        upstream.record_limit(self.header_scheme.limit(headers));
        if self.header_scheme.is_leaving(headers) && upstream.record_leaving() {
            upstream.drain();
            self.publish();
        }
    }

    /// Forwards a request and waits for the response head. If a reused connection does not respond
    /// within the silence timeout, a request without a body is sent again on a new one, provided
    /// that the ingress allows it to be resent.
    async fn await_response(
        &self,
        envelope: &envelope::Envelope,
        slot: &slot::Slot<C>,
        connection: pool::Connection,
        request: http::Request<request_body::RequestBody>,
        deadline: time::Instant,
    ) -> Result<forwarding::ResponseHead, retry::AttemptEnd> {
        let was_idle = connection.was_idle;
        let may_resend = was_idle
            && http_body::Body::is_end_stream(request.body())
            && retry::is_safe_to_retry(None, envelope.may_resend);
        let copy = may_resend.then(|| forwarding::copy_head(&request));
        let upstream = slot.upstream();
        let mut pending = Box::pin(forwarding::forward(slot, connection, request));
        if let Some(copy) = copy {
            let timeout = forwarding::silence_timeout(upstream, envelope.time_left);
            match tokio::time::timeout(timeout, &mut pending).await {
                Ok(result) => return result,
                // Closes the unresponsive connection before the request is sent again.
                Err(_) => drop(pending),
            }
            return self.resend(slot, copy, deadline).await.map_err(|end| match end {
                // The request may still have been delivered on the unresponsive connection.
                retry::AttemptEnd::NotRun(_) => {
                    retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost)
                }
                failed => failed,
            });
        }
        let silence = upstream.overdue_timeout().min(envelope.time_left / 2);
        let pending = async {
            tokio::select! {
                result = pending => result,
                () = upstream.silent_crash(silence) => {
                    Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost))
                }
            }
        };
        match tokio::time::timeout_at(deadline.into(), pending).await {
            Ok(result) => result,
            Err(_) => {
                metrics::counter!("lynxmast_silent_exchanges_total").increment(1);
                upstream.pool.close_idle();
                Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline))
            }
        }
    }

    /// Waits for the policy version that the request was routed with, and for a slot. Returns the
    /// slot and the stall timeout of the service. Nothing is forwarded before it returns.
    async fn admit(
        &self,
        envelope: &envelope::Envelope,
        upstream: &sync::Arc<upstream::Upstream<C>>,
        route: Option<parent_admission::RouteKey>,
        now: time::Instant,
        deadline: time::Instant,
    ) -> Result<(slot::Slot<C>, time::Duration), retry::AttemptEnd> {
        self.await_policy(envelope.policy, deadline).await.map_err(retry::AttemptEnd::NotRun)?;
        let policy = self.shared.policy();
        let service = policy.service(&envelope.upstream.service);
        let service = service.ok_or(retry::AttemptEnd::NotRun(outcome::Rejection::NoUpstream))?;
        if self.is_closing() {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::Draining));
        }
        let weight = policy.weight(&envelope.organisation);
        let organisation = envelope.organisation.clone();
        let objective = envelope.objective.map(|remaining| now + remaining);
        let priority =
            priority::Priority { rank: envelope.rank, objective, is_call: envelope.is_call };
        let risk = envelope.risk;
        let arrival = admission::Arrival { organisation, weight, deadline, priority, risk };
        if upstream.lease.is_expired(self.lease_duration, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::NoUpstream));
        }
        if !upstream.allows(envelope.risk, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::Suspected));
        }
        if !self.may_start(envelope, route, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::CallsRejected));
        }
        let budget = self.fleet_budget(service);
        let withdrawn = budget.filter(|_| envelope.is_retry);
        if let Some(budget) = withdrawn
            && let need = calls::retry_need(envelope, &priority, upstream, now)
            && !upstream.retries.withdraw(&budget, &need, now)
        {
            metrics::counter!(
                "lynxmast_retries_denied_total",
                "service" => service.name.to_string(),
                "call" => if need.is_call { "true" } else { "false" }
            )
            .increment(1);
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::OverBudget));
        }
        let slot =
            upstream.admit(&arrival, envelope.is_redirected, now).await.map_err(|rejection| {
                if withdrawn.is_some() {
                    upstream.retries.refund();
                }
                retry::AttemptEnd::NotRun(rejection)
            })?;
        if let Some(budget) = budget.filter(|_| !envelope.is_retry) {
            upstream.retries.record_first_attempt(&budget, envelope.retry_probability, now);
        }
        let kind = match (envelope.is_retry, envelope.risk) {
            (true, _) => retry_account::RequestKind::Retry,
            (false, outlier::RiskTolerance::Probe | outlier::RiskTolerance::Any) => {
                retry_account::RequestKind::Retryable
            }
            (false, outlier::RiskTolerance::Avoid | outlier::RiskTolerance::Accept) => {
                retry_account::RequestKind::NotRetryable
            }
        };
        let organisation = envelope.organisation.clone();
        let rank = envelope.rank;
        let running = running::Running { deadline, organisation, rank, objective, route };
        self.record_start(route);
        let slot = slot.with_kind(kind).with_running(running);
        Ok((slot, service.stall))
    }

    /// Returns the retry budget that the upstreams of a service share; `None` if its ingresses keep
    /// one each.
    fn fleet_budget(&self, service: &service::Service) -> Option<upstream_budget::FleetBudget> {
        Some(upstream_budget::FleetBudget {
            ratio: service.retry_ratio,
            reserve: service.retry_reserve?,
            window: service.retry_window,
            upstreams: self.shared.upstream_count(&service.name),
        })
    }

    /// Waits until the active policy has at least the `required` version.
    ///
    /// # Errors
    ///
    /// Returns `PolicyBehind` if it has not by the deadline or within [`POLICY_WAIT_MAX`].
    async fn await_policy(
        &self,
        required: ids::PolicyVersion,
        deadline: time::Instant,
    ) -> Result<(), outcome::Rejection> {
        if self.shared.policy().version >= required {
            return Ok(());
        }
        self.policy_refresh.notify_one();
        let wait_until = deadline.min(self.shared.now() + POLICY_WAIT_MAX);
        while self.shared.now() < wait_until {
            tokio::time::sleep(POLICY_POLL_INTERVAL).await;
            if self.shared.policy().version >= required {
                return Ok(());
            }
        }
        Err(outcome::Rejection::PolicyBehind)
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

    /// Sends a request again on a new connection, which replaces an unresponsive one.
    async fn resend(
        &self,
        slot: &slot::Slot<C>,
        request: http::Request<request_body::RequestBody>,
        deadline: time::Instant,
    ) -> Result<forwarding::ResponseHead, retry::AttemptEnd> {
        let upstream = slot.upstream();
        upstream.pool.close_idle();
        let fresh = upstream.pool.connect().await.map_err(retry::AttemptEnd::NotRun)?;
        upstream.charge_resend();
        let pending = forwarding::forward(slot, fresh, request);
        let timed_out = Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline));
        let result =
            tokio::time::timeout_at(deadline.into(), pending).await.unwrap_or(timed_out)?;
        let peer = upstream.id.to_string();
        self.shared.record_event(event::Kind::ConnectionReplaced { peer });
        Ok(result)
    }

    /// Returns the exchange id, which ties the response to the request: the caller's id if the
    /// header scheme lets callers choose it, otherwise a generated one.
    fn exchange_id(&self, headers: &http::HeaderMap) -> http::HeaderValue {
        let from_caller =
            headers.get(&self.header_scheme.exchange_id).filter(|_| self.header_scheme.forward_id);
        let generated = || http::HeaderValue::from_str(&self.new_exchange_id()).ok();
        let id = from_caller.cloned().or_else(generated);
        id.unwrap_or(http::HeaderValue::from_static(""))
    }

    fn new_exchange_id(&self) -> String {
        let number = self.exchange_counter.fetch_add(1, atomic::Ordering::Relaxed);
        let incarnation = self.shared.membership().own_record().incarnation;
        format!("{incarnation:x}-{number:x}")
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
