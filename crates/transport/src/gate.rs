//! The gate: the only way to the upstreams on its VM.
//!
//! It owns their slots, queues, connections and drain state, and hands one attempt to a backend
//! server at most once. Whatever it refuses has not been handed over.

mod announcements;
mod departed;
mod hand_over;

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header_scheme;
use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::priority;
use lynxmast_state::retry;
use lynxmast_state::shared_state;

use crate::body;
use crate::doubt_trial;
use crate::exchange;
use crate::hop;
use crate::pool;
use crate::upstream;

/// Gate of one daemon.
#[derive(Debug)]
pub struct Gate<C: clock::Clock> {
    shared: sync::Arc<shared_state::SharedState<C>>,
    upstreams: sync::RwLock<IndexMap<ids::UpstreamId, sync::Arc<upstream::Upstream<C>>>>,
    watch: exchange::Watch<C>,
    /// Asks the policy follower to look for a newer version now.
    pub catch_up: sync::Arc<tokio::sync::Notify>,
    dialect: sync::Arc<header_scheme::HeaderScheme>,
    /// Time between heartbeats asked of backend servers.
    heartbeat: time::Duration,
    /// Time without heartbeat after which a backend server counts as gone.
    lease: time::Duration,
    departed: sync::Mutex<departed::Departed>,
    /// When a request that began on this VM last failed; a backend server whose call failed
    /// answers with an error that is not its own.
    failed_call: sync::Mutex<Option<time::Instant>>,
    leaving: atomic::AtomicBool,
    closing: atomic::AtomicBool,
    exchanges: atomic::AtomicU64,
}

/// How a gate and the backend servers beside it speak.
#[derive(Debug, Clone)]
pub struct Speech {
    /// Headers of requests and answers.
    pub dialect: sync::Arc<header_scheme::HeaderScheme>,
    /// Time between heartbeats of a backend server.
    pub heartbeat: time::Duration,
}

/// Time between heartbeats asked of backend servers that do not set their own pace.
const HEARTBEAT: time::Duration = time::Duration::from_secs(1);
/// Heartbeats after which a silent backend server counts as gone; one may be late by seconds.
const MISSED_MAX: u32 = 4;

impl Default for Speech {
    fn default() -> Self {
        Self { dialect: Default::default(), heartbeat: HEARTBEAT }
    }
}

/// Result of one attempt.
#[derive(Debug)]
pub struct Attempted<C: clock::Clock> {
    /// The answer, or why there is none.
    pub result: Result<http::Response<exchange::GateBody<C>>, retry::AttemptEnd>,
    /// What the gate tells next to it.
    pub verdict: envelope::Verdict,
}

/// What an attempt showed beside its result.
#[derive(Debug, Default)]
struct Seen {
    /// Time from hand-over to the answer's head.
    took: Option<time::Duration>,
    /// Whether an error follows the failure of a call that the backend server made.
    of_call: bool,
}

/// Time after the failure of a call in which the backend server that made it passes it on.
const CALL_BLAME: time::Duration = time::Duration::from_millis(60);
/// Longest wait for a policy version that a request was decided with.
const CATCH_UP_MAX: time::Duration = time::Duration::from_millis(500);
const CATCH_UP_STEP: time::Duration = time::Duration::from_millis(10);

impl<C: clock::Clock> Gate<C> {
    /// Returns a gate without upstreams.
    pub fn new(shared: sync::Arc<shared_state::SharedState<C>>, speech: Speech) -> Self {
        Self {
            shared,
            upstreams: Default::default(),
            watch: exchange::Watch::default(),
            catch_up: Default::default(),
            dialect: speech.dialect,
            lease: speech.heartbeat * MISSED_MAX,
            heartbeat: speech.heartbeat,
            departed: Default::default(),
            failed_call: Default::default(),
            leaving: Default::default(),
            closing: Default::default(),
            exchanges: atomic::AtomicU64::new(1),
        }
    }

    /// Runs a request at an upstream beside this daemon.
    pub async fn run(
        &self,
        envelope: &envelope::Envelope,
        request: http::Request<body::RequestBody>,
    ) -> Attempted<C> {
        let now = self.shared.now();
        let upstream = self.find(&envelope.upstream);
        let mut seen = Seen::default();
        let result = match &upstream {
            None => Err(retry::AttemptEnd::NotRun(outcome::Refusal::NoUpstream)),
            Some(upstream) => self.attempt(envelope, upstream, request, &mut seen).await,
        };
        let now = now.max(self.shared.now());
        let doubt = upstream.as_ref().map(|upstream| upstream.doubt_percent(now));
        let load = upstream.map(|upstream| upstream.load(now));
        let ended = result.as_ref().err().copied();
        let policy = self.shared.view().version;
        let Seen { took, of_call } = seen;
        let verdict = envelope::Verdict {
            ended,
            load,
            elapsed: took,
            failure_percent: doubt,
            dependency_failed: of_call,
            policy,
        };
        Attempted { result, verdict }
    }

    async fn attempt(
        &self,
        envelope: &envelope::Envelope,
        upstream: &sync::Arc<upstream::Upstream<C>>,
        request: http::Request<body::RequestBody>,
        seen: &mut Seen,
    ) -> Result<http::Response<exchange::GateBody<C>>, retry::AttemptEnd> {
        let now = self.shared.now();
        let deadline = now + envelope.time_left;
        let (slot, stall) = self.admit(envelope, upstream, now, deadline).await?;
        let connection = upstream.pool.take().await.map_err(retry::AttemptEnd::NotRun)?;
        let started = self.shared.now();
        let left = deadline.saturating_duration_since(started);
        if left.is_zero() {
            return Err(retry::AttemptEnd::NotRun(outcome::Refusal::DeadlineBeforeRun));
        }
        let exchange = self.exchange_id(request.headers());
        let instance = upstream.lease().instance;
        let marks = hand_over::Marks {
            dialect: &self.dialect,
            exchange: &exchange,
            instance: instance.as_deref(),
        };
        let request = hand_over::prepare(request, left, &marks);
        let no_body = *request.method() == http::Method::HEAD;
        let mut trial = doubt_trial::Trial::start(upstream);
        let handed = self.await_answer(envelope, &slot, connection, request, deadline).await;
        let (response, mut connection) = handed.inspect_err(|ended| trial.failed(*ended))?;
        seen.took = Some(self.shared.now().saturating_duration_since(started));
        let checked = hand_over::check_answer(&response, &connection, &marks, no_body);
        let returned_id = checked.inspect_err(|ended| trial.failed(*ended))?;
        connection.heed_keep_alive(response.headers());
        if let Some(refusal) = hand_over::not_run(&response, &marks) {
            trial.failed(retry::AttemptEnd::NotRun(refusal));
            if refusal == outcome::Refusal::Misdirected {
                upstream.lapse(instance.as_ref());
            }
            let exchange = exchange::Exchange {
                incoming: response.into_body(),
                connection,
                slot,
                returned_id,
            };
            exchange.discard();
            return Err(retry::AttemptEnd::NotRun(refusal));
        }
        let is_error = response.status().is_server_error();
        seen.of_call = is_error && self.may_be_of_a_call(self.shared.now());
        if seen.of_call {
            trial.cancel();
        } else {
            trial.ended(!is_error);
        }
        let (mut parts, incoming) = response.into_parts();
        hop::strip_hop_headers(&mut parts.headers);
        hop::strip_own_headers(&mut parts.headers);
        let exchange = exchange::Exchange { incoming, connection, slot, returned_id };
        let body = exchange.into_body(stall, self.shared.now(), &self.watch);
        Ok(http::Response::from_parts(parts, body))
    }

    /// Hands a request over and waits for the answer's head, on a second connection if the first
    /// has fallen silent and the request may be run again.
    async fn await_answer(
        &self,
        envelope: &envelope::Envelope,
        slot: &upstream::Slot<C>,
        connection: pool::Connection,
        request: http::Request<body::RequestBody>,
        deadline: time::Instant,
    ) -> Result<hand_over::Answer, retry::AttemptEnd> {
        let may_be_silent = connection.was_idle;
        let may_repeat = may_be_silent
            && http_body::Body::is_end_stream(request.body())
            && retry::is_safe_to_retry(None, envelope.idempotent);
        let copy = may_repeat.then(|| hand_over::copy_head(&request));
        let upstream = slot.upstream();
        let mut waiting = Box::pin(hand_over::hand_over(slot, connection, request));
        if let Some(copy) = copy {
            let patience = hand_over::patience(upstream, envelope.time_left);
            match tokio::time::timeout(patience, &mut waiting).await {
                Ok(handed) => return handed,
                // Closes the silent connection before the request is sent again.
                Err(_) => drop(waiting),
            }
            return self.repeat(slot, copy, deadline).await.map_err(|ended| match ended {
                // The silent connection may have carried the request all the same.
                retry::AttemptEnd::NotRun(_) => {
                    retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost)
                }
                failed => failed,
            });
        }
        match tokio::time::timeout_at(deadline.into(), waiting).await {
            Ok(handed) => handed,
            Err(_) => {
                metrics::counter!("lynxmast_silent_exchanges_total").increment(1);
                upstream.pool.clear();
                Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline))
            }
        }
    }

    /// Waits for the policy version and a slot; nothing has been handed over until it returns.
    async fn admit(
        &self,
        envelope: &envelope::Envelope,
        upstream: &sync::Arc<upstream::Upstream<C>>,
        now: time::Instant,
        deadline: time::Instant,
    ) -> Result<(upstream::Slot<C>, time::Duration), retry::AttemptEnd> {
        self.await_policy(envelope.policy, deadline).await.map_err(retry::AttemptEnd::NotRun)?;
        let view = self.shared.view();
        let service = view.service(&envelope.upstream.service);
        let service = service.ok_or(retry::AttemptEnd::NotRun(outcome::Refusal::NoUpstream))?;
        if self.is_closing() {
            return Err(retry::AttemptEnd::NotRun(outcome::Refusal::Draining));
        }
        let weight = view.weight(&envelope.organisation);
        let organisation = envelope.organisation.clone();
        let objective = envelope.objective.map(|left| now + left);
        let urgency = priority::Priority { rank: envelope.rank, objective };
        let arrival = admission::Arrival { organisation, weight, deadline, priority: urgency };
        if upstream.has_lapsed(self.lease, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Refusal::NoUpstream));
        }
        if !upstream.allows(envelope.risk, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Refusal::Suspected));
        }
        let slot = upstream.admit(&arrival, now).await.map_err(retry::AttemptEnd::NotRun)?;
        let kind = match (envelope.is_retry, envelope.risk) {
            (true, _) => upstream::Kind::Repeat,
            (false, outlier::RiskTolerance::Probe | outlier::RiskTolerance::Any) => {
                upstream::Kind::Repeatable
            }
            (false, outlier::RiskTolerance::Avoid | outlier::RiskTolerance::Accept) => {
                upstream::Kind::Once
            }
        };
        let slot = slot.of_kind(kind);
        Ok((slot, service.stall))
    }

    async fn await_policy(
        &self,
        wanted: ids::PolicyVersion,
        deadline: time::Instant,
    ) -> Result<(), outcome::Refusal> {
        if self.shared.view().version >= wanted {
            return Ok(());
        }
        self.catch_up.notify_one();
        let until = deadline.min(self.shared.now() + CATCH_UP_MAX);
        while self.shared.now() < until {
            tokio::time::sleep(CATCH_UP_STEP).await;
            if self.shared.view().version >= wanted {
                return Ok(());
            }
        }
        Err(outcome::Refusal::PolicyBehind)
    }

    /// Returns the share of the repeatable requests being run here that had been tried before: the
    /// likelihood that a call made here counts as repeated, if it is such a request's.
    pub fn repeat_share(&self) -> f64 {
        let upstreams = self.read();
        let repeats: u32 = upstreams.values().map(|upstream| upstream.repeats()).sum();
        if repeats == 0 {
            return 0.0;
        }
        let all: u32 = upstreams.values().map(|upstream| upstream.repeatable()).sum();
        f64::from(repeats) / f64::from(all.max(repeats))
    }

    /// Notes that a request that began on this VM failed.
    pub fn note_failed_call(&self, now: time::Instant) {
        *self.failed_call.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(now);
    }

    /// Tells whether an error at `now` may be due to a call that the backend server made.
    fn may_be_of_a_call(&self, now: time::Instant) -> bool {
        let failed = self.failed_call.lock().unwrap_or_else(sync::PoisonError::into_inner);
        failed.is_some_and(|at| now.saturating_duration_since(at) < CALL_BLAME)
    }

    /// Says that the gate is about to take no new work; it still does.
    pub fn announce_close(&self) {
        self.leaving.store(true, atomic::Ordering::Release);
    }

    /// Tells whether the gate takes no new work or is about to.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Acquire) || self.is_closing()
    }

    /// Gives up what a suspension of the VM has made doubtful: idle connections, which backend
    /// servers may have closed meanwhile, and the policy, which may be behind.
    pub fn resume(&self) {
        for upstream in self.upstreams() {
            upstream.pool.clear();
        }
        self.catch_up.notify_one();
    }

    /// Stops new work on all upstreams.
    pub fn close(&self) {
        self.closing.store(true, atomic::Ordering::Release);
        for upstream in self.upstreams() {
            upstream.drain();
        }
        self.publish();
    }

    /// Returns the headers spoken with callers and backend servers.
    pub fn dialect(&self) -> sync::Arc<header_scheme::HeaderScheme> {
        self.dialect.clone()
    }

    /// Tells whether the gate takes no new work.
    pub fn is_closing(&self) -> bool {
        self.closing.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of requests being run.
    pub fn in_flight(&self) -> u32 {
        let now = self.shared.now();
        self.upstreams().iter().map(|upstream| upstream.load(now).in_use).sum()
    }

    /// Returns the upstreams beside this daemon.
    pub fn upstreams(&self) -> Vec<sync::Arc<upstream::Upstream<C>>> {
        self.read().values().cloned().collect()
    }

    /// Sends a request again on a new connection, in place of one that has fallen silent.
    async fn repeat(
        &self,
        slot: &upstream::Slot<C>,
        request: http::Request<body::RequestBody>,
        deadline: time::Instant,
    ) -> Result<hand_over::Answer, retry::AttemptEnd> {
        let upstream = slot.upstream();
        upstream.pool.clear();
        let fresh = upstream.pool.connect().await.map_err(retry::AttemptEnd::NotRun)?;
        let waiting = hand_over::hand_over(slot, fresh, request);
        let late = Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline));
        let answer = tokio::time::timeout_at(deadline.into(), waiting).await.unwrap_or(late)?;
        let peer = upstream.id.to_string();
        self.shared.record_event(event::Kind::ConnectionReplaced { peer });
        Ok(answer)
    }

    /// Returns the id that ties the answer to the request: the caller's where callers choose it.
    fn exchange_id(&self, headers: &http::HeaderMap) -> http::HeaderValue {
        let callers = headers.get(&self.dialect.exchange_id).filter(|_| self.dialect.forward_id);
        let own = || http::HeaderValue::from_str(&self.next_exchange()).ok();
        let id = callers.cloned().or_else(own);
        id.unwrap_or(http::HeaderValue::from_static(""))
    }

    fn next_exchange(&self) -> String {
        let number = self.exchanges.fetch_add(1, atomic::Ordering::Relaxed);
        let incarnation = self.shared.membership().own().incarnation;
        format!("{incarnation:x}-{number:x}")
    }

    fn find(&self, id: &ids::UpstreamId) -> Option<sync::Arc<upstream::Upstream<C>>> {
        self.read().get(id).cloned()
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, Upstreams<C>> {
        self.upstreams.read().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn write(&self) -> sync::RwLockWriteGuard<'_, Upstreams<C>> {
        self.upstreams.write().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

type Upstreams<C> = IndexMap<ids::UpstreamId, sync::Arc<upstream::Upstream<C>>>;
