//! Retries and hedges at the ingress: conditions, delays and the retry budget.

use std::time;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::policy::service;
use lynxmast_state::progress;
use lynxmast_state::retry;

use crate::ingress;
use crate::ingress::attempt;
use crate::ingress::request_context;
use crate::outstanding_request;

/// Mean number of retries left at the upstreams of a service from which a request may probe a
/// suspected one: the retry that it is likely to need is then granted by the first sidecar asked.
const SPARE_RETRIES: f64 = 1.0;
/// Shortest time before a hedge is sent.
const HEDGE_DELAY_MIN: time::Duration = time::Duration::from_millis(5);

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Credits the retry budget of a service for the first attempt of a request, unless the upstreams
    /// of the service keep it.
    pub(super) fn deposit_retry_budget(&self, service: &service::Service) {
        if service.retry_reserve.is_none() {
            let ratio = service.retry_ratio;
            self.shared.with_traffic(&service.name, |traffic| traffic.budget.deposit(ratio));
        }
    }

    /// Takes a retry or hedge from the budget. Returns `false` if none is left. A budget that the
    /// upstreams keep is charged where the retry arrives.
    fn withdraw_retry(&self, service: &service::Service) -> bool {
        service.retry_reserve.is_some()
            || self.shared.with_traffic(&service.name, |traffic| traffic.budget.withdraw())
    }

    /// Returns the probability that a request to a service is a call that a local backend server
    /// makes while serving a retry. A service does not call itself.
    pub(super) fn retry_probability(&self, service: &service::Service) -> f64 {
        let is_local = service.name == self.local_service();
        if is_local { 0.0 } else { self.sidecar.retry_probability() }
    }

    /// Returns whether to retry after a server error, and takes the retry from the budget if so.
    ///
    /// An error caused by a failed dependency is not retried: the call to the dependency was
    /// already retried where it failed, and another attempt would make all calls to dependencies
    /// again, each at the expense of the retry budget of the called service.
    pub(super) fn try_retry_server_error<B>(
        &self,
        context: &request_context::RequestContext,
        response: &http::Response<B>,
        progress: &mut progress::Progress,
    ) -> bool {
        let end = retry::AttemptEnd::MayHaveRun(outcome::Failure::Shed);
        let candidates = self.shared.router().candidates(&context.route_match.service.name).len();
        let dependency_failed = response.extensions().get::<attempt::DependencyError>().is_some();
        response.status().is_server_error()
            && !dependency_failed
            && (candidates > progress.tried().len() || self.startup_delay(context).is_some())
            && self.try_retry(context, end, progress.attempts + 1, progress)
    }

    /// Returns whether to make another attempt, and takes it from the retry budget if so. A retry
    /// after an attempt that reached no backend server costs no budget. `attempts` is the number of
    /// attempts that reached a backend server.
    pub(super) fn try_retry(
        &self,
        context: &request_context::RequestContext,
        end: retry::AttemptEnd,
        attempts: u32,
        progress: &mut progress::Progress,
    ) -> bool {
        let retry_context = retry::RetryContext {
            end,
            idempotent: context.idempotent,
            replayable: context.body.is_replayable(),
            attempts,
            attempts_max: context.route_match.route.attempts,
            remaining: context.deadline.saturating_duration_since(self.shared.now()),
        };
        if !retry::should_retry(&retry_context) {
            return false;
        }
        let has_budget =
            !end.reached_upstream() || self.withdraw_retry(&context.route_match.service);
        progress.over_budget |= !has_budget;
        has_budget
    }

    /// Returns whether the retry budget covers the retry that a probe of a suspected upstream is
    /// likely to need.
    pub(super) fn may_probe(&self, context: &request_context::RequestContext) -> bool {
        let service = &context.route_match.service;
        let is_shared = service.retry_reserve.is_some();
        self.shared.with_traffic(&service.name, |traffic| match is_shared {
            true => traffic.retries_left.value().is_some_and(|left| left >= SPARE_RETRIES),
            false => traffic.budget.has_spare(),
        })
    }

    /// Returns the time without a response after which a hedge is sent; `None` if the service does
    /// not hedge, the request is not idempotent, or no response times are known yet.
    pub(super) fn hedge_delay(
        &self,
        context: &request_context::RequestContext,
    ) -> Option<time::Duration> {
        let service = &context.route_match.service;
        let allowed = service.hedge && retry::is_safe_to_retry(None, context.idempotent);
        let latency = self.shared.with_traffic(&service.name, |t| t.latency_p95.value());
        let delay = latency.filter(|_| allowed).map(time::Duration::from_secs_f64)?;
        Some(delay.mul_f64(service.hedge_after).max(HEDGE_DELAY_MIN))
    }

    /// Selects the upstream of a hedge and takes the hedge from the retry budget; `None` if the
    /// body is not fully buffered, no attempt or budget is left, or there is no other upstream.
    pub(super) fn pick_hedge(
        &self,
        context: &request_context::RequestContext,
        progress: &mut progress::Progress,
    ) -> Option<outstanding_request::OutstandingRequest<C>> {
        let is_suspected = self.shared.quarantine().is_suspected_head(context.head_hash);
        let allowed = !is_suspected
            && context.body.is_complete()
            && progress.attempts + 1 < context.route_match.route.attempts;
        if !allowed || !self.withdraw_retry(&context.route_match.service) {
            return None;
        }
        self.pick_upstream(context, progress).ok()
    }
}
