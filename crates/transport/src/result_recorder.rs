//! Reports the result of one request to the outlier detector of its upstream.

use std::sync;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::upstream;

/// Records the result of a request in flight at an upstream. A request that waits for the upstream far
/// longer than the mean service time is counted as failed while still in flight; if it succeeds later,
/// the success is recorded as well. A request is counted as failed at most once. Dropping the recorder
/// without a result records nothing.
#[derive(Debug)]
pub struct ResultRecorder<C: clock::Clock> {
    upstream: sync::Arc<upstream::Upstream<C>>,
    /// Number among the requests that wait for the upstream; `None` while this one does not.
    waiting: Option<u64>,
    /// Whether a failure has been counted.
    is_failed: bool,
}

impl<C: clock::Clock> ResultRecorder<C> {
    /// Starts recording when a request is forwarded.
    pub fn start(upstream: &sync::Arc<upstream::Upstream<C>>) -> Self {
        let waiting = Some(upstream.in_flight.start(upstream.now()));
        Self { upstream: upstream.clone(), waiting, is_failed: false }
    }

    /// Records whether the request succeeded. A response that has succeeded with its head may still
    /// fail within its body.
    pub fn record(&mut self, success: bool) {
        self.pause();
        if success || !self.is_failed {
            self.upstream.record_result(success);
        }
        self.is_failed |= !success;
    }

    /// Records that the request does not wait for the upstream at present.
    pub fn pause(&mut self) {
        if let Some(number) = self.waiting.take() {
            self.is_failed |= !self.upstream.in_flight.end(number);
        }
    }

    /// Records that the request waits for the upstream, unless it does already.
    pub fn resume(&mut self) {
        if self.waiting.is_none() && !self.is_failed {
            self.waiting = Some(self.upstream.in_flight.start(self.upstream.now()));
        }
    }

    /// Records the end of a request without a response; counts as a failure only if the upstream is
    /// the cause.
    pub fn record_end(&mut self, end: retry::AttemptEnd) {
        use outcome::Failure::{BadResponse, ConnectionLost, Stalled, Truncated};
        match end {
            retry::AttemptEnd::MayHaveRun(BadResponse | ConnectionLost | Stalled | Truncated) => {
                self.record(false);
            }
            _ => self.pause(),
        }
    }
}

impl<C: clock::Clock> Drop for ResultRecorder<C> {
    fn drop(&mut self) {
        self.pause();
    }
}
