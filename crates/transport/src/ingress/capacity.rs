//! Rates at which the requests of a service are served and rejected at this ingress.

use std::time;

use lynxmast_protocol::envelope;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::ingress;

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Records what the report of a sidecar states about the capacity of a service.
    pub(super) fn record_capacity(
        &self,
        service: &ids::ServiceName,
        report: &envelope::AttemptReport,
        now: time::Instant,
    ) {
        self.shared.with_traffic(service, |traffic| match (report.end, report.load) {
            (None, _) => {
                let elapsed = report.elapsed.unwrap_or_default();
                traffic.drain_time.record_served(elapsed, now);
            }
            (Some(retry::AttemptEnd::NotRun(rejection)), Some(load))
                if rejection.shows_missing_capacity() =>
            {
                traffic.drain_time.record_queue(load, now);
            }
            _ => {}
        });
    }

    /// Returns when a caller whose request was rejected for lack of capacity may come back; `None`
    /// for other reasons or if the rate of the service is not known. Counts the request.
    pub(super) fn capacity_due(
        &self,
        service: &ids::ServiceName,
        rejection: outcome::Rejection,
    ) -> Option<time::Duration> {
        if !rejection.shows_missing_capacity() {
            return None;
        }
        let now = self.shared.now();
        self.shared.with_traffic(service, |traffic| {
            traffic.drain_time.record_rejected(now);
            traffic.drain_time.retry_after(now)
        })
    }
}
