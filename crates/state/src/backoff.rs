//! Exponential back-off from upstreams that are unavailable to an ingress.

use std::time;

/// Back-off of one ingress from one upstream.
///
/// # Examples
///
/// ```
/// use lynxmast_state::backoff;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut backoff = backoff::Backoff::default();
/// backoff.record_failure(now);
/// assert!(backoff.is_active(now));
/// assert!(!backoff.is_active(now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
    until: Option<time::Instant>,
}

const BACKOFF_MIN: time::Duration = time::Duration::from_secs(1);
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(30);

impl Backoff {
    /// Starts a back-off after a failure. Each consecutive failure doubles its length, up to a
    /// maximum; failures during a back-off are ignored.
    pub fn record_failure(&mut self, now: time::Instant) {
        if self.is_active(now) {
            return;
        }
        let delay = BACKOFF_MIN.saturating_mul(1 << self.failures.min(10)).min(BACKOFF_MAX);
        self.failures += 1;
        self.until = Some(now + delay);
    }

    /// Ends the back-off and resets its length after a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.until = None;
    }

    /// Returns whether the upstream is to be avoided at `now`.
    pub fn is_active(&self, now: time::Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// Returns the end of the latest back-off, which may have passed, or `None` without failures
    /// since the last success.
    pub fn ends_at(&self) -> Option<time::Instant> {
        self.until
    }
}
