//! Requests that an upstream has been sent and not answered, for overdue ones to be noticed.

use std::collections;
use std::sync;
use std::time;

/// Requests in flight that have not been counted as overdue.
#[derive(Debug, Default)]
pub struct InFlight(sync::Mutex<Pending>);

#[derive(Debug, Default)]
struct Pending {
    /// Number of the next request.
    next: u64,
    /// Number and start of each request, oldest first.
    requests: collections::VecDeque<(u64, time::Instant)>,
}

impl InFlight {
    /// Records that a request is forwarded, and returns the number that identifies it.
    pub fn start(&self, now: time::Instant) -> u64 {
        let mut pending = self.lock();
        let number = pending.next;
        pending.next += 1;
        pending.requests.push_back((number, now));
        number
    }

    /// Records the end of a request. Returns `false` if it was already taken as overdue or ended.
    pub fn end(&self, number: u64) -> bool {
        let mut pending = self.lock();
        let index = pending.requests.iter().position(|(pending, _)| *pending == number);
        index.and_then(|index| pending.requests.remove(index)).is_some()
    }

    /// Removes the oldest request if it was started at least `timeout` ago. Returns whether it was.
    pub fn take_overdue(&self, timeout: time::Duration, now: time::Instant) -> bool {
        let mut pending = self.lock();
        let oldest = pending.requests.front().map(|(_, started)| *started);
        let is_overdue = oldest.is_some_and(|at| now.saturating_duration_since(at) >= timeout);
        is_overdue && pending.requests.pop_front().is_some()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.lock().requests.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> sync::MutexGuard<'_, Pending> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
