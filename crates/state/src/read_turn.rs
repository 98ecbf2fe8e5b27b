//! Schedule of daemons that wait for news at the same source.
//!
//! A source that went silent cannot be told from one without news until a wait ends. The daemons
//! therefore end their waits one after the other: the fleet notices a silence within about
//! [`INTERVAL`], at the cost of one call per interval, however many daemons wait.

use std::time;

/// Turn of one daemon among those that wait at the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTurn {
    /// Number of waiting daemons before this one.
    pub position: usize,
    /// Number of waiting daemons, including this one.
    pub readers: usize,
}

/// Time between the turns of consecutive daemons; half the time in which a new configuration must
/// become active.
pub const INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Longest wait, however many daemons take turns.
pub const WAIT_MAX: time::Duration = time::Duration::from_secs(25);

impl ReadTurn {
    /// Returns how long the daemon should wait for news until its next turn ends, given the time of
    /// day. The daemons' clocks need to agree to a fraction of [`INTERVAL`] only.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::read_turn;
    /// use std::time::{Duration, SystemTime};
    ///
    /// let turn = read_turn::ReadTurn { position: 2, readers: 3 };
    /// assert_eq!(turn.wait(SystemTime::UNIX_EPOCH), Duration::from_secs(2));
    /// ```
    pub fn wait(&self, wall: time::SystemTime) -> time::Duration {
        let readers = u32::try_from(self.readers.max(1)).unwrap_or(u32::MAX);
        let position = u32::try_from(self.position).unwrap_or(u32::MAX).min(readers - 1);
        let cycle = INTERVAL.saturating_mul(readers).as_millis();
        let since_epoch = wall.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let elapsed = since_epoch.as_millis() % cycle;
        let turn = (INTERVAL * position).as_millis();
        let until = (turn + cycle - elapsed) % cycle;
        // A wait that has just ended in its turn, give or take the accuracy of timers and clocks,
        // is followed by one of a whole cycle.
        let until = if until < INTERVAL.as_millis() / 2 { until + cycle } else { until };
        time::Duration::from_millis(u64::try_from(until).unwrap_or(u64::MAX)).min(WAIT_MAX)
    }
}

#[cfg(test)]
mod tests;
