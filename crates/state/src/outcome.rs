//! Outcome of a request, as reported to callers and exchanged between daemons.
//!
//! A [`Rejection`] is only constructed where it is certain that no backend server ran the request.
//! A [`Failure`] leaves open whether one did.

use std::fmt;
use std::time;

use crate::quarantine;

value! {
    /// Reason why a request was rejected. Every variant proves that the request was not run.
    #[derive(Copy, Eq, Hash)]
    pub enum Rejection {
        /// The request head is malformed or not supported.
        BadRequest,
        /// The organisation's key is unknown.
        UnknownKey,
        /// The organisation is not allowed to use this route.
        Forbidden,
        /// No route matches.
        NoRoute,
        /// The organisation is over its rate limit.
        RateLimited,
        /// The admission queue is full, the request was evicted from it, or the connection limit of
        /// the upstream is reached.
        QueueFull,
        /// The expected or actual wait for a slot exceeds the time left or the longest wait
        /// allowed.
        WaitTooLong,
        /// The upstream or the daemon no longer accepts new requests.
        Draining,
        /// The service has no known or reachable upstream.
        NoUpstream,
        /// No connection to the sidecar or the upstream could be opened.
        Unreachable,
        /// The deadline passed before the request was forwarded.
        DeadlineBeforeRun,
        /// The sidecar's policy is older than the one that the request was routed by and was not
        /// updated in time.
        PolicyBehind,
        /// The daemon has not received a policy yet.
        NoPolicy,
        /// The sender is not a member of the fleet.
        NotAuthorised,
        /// The backend server reported that it did not run the request.
        Shed,
        /// The address now belongs to a different backend server, which did not run the request.
        Misdirected,
        /// The request body exceeds the limit set by the policy.
        BodyTooLarge,
        /// The sidecar suspects the upstream of failing, and the request could not be retried if it
        /// failed there.
        #[serde(rename = "doubtful")]
        Suspected,
        /// Upstreams have crashed while they ran copies of the request.
        Quarantined,
        /// The upstream gets as many requests per second as the limit allows that it names.
        Limited,
        /// The request would be a retry, and the retry budget of the upstream is used up.
        OverBudget,
        /// The daemon holds as many bytes in memory as its limit allows, and the request body is large.
        HeldBytes,
        /// The calls that requests of the route usually make are rejected for lack of capacity.
        CallsRejected,
        /// The owner of the organisation's quota did not respond in time, so that the request may be
        /// within the quota.
        QuotaUnavailable,
    }

    /// Reason why a request that may have been run has no complete response.
    #[derive(Copy, Eq, Hash)]
    pub enum Failure {
        /// The deadline passed after the request was forwarded.
        Deadline,
        /// The connection to the sidecar or the upstream was lost.
        ConnectionLost,
        /// The response ended early.
        Truncated,
        /// The response is malformed, has no valid framing or belongs to another request.
        #[serde(rename = "bad-answer")]
        BadResponse,
        /// The transfer made no progress within the stall timeout.
        Stalled,
        /// The caller stopped sending the request body.
        CallerGone,
        /// The backend server responded that it is shedding load.
        Shed,
    }

    /// Final outcome of a request.
    #[derive(Copy, Eq, Hash)]
    pub enum Outcome {
        /// The response of a backend server was passed on.
        Answered,
        /// Rejected, and certainly not run.
        NotRun(Rejection),
        /// Failed, and possibly run.
        MayHaveRun(Failure),
    }
}

/// `Retry-After` for short-lived conditions: a policy or a departure that has not reached every
/// daemon, or a dead connection that has not been detected yet.
const RETRY_AFTER_TRANSIENT: time::Duration = time::Duration::from_millis(700);
/// `Retry-After` when all slots are taken: several service times, so that retries do not meet the
/// same queue.
const RETRY_AFTER_OVERLOAD: time::Duration = time::Duration::from_millis(1500);

impl Outcome {
    /// Returns the value of the outcome header.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::outcome;
    /// let rejected = outcome::Outcome::NotRun(outcome::Rejection::QueueFull);
    /// assert_eq!(rejected.as_str(), "not-run");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::MayHaveRun(_) => "may-have-run",
        }
    }

    /// Returns the value of the reason header, or an empty string for [`Answered`](Self::Answered).
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Answered => "",
            Outcome::NotRun(rejection) => rejection.as_str(),
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

impl Rejection {
    /// All variants, for decoding and tests.
    pub const ALL: [Rejection; 24] = [
        Rejection::BadRequest,
        Rejection::UnknownKey,
        Rejection::Forbidden,
        Rejection::NoRoute,
        Rejection::RateLimited,
        Rejection::QueueFull,
        Rejection::WaitTooLong,
        Rejection::Draining,
        Rejection::NoUpstream,
        Rejection::Unreachable,
        Rejection::DeadlineBeforeRun,
        Rejection::PolicyBehind,
        Rejection::NoPolicy,
        Rejection::NotAuthorised,
        Rejection::Shed,
        Rejection::Misdirected,
        Rejection::BodyTooLarge,
        Rejection::Suspected,
        Rejection::Quarantined,
        Rejection::Limited,
        Rejection::OverBudget,
        Rejection::HeldBytes,
        Rejection::CallsRejected,
        Rejection::QuotaUnavailable,
    ];

    /// Returns the value of the reason header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Rejection::BadRequest => "bad-request",
            Rejection::UnknownKey => "unknown-key",
            Rejection::Forbidden => "forbidden",
            Rejection::NoRoute => "no-route",
            Rejection::RateLimited => "rate-limited",
            Rejection::QueueFull => "queue-full",
            Rejection::WaitTooLong => "wait-too-long",
            Rejection::Draining => "draining",
            Rejection::NoUpstream => "no-upstream",
            Rejection::Unreachable => "unreachable",
            Rejection::DeadlineBeforeRun => "deadline-before-run",
            Rejection::PolicyBehind => "policy-behind",
            Rejection::NoPolicy => "no-policy",
            Rejection::NotAuthorised => "not-authorised",
            Rejection::Shed => "shed",
            Rejection::Misdirected => "misdirected",
            Rejection::BodyTooLarge => "body-too-large",
            Rejection::Suspected => "doubtful",
            Rejection::Quarantined => "quarantined",
            Rejection::Limited => "limited",
            Rejection::OverBudget => "over-budget",
            Rejection::HeldBytes => "held-bytes",
            Rejection::CallsRejected => "calls-rejected",
            Rejection::QuotaUnavailable => "quota-unavailable",
        }
    }

    /// Parses the value of the reason header; `None` if it does not name a rejection.
    pub fn parse(text: &str) -> Option<Rejection> {
        Rejection::ALL.into_iter().find(|r| r.as_str() == text)
    }

    /// Returns whether the request was rejected for lack of capacity; a suspected upstream counts
    /// as lacking it.
    pub fn is_overload(&self) -> bool {
        use Rejection::{
            CallsRejected, HeldBytes, Limited, OverBudget, QueueFull, Suspected, WaitTooLong,
        };
        matches!(
            self,
            QueueFull | WaitTooLong | Suspected | Limited | OverBudget | HeldBytes | CallsRejected
        )
    }

    /// Returns whether the rejection shows that a service has fewer slots than it needs. An upstream
    /// that rejects a request itself may do so at random, and a denied retry may follow a failure.
    pub fn shows_missing_capacity(self) -> bool {
        use Rejection::{CallsRejected, Limited, QueueFull, WaitTooLong};
        matches!(self, QueueFull | WaitTooLong | Limited | CallsRejected)
    }

    /// Returns whether a backend server was contacted, although it did not run the request.
    pub fn reached_upstream(&self) -> bool {
        matches!(self, Rejection::Shed | Rejection::Misdirected)
    }

    /// Returns the HTTP status code for the caller.
    pub fn status(&self) -> u16 {
        match self {
            Rejection::BadRequest => 400,
            Rejection::UnknownKey => 401,
            Rejection::Forbidden | Rejection::NotAuthorised => 403,
            Rejection::NoRoute => 404,
            Rejection::BodyTooLarge => 413,
            Rejection::RateLimited => 429,
            _ => 503,
        }
    }

    /// Returns whether the sidecar or its upstream could not be used, rather than having decided
    /// against the request.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::outcome;
    /// assert!(outcome::Rejection::Draining.is_unavailable());
    /// assert!(!outcome::Rejection::WaitTooLong.is_unavailable());
    /// ```
    pub fn is_unavailable(self) -> bool {
        use Rejection::{Draining, Misdirected, NoUpstream, Unreachable};
        matches!(self, Draining | Misdirected | NoUpstream | Unreachable)
    }

    /// Returns the delay after which the caller may retry, or `None` if a retry cannot succeed.
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self.status() {
            429 => Some(RETRY_AFTER_OVERLOAD),
            503 if self.is_overload() => Some(RETRY_AFTER_OVERLOAD),
            503 if *self == Rejection::Quarantined => Some(quarantine::QUARANTINE_DURATION),
            503 => Some(RETRY_AFTER_TRANSIENT),
            _ => None,
        }
    }
}

impl Failure {
    /// All variants, for decoding and tests.
    pub const ALL: [Failure; 7] = [
        Failure::Deadline,
        Failure::ConnectionLost,
        Failure::Truncated,
        Failure::BadResponse,
        Failure::Stalled,
        Failure::CallerGone,
        Failure::Shed,
    ];

    /// Returns the value of the reason header.
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

    /// Parses the value of the reason header; `None` if it does not name a failure.
    pub fn parse(text: &str) -> Option<Failure> {
        Failure::ALL.into_iter().find(|f| f.as_str() == text)
    }

    /// Returns the HTTP status code for the caller.
    pub fn status(&self) -> u16 {
        match self {
            // 408 would promise that the request has not run.
            Failure::Deadline | Failure::Stalled | Failure::CallerGone => 504,
            _ => 502,
        }
    }
}
