//! Conditions for a retry, and the retry budget.

use std::time;

use crate::outcome;

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
            | OverBudget
    )
}

/// Retry budget of one service at one ingress: a fraction of the first attempts plus a small
/// reserve. Services whose budget the whole fleet shares use [`crate::upstream_budget`] instead.
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
}

/// Number of retries that a service may make in a row before its first attempts have earned any.
const TOKENS_INITIAL: f64 = 10.0;
/// Maximum number of unspent retries.
const TOKENS_MAX: f64 = 50.0;
/// Number of retries that must be left before a request may probe a suspected upstream: one for
/// this request and one for the next.
const SPARE_TOKENS: f64 = 2.0;
/// Minimum deposit per first attempt, so that the reserve refills even if the ratio is lower.
const DEPOSIT_MIN: f64 = 0.01;

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: TOKENS_INITIAL }
    }
}

impl Budget {
    /// Counts a first attempt, which earns `ratio` of a retry.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio.max(DEPOSIT_MIN)).min(TOKENS_MAX);
    }

    /// Returns whether a retry is left besides the one that the request is likely to need, so that
    /// it may probe a suspected upstream.
    pub fn has_spare(&self) -> bool {
        self.tokens >= SPARE_TOKENS
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
