//! Admission of request bodies to a backend server with limited memory.

use std::time;

use http_body::Body;
use lynxmast_protocol::envelope;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::body_gate;
use crate::request_body;
use crate::sidecar;
use crate::upstream;

impl<C: clock::Clock> sidecar::Sidecar<C> {
    /// Waits until the upstream may hold the body of a request; `None` if that needs no permit. Nothing
    /// of the body is read before. A body of unknown length counts with the largest size that the
    /// policy allows.
    pub(super) async fn admit_body(
        &self,
        envelope: &envelope::Envelope,
        upstream: &upstream::Upstream<C>,
        body: &request_body::RequestBody,
        deadline: time::Instant,
    ) -> Result<Option<body_gate::BodyPermit>, retry::AttemptEnd> {
        if body.is_end_stream() {
            return Ok(None);
        }
        let policy = self.shared.policy();
        let service = policy.service(&envelope.upstream.service);
        let Some((limit, max_wait)) = service.and_then(|s| Some((s.body_bytes?, s.max_wait)))
        else {
            return Ok(None);
        };
        let size = body.size_hint().exact().unwrap_or(policy.limits.body_size);
        let until = deadline.min(self.shared.now() + max_wait);
        let entered = tokio::time::timeout_at(until.into(), upstream.body_gate.enter(size, limit));
        let permit = entered.await.unwrap_or(Err(outcome::Rejection::WaitTooLong));
        permit.map(Some).map_err(retry::AttemptEnd::NotRun)
    }
}
