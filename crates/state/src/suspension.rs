//! Notices that the VM was suspended: monotonic time stood still, and the rest of the fleet went on.

use std::time;

use crate::clock;

/// Suspended time that has been noticed so far.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{clock, clock::Clock, suspension};
/// use std::time::Duration;
///
/// let clock = clock::ManualClock::new();
/// let mut suspension = suspension::Suspension::new(&clock);
/// clock.suspend(Duration::from_secs(3));
/// assert_eq!(suspension.notice(&clock), Some(Duration::from_secs(3)));
/// assert_eq!(suspension.notice(&clock), None);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Suspension {
    seen: time::Duration,
}

/// Shortest suspension that is noticed: connections and beliefs outlast shorter ones, and the two
/// clocks that are compared are not read at the same moment.
const NOTICED_FROM: time::Duration = time::Duration::from_millis(250);

impl Suspension {
    /// Starts with what has been suspended until now.
    pub fn new(clock: &impl clock::Clock) -> Self {
        Self { seen: clock.suspended() }
    }

    /// Returns how long the VM was suspended since the last time that this returned a time.
    pub fn notice(&mut self, clock: &impl clock::Clock) -> Option<time::Duration> {
        let suspended = clock.suspended();
        let gap = suspended.saturating_sub(self.seen);
        if gap < NOTICED_FROM {
            return None;
        }
        self.seen = suspended;
        Some(gap)
    }
}
