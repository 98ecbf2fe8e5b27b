//! One upstream at its sidecar: admission, connections, lease and outlier detection.

pub mod in_flight;
pub mod lease;
pub mod liveness;
pub mod retry_account;
pub mod slot;
mod waiting;

use std::sync;
use std::time;

use lynxmast_protocol::header_scheme;
use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::concurrency_limit;
use lynxmast_state::ids;
use lynxmast_state::load;
use lynxmast_state::outlier;
use lynxmast_state::request_limit;
use lynxmast_state::running;

use crate::body_gate;
use crate::pool;

/// An upstream on this VM.
#[derive(Debug)]
pub struct Upstream<C: clock::Clock> {
    /// Service and address.
    pub id: ids::UpstreamId,
    /// Connections to the backend server.
    pub pool: sync::Arc<pool::Pool<C>>,
    /// Bytes of request bodies that the backend server holds.
    pub body_gate: body_gate::BodyGate,
    /// Last announcement of the backend server.
    pub lease: lease::LeaseState,
    /// Retries in flight, and those that the budget allows.
    pub retries: retry_account::RetryAccount,
    /// Requests without a response.
    pub in_flight: in_flight::InFlight,
    /// Signs of life of the backend server.
    pub liveness: liveness::Liveness,
    clock: C,
    /// Slots, limits and the queue.
    admission: sync::Mutex<Admission<C>>,
    detector: sync::Mutex<outlier::Detector>,
    /// Why the backend server rejects requests, as logged last.
    rejection_cause: sync::Mutex<concurrency_limit::Cause>,
    /// Requests that hold a slot.
    running: sync::Mutex<running::RunningRequests>,
}

type Admission<C> = admission::Admission<Option<waiting::SlotSender<C>>>;

/// Multiple of the mean service time after which a request without a response counts as failed.
const OVERDUE_TIMEOUT_FACTOR: u32 = 3;
/// Shortest time after which a request without a response counts as failed.
const OVERDUE_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(500);

impl<C: clock::Clock> Upstream<C> {
    /// Creates an upstream without load.
    pub fn new(
        id: ids::UpstreamId,
        limits: admission::Limits,
        lease: lease::Lease,
        clock: C,
    ) -> Self {
        let pool = sync::Arc::new(pool::Pool::new(id.address, clock.clone()));
        let renewed = lease.renewed;
        Self {
            id,
            pool,
            body_gate: Default::default(),
            lease: lease::LeaseState::new(lease),
            retries: retry_account::RetryAccount::new(renewed),
            in_flight: Default::default(),
            liveness: liveness::Liveness::new(renewed),
            clock,
            admission: sync::Mutex::new(admission::Admission::new(limits, renewed)),
            detector: sync::Mutex::new(outlier::Detector::new(renewed)),
            rejection_cause: Default::default(),
            running: Default::default(),
        }
    }

    /// Returns the running request that expires when a call does, with the difference of the two
    /// deadlines; `None` if there is none.
    pub fn find_parent(
        &self,
        deadline: time::Instant,
    ) -> Option<(time::Duration, running::Running)> {
        let running = self.lock_running();
        let parent = running.find_parent(deadline)?;
        Some((running::distance(parent.deadline, deadline), parent.clone()))
    }

    /// Returns the number of running requests, and their most urgent rank.
    pub fn running(&self) -> (usize, Option<u32>) {
        let running = self.lock_running();
        (running.len(), running.min_rank())
    }

    /// Returns the slots in use, the queued requests and the open slots.
    pub fn load(&self, now: time::Instant) -> load::Load {
        self.lock_admission().load(now)
    }

    /// Returns the mean service time of recent requests; `None` if there were none.
    pub fn service_time(&self) -> Option<time::Duration> {
        self.lock_admission().service_time()
    }

    /// Returns whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.lock_admission().is_draining()
    }

    /// Renews the lease. For a newer incarnation, restarts the ramp, resets the outlier detector
    /// and closes idle connections.
    pub fn renew(&self, lease: lease::Lease) {
        let renewed = lease.renewed;
        if self.lease.renew(lease) {
            self.lock_admission().restart(renewed);
            *lock(&self.detector) = outlier::Detector::new(renewed);
            self.pool.close_idle();
        }
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
            self.reject_intolerant();
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
    pub fn record_rejection(&self, slot: &slot::Slot<C>, is_rejected: bool) {
        let now = self.clock.now();
        let mut admission = self.lock_admission();
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
        self.lock_admission().rejection_rate()
    }

    /// Counts requests in flight that take far longer than the mean service time as failed, so that
    /// a hanging upstream is detected before its callers time out.
    pub fn fail_overdue_requests(&self, now: time::Instant) {
        let timeout = self.overdue_timeout();
        while self.in_flight.take_overdue(timeout, now) {
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
        let previous = self.lock_admission().set_request_limit(named, self.clock.now());
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
        self.lock_admission().request_limit()
    }

    /// Returns what the limit leaves for another request; `None` without a limit.
    pub fn room(&self, now: time::Instant) -> Option<request_limit::Room> {
        self.lock_admission().room(now)
    }

    /// Counts a request towards the limit that is sent again under the slot that it has.
    pub fn charge_resend(&self) {
        self.lock_admission().charge_resend(self.clock.now());
    }

    /// Records that the backend server has stated in a response that it is about to leave. Returns
    /// whether this is new.
    pub fn record_leaving(&self) -> bool {
        let is_new = self.lease.record_leaving();
        if is_new {
            log::info!(
                event = "upstream-leaving",
                upstream:% = self.id,
                incarnation = self.lease.newest().incarnation;
                "upstream states that it is about to leave"
            );
        }
        is_new
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
        self.lock_admission().limits()
    }

    /// Replaces the active limits.
    pub fn set_limits(&self, limits: admission::Limits) {
        self.lock_admission().set_limits(limits);
    }

    fn lock_admission(&self) -> sync::MutexGuard<'_, Admission<C>> {
        lock(&self.admission)
    }

    fn lock_running(&self) -> sync::MutexGuard<'_, running::RunningRequests> {
        lock(&self.running)
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
