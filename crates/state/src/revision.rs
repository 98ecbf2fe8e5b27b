//! Revisions of a record that the successive processes of a daemon write.
//!
//! A write that got no response may be executed after later ones. The store discards it, as its revision
//! is lower.

use std::time;

/// Number of a version of a record; later versions have higher ones.
pub type Revision = u64;

/// Source of revisions. They rise from process to process with the wall clock.
///
/// # Examples
///
/// ```
/// use lynxmast_state::revision;
/// use std::time::{Duration, UNIX_EPOCH};
///
/// let mut revisions = revision::Revisions::default();
/// let wall = UNIX_EPOCH + Duration::from_millis(50_000);
/// assert_eq!(revisions.next(wall), 50_000);
/// assert_eq!(revisions.next(wall), 50_001);
/// revisions.observe(60_000);
/// assert_eq!(revisions.next(wall), 60_001);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revisions {
    /// Highest revision that is known to be in use.
    last: Revision,
    /// Number of revisions to skip after the next conflict.
    step: u64,
}

/// Number of revisions to skip after the first conflict; doubles with each further one.
const STEP_FIRST: u64 = 1000;

impl Default for Revisions {
    fn default() -> Self {
        Self { last: 0, step: STEP_FIRST }
    }
}

impl Revisions {
    /// Returns the next revision at the time `wall`: milliseconds since the Unix epoch, or more if these
    /// are in use.
    pub fn next(&mut self, wall: time::SystemTime) -> Revision {
        let since_epoch = wall.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let now_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        self.last = now_ms.max(self.last.saturating_add(1));
        self.last
    }

    /// Notes that a revision is in use.
    pub fn observe(&mut self, revision: Revision) {
        self.last = self.last.max(revision);
    }

    /// Skips revisions after a conflict with a higher one, which an earlier process has used while the
    /// wall clock was ahead.
    pub fn skip(&mut self) {
        self.last = self.last.saturating_add(self.step);
        self.step = self.step.saturating_mul(2);
    }
}

#[cfg(test)]
mod tests;
