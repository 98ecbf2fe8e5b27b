//! A caller's request while it is being served.

use std::time;

use lynxmast_protocol::header_scheme;
use lynxmast_state::fingerprint;
use lynxmast_state::ids;
use lynxmast_state::outlier;
use lynxmast_state::policy::compiled;
use lynxmast_state::progress;
use lynxmast_state::response_size;

use crate::ingress::call_slot;
use crate::ingress::head;
use crate::replay;

/// A caller's request while it is being served.
#[derive(Debug)]
pub struct RequestContext {
    /// Route, service and organisation that the policy assigns to the request.
    pub route_match: compiled::RouteMatch,
    /// Version of the policy that routes the request.
    pub policy_version: ids::PolicyVersion,
    /// Hash of the head for the request's fingerprint.
    pub head_hash: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// `Content-Length` of the request in bytes; 0 if there is none.
    pub body_size: u64,
    /// Head as it is forwarded.
    pub head: http::request::Parts,
    /// Body, kept for further attempts while there is room.
    pub body: replay::ReplayBuffer,
    /// When the head had been read.
    pub arrived: time::Instant,
    /// When the caller stops waiting.
    pub deadline: time::Instant,
    /// Running request of which this one is probably a call.
    pub parent: Option<call_slot::Parent>,
    /// Place among the requests that count as calls although their parents are not known.
    pub call: Option<call_slot::CallSlot>,
}

impl RequestContext {
    /// Returns the request id sent by the caller, or `-` if there is none.
    pub fn id(&self, scheme: &header_scheme::HeaderScheme) -> &str {
        head::id_text(self.head.headers.get(&scheme.exchange_id))
    }

    /// Returns the request's fingerprint; `None` if too little of its body has arrived.
    pub fn fingerprint(&self) -> Option<fingerprint::Fingerprint> {
        self.body.body_hash().map(|body| fingerprint::Fingerprint { head: self.head_hash, body })
    }

    /// Returns whether a sidecar may send the request a second time on its own. A retry budget that
    /// the whole fleet shares does not count such resends, so services with a shared budget do not
    /// allow them.
    pub fn may_resend(&self) -> bool {
        self.idempotent && self.route_match.service.retry_reserve.is_none()
    }

    /// Returns whether a further attempt is allowed if the next one fails.
    pub fn has_attempt_after_next(&self, progress: &progress::Progress) -> bool {
        self.idempotent && progress.attempts + 1 < self.route_match.route.attempts
    }

    /// Returns the risk tolerance of the next attempt, which limits the failure probability of its
    /// upstream. `may_probe` states whether the retry budget covers the retry that a probe is
    /// likely to need.
    pub fn risk_tolerance(
        &self,
        progress: &progress::Progress,
        may_probe: bool,
    ) -> outlier::RiskTolerance {
        match progress.ignores_suspicion() {
            true if self.idempotent => outlier::RiskTolerance::Any,
            true => outlier::RiskTolerance::Accept,
            false if may_probe && self.has_attempt_after_next(progress) => {
                outlier::RiskTolerance::Probe
            }
            false => outlier::RiskTolerance::Avoid,
        }
    }

    /// Returns the key under which the sizes of the route's responses are learned.
    pub fn response_key(&self) -> response_size::RouteKey {
        let compiled::RouteMatch { route, service, .. } = &self.route_match;
        response_size::route_key(&service.name, route)
    }

    /// Returns the time left to meet the latency objective of the route, zero if it is missed;
    /// `None` if the route has no objective.
    pub fn objective_remaining(&self, now: time::Instant) -> Option<time::Duration> {
        let objective = self.route_match.route.objective;
        let until = Some(self.arrived + objective).filter(|_| !objective.is_zero())?;
        Some(until.saturating_duration_since(now))
    }
}
