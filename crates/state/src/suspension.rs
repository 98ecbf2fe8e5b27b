//! Detection of VM suspensions, during which monotonic time stops while the rest of the fleet keeps
//! running.

use std::time;

use crate::clock;

/// Detects suspensions by comparing the clock's total suspended time with the total already
/// reported.
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

/// Shortest suspension that is reported. Connections and failure probabilities remain valid over
/// shorter ones, and the two clocks that are compared are not read at the same instant.
const SUSPENSION_MIN: time::Duration = time::Duration::from_millis(250);

impl Detector {
    /// Returns a detector that ignores suspensions up to now.
    pub fn new(clock: &impl clock::Clock) -> Self {
        Self { reported: clock.suspended() }
    }

    /// Returns how long the VM was suspended since the last reported suspension, or `None` if that
    /// is less than the minimum.
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
