//! Admission of one request to a local upstream, before anything is forwarded.

use std::sync;
use std::time;

use lynxmast_protocol::envelope;
use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::parent_admission;
use lynxmast_state::policy::service;
use lynxmast_state::priority;
use lynxmast_state::retry;
use lynxmast_state::running;
use lynxmast_state::upstream_budget;

use crate::sidecar;
use crate::sidecar::calls;
use crate::upstream;
use crate::upstream::retry_account;
use crate::upstream::slot;

/// Longest wait for the policy version that a request was routed with.
const POLICY_WAIT_MAX: time::Duration = time::Duration::from_millis(500);
const POLICY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl<C: clock::Clock> sidecar::Sidecar<C> {
    /// Waits for the policy version that the request was routed with, and for a slot. Returns the
    /// slot and the stall timeout of the service. Nothing is forwarded before it returns.
    pub(super) async fn admit(
        &self,
        envelope: &envelope::Envelope,
        upstream: &sync::Arc<upstream::Upstream<C>>,
        route: Option<parent_admission::RouteKey>,
        now: time::Instant,
        deadline: time::Instant,
    ) -> Result<(slot::Slot<C>, time::Duration), retry::AttemptEnd> {
        self.await_policy(envelope.policy, deadline).await.map_err(retry::AttemptEnd::NotRun)?;
        let policy = self.shared.policy();
        let service = policy.service(&envelope.upstream.service);
        let service = service.ok_or(retry::AttemptEnd::NotRun(outcome::Rejection::NoUpstream))?;
        if self.is_closing() {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::Draining));
        }
        let weight = policy.weight(&envelope.organisation);
        let organisation = envelope.organisation.clone();
        let objective = envelope.objective.map(|remaining| now + remaining);
        let priority =
            priority::Priority { rank: envelope.rank, objective, is_call: envelope.is_call };
        let risk = envelope.risk;
        let arrival = admission::Arrival { organisation, weight, deadline, priority, risk };
        if upstream.lease.is_expired(self.lease_duration, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::NoUpstream));
        }
        if !upstream.allows(envelope.risk, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::Suspected));
        }
        if !self.may_start(envelope, route, now) {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::CallsRejected));
        }
        let budget = self.fleet_budget(service);
        let withdrawn = budget.filter(|_| envelope.is_retry);
        if let Some(budget) = withdrawn
            && let need = calls::retry_need(envelope, &priority, upstream, now)
            && !upstream.retries.withdraw(&budget, &need, now)
        {
            metrics::counter!(
                "lynxmast_retries_denied_total",
                "service" => service.name.to_string(),
                "call" => if need.is_call { "true" } else { "false" }
            )
            .increment(1);
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::OverBudget));
        }
        let slot =
            upstream.admit(&arrival, envelope.is_redirected, now).await.map_err(|rejection| {
                if withdrawn.is_some() {
                    upstream.retries.refund();
                }
                retry::AttemptEnd::NotRun(rejection)
            })?;
        if let Some(budget) = budget.filter(|_| !envelope.is_retry) {
            upstream.retries.record_first_attempt(&budget, envelope.retry_probability, now);
        }
        let kind = match (envelope.is_retry, envelope.risk) {
            (true, _) => retry_account::RequestKind::Retry,
            (false, outlier::RiskTolerance::Probe | outlier::RiskTolerance::Any) => {
                retry_account::RequestKind::Retryable
            }
            (false, outlier::RiskTolerance::Avoid | outlier::RiskTolerance::Accept) => {
                retry_account::RequestKind::NotRetryable
            }
        };
        let organisation = envelope.organisation.clone();
        let rank = envelope.rank;
        let running = running::Running { deadline, organisation, rank, objective, route };
        self.record_start(route);
        let slot = slot.with_kind(kind).with_running(running);
        Ok((slot, service.stall))
    }

    /// Returns the retry budget that the upstreams of a service share; `None` if its ingresses keep
    /// one each.
    fn fleet_budget(&self, service: &service::Service) -> Option<upstream_budget::FleetBudget> {
        Some(upstream_budget::FleetBudget {
            ratio: service.retry_ratio,
            reserve: service.retry_reserve?,
            window: service.retry_window,
            upstreams: self.shared.upstream_count(&service.name),
        })
    }

    /// Waits until the active policy has at least the `required` version.
    ///
    /// # Errors
    ///
    /// Returns `PolicyBehind` if it has not by the deadline or within [`POLICY_WAIT_MAX`].
    async fn await_policy(
        &self,
        required: ids::PolicyVersion,
        deadline: time::Instant,
    ) -> Result<(), outcome::Rejection> {
        if self.shared.policy().version >= required {
            return Ok(());
        }
        self.policy_refresh.notify_one();
        let wait_until = deadline.min(self.shared.now() + POLICY_WAIT_MAX);
        while self.shared.now() < wait_until {
            tokio::time::sleep(POLICY_POLL_INTERVAL).await;
            if self.shared.policy().version >= required {
                return Ok(());
            }
        }
        Err(outcome::Rejection::PolicyBehind)
    }
}
