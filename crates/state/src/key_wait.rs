//! Requests with an unknown key that wait for a newer version of the policy.
//!
//! A key that has just been added is unknown to daemons that do not have the new version yet. A
//! response with status 401 would make the caller discard a valid key.

use std::time;

use crate::ids;
use crate::outcome;

/// Requests that wait at one ingress.
///
/// # Examples
///
/// ```
/// use lynxmast_state::key_wait;
/// use std::time::Duration;
///
/// let mut waits = key_wait::KeyWaits::default();
/// let time_left = Duration::from_secs(1);
/// let lookup = key_wait::Lookup { version: 7, newest: 8, waited: Duration::ZERO, time_left };
/// assert!(waits.start(&lookup).is_ok());
/// let lookup = key_wait::Lookup { newest: 7, ..lookup };
/// assert!(waits.start(&lookup).is_err());
/// ```
#[derive(Debug, Default)]
pub struct KeyWaits {
    waiting: usize,
}

/// Search for a key that is not in the policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lookup {
    /// Version of the policy that does not have the key.
    pub version: ids::PolicyVersion,
    /// Newest version that is known to be active at a live daemon.
    pub newest: ids::PolicyVersion,
    /// Time for which the request has waited.
    pub waited: time::Duration,
    /// Time left until the deadline of the request.
    pub time_left: time::Duration,
}

/// Number of requests that wait at the same time. It bounds the memory that callers with wrong keys
/// can take while the versions of the daemons differ.
pub const WAITING_MAX: usize = 64;
/// Longest wait of a request.
pub const WAIT_MAX: time::Duration = time::Duration::from_millis(500);

impl KeyWaits {
    /// Starts the wait of a request whose key is unknown. Each successful call is to be followed by
    /// one of [`KeyWaits::end`].
    ///
    /// # Errors
    ///
    /// Returns `UnknownKey` if no newer version is known, and `PolicyBehind` if one is known but the
    /// request cannot wait for it.
    pub fn start(&mut self, lookup: &Lookup) -> Result<(), outcome::Rejection> {
        lookup.check()?;
        if self.waiting >= WAITING_MAX {
            return Err(outcome::Rejection::PolicyBehind);
        }
        self.waiting += 1;
        Ok(())
    }

    /// Ends the wait of a request.
    pub fn end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}

impl Lookup {
    /// Checks whether a request may wait, or wait longer, for a newer version.
    ///
    /// # Errors
    ///
    /// Returns `UnknownKey` if no newer version is known, and `PolicyBehind` if one is known but
    /// there is no time left to wait for it.
    pub fn check(&self) -> Result<(), outcome::Rejection> {
        if self.newest <= self.version {
            return Err(outcome::Rejection::UnknownKey);
        }
        if self.waited >= WAIT_MAX || self.time_left.is_zero() {
            return Err(outcome::Rejection::PolicyBehind);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
