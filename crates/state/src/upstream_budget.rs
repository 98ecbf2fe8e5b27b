//! Retry budget of a fleet, in parts that the sidecars keep for their upstreams.
//!
//! A retry is paid for where it arrives. Each sidecar counts the first attempts that its upstream
//! gets and allows retries in proportion, so the bound of the fleet is the sum of the bounds of its
//! upstreams and needs no messages. An ingress whose retry one sidecar denies asks others: every
//! ingress can use the budget of every upstream.

use std::f64::consts::LN_2;
use std::time;

use crate::retry_need;
use crate::statistics;

/// Retry budget of a service that its upstreams share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBudget {
    /// Number of retries allowed per first attempt.
    pub ratio: f64,
    /// Number of additional retries that the whole fleet may make in each `window`.
    pub reserve: f64,
    /// Period over which the budget holds.
    pub window: time::Duration,
    /// Number of upstreams that share the reserve.
    pub upstreams: usize,
}

/// Part of a [`FleetBudget`] that belongs to one upstream.
///
/// # Examples
///
/// ```
/// use lynxmast_state::upstream_budget;
/// use std::time::{Duration, Instant};
///
/// let window = Duration::from_secs(10);
/// let fleet = upstream_budget::FleetBudget { ratio: 0.1, reserve: 0.0, window, upstreams: 4 };
/// let now = Instant::now();
/// let mut budget = upstream_budget::UpstreamBudget::new(now);
/// for _ in 0..20 {
///     budget.record_first_attempt(&fleet, 0.0, now);
/// }
/// let need = lynxmast_state::retry_need::RetryNeed { is_call: true, ..Default::default() };
/// let allowed = (0..20).filter(|_| budget.withdraw(&fleet, &need, now)).count();
/// assert_eq!(allowed, 2);
/// ```
#[derive(Debug, Clone)]
pub struct UpstreamBudget {
    tokens: f64,
    /// Recent first attempts; their weight is the number in [`SAVING_WINDOW`].
    first_attempts: statistics::MovingAverage,
    /// Retries granted recently.
    grants: statistics::MovingAverage,
    created: time::Instant,
    /// Time of the last refill from the reserve; `None` before the first.
    refilled: Option<time::Instant>,
}

/// Time for which unspent retries are kept, since failures come in bursts.
const SAVING_WINDOW: time::Duration = time::Duration::from_millis(2500);
/// Fraction of an upstream's reserve that is saved for a burst of failures; the rest refills over
/// the window.
const SAVED_FRACTION: f64 = 0.75;
/// Retries granted at first.
const INITIAL_TOKENS: f64 = 1.0;
/// Fraction of the saved reserve that is granted after [`RESERVE_DELAY`], including the retries
/// granted at first, since it is not known how much a previous process has spent.
const INITIAL_FRACTION: f64 = 2.0 / 3.0;
/// Time after its creation from which an upstream gets its part of the reserve. A sidecar that has
/// just started knows few of the upstreams that share it.
const RESERVE_DELAY: time::Duration = time::Duration::from_secs(3);

impl FleetBudget {
    fn upstream_reserve(&self) -> f64 {
        self.reserve / self.upstreams.max(1) as f64
    }
}

impl UpstreamBudget {
    /// Returns the budget of an upstream that has had no requests.
    pub fn new(now: time::Instant) -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            first_attempts: statistics::MovingAverage::new(SAVING_WINDOW.mul_f64(LN_2)),
            grants: statistics::MovingAverage::new(SAVING_WINDOW.mul_f64(LN_2)),
            created: now,
            refilled: None,
        }
    }

    /// Counts a first attempt, which earns `fleet.ratio` of a retry.
    ///
    /// `retry_probability` is the probability that the request was sent while serving a retry of
    /// another one, in which case it counts as a retry itself.
    pub fn record_first_attempt(
        &mut self,
        fleet: &FleetBudget,
        retry_probability: f64,
        now: time::Instant,
    ) {
        self.first_attempts.record(1.0, now);
        self.refill(fleet, now);
        self.tokens += fleet.ratio - retry_probability;
        self.limit(fleet, now);
    }

    /// Takes one retry from the budget. Returns `false` if none is left besides those reserved for
    /// requests in greater need.
    pub fn withdraw(
        &mut self,
        fleet: &FleetBudget,
        need: &retry_need::RetryNeed,
        now: time::Instant,
    ) -> bool {
        self.refill(fleet, now);
        // With savings of one retry nothing can be reserved, or most requests would get none.
        let savings = (self.savings(fleet, now) - 1.0).max(0.0);
        // A budget from which nobody has taken lately is not short, however little it has saved: that
        // of an upstream that has just started holds a single retry.
        let reserved = need.reserved() * savings * self.grants.weight(now).min(1.0);
        let is_allowed = self.tokens >= 1.0 + reserved;
        if is_allowed {
            self.grants.record(1.0, now);
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Returns a retry that was withdrawn and has not been sent to the upstream.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the number of retries left.
    pub fn retries_left(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Adds the upstream's part of the reserve for the time since the last refill.
    fn refill(&mut self, fleet: &FleetBudget, now: time::Instant) {
        if now.saturating_duration_since(self.created) < RESERVE_DELAY {
            return;
        }
        let reserve = fleet.upstream_reserve();
        self.tokens += match self.refilled {
            None => (reserve * SAVED_FRACTION * INITIAL_FRACTION - INITIAL_TOKENS).max(0.0),
            Some(at) => {
                let elapsed = now.saturating_duration_since(at).as_secs_f64();
                reserve * (1.0 - SAVED_FRACTION) * elapsed / fleet.window.as_secs_f64()
            }
        };
        self.refilled = self.refilled.max(Some(now));
        self.limit(fleet, now);
    }

    /// Discards what exceeds the savings.
    fn limit(&mut self, fleet: &FleetBudget, now: time::Instant) {
        self.tokens = self.tokens.min(self.savings(fleet, now).max(1.0));
    }

    /// Returns the number of retries that can be saved up.
    fn savings(&self, fleet: &FleetBudget, now: time::Instant) -> f64 {
        let earned = fleet.ratio * self.first_attempts.weight(now);
        fleet.upstream_reserve() * SAVED_FRACTION + earned
    }
}

#[cfg(test)]
mod tests;
