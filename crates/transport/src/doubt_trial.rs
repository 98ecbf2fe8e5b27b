//! One request as evidence on whether its upstream is failing.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::upstream;

/// A request at an upstream whose result is still open. One that is given up counts against the
/// upstream only if it took far longer than usual.
#[derive(Debug)]
pub struct Trial<C: clock::Clock> {
    upstream: sync::Arc<upstream::Upstream<C>>,
    started: time::Instant,
    is_open: bool,
}

/// Multiple of the usual time from which a request without an answer counts as failed.
const OVERDUE_FACTOR: u32 = 4;
/// Shortest time after which a request without an answer counts as failed.
const OVERDUE_MIN: time::Duration = time::Duration::from_millis(500);

impl<C: clock::Clock> Trial<C> {
    /// Starts a trial at the hand-over of a request.
    pub fn start(upstream: &sync::Arc<upstream::Upstream<C>>, now: time::Instant) -> Self {
        Self { upstream: upstream.clone(), started: now, is_open: true }
    }

    /// Takes the result of the request.
    pub fn ended(&mut self, worked: bool) {
        self.is_open = false;
        self.upstream.record_result(worked);
    }

    /// Ends the trial without a result.
    pub fn cancel(&mut self) {
        self.is_open = false;
    }

    /// Takes an end without an answer; it tells nothing where the upstream was not at fault.
    pub fn failed(&mut self, ended: retry::Ended) {
        use outcome::Failure::{BadAnswer, ConnectionLost, Stalled, Truncated};
        match ended {
            retry::Ended::MayHaveRun(BadAnswer | ConnectionLost | Stalled | Truncated) => {
                self.ended(false);
            }
            retry::Ended::NotRun(_) => self.is_open = false,
            retry::Ended::MayHaveRun(_) => {}
        }
    }
}

impl<C: clock::Clock> Drop for Trial<C> {
    fn drop(&mut self) {
        let usual = self.upstream.service_time().unwrap_or_default();
        let patience = (usual * OVERDUE_FACTOR).max(OVERDUE_MIN);
        let waited = self.upstream.now().saturating_duration_since(self.started);
        if self.is_open && waited >= patience {
            self.upstream.record_result(false);
        }
    }
}
