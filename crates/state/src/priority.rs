//! Order among waiting requests when more comes than the slots can run.
//!
//! An answer within its objective is worth most, so requests that can still have one go first, by
//! rank; those that are late for it share what is left. Without this order a queue that has grown
//! past the objective answers everybody late for as long as the overload lasts.

use std::time;

/// How urgent a request is.
///
/// # Examples
///
/// ```
/// use lynxmast_state::priority;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mean = Duration::from_millis(200);
/// let on_time = priority::Priority { rank: 2, objective: Some(now + Duration::from_millis(500)) };
/// let late = priority::Priority { rank: 0, objective: Some(now) };
/// assert!(on_time.order(mean, now) < late.order(mean, now));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Priority {
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Time until which an answer is worth most; `None` if that does not depend on time.
    pub objective: Option<time::Instant>,
}

/// Place in the order of service; the smallest is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    is_late: bool,
    rank: u32,
}

impl Priority {
    /// Returns the place of a request that would start at `now` and takes `mean`.
    pub fn order(&self, mean: time::Duration, now: time::Instant) -> Order {
        Order { is_late: !self.is_met_by(now + mean), rank: self.rank }
    }

    /// Returns the last moment at which a request that takes `mean` can start and still meet its
    /// objective; `None` if it is late at `now`, or has no objective.
    pub fn latest_start(&self, mean: time::Duration, now: time::Instant) -> Option<time::Instant> {
        let latest = self.objective?.checked_sub(mean)?;
        (latest > now).then_some(latest)
    }

    /// Tells whether an answer at `end` meets the objective.
    pub fn is_met_by(&self, end: time::Instant) -> bool {
        self.objective.is_none_or(|objective| end <= objective)
    }
}

#[cfg(test)]
mod tests;
