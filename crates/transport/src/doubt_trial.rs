//! One request as evidence on whether its upstream is failing.

use std::sync;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::upstream;

/// A request at an upstream whose result is still open. One that takes far longer than usual counts
/// as failed while it is still running; a late success counts as well when it comes.
#[derive(Debug)]
pub struct Trial<C: clock::Clock> {
    upstream: sync::Arc<upstream::Upstream<C>>,
    number: u64,
}

impl<C: clock::Clock> Trial<C> {
    /// Starts a trial at the hand-over of a request.
    pub fn start(upstream: &sync::Arc<upstream::Upstream<C>>) -> Self {
        Self { upstream: upstream.clone(), number: upstream.start_trial() }
    }

    /// Takes the result of the request.
    pub fn ended(&mut self, worked: bool) {
        let was_open = self.upstream.end_trial(self.number);
        if was_open || worked {
            self.upstream.record_result(worked);
        }
    }

    /// Ends the trial without a result.
    pub fn cancel(&mut self) {
        self.upstream.end_trial(self.number);
    }

    /// Takes an end without an answer; it tells nothing where the upstream was not at fault.
    pub fn failed(&mut self, ended: retry::AttemptEnd) {
        use outcome::Failure::{BadResponse, ConnectionLost, Stalled, Truncated};
        match ended {
            retry::AttemptEnd::MayHaveRun(BadResponse | ConnectionLost | Stalled | Truncated) => {
                self.ended(false);
            }
            _ => self.cancel(),
        }
    }
}

impl<C: clock::Clock> Drop for Trial<C> {
    fn drop(&mut self) {
        self.cancel();
    }
}
