//! One upstream at its sidecar: admission, connections, lease and outlier detection.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::header_scheme;
use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::concurrency_limit;
use lynxmast_state::ids;
use lynxmast_state::load;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::request_limit;
use lynxmast_state::retry_need;
use lynxmast_state::running;
use lynxmast_state::upstream_budget;
use tokio::sync::oneshot;

use crate::body_gate;
use crate::pool;

/// Sends a waiting request its slot or the reason for its rejection.
type SlotSender<C> = oneshot::Sender<Result<Slot<C>, outcome::Rejection>>;

/// An upstream on this VM.
#[derive(Debug)]
pub struct Upstream<C: clock::Clock> {
    /// Service and address.
    pub id: ids::UpstreamId,
    /// Connections to the backend server.
    pub pool: sync::Arc<pool::Pool<C>>,
    /// Bytes of request bodies that the backend server holds.
    pub body_gate: body_gate::BodyGate,
    clock: C,
    admission: sync::Mutex<admission::Admission<Option<SlotSender<C>>>>,
    lease: sync::Mutex<Lease>,
    /// Whether another instance has responded at the address since the last announcement.
    lease_revoked: atomic::AtomicBool,
    detector: sync::Mutex<outlier::Detector>,
    /// Part of the fleet's retry budget.
    budget: sync::Mutex<upstream_budget::UpstreamBudget>,
    /// Requests in flight that are retries.
    retries: atomic::AtomicU32,
    /// Requests in flight that may be retried, including those that are retries.
    retryable: atomic::AtomicU32,
    /// Requests in flight that have not been counted as overdue.
    pending: sync::Mutex<PendingRequests>,
    /// Why the backend server rejects requests, as logged last.
    rejection_cause: sync::Mutex<concurrency_limit::Cause>,
    /// Requests that hold a slot.
    running: sync::Mutex<running::RunningRequests>,
    /// Last check whether the backend server still runs.
    liveness: tokio::sync::Mutex<Option<LivenessCheck>>,
    /// Incarnation that was last found to have crashed; 0 if none was.
    crashed: sync::Mutex<ids::Incarnation>,
    /// Last time at which the backend server responded or accepted a connection.
    last_response: sync::Mutex<time::Instant>,
    /// Whether the backend server has stated in a response that it is about to leave.
    leaving: atomic::AtomicBool,
}

/// Result of connecting to a backend server in order to find out whether it still runs.
#[derive(Debug, Clone, Copy)]
struct LivenessCheck {
    started: time::Instant,
    is_running: bool,
}

#[derive(Debug, Default)]
struct PendingRequests {
    /// Number of the next request.
    next: u64,
    /// Number and start of each request, oldest first.
    requests: collections::VecDeque<(u64, time::Instant)>,
}

/// Multiple of the mean service time after which a request without a response counts as failed.
const OVERDUE_TIMEOUT_FACTOR: u32 = 3;
/// Shortest time after which a request without a response counts as failed.
const OVERDUE_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(500);

/// Time within which a running backend server on the same VM accepts a connection.
const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time for which a backend server that does not accept connections counts as not running.
const DOWNTIME_MIN: time::Duration = time::Duration::from_millis(500);

/// Data of the backend server's last announcement.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Incarnation of the backend server; each start has a larger one.
    pub incarnation: ids::Incarnation,
    /// Instance name of this incarnation, if it has one.
    pub instance: Option<ids::InstanceName>,
    /// Sequence number of the last announcement of this incarnation.
    pub sequence: u64,
    /// Number of slots, if announced.
    pub slots: Option<u32>,
    /// Time of the last announcement.
    pub renewed: time::Instant,
}

/// A slot held by one request; released when dropped.
#[derive(Debug)]
pub struct Slot<C: clock::Clock> {
    upstream: sync::Arc<Upstream<C>>,
    class: admission::ShareClass,
    acquired: time::Instant,
    /// Slots in use when this one was acquired, including it.
    in_use: u32,
    forwarded: atomic::AtomicBool,
    kind: RequestKind,
    /// Number among the running requests of the upstream.
    running: Option<running::Number>,
    /// Permit for the request body, which the backend server may hold until it has responded.
    body: Option<body_gate::BodyPermit>,
}

/// Whether a request may be forwarded to a backend server more than once, or has been.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestKind {
    /// Not expected to be retried if it fails: it is not idempotent, or no attempt or retry budget
    /// is left.
    #[default]
    NotRetryable,
    /// First attempt of a request that may be retried.
    Retryable,
    /// Retry of a request that was already forwarded.
    Retry,
}

impl<C: clock::Clock> Upstream<C> {
    /// Creates an upstream without load.
    pub fn new(id: ids::UpstreamId, limits: admission::Limits, lease: Lease, clock: C) -> Self {
        let pool = sync::Arc::new(pool::Pool::new(id.address, clock.clone()));
        let admission = admission::Admission::new(limits, lease.renewed);
        let admission = sync::Mutex::new(admission);
        let detector = sync::Mutex::new(outlier::Detector::new(lease.renewed));
        let budget = sync::Mutex::new(upstream_budget::UpstreamBudget::new(lease.renewed));
        let last_response = sync::Mutex::new(lease.renewed);
        Self {
            id,
            pool,
            body_gate: Default::default(),
            clock,
            admission,
            lease: sync::Mutex::new(lease),
            lease_revoked: Default::default(),
            detector,
            budget,
            retries: Default::default(),
            retryable: Default::default(),
            pending: Default::default(),
            rejection_cause: Default::default(),
            running: Default::default(),
            liveness: Default::default(),
            crashed: Default::default(),
            last_response,
            leaving: Default::default(),
        }
    }

    /// Returns the number of requests in flight that are retries.
    pub fn retries(&self) -> u32 {
        self.retries.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of requests in flight that may be retried, including retries.
    pub fn retryable(&self) -> u32 {
        self.retryable.load(atomic::Ordering::Acquire)
    }

    /// Takes a retry from the upstream's part of the `fleet` budget. Returns `false` if none is left
    /// besides those reserved for requests in greater need.
    pub fn withdraw_retry(
        &self,
        fleet: &upstream_budget::FleetBudget,
        need: &retry_need::RetryNeed,
        now: time::Instant,
    ) -> bool {
        lock(&self.budget).withdraw(fleet, need, now)
    }

    /// Returns the running request that expires when a call does, with the difference of the two
    /// deadlines; `None` if there is none.
    pub fn find_parent(
        &self,
        deadline: time::Instant,
    ) -> Option<(time::Duration, running::Running)> {
        let running = lock(&self.running);
        let parent = running.find_parent(deadline)?;
        Some((running::distance(parent.deadline, deadline), parent.clone()))
    }

    /// Returns the number of running requests, and their most urgent rank.
    pub fn running(&self) -> (usize, Option<u32>) {
        let running = lock(&self.running);
        (running.len(), running.min_rank())
    }

    /// Returns a retry that was not forwarded to the budget.
    pub fn refund_retry(&self) {
        lock(&self.budget).refund();
    }

    /// Counts a first attempt towards the retry budget. `retry_probability` is the probability that
    /// it is a call made while serving a retry.
    pub fn record_first_attempt(
        &self,
        fleet: &upstream_budget::FleetBudget,
        retry_probability: f64,
        now: time::Instant,
    ) {
        lock(&self.budget).record_first_attempt(fleet, retry_probability, now);
    }

    /// Returns the number of retries that the upstream's part of the budget allows.
    pub fn retries_left(&self) -> u32 {
        lock(&self.budget).retries_left()
    }

    /// Returns the slots in use, the queued requests and the open slots.
    pub fn load(&self, now: time::Instant) -> load::Load {
        lock(&self.admission).load(now)
    }

    /// Returns the mean service time of recent requests; `None` if there were none.
    pub fn service_time(&self) -> Option<time::Duration> {
        lock(&self.admission).service_time()
    }

    /// Returns whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        lock(&self.admission).is_draining()
    }

    /// Returns the data of the last announcement.
    pub fn lease(&self) -> Lease {
        lock(&self.lease).clone()
    }

    /// Renews the lease. For a newer incarnation, restarts the ramp, resets the outlier detector
    /// and closes idle connections.
    pub fn renew(&self, lease: Lease) {
        let (incarnation, renewed) = (lease.incarnation, lease.renewed);
        self.lease_revoked.store(false, atomic::Ordering::Release);
        let previous = std::mem::replace(&mut *lock(&self.lease), lease);
        if incarnation > previous.incarnation {
            lock(&self.admission).restart(renewed);
            *lock(&self.detector) = outlier::Detector::new(renewed);
            self.leaving.store(false, atomic::Ordering::Release);
            self.pool.close_idle();
        }
    }

    /// Revokes the lease if it still belongs to `instance`; called when another instance has
    /// responded at the address. The next announcement renews the lease.
    pub fn revoke_lease(&self, instance: Option<&ids::InstanceName>) {
        if lock(&self.lease).instance.as_ref() == instance {
            self.lease_revoked.store(true, atomic::Ordering::Release);
        }
    }

    /// Returns whether the lease has ended: either `lease_duration` has passed without an
    /// announcement, or another instance has the address.
    pub fn is_lease_expired(&self, lease_duration: time::Duration, now: time::Instant) -> bool {
        self.lease_revoked.load(atomic::Ordering::Acquire)
            || now.saturating_duration_since(lock(&self.lease).renewed) >= lease_duration
    }

    /// Returns the current time of the sidecar's clock.
    pub fn now(&self) -> time::Instant {
        self.clock.now()
    }

    /// Passes the result of a request to the outlier detector, and logs when the upstream becomes
    /// suspected or is cleared. Queued requests that do not tolerate a suspected upstream are then
    /// rejected.
    pub fn record_result(&self, success: bool) {
        let now = self.clock.now();
        let mut detector = lock(&self.detector);
        let was_suspected = detector.is_suspected(now);
        detector.record(success, now);
        let is_suspected = detector.is_suspected(now);
        let probability = detector.failure_probability(now);
        drop(detector);
        if is_suspected && !was_suspected {
            let intolerant = lock(&self.admission).take_intolerant();
            for sender in intolerant.into_iter().flatten() {
                let _ = sender.send(Err(outcome::Rejection::Suspected));
            }
        }
        if was_suspected != is_suspected {
            log::info!(
                event = "doubt",
                upstream:% = self.id,
                is_doubted = is_suspected,
                likelihood = probability;
                "suspicion of upstream changed"
            );
        }
    }

    /// Records a response to the request that holds `slot`, and whether it states that the backend
    /// server did not run the request. Logs a change of the reason why it rejects requests.
    pub fn record_rejection(&self, slot: &Slot<C>, is_rejected: bool) {
        let now = self.clock.now();
        let mut admission = lock(&self.admission);
        admission.record_response(is_rejected, slot.in_use, slot.acquired, now);
        let (cause, rate) = (admission.rejection_cause(now), admission.rejection_rate());
        let slots = admission.load(now).slots;
        drop(admission);
        if std::mem::replace(&mut *lock(&self.rejection_cause), cause) != cause {
            log::info!(
                event = "upstream-rejects",
                upstream:% = self.id,
                cause = cause.as_str(),
                rate,
                slots;
                "reason for rejections of upstream changed"
            );
        }
    }

    /// Returns the fraction of recent requests that the backend server rejected.
    pub fn rejection_rate(&self) -> f64 {
        lock(&self.admission).rejection_rate()
    }

    /// Records that a request is forwarded, and returns the number that identifies it.
    pub fn start_request(&self) -> u64 {
        let mut pending = lock(&self.pending);
        let number = pending.next;
        pending.next += 1;
        pending.requests.push_back((number, self.clock.now()));
        number
    }

    /// Records the end of a request. Returns `false` if it was already counted as overdue or ended.
    pub fn end_request(&self, number: u64) -> bool {
        let mut pending = lock(&self.pending);
        let index = pending.requests.iter().position(|(pending, _)| *pending == number);
        index.and_then(|index| pending.requests.remove(index)).is_some()
    }

    /// Counts requests in flight that take far longer than the mean service time as failed, so that
    /// a hanging upstream is detected before its callers time out.
    pub fn fail_overdue_requests(&self, now: time::Instant) {
        let timeout = self.overdue_timeout();
        loop {
            let mut pending = lock(&self.pending);
            let oldest = pending.requests.front().map(|(_, started)| *started);
            if oldest.is_none_or(|at| now.saturating_duration_since(at) < timeout) {
                return;
            }
            pending.requests.pop_front();
            drop(pending);
            self.record_result(false);
        }
    }

    /// Returns the time after which a request without a response counts as failed.
    pub fn overdue_timeout(&self) -> time::Duration {
        let service_time = self.service_time().unwrap_or_default();
        (service_time * OVERDUE_TIMEOUT_FACTOR).max(OVERDUE_TIMEOUT_MIN)
    }

    /// Records the limit that a response names, and logs a change. An invalid value leaves the limit
    /// as it is.
    pub fn record_limit(&self, field: header_scheme::LimitField) {
        let named = match field {
            header_scheme::LimitField::Absent => None,
            header_scheme::LimitField::Limit(limit) => Some(limit),
            header_scheme::LimitField::Invalid => {
                metrics::counter!("lynxmast_limits_invalid_total").increment(1);
                return;
            }
        };
        let previous = lock(&self.admission).set_request_limit(named, self.clock.now());
        if previous != named {
            log::info!(
                event = "upstream-limit",
                upstream:% = self.id,
                limit = named,
                previous;
                "limit of upstream changed"
            );
        }
    }

    /// Returns the requests per second that the backend server accepts, if it names a limit.
    pub fn limit(&self) -> Option<f64> {
        lock(&self.admission).request_limit()
    }

    /// Returns what the limit leaves for another request; `None` without a limit.
    pub fn room(&self, now: time::Instant) -> Option<request_limit::Room> {
        lock(&self.admission).room(now)
    }

    /// Counts a request towards the limit that is sent again under the slot that it has.
    pub fn charge_resend(&self) {
        lock(&self.admission).charge_resend(self.clock.now());
    }

    /// Records that the backend server has stated in a response that it is about to leave. Returns
    /// whether this is new.
    pub fn record_leaving(&self) -> bool {
        let is_new = !self.leaving.swap(true, atomic::Ordering::AcqRel);
        if is_new {
            log::info!(
                event = "upstream-leaving",
                upstream:% = self.id,
                incarnation = self.lease().incarnation;
                "upstream states that it is about to leave"
            );
        }
        is_new
    }

    /// Returns the incarnation that has stated that it is about to leave, if it still has the
    /// address.
    pub fn leaving(&self) -> Option<ids::Incarnation> {
        let is_leaving = self.leaving.load(atomic::Ordering::Acquire);
        is_leaving.then(|| self.lease().incarnation)
    }

    /// Records that the backend server runs.
    pub fn record_response(&self) {
        *lock(&self.last_response) = self.clock.now();
    }

    /// Waits until the backend server is found to have crashed. It is checked each time it has
    /// given no sign of life for `silence`.
    pub async fn silent_crash(&self, silence: time::Duration) {
        let mut since = self.clock.now();
        loop {
            tokio::time::sleep(silence).await;
            let last_response = *lock(&self.last_response);
            if last_response < since && self.find_crash().await.is_some() {
                return;
            }
            since = self.clock.now();
        }
    }

    /// Finds out whether the backend server has crashed, after a connection to it was lost. Returns
    /// the incarnation that crashed, or `None` if it still runs or has announced its departure.
    pub async fn find_crash(&self) -> Option<ids::Incarnation> {
        let incarnation = self.lease().incarnation;
        if self.is_draining() || self.is_running().await {
            return None;
        }
        let previous = std::mem::replace(&mut *lock(&self.crashed), incarnation);
        if previous != incarnation {
            let in_flight = lock(&self.pending).requests.len();
            metrics::counter!("lynxmast_upstream_crashes_total").increment(1);
            log::warn!(
                event = "upstream-crashed",
                upstream:% = self.id,
                incarnation,
                in_flight;
                "upstream ended without announcing its departure"
            );
        }
        Some(incarnation)
    }

    /// Returns whether the backend server accepts connections. Requests that ask at the same time
    /// share one connection, which is kept for the next request.
    async fn is_running(&self) -> bool {
        let asked = self.clock.now();
        let mut last = self.liveness.lock().await;
        let is_valid = |check: &LivenessCheck| match check.is_running {
            true => check.started >= asked,
            false => asked.saturating_duration_since(check.started) < DOWNTIME_MIN,
        };
        if let Some(check) = last.filter(is_valid) {
            return check.is_running;
        }
        let started = self.clock.now();
        let connecting = tokio::time::timeout(LIVENESS_TIMEOUT, self.pool.connect());
        let is_running = match connecting.await {
            Ok(Ok(connection)) => {
                self.pool.add_idle(connection);
                self.record_response();
                true
            }
            // The connections in use prove nothing, but neither does their number.
            Ok(Err(outcome::Rejection::QueueFull)) => true,
            Ok(Err(_)) | Err(_) => false,
        };
        *last = Some(LivenessCheck { started, is_running });
        is_running
    }

    /// Returns whether the failure probability of the upstream is acceptable for a request with
    /// this risk tolerance.
    pub fn allows(&self, risk: outlier::RiskTolerance, now: time::Instant) -> bool {
        lock(&self.detector).admit(risk, now)
    }

    /// Returns the failure probability of the upstream in percent.
    pub fn failure_percent(&self, now: time::Instant) -> u8 {
        (lock(&self.detector).failure_probability(now) * 100.0).round() as u8
    }

    /// Returns the active limits.
    pub fn limits(&self) -> admission::Limits {
        lock(&self.admission).limits()
    }

    /// Replaces the active limits.
    pub fn set_limits(&self, limits: admission::Limits) {
        lock(&self.admission).set_limits(limits);
    }

    /// Rejects new requests from now on, and all that are waiting in the queue.
    pub fn drain(&self) {
        let waiting = lock(&self.admission).drain();
        for sender in waiting.into_iter().flatten() {
            let _ = sender.send(Err(outcome::Rejection::Draining));
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the queue is full, the wait is too long, the deadline passes, or the
    /// upstream is draining.
    pub async fn admit(
        self: &sync::Arc<Self>,
        arrival: &admission::Arrival,
        is_redirected: bool,
        now: time::Instant,
    ) -> Result<Slot<C>, outcome::Rejection> {
        let (sender, receiver) = oneshot::channel();
        let decision = match is_redirected {
            true => lock(&self.admission).admit_redirected(arrival, Some(sender), now),
            false => lock(&self.admission).admit(arrival, Some(sender), now),
        };
        match decision {
            admission::Decision::Admit(_, class) => Ok(self.slot(class, now)),
            admission::Decision::Reject(_, rejection) => Err(rejection),
            admission::Decision::Queue { ticket, until, evicted } => {
                if let Some(sender) = evicted.flatten() {
                    let _ = sender.send(Err(outcome::Rejection::QueueFull));
                }
                self.admit_waiting(now);
                self.await_slot(ticket, receiver, until, arrival.deadline).await
            }
        }
    }

    async fn await_slot(
        self: &sync::Arc<Self>,
        ticket: admission::Ticket,
        receiver: oneshot::Receiver<Result<Slot<C>, outcome::Rejection>>,
        until: time::Instant,
        deadline: time::Instant,
    ) -> Result<Slot<C>, outcome::Rejection> {
        let _queued = QueuedRequest { upstream: self, ticket };
        match tokio::time::timeout_at(until.into(), receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(outcome::Rejection::Draining),
            Err(_) if until < deadline => Err(outcome::Rejection::WaitTooLong),
            Err(_) => Err(outcome::Rejection::DeadlineBeforeRun),
        }
    }

    /// Admits waiting requests to free slots, and rejects those that have waited too long.
    pub fn admit_waiting(self: &sync::Arc<Self>, now: time::Instant) {
        let dequeued = lock(&self.admission).dequeue(now);
        for request in dequeued {
            match request {
                admission::Dequeued::Admit(sender, class) => {
                    let slot = self.slot(class, now);
                    // If the request no longer waits, sending fails and drops the slot, which frees
                    // it.
                    let _ = sender.map(|sender| sender.send(Ok(slot)));
                }
                admission::Dequeued::Reject(sender, rejection) => {
                    let _ = sender.map(|sender| sender.send(Err(rejection)));
                }
            }
        }
    }

    fn slot(
        self: &sync::Arc<Self>,
        class: admission::ShareClass,
        acquired: time::Instant,
    ) -> Slot<C> {
        Slot {
            upstream: self.clone(),
            class,
            acquired,
            in_use: lock(&self.admission).load(acquired).in_use,
            forwarded: Default::default(),
            kind: RequestKind::NotRetryable,
            running: None,
            body: None,
        }
    }
}

impl<C: clock::Clock> Slot<C> {
    /// Returns the upstream that the slot belongs to.
    pub fn upstream(&self) -> &sync::Arc<Upstream<C>> {
        &self.upstream
    }

    /// Sets the kind of the request that holds the slot.
    pub fn with_kind(mut self, kind: RequestKind) -> Self {
        self.kind = kind;
        for counter in self.counters() {
            counter.fetch_add(1, atomic::Ordering::AcqRel);
        }
        self
    }

    /// Makes the request that holds the slot known as one that may make calls.
    pub fn with_running(mut self, request: running::Running) -> Self {
        self.running = Some(lock(&self.upstream.running).start(request));
        self
    }

    /// Holds the permit for the request body until the slot is released.
    pub fn with_body(mut self, body: Option<body_gate::BodyPermit>) -> Self {
        self.body = body;
        self
    }

    /// Returns the counters that include the request.
    fn counters(&self) -> impl Iterator<Item = &atomic::AtomicU32> {
        let retryable =
            (self.kind != RequestKind::NotRetryable).then_some(&self.upstream.retryable);
        let retries = (self.kind == RequestKind::Retry).then_some(&self.upstream.retries);
        retryable.into_iter().chain(retries)
    }

    /// Returns the current time of the sidecar's clock.
    pub fn now(&self) -> time::Instant {
        self.upstream.clock.now()
    }

    /// Records that the request is about to be forwarded.
    pub fn mark_forwarded(&self) {
        self.forwarded.store(true, atomic::Ordering::Release);
    }

    /// Records that the backend server did not run the request, whose time is then no service time.
    pub fn mark_not_run(&self) {
        self.forwarded.store(false, atomic::Ordering::Release);
    }
}

impl<C: clock::Clock> Drop for Slot<C> {
    fn drop(&mut self) {
        for counter in self.counters() {
            counter.fetch_sub(1, atomic::Ordering::AcqRel);
        }
        if let Some(number) = self.running {
            lock(&self.upstream.running).end(number);
        }
        let now = self.upstream.clock.now();
        let elapsed = now.saturating_duration_since(self.acquired);
        let elapsed = self.forwarded.load(atomic::Ordering::Acquire).then_some(elapsed);
        lock(&self.upstream.admission).release(self.class, elapsed, now);
        self.upstream.admit_waiting(now);
    }
}

/// Guard that removes a request from the queue when it stops waiting.
struct QueuedRequest<'a, C: clock::Clock> {
    upstream: &'a Upstream<C>,
    ticket: admission::Ticket,
}

impl<C: clock::Clock> Drop for QueuedRequest<'_, C> {
    fn drop(&mut self) {
        lock(&self.upstream.admission).cancel(self.ticket);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
