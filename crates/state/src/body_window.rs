//! Bytes of request bodies that a backend server holds at the same time.
//!
//! A backend server keeps the body of a request while it runs the request, and crashes if the bodies
//! exceed its memory. Requests that would exceed the limit wait for others to end. At most one limit's
//! worth of bytes waits, so that further requests are sent to other backend servers at once.

use std::collections::VecDeque;

/// Bytes in flight to one backend server, and the requests that wait for them to end. `T` identifies a
/// waiting request.
#[derive(Debug)]
pub struct BodyWindow<T> {
    in_flight: u64,
    waiting: VecDeque<(u64, T)>,
}

/// Result of [`BodyWindow::enter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// The body counts as in flight.
    Granted,
    /// The request waits until [`BodyWindow::release`] returns it.
    Waiting,
    /// Too many bytes wait already.
    Full,
}

impl<T> Default for BodyWindow<T> {
    fn default() -> Self {
        Self { in_flight: 0, waiting: VecDeque::new() }
    }
}

impl<T> BodyWindow<T> {
    /// Lets in a request with a body of `size` bytes if at most `limit` bytes are in flight then. One
    /// request alone may exceed the limit, as it could not be served otherwise. Requests are let in in
    /// the order of their arrival, so that small ones do not keep a large one waiting.
    pub fn enter(&mut self, size: u64, limit: u64, ticket: T) -> Entry {
        if self.waiting.is_empty() && self.fits(size, limit) {
            self.in_flight += size;
            return Entry::Granted;
        }
        let waiting: u64 = self.waiting.iter().map(|(size, _)| size).sum();
        if !self.waiting.is_empty() && waiting.saturating_add(size) > limit {
            return Entry::Full;
        }
        self.waiting.push_back((size, ticket));
        Entry::Waiting
    }

    /// Ends a request with a body of `size` bytes. Returns the requests that are let in now, with their
    /// sizes.
    pub fn release(&mut self, size: u64, limit: u64) -> Vec<(u64, T)> {
        self.in_flight = self.in_flight.saturating_sub(size);
        let mut granted = Vec::new();
        while let Some((size, _)) = self.waiting.front()
            && self.fits(*size, limit)
            && let Some(next) = self.waiting.pop_front()
        {
            self.in_flight += next.0;
            granted.push(next);
        }
        granted
    }

    /// Removes waiting requests for which `is_waiting` does not hold any more.
    pub fn retain(&mut self, is_waiting: impl Fn(&T) -> bool) {
        self.waiting.retain(|(_, ticket)| is_waiting(ticket));
    }

    /// Returns the bytes in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    fn fits(&self, size: u64, limit: u64) -> bool {
        self.in_flight == 0 || self.in_flight.saturating_add(size) <= limit
    }
}

#[cfg(test)]
mod tests;
