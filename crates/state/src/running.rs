//! Requests that are running at a backend server, and which of them made a call.
//!
//! A backend server passes the time that it has left to its calls, so a call expires with the
//! request that made it. No header names the parent.

use std::time;

use crate::ids;
use crate::parent_admission;

/// What is known about a running request.
#[derive(Debug, Clone, PartialEq)]
pub struct Running {
    /// Time until which the backend server was told to respond.
    pub deadline: time::Instant,
    /// Organisation that the request counts towards.
    pub organisation: ids::OrganisationName,
    /// Rank of the request.
    pub rank: u32,
    /// Time by which the response should arrive.
    pub objective: Option<time::Instant>,
    /// Route of the request; `None` if the sidecar's policy has none for it.
    pub route: Option<parent_admission::RouteKey>,
}

/// Identifies a running request.
pub type Number = u64;

/// Requests that are running at one backend server; at most one per slot.
///
/// # Examples
///
/// ```
/// use lynxmast_state::running;
/// use std::time::{Duration, Instant};
///
/// let deadline = Instant::now() + Duration::from_secs(4);
/// let parent =
///     running::Running { deadline, organisation: "mailers".into(), rank: 1, objective: None, route: None };
/// let mut requests = running::RunningRequests::default();
/// let number = requests.start(parent.clone());
/// assert_eq!(requests.find_parent(deadline + Duration::from_millis(3)), Some(&parent));
/// requests.end(number);
/// assert_eq!(requests.find_parent(deadline), None);
/// ```
#[derive(Debug, Default)]
pub struct RunningRequests {
    next: Number,
    requests: Vec<(Number, Running)>,
}

/// How much earlier than its parent a call may expire: the time left is rounded to milliseconds on
/// the way to the backend server and on the way back.
const EARLY_MAX: time::Duration = time::Duration::from_millis(5);
/// How much later than its parent a call may expire: its deadline counts from when it is read, which
/// takes several milliseconds on a busy VM with a tenth of a core.
const LATE_MAX: time::Duration = time::Duration::from_millis(20);

impl RunningRequests {
    /// Adds a request that is about to be forwarded.
    pub fn start(&mut self, request: Running) -> Number {
        let number = self.next;
        self.next += 1;
        self.requests.push((number, request));
        number
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, number: Number) {
        if let Some(index) = self.requests.iter().position(|(known, _)| *known == number) {
            self.requests.swap_remove(index);
        }
    }

    /// Returns the number of running requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the most urgent rank of the running requests; `None` if none is running.
    pub fn min_rank(&self) -> Option<u32> {
        self.requests.iter().map(|(_, running)| running.rank).min()
    }

    /// Returns whether no request is running.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the running request whose deadline is closest to that of a call; `None` if none
    /// coincides.
    pub fn find_parent(&self, deadline: time::Instant) -> Option<&Running> {
        let running = self.requests.iter().map(|(_, running)| running);
        let matching = running.filter(|running| {
            deadline + EARLY_MAX >= running.deadline && deadline <= running.deadline + LATE_MAX
        });
        matching.min_by_key(|running| distance(running.deadline, deadline))
    }
}

/// Returns the time between two times, whichever is the earlier.
pub fn distance(a: time::Instant, b: time::Instant) -> time::Duration {
    a.saturating_duration_since(b).max(b.saturating_duration_since(a))
}

#[cfg(test)]
mod tests;
