//! Conditions for a retry, and the retry budget.

use std::f64::consts::LN_2;
use std::time;

use crate::outcome;
use crate::statistics;

/// Reason why an attempt gave no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request was rejected and certainly not run.
    NotRun(outcome::Rejection),
    /// The attempt failed, and the request may have been run.
    MayHaveRun(outcome::Failure),
}

impl AttemptEnd {
    /// Returns whether a backend server was contacted.
    pub fn reached_upstream(self) -> bool {
        match self {
            AttemptEnd::NotRun(rejection) => rejection.reached_upstream(),
            AttemptEnd::MayHaveRun(_) => true,
        }
    }

    /// Returns the outcome reported to the caller if this was the last attempt.
    pub fn outcome(self) -> outcome::Outcome {
        match self {
            AttemptEnd::NotRun(rejection) => outcome::Outcome::NotRun(rejection),
            AttemptEnd::MayHaveRun(failure) => outcome::Outcome::MayHaveRun(failure),
        }
    }
}

/// State of a request after an attempt ended without a response.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// Reason why the attempt gave no response.
    pub end: AttemptEnd,
    /// Whether the route allows a request to be run more than once.
    pub idempotent: bool,
    /// Whether the request body can be sent again from its start.
    pub replayable: bool,
    /// Number of attempts that reached a backend server, including this one.
    pub attempts: u32,
    /// Maximum number of attempts that may reach a backend server.
    pub attempts_max: u32,
    /// Time left until the deadline.
    pub remaining: time::Duration,
}

/// Maximum number of attempts for one request, including hedges.
pub const ATTEMPTS_MAX: u32 = 4;
/// Remaining time up to which another attempt is not worth starting.
const REMAINING_MIN: time::Duration = time::Duration::from_millis(5);

/// Returns whether forwarding a request again cannot run non-idempotent work twice.
///
/// `end` is the result of the previous attempt, or `None` if it is not known. Every retry, hedge
/// and reconnect calls this function; no other code sends a request a second time.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{outcome, retry};
/// let lost = retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost);
/// assert!(!retry::is_safe_to_retry(Some(lost), false));
/// let rejected = retry::AttemptEnd::NotRun(outcome::Rejection::QueueFull);
/// assert!(retry::is_safe_to_retry(Some(rejected), false));
/// ```
pub fn is_safe_to_retry(end: Option<AttemptEnd>, idempotent: bool) -> bool {
    idempotent || matches!(end, Some(AttemptEnd::NotRun(_)))
}

/// Returns whether another attempt is safe and may succeed. Does not check the retry budget.
pub fn should_retry(context: &RetryContext) -> bool {
    let may_succeed = match context.end {
        AttemptEnd::NotRun(rejection) => may_succeed_elsewhere(rejection),
        AttemptEnd::MayHaveRun(failure) => failure != outcome::Failure::CallerGone,
    };
    may_succeed
        && is_safe_to_retry(Some(context.end), context.idempotent)
        && context.replayable
        && context.attempts < context.attempts_max
        && context.remaining > REMAINING_MIN
}

/// Returns whether another upstream may accept a request that this one rejected.
fn may_succeed_elsewhere(rejection: outcome::Rejection) -> bool {
    use outcome::Rejection::*;
    matches!(
        rejection,
        QueueFull
            | WaitTooLong
            | Draining
            | NoUpstream
            | Unreachable
            | PolicyBehind
            | NoPolicy
            | Shed
            | Misdirected
            | Suspected
            | Limited
    )
}

/// Retry budget of one service at one ingress: a fraction of the first attempts plus a small
/// reserve.
///
/// # Examples
///
/// ```
/// use lynxmast_state::retry;
/// let mut budget = retry::Budget::default();
/// let allowed = (0..100).filter(|_| budget.withdraw()).count();
/// assert!(allowed < 20);
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    /// Maximum number of tokens; varies with recent traffic under a fleet budget.
    capacity: f64,
    /// First attempts counted under a fleet budget; their weight decays.
    first_attempts: statistics::MovingAverage,
    /// Time of the last refill from the reserve; `None` unless the budget is shared by the fleet.
    refilled: Option<time::Instant>,
}

/// Retry budget shared by the daemons of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBudget {
    /// Number of retries allowed per first attempt.
    pub ratio: f64,
    /// Number of additional retries allowed in each `window`.
    pub reserve: f64,
    /// Period over which the budget holds.
    pub window: time::Duration,
    /// Number of daemons that share the reserve.
    pub daemons: usize,
}

/// Time for which unspent retries of a fleet budget are kept, since failures come in bursts.
pub const SAVING_WINDOW: time::Duration = time::Duration::from_millis(2500);
/// Fraction of a daemon's reserve that is saved for a burst of failures; the rest refills over the
/// window.
const SAVED_FRACTION: f64 = 0.75;
/// Fraction of the saved reserve that a daemon starts with, since it does not know how much the
/// previous instance has spent.
const INITIAL_FRACTION: f64 = 2.0 / 3.0;
/// Number of retries that a service may make in a row before its first attempts have earned any.
const TOKENS_INITIAL: f64 = 10.0;
/// Maximum number of unspent retries, without a fleet budget.
const TOKENS_MAX: f64 = 50.0;
/// Number of retries that must be left before a request may probe a suspected upstream: one for
/// this request and one for the next.
const SPARE_TOKENS: f64 = 2.0;
/// Minimum deposit per first attempt, so that the reserve refills even if the ratio is lower.
const DEPOSIT_MIN: f64 = 0.01;

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: TOKENS_INITIAL,
            capacity: TOKENS_MAX,
            first_attempts: statistics::MovingAverage::new(SAVING_WINDOW.mul_f64(LN_2)),
            refilled: None,
        }
    }
}

impl Budget {
    /// Counts a first attempt, which earns `ratio` of a retry.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio.max(DEPOSIT_MIN)).min(TOKENS_MAX);
    }

    /// Counts a first attempt under a fleet budget. The retries of all daemons in a window never
    /// exceed `fleet.reserve` plus `fleet.ratio` times the first attempts in that window and in the
    /// [`SAVING_WINDOW`], approximately, before it.
    ///
    /// `retry_probability` is the probability that the request was sent while serving a retry of
    /// another one, in which case it counts as a retry itself.
    pub fn deposit_fleet(
        &mut self,
        fleet: &FleetBudget,
        retry_probability: f64,
        now: time::Instant,
    ) {
        let reserve = fleet.reserve / fleet.daemons.max(1) as f64;
        let saved = reserve * SAVED_FRACTION;
        let elapsed = self.refilled.map(|at| now.saturating_duration_since(at));
        let refill = match elapsed {
            None => saved * INITIAL_FRACTION - self.tokens,
            Some(elapsed) => (reserve - saved) * elapsed.as_secs_f64() / fleet.window.as_secs_f64(),
        };
        self.refilled = self.refilled.max(Some(now));
        self.first_attempts.record(1.0, now);
        self.capacity = (saved + fleet.ratio * self.first_attempts.weight(now)).max(1.0);
        self.tokens = (self.tokens + refill + fleet.ratio - retry_probability).min(self.capacity);
    }

    /// Returns whether a retry is left besides the one that the request is likely to need, so that
    /// it may probe a suspected upstream.
    pub fn has_spare(&self) -> bool {
        self.tokens >= SPARE_TOKENS.min(self.capacity)
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
