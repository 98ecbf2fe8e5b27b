//! The one rule on sending a request again, and the budget that bounds how often.

use std::f64::consts::LN_2;
use std::time;

use crate::outcome;
use crate::statistics;

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Refused with proof that it was not run.
    NotRun(outcome::Refusal),
    /// Failed without such proof.
    MayHaveRun(outcome::Failure),
}

impl AttemptEnd {
    /// Tells whether a backend server was asked.
    pub fn reached_upstream(self) -> bool {
        match self {
            AttemptEnd::NotRun(refusal) => refusal.reached_upstream(),
            AttemptEnd::MayHaveRun(_) => true,
        }
    }

    /// Returns the outcome that a caller is told if this was the last attempt.
    pub fn outcome(self) -> outcome::Outcome {
        match self {
            AttemptEnd::NotRun(refusal) => outcome::Outcome::NotRun(refusal),
            AttemptEnd::MayHaveRun(failure) => outcome::Outcome::MayHaveRun(failure),
        }
    }
}

/// What is known when an attempt ended without an answer.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the route allows a request to be run more than once.
    pub idempotent: bool,
    /// Whether the request body can be sent again from its start.
    pub replayable: bool,
    /// Attempts that reached a backend server, the ended one included.
    pub attempts: u32,
    /// Attempts that may reach one at most.
    pub attempts_max: u32,
    /// Time left until the deadline.
    pub remaining: time::Duration,
}

/// Attempts for one request at most, hedges included.
pub const ATTEMPTS_MAX: u32 = 4;
/// Time left below which another attempt is not worth starting.
const REMAINING_MIN: time::Duration = time::Duration::from_millis(5);

/// Tells whether a request may be handed over again as far as running it twice is concerned.
///
/// Retries, hedges and reconnects all ask this function; nothing else in lynxmast sends a request
/// a second time.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{outcome, retry};
/// let lost = retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost);
/// assert!(!retry::is_safe_to_retry(Some(lost), false));
/// let refused = retry::AttemptEnd::NotRun(outcome::Refusal::QueueFull);
/// assert!(retry::is_safe_to_retry(Some(refused), false));
/// ```
pub fn is_safe_to_retry(end: Option<AttemptEnd>, idempotent: bool) -> bool {
    idempotent || matches!(end, Some(AttemptEnd::NotRun(_)))
}

/// Tells whether another attempt makes sense, before the budget is asked.
pub fn should_retry(context: &RetryContext) -> bool {
    let may_succeed = match context.end {
        AttemptEnd::NotRun(refusal) => may_succeed_elsewhere(refusal),
        AttemptEnd::MayHaveRun(failure) => failure != outcome::Failure::CallerGone,
    };
    may_succeed
        && is_safe_to_retry(Some(context.end), context.idempotent)
        && context.replayable
        && context.attempts < context.attempts_max
        && context.remaining > REMAINING_MIN
}

/// Tells whether another upstream may accept what this one refused.
fn may_succeed_elsewhere(refusal: outcome::Refusal) -> bool {
    use outcome::Refusal::*;
    matches!(
        refusal,
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
    )
}

/// Retry budget of one service at one entry: a share of the first attempts plus a small reserve.
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
    /// Tokens that can be saved up at the moment.
    capacity: f64,
    /// First attempts lately.
    first_attempts: statistics::MovingAverage,
    /// When the reserve last came back, if the budget is shared.
    refilled: Option<time::Instant>,
}

/// A budget that the daemons of a fleet share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBudget {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries allowed beyond that in `window`.
    pub reserve: u32,
    /// Time for which the bound holds.
    pub window: time::Duration,
    /// Daemons that share the reserve.
    pub daemons: usize,
}

/// Time for which retries of a shared budget can be saved up: failures come in clumps.
pub const SAVING_WINDOW: time::Duration = time::Duration::from_millis(2500);
/// Part of the reserve that is saved up for a clump of failures; the rest comes back over the window.
const SAVED_SHARE: f64 = 0.75;
/// Part of what it may save up that a daemon starts with: it does not know what its predecessor has
/// spent.
const INITIAL_SHARE: f64 = 2.0 / 3.0;
/// Retries that a service with little traffic may make in a row.
const TOKENS_INITIAL: f64 = 10.0;
/// Retries that can be saved up.
const TOKENS_MAX: f64 = 50.0;
/// Retries left from which a request may be sent where it may well fail: its own and the next one's.
const SPARE_TOKENS: f64 = 2.0;
/// Share of a first attempt by which the reserve refills where the ratio is lower.
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

    /// Counts a first attempt under a budget that the daemons of a fleet share. What they may spend
    /// together in a window never exceeds `ratio` of the first attempts in that window and in the
    /// about [`SAVED_FOR`] before it, plus `reserve`.
    ///
    /// `repeats` is the likelihood that the request was made by one that is itself repeated, which
    /// counts as a retry.
    pub fn deposit_fleet(&mut self, fleet: &FleetBudget, retry_share: f64, now: time::Instant) {
        let reserve = f64::from(fleet.reserve) / fleet.daemons.max(1) as f64;
        let saved = reserve * SAVED_SHARE;
        let elapsed = self.refilled.map(|at| now.saturating_duration_since(at));
        let refill = match elapsed {
            None => saved * INITIAL_SHARE - self.tokens,
            Some(elapsed) => (reserve - saved) * elapsed.as_secs_f64() / fleet.window.as_secs_f64(),
        };
        self.refilled = self.refilled.max(Some(now));
        self.first_attempts.record(1.0, now);
        self.capacity = (saved + fleet.ratio * self.first_attempts.weight(now)).max(1.0);
        self.tokens = (self.tokens + refill + fleet.ratio - retry_share).min(self.capacity);
    }

    /// Tells whether there is a retry left besides one that is likely to be needed: then a request
    /// may be sent where it may well fail.
    pub fn has_spare(&self) -> bool {
        self.tokens >= SPARE_TOKENS.min(self.capacity)
    }

    /// Takes one retry if the budget allows it.
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
