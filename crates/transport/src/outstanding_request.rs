//! Guard for a request that the router counts as outstanding at an upstream.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::response_size;
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
    /// Size of the response body so far, if its length is not known in advance.
    counted: Option<CountedBody>,
}

/// Response body whose size is recorded for its route once it has ended.
#[derive(Debug, Clone, Copy)]
struct CountedBody {
    route: response_size::RouteKey,
    size: u64,
}

impl<C: clock::Clock> OutstandingRequest<C> {
    /// Creates the guard of a request that the router already counts as outstanding at `candidate`.
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        candidate: router::Candidate,
    ) -> Self {
        let started = shared.now();
        Self { candidate, shared, result: None, started, counted: None }
    }

    /// Sets the result that the router gets when the request ends.
    pub fn set_result(&mut self, result: router::AttemptResult) {
        self.result = Some(result);
    }

    /// Records the size of the response body for its route: at once if it is known, otherwise at the
    /// end of the body.
    pub fn learn_size(&mut self, route: response_size::RouteKey, size: Option<u64>) {
        match size {
            Some(size) => self.shared.response_sizes().record(route, size, self.shared.now()),
            None => self.counted = Some(CountedBody { route, size: 0 }),
        }
    }

    /// Counts bytes of the response body.
    pub fn count_bytes(&mut self, length: usize) {
        if let Some(counted) = &mut self.counted {
            counted.size += length as u64;
        }
    }

    /// Records the size of a response body that has ended.
    pub fn end_body(&mut self) {
        if let Some(CountedBody { route, size }) = self.counted.take() {
            self.shared.response_sizes().record(route, size, self.shared.now());
        }
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
