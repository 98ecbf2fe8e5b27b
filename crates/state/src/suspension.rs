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
/// let mut detector = suspension::Detector::new(&clock);
/// clock.suspend(Duration::from_secs(3));
/// assert_eq!(detector.poll(&clock), Some(Duration::from_secs(3)));
/// assert_eq!(detector.poll(&clock), None);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Detector {
    reported: time::Duration,
}

/// Shortest suspension that is noticed: connections and beliefs outlast shorter ones, and the two
/// clocks that are compared are not read at the same moment.
const SUSPENSION_MIN: time::Duration = time::Duration::from_millis(250);

impl Detector {
    /// Starts with what has been suspended until now.
    pub fn new(clock: &impl clock::Clock) -> Self {
        Self { reported: clock.suspended() }
    }

    /// Returns how long the VM was suspended since the last time that this returned a time.
    pub fn poll(&mut self, clock: &impl clock::Clock) -> Option<time::Duration> {
        let suspended = clock.suspended();
        let gap = suspended.saturating_sub(self.reported);
        if gap < SUSPENSION_MIN {
            return None;
        }
        self.reported = suspended;
        Some(gap)
    }
}
