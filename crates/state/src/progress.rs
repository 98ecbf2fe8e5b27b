//! Progress of one request across its attempts: what has been tried, and which conditions apply to
//! the next attempt.

use std::net;

use indexmap::IndexSet;

use crate::outcome;
use crate::retry;

/// State of one request across its attempts.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{outcome, progress, retry};
///
/// let mut progress = progress::Progress::default();
/// let address = "10.0.0.1:80".parse().unwrap();
/// progress.record_contact(address);
/// progress.record_end(address, retry::AttemptEnd::NotRun(outcome::Rejection::QueueFull));
/// assert_eq!((progress.contacted(), progress.attempts), (1, 0));
/// assert!(progress.may_contact() && progress.tried().contains(&address));
/// ```
#[derive(Debug, Default)]
pub struct Progress {
    /// Attempts that reached a backend server.
    pub attempts: u32,
    /// Whether the latest retry was not made because the retry budget was empty.
    pub over_budget: bool,
    /// Whether a retry was not made because the request crashes upstreams.
    pub is_quarantined: bool,
    /// End of the latest attempt that may have run the request.
    pub may_have_run: Option<retry::AttemptEnd>,
    /// End of the latest attempt.
    pub last_end: Option<retry::AttemptEnd>,
    /// Addresses of the upstreams already tried.
    tried: IndexSet<net::SocketAddr>,
    /// Those of the addresses whose backend server was contacted.
    reached: IndexSet<net::SocketAddr>,
    /// Sidecars to which the request was sent.
    contacted: u32,
    /// Value of `contacted` when suspicion was first ignored.
    contacted_before: u32,
    /// Upstreams to which the request was not forwarded because their sidecars suspect them of
    /// failing.
    suspected: Vec<net::SocketAddr>,
    /// Whether attempts tolerate suspected upstreams.
    ignores_suspicion: bool,
    /// Sidecars that have denied a retry because the budget of their upstream was used up.
    denials: u32,
}

/// Maximum number of sidecars to which one request is sent before it tolerates suspected upstreams,
/// and again after that.
const CONTACTED_MAX: u32 = 16;
/// Number of suspected upstreams after which others are expected to be suspected too.
const SUSPECTED_MAX: usize = 6;
/// Maximum number of sidecars that are asked for a retry.
const DENIALS_MAX: u32 = 8;

impl Progress {
    /// Returns the addresses of the upstreams that are not to be tried again.
    pub fn tried(&self) -> &IndexSet<net::SocketAddr> {
        &self.tried
    }

    /// Returns the number of sidecars to which the request was sent.
    pub fn contacted(&self) -> u32 {
        self.contacted
    }

    /// Returns whether attempts tolerate suspected upstreams.
    pub fn ignores_suspicion(&self) -> bool {
        self.ignores_suspicion
    }

    /// Returns whether the request may be sent to another sidecar.
    pub fn may_contact(&self) -> bool {
        self.contacted - self.contacted_before < CONTACTED_MAX
    }

    /// Returns whether so many sidecars have denied a retry that others are expected to deny it too.
    pub fn is_denied(&self) -> bool {
        self.denials >= DENIALS_MAX
    }

    /// Records that the request is sent to the sidecar of an upstream.
    pub fn record_contact(&mut self, upstream: net::SocketAddr) {
        self.tried.insert(upstream);
        self.contacted += 1;
    }

    /// Records an attempt that ended without a usable response.
    pub fn record_end(&mut self, upstream: net::SocketAddr, end: retry::AttemptEnd) {
        self.last_end = Some(end);
        if end.reached_upstream() {
            self.attempts += 1;
            self.reached.insert(upstream);
        }
        self.over_budget = end == retry::AttemptEnd::NotRun(outcome::Rejection::OverBudget);
        self.denials += u32::from(self.over_budget);
        if matches!(end, retry::AttemptEnd::MayHaveRun(_)) {
            self.may_have_run = Some(end);
        }
        if end == retry::AttemptEnd::NotRun(outcome::Rejection::Suspected) {
            self.suspected.push(upstream);
            if self.suspected.len() >= SUSPECTED_MAX {
                self.retry_suspected();
            }
        }
    }

    /// Counts a hedge as an attempt if it reached a backend server. `end` is `None` if it has a
    /// response or has not ended.
    pub fn record_hedge(&mut self, end: Option<retry::AttemptEnd>) {
        self.attempts += u32::from(end.is_none_or(retry::AttemptEnd::reached_upstream));
    }

    /// Returns whether the last sidecar could not be used, rather than being overloaded or
    /// suspecting its upstream. Another one that was unavailable before is then worth a try, while
    /// under overload the request is better rejected at once.
    pub fn found_unavailable(&self) -> bool {
        matches!(self.last_end, Some(retry::AttemptEnd::NotRun(last)) if last.is_unavailable())
    }

    /// Returns whether the request could succeed at an upstream that is not known yet: none was known,
    /// or the last one could not be used, is suspected or failed a request that may run again.
    pub fn could_succeed_elsewhere(&self, idempotent: bool) -> bool {
        let is_safe = retry::is_safe_to_retry(self.may_have_run, idempotent);
        let is_worth = match self.last_end {
            None | Some(retry::AttemptEnd::MayHaveRun(_)) => true,
            Some(retry::AttemptEnd::NotRun(last)) => {
                last.is_unavailable() || last == outcome::Rejection::Suspected
            }
        };
        is_worth && (is_safe || self.may_have_run.is_none())
    }

    /// Starts the search for an upstream anew, for a daemon that has learned of others meanwhile.
    /// Upstreams that were reached are not tried again.
    pub fn restart_search(&mut self) {
        self.tried.clone_from(&self.reached);
        self.suspected.clear();
        self.contacted_before = self.contacted;
    }

    /// Makes the suspected upstreams eligible again, for attempts that tolerate the suspicion.
    ///
    /// Returns `false` if there are none, or if this was done before.
    pub fn retry_suspected(&mut self) -> bool {
        if self.ignores_suspicion || self.suspected.is_empty() {
            return false;
        }
        self.ignores_suspicion = true;
        self.contacted_before = self.contacted;
        for address in std::mem::take(&mut self.suspected) {
            self.tried.swap_remove(&address);
        }
        true
    }
}

#[cfg(test)]
mod tests;
