//! Heartbeats that a daemon cannot accept soon after its start, as their senders may have left.
//!
//! A heartbeat may arrive seconds after it was sent. If its sender has departed since and the daemon has
//! restarted, only the departure that the earlier process acknowledged tells the heartbeat from one of a
//! running backend server.

use std::time;

use crate::ids;

/// Start of a process that does not know yet what earlier processes of its daemon have acknowledged.
///
/// # Examples
///
/// ```
/// use lynxmast_state::departures::history;
/// use std::time::{Duration, Instant, UNIX_EPOCH};
///
/// let (now, wall) = (Instant::now(), UNIX_EPOCH + Duration::from_millis(50_000));
/// let history = history::History::new(now, wall, Duration::from_secs(6));
/// assert_eq!(history.wait(20_000, now), Duration::from_secs(6));
/// assert_eq!(history.wait(20_000, now + Duration::from_secs(6)), Duration::ZERO);
/// assert_eq!(history.wait(50_000, now), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct History {
    started: time::Instant,
    /// Start in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Longest time for which a heartbeat may be on its way.
    delay_max: time::Duration,
}

/// Time in milliseconds before the start of the process from which on a backend server that has started
/// cannot have departed from an earlier process: it would have had to register there first.
const STARTED_TOGETHER_MS: u64 = 1000;

impl History {
    /// Returns the history of a process that has started at `started`, which is `wall` in wall-clock
    /// time. Heartbeats arrive at most `delay_max` after they were sent.
    pub fn new(started: time::Instant, wall: time::SystemTime, delay_max: time::Duration) -> Self {
        let since_epoch = wall.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Self { started, started_ms, delay_max }
    }

    /// Returns the time until a heartbeat of `incarnation` proves that its sender has not departed from
    /// an earlier process; zero if it does. The incarnation is the start of the backend server in
    /// milliseconds since the Unix epoch.
    pub fn wait(&self, incarnation: ids::Incarnation, now: time::Instant) -> time::Duration {
        if incarnation.saturating_add(STARTED_TOGETHER_MS) >= self.started_ms {
            return time::Duration::ZERO;
        }
        self.delay_max.saturating_sub(now.saturating_duration_since(self.started))
    }

    /// Returns whether no heartbeat can arrive any more that was sent before the process started.
    pub fn is_over(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.delay_max
    }
}

#[cfg(test)]
mod tests;
