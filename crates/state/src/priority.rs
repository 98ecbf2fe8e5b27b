//! Priority of queued requests while load exceeds the slots.
//!
//! Calls of running requests go before new requests, within the bounds of [`crate::precedence`]. A
//! response within its objective is worth most, so requests that can still meet theirs go next,
//! ordered by rank; late ones share the remaining slots. Without this order, once the queueing
//! delay exceeds the objective, every response would be late for as long as the overload lasts.

use std::time;

/// Priority of a request.
///
/// # Examples
///
/// ```
/// use lynxmast_state::priority;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mean = Duration::from_millis(200);
/// let on_time = priority::Priority {
///     rank: 2,
///     objective: Some(now + Duration::from_millis(500)),
///     is_call: false,
/// };
/// let late = priority::Priority { rank: 0, objective: Some(now), is_call: false };
/// assert!(on_time.order(mean, now) < late.order(mean, now));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Priority {
    /// Rank of the route; 0 is the highest priority.
    pub rank: u32,
    /// Time by which the response should arrive; `None` if its value does not depend on time.
    pub objective: Option<time::Instant>,
    /// Whether the request is a call of a request that is running: rejecting it wastes the work of
    /// that one.
    pub is_call: bool,
}

/// Class of a request at an upstream that is short of slots; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Request of a kind that is served too seldom.
    Underserved,
    /// Call of a running request.
    Call,
    /// Any other request.
    New,
}

/// Service order of a request; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    class: Class,
    is_late: bool,
    rank: u32,
}

impl Priority {
    /// Returns the order of a request that would start at `now` and run for `mean`, the mean
    /// service time, while no kind of request is served too seldom.
    pub fn order(&self, mean: time::Duration, now: time::Instant) -> Order {
        self.order_in(if self.is_call { Class::Call } else { Class::New }, mean, now)
    }

    /// Returns the order of a request of `class` that would start at `now` and run for `mean`, the
    /// mean service time.
    pub fn order_in(&self, class: Class, mean: time::Duration, now: time::Instant) -> Order {
        Order { class, is_late: !self.meets_objective(now + mean), rank: self.rank }
    }

    /// Returns the latest time at which a request that runs for `mean` can start and still meet its
    /// objective, or `None` if it is late at `now` or has no objective.
    pub fn latest_start(&self, mean: time::Duration, now: time::Instant) -> Option<time::Instant> {
        let latest = self.objective?.checked_sub(mean)?;
        (latest > now).then_some(latest)
    }

    /// Returns whether a response at `end` meets the objective; always `true` without one.
    pub fn meets_objective(&self, end: time::Instant) -> bool {
        self.objective.is_none_or(|objective| end <= objective)
    }
}

impl Order {
    /// Returns the class of the request.
    pub fn class(self) -> Class {
        self.class
    }
}

#[cfg(test)]
mod tests;
