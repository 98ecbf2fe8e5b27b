//! Retries of one upstream: its part of the fleet's retry budget, and those in flight.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::retry_need;
use lynxmast_state::upstream_budget;

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

/// Retries of one upstream.
#[derive(Debug)]
pub struct RetryAccount {
    /// Part of the fleet's retry budget.
    budget: sync::Mutex<upstream_budget::UpstreamBudget>,
    /// Requests in flight that are retries.
    retries: atomic::AtomicU32,
    /// Requests in flight that may be retried, including those that are retries.
    retryable: atomic::AtomicU32,
}

impl RetryAccount {
    /// Creates the account of an upstream without requests.
    pub fn new(now: time::Instant) -> Self {
        let budget = sync::Mutex::new(upstream_budget::UpstreamBudget::new(now));
        Self { budget, retries: Default::default(), retryable: Default::default() }
    }

    /// Returns the number of requests in flight that are retries.
    pub fn retries(&self) -> u32 {
        self.retries.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of requests in flight that may be retried, including retries.
    pub fn retryable(&self) -> u32 {
        self.retryable.load(atomic::Ordering::Acquire)
    }

    /// Counts a request in flight.
    pub(super) fn start(&self, kind: RequestKind) {
        for counter in self.counters(kind) {
            counter.fetch_add(1, atomic::Ordering::AcqRel);
        }
    }

    /// Counts the end of a request in flight.
    pub(super) fn end(&self, kind: RequestKind) {
        for counter in self.counters(kind) {
            counter.fetch_sub(1, atomic::Ordering::AcqRel);
        }
    }

    /// Returns the counters that include a request.
    fn counters(&self, kind: RequestKind) -> impl Iterator<Item = &atomic::AtomicU32> {
        let retryable = (kind != RequestKind::NotRetryable).then_some(&self.retryable);
        let retries = (kind == RequestKind::Retry).then_some(&self.retries);
        retryable.into_iter().chain(retries)
    }

    /// Takes a retry from the upstream's part of the `fleet` budget. Returns `false` if none is left
    /// besides those reserved for requests in greater need.
    pub fn withdraw(
        &self,
        fleet: &upstream_budget::FleetBudget,
        need: &retry_need::RetryNeed,
        now: time::Instant,
    ) -> bool {
        self.lock().withdraw(fleet, need, now)
    }

    /// Returns a retry that was not forwarded to the budget.
    pub fn refund(&self) {
        self.lock().refund();
    }

    /// Counts a first attempt towards the retry budget. `retry_probability` is the probability that
    /// it is a call made while serving a retry.
    pub fn record_first_attempt(
        &self,
        fleet: &upstream_budget::FleetBudget,
        retry_probability: f64,
        now: time::Instant,
    ) {
        self.lock().record_first_attempt(fleet, retry_probability, now);
    }

    /// Returns the number of retries that the upstream's part of the budget allows.
    pub fn left(&self) -> u32 {
        self.lock().retries_left()
    }

    fn lock(&self) -> sync::MutexGuard<'_, upstream_budget::UpstreamBudget> {
        self.budget.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
