//! Rejection of requests that crash the upstreams that run them.

use std::time;

use lynxmast_protocol::envelope;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::ingress;
use crate::ingress::request_context;
use crate::outstanding_request;

/// Longest wait before a request is sent again under which an upstream has crashed: within it, most
/// daemons learn of the crashes that others have found.
const CRASH_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Waits for news of other crashes before a retry if an upstream has crashed under a copy of the
    /// request. Takes at most a quarter of the time left.
    pub(super) async fn await_crash_reports(&self, context: &request_context::RequestContext) {
        if !context.idempotent || !self.shared.quarantine().is_suspected_head(context.head_hash) {
            return;
        }
        let remaining = context.deadline.saturating_duration_since(self.shared.now());
        tokio::time::sleep(CRASH_RETRY_DELAY.min(remaining / 4)).await;
    }

    /// Rejects a request whose copies have crashed upstreams. If only the head equals that of such a
    /// request, as much of the body is read as is needed to tell them apart.
    pub(super) async fn check_quarantine(
        &self,
        context: &request_context::RequestContext,
    ) -> Result<(), retry::AttemptEnd> {
        if !self.shared.quarantine().is_suspected_head(context.head_hash) {
            return Ok(());
        }
        let reading =
            tokio::time::timeout_at(context.deadline.into(), context.body.read_prefix()).await;
        if reading.is_err() {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::DeadlineBeforeRun));
        }
        // Without a fingerprint the body has failed, which the next attempt finds out.
        let Some(fingerprint) = context.fingerprint() else { return Ok(()) };
        let is_admitted = self.shared.quarantine().admit(&fingerprint, self.shared.now());
        let rejected = retry::AttemptEnd::NotRun(outcome::Rejection::Quarantined);
        is_admitted.then_some(()).ok_or(rejected)
    }

    /// Records that an upstream has responded to the request. After a server error it is not known
    /// whether the upstream has run it to its end.
    pub(super) fn record_response(
        &self,
        context: &request_context::RequestContext,
        status: http::StatusCode,
    ) {
        let Some(fingerprint) = context.fingerprint().filter(|_| !status.is_server_error()) else {
            return;
        };
        let is_cleared = self.shared.quarantine().record_response(fingerprint, self.shared.now());
        if is_cleared {
            self.shared.record_event(event::Kind::RequestCleared { fingerprint });
        }
    }

    /// Records that the upstream of an attempt has crashed while it ran the request, if the sidecar
    /// reports that.
    pub(super) async fn record_crash(
        &self,
        context: &request_context::RequestContext,
        report: &envelope::AttemptReport,
        outstanding: &outstanding_request::OutstandingRequest<C>,
    ) {
        let Some(incarnation) = report.crashed else { return };
        // The upstream may have crashed before it read the body.
        let reading = context.body.read_prefix();
        let _ = tokio::time::timeout_at(context.deadline.into(), reading).await;
        let Some(fingerprint) = context.fingerprint() else { return };
        let address = outstanding.candidate.id.address;
        let now = self.shared.now();
        let is_quarantined =
            self.shared.quarantine().record_crash(fingerprint, address, incarnation, now);
        if is_quarantined {
            self.shared.record_event(event::Kind::RequestQuarantined { fingerprint });
        }
    }
}
