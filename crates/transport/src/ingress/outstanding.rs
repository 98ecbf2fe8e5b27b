//! Guard for a request that the router counts as outstanding at an upstream.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::router;
use lynxmast_state::shared_state;

/// An outstanding request. When dropped, it reports the end of the request to the router: as set by
/// [`OutstandingRequest::set_report`], or as given up by default.
#[derive(Debug)]
pub struct OutstandingRequest<C: clock::Clock> {
    /// Selected upstream.
    pub candidate: router::Candidate,
    shared: sync::Arc<shared_state::SharedState<C>>,
    report: Option<router::AttemptResult>,
    started: time::Instant,
}

impl<C: clock::Clock> OutstandingRequest<C> {
    /// Wraps a request that the router already counts as outstanding at `candidate`.
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        candidate: router::Candidate,
    ) -> Self {
        let started = shared.now();
        Self { candidate, shared, report: None, started }
    }

    /// Sets the report that is sent to the router when the request ends.
    pub fn set_report(&mut self, report: router::AttemptResult) {
        self.report = Some(report);
    }
}

impl<C: clock::Clock> Drop for OutstandingRequest<C> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let id = &self.candidate.id;
        let after = now.saturating_duration_since(self.started);
        let report = self.report.unwrap_or(router::AttemptResult::Abandoned { after });
        let is_avoided = self.shared.router().record_result(id, report, now);
        if is_avoided {
            self.shared.record_event(event::Kind::UpstreamAvoided { upstream: id.clone() });
        }
    }
}
