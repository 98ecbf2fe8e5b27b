//! A request outstanding at an upstream, as the router counts it.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::router;
use lynxmast_state::shared_state;

/// Tells the router that a request ended, whatever way it ends; as given up if nothing else is said.
#[derive(Debug)]
pub struct Outstanding<C: clock::Clock> {
    /// Upstream chosen.
    pub candidate: router::Candidate,
    shared: sync::Arc<shared_state::SharedState<C>>,
    report: Option<router::AttemptResult>,
    started: time::Instant,
}

impl<C: clock::Clock> Outstanding<C> {
    /// Takes over a request that the router counts as outstanding.
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        candidate: router::Candidate,
    ) -> Self {
        let started = shared.now();
        Self { candidate, shared, report: None, started }
    }

    /// Says how the request will have ended.
    pub fn will_end(&mut self, report: router::AttemptResult) {
        self.report = Some(report);
    }
}

impl<C: clock::Clock> Drop for Outstanding<C> {
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
