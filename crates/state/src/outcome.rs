//! What became of a request, as told to callers and between daemons.
//!
//! A [`Refusal`] is only ever built where it is certain that no backend server was handed the
//! request. A [`Failure`] makes no such claim.

use std::fmt;
use std::time;

value! {
    /// Why a request was refused; every variant is proof that it was not run.
    #[derive(Copy, Eq, Hash)]
    pub enum Refusal {
        /// The request's head is not acceptable.
        BadRequest,
        /// The organisation's key is not known.
        UnknownKey,
        /// The organisation may not use this route.
        Forbidden,
        /// No route matches.
        NoRoute,
        /// The organisation is over its rate limit.
        RateLimited,
        /// The admission queue holds no place for the organisation.
        QueueFull,
        /// The expected wait is longer than the time left.
        WaitTooLong,
        /// The upstream or the daemon takes no new work.
        Draining,
        /// No upstream of the service is known or reachable.
        NoUpstream,
        /// No connection to the gate or the upstream could be opened.
        Unreachable,
        /// The deadline passed before the hand-over.
        DeadlineBeforeRun,
        /// The gate's policy is older than the request's and did not catch up in time.
        PolicyBehind,
        /// The daemon has not yet heard a policy.
        NoPolicy,
        /// The sender is not a member of the fleet.
        NotAuthorised,
        /// The backend server said that it did not run the request.
        Shed,
        /// Another backend server than the one meant has the address; it did not run the request.
        Misdirected,
        /// The request's body is longer than the policy allows.
        BodyTooLarge,
        /// The gate doubts the upstream, and the request cannot be repeated if it fails there.
        #[serde(rename = "doubtful")]
        Suspected,
    }

    /// Why a request that may have been run has no whole answer.
    #[derive(Copy, Eq, Hash)]
    pub enum Failure {
        /// The deadline passed after the hand-over.
        Deadline,
        /// The connection to the gate or the upstream was lost.
        ConnectionLost,
        /// The answer ended early.
        Truncated,
        /// The answer is malformed, unframed or belongs to another request.
        #[serde(rename = "bad-answer")]
        BadResponse,
        /// No progress for longer than the progress limit.
        Stalled,
        /// The caller stopped sending its request body.
        CallerGone,
        /// The backend server answered that it sheds load.
        Shed,
    }

    /// Final outcome of a request.
    #[derive(Copy, Eq, Hash)]
    pub enum Outcome {
        /// A backend server's answer is passed on.
        Answered,
        /// Refused, certainly not run.
        NotRun(Refusal),
        /// Failed, may have run.
        MayHaveRun(Failure),
    }
}

/// Time after which a caller is told to come back where something is about to change: a policy to
/// arrive, a departure to spread, a connection to be found dead.
const RETRY_AFTER_TRANSIENT: time::Duration = time::Duration::from_millis(700);
/// Time after which a caller is told to come back where all slots are taken: several times what a
/// request takes, so that those who come back do not meet the same queue.
const RETRY_AFTER_OVERLOAD: time::Duration = time::Duration::from_millis(1500);

impl Outcome {
    /// Returns the word for the outcome header.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::outcome;
    /// let refused = outcome::Outcome::NotRun(outcome::Refusal::QueueFull);
    /// assert_eq!(refused.as_str(), "not-run");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::MayHaveRun(_) => "may-have-run",
        }
    }

    /// Returns the word for the reason header, empty for an answer.
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Answered => "",
            Outcome::NotRun(refusal) => refusal.as_str(),
            Outcome::MayHaveRun(failure) => failure.as_str(),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered => f.write_str("answered"),
            other => write!(f, "{} ({})", other.as_str(), other.reason()),
        }
    }
}

impl Refusal {
    /// All refusals, for decoding and tests.
    pub const ALL: [Refusal; 18] = [
        Refusal::BadRequest,
        Refusal::UnknownKey,
        Refusal::Forbidden,
        Refusal::NoRoute,
        Refusal::RateLimited,
        Refusal::QueueFull,
        Refusal::WaitTooLong,
        Refusal::Draining,
        Refusal::NoUpstream,
        Refusal::Unreachable,
        Refusal::DeadlineBeforeRun,
        Refusal::PolicyBehind,
        Refusal::NoPolicy,
        Refusal::NotAuthorised,
        Refusal::Shed,
        Refusal::Misdirected,
        Refusal::BodyTooLarge,
        Refusal::Suspected,
    ];

    /// Returns the word for the reason header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad-request",
            Refusal::UnknownKey => "unknown-key",
            Refusal::Forbidden => "forbidden",
            Refusal::NoRoute => "no-route",
            Refusal::RateLimited => "rate-limited",
            Refusal::QueueFull => "queue-full",
            Refusal::WaitTooLong => "wait-too-long",
            Refusal::Draining => "draining",
            Refusal::NoUpstream => "no-upstream",
            Refusal::Unreachable => "unreachable",
            Refusal::DeadlineBeforeRun => "deadline-before-run",
            Refusal::PolicyBehind => "policy-behind",
            Refusal::NoPolicy => "no-policy",
            Refusal::NotAuthorised => "not-authorised",
            Refusal::Shed => "shed",
            Refusal::Misdirected => "misdirected",
            Refusal::BodyTooLarge => "body-too-large",
            Refusal::Suspected => "doubtful",
        }
    }

    /// Parses a reason word.
    pub fn parse(text: &str) -> Option<Refusal> {
        Refusal::ALL.into_iter().find(|r| r.as_str() == text)
    }

    /// Tells whether the request found no free slot in time.
    pub fn is_overload(&self) -> bool {
        matches!(self, Refusal::QueueFull | Refusal::WaitTooLong | Refusal::Suspected)
    }

    /// Tells whether a backend server was asked, though it did not run the request.
    pub fn reached_upstream(&self) -> bool {
        matches!(self, Refusal::Shed | Refusal::Misdirected)
    }

    /// Returns the HTTP status told to a caller.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::BadRequest => 400,
            Refusal::UnknownKey => 401,
            Refusal::Forbidden | Refusal::NotAuthorised => 403,
            Refusal::NoRoute => 404,
            Refusal::BodyTooLarge => 413,
            Refusal::RateLimited => 429,
            _ => 503,
        }
    }

    /// Returns when the caller may come back, where coming back can help.
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self.status() {
            429 => Some(RETRY_AFTER_OVERLOAD),
            503 if self.is_overload() => Some(RETRY_AFTER_OVERLOAD),
            503 => Some(RETRY_AFTER_TRANSIENT),
            _ => None,
        }
    }
}

impl Failure {
    /// All failures, for decoding and tests.
    pub const ALL: [Failure; 7] = [
        Failure::Deadline,
        Failure::ConnectionLost,
        Failure::Truncated,
        Failure::BadResponse,
        Failure::Stalled,
        Failure::CallerGone,
        Failure::Shed,
    ];

    /// Returns the word for the reason header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Failure::Deadline => "deadline",
            Failure::ConnectionLost => "connection-lost",
            Failure::Truncated => "truncated",
            Failure::BadResponse => "bad-answer",
            Failure::Stalled => "stalled",
            Failure::CallerGone => "caller-gone",
            Failure::Shed => "shed",
        }
    }

    /// Parses a reason word.
    pub fn parse(text: &str) -> Option<Failure> {
        Failure::ALL.into_iter().find(|f| f.as_str() == text)
    }

    /// Returns the HTTP status told to a caller.
    pub fn status(&self) -> u16 {
        match self {
            Failure::Deadline | Failure::Stalled => 504,
            Failure::CallerGone => 408,
            _ => 502,
        }
    }
}
