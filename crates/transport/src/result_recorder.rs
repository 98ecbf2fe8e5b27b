//! Reports the result of one request to the outlier detector of its upstream.

use std::sync;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::upstream;

/// Records the result of a request in flight at an upstream. A request that takes far longer than
/// the mean service time is counted as failed while still in flight; if it succeeds later, the
/// success is recorded as well. Dropping the recorder without a result records nothing.
#[derive(Debug)]
pub struct ResultRecorder<C: clock::Clock> {
    upstream: sync::Arc<upstream::Upstream<C>>,
    number: u64,
}

impl<C: clock::Clock> ResultRecorder<C> {
    /// Starts recording when a request is forwarded.
    pub fn start(upstream: &sync::Arc<upstream::Upstream<C>>) -> Self {
        Self { upstream: upstream.clone(), number: upstream.start_request() }
    }

    /// Records whether the request succeeded.
    pub fn record(&mut self, success: bool) {
        let was_pending = self.upstream.end_request(self.number);
        if was_pending || success {
            self.upstream.record_result(success);
        }
    }

    /// Ends the recording without a result.
    pub fn cancel(&mut self) {
        self.upstream.end_request(self.number);
    }

    /// Records the end of a request without a response; counts as a failure only if the upstream is
    /// the cause.
    pub fn record_end(&mut self, end: retry::AttemptEnd) {
        use outcome::Failure::{BadResponse, ConnectionLost, Stalled, Truncated};
        match end {
            retry::AttemptEnd::MayHaveRun(BadResponse | ConnectionLost | Stalled | Truncated) => {
                self.record(false);
            }
            _ => self.cancel(),
        }
    }
}

impl<C: clock::Clock> Drop for ResultRecorder<C> {
    fn drop(&mut self) {
        self.cancel();
    }
}
