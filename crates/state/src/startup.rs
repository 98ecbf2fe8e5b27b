//! Startup of a daemon, during which it may not have learned the policy and the upstreams yet.
//!
//! What a daemon does not know then is no reason to reject a request that has time to wait.

use std::time;

/// Startup of one daemon.
///
/// # Examples
///
/// ```
/// use lynxmast_state::startup;
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let startup = startup::Startup::new(start);
/// let (now, deadline) = (start + Duration::from_secs(1), start + Duration::from_secs(6));
/// assert!(startup.retry_delay(now, deadline, now).is_some());
/// let (now, deadline) = (start + Duration::from_secs(60), start + Duration::from_secs(66));
/// assert!(startup.retry_delay(now, deadline, now).is_none());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Startup {
    started: time::Instant,
}

/// Time after the start in which a daemon learns the policy, the other daemons and, from their
/// heartbeats, the upstreams.
const DURATION: time::Duration = time::Duration::from_secs(4);
/// Time between two attempts of a waiting request.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Largest fraction of its time for which a request waits, so that it can still be run.
const WAIT_FRACTION: f64 = 0.5;

impl Startup {
    /// Returns the startup of a daemon that has started at `started`.
    pub fn new(started: time::Instant) -> Self {
        Self { started }
    }

    /// Returns after what time a request that found no policy or no upstream is to be tried again;
    /// `None` if it is to be rejected.
    pub fn retry_delay(
        &self,
        arrived: time::Instant,
        deadline: time::Instant,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let is_starting = now.saturating_duration_since(self.started) < DURATION;
        let total = deadline.saturating_duration_since(arrived);
        let waited = now.saturating_duration_since(arrived);
        let may_wait = waited + RETRY_INTERVAL <= total.mul_f64(WAIT_FRACTION);
        (is_starting && may_wait).then_some(RETRY_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
