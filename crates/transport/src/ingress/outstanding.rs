//! Guard for a request that the router counts as outstanding at an upstream.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::router;
use lynxmast_state::shared_state;

/// An outstanding request. When dropped, it passes the result to the router: the one set by
/// [`OutstandingRequest::set_result`], or `Abandoned` if none was set.
#[derive(Debug)]
pub struct OutstandingRequest<C: clock::Clock> {
    /// Selected upstream.
    pub candidate: router::Candidate,
    shared: sync::Arc<shared_state::SharedState<C>>,
    result: Option<router::AttemptResult>,
    started: time::Instant,
}

impl<C: clock::Clock> OutstandingRequest<C> {
    /// Creates the guard of a request that the router already counts as outstanding at `candidate`.
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        candidate: router::Candidate,
    ) -> Self {
        let started = shared.now();
        Self { candidate, shared, result: None, started }
    }

    /// Sets the result that the router gets when the request ends.
    pub fn set_result(&mut self, result: router::AttemptResult) {
        self.result = Some(result);
    }
}

impl<C: clock::Clock> Drop for OutstandingRequest<C> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let id = &self.candidate.id;
        let after = now.saturating_duration_since(self.started);
        let result = self.result.unwrap_or(router::AttemptResult::Abandoned { after });
        let starts_backoff = self.shared.router().record_result(id, result, now);
        if starts_backoff {
            self.shared.record_event(event::Kind::UpstreamAvoided { upstream: id.clone() });
        }
    }
}
