//! The attempts of one request: selection of upstreams, hedges and retries, up to the final outcome.

use std::time;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::progress;
use lynxmast_state::retry;
use lynxmast_state::router;
use rand::Rng;

use crate::ingress;
use crate::ingress::hedge;
use crate::ingress::request_context;
use crate::outstanding_request;
use crate::response_body;

/// Options of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions {
    /// Whether another sidecar was asked before.
    pub is_redirected: bool,
    /// Whether an earlier attempt reached a backend server.
    pub is_retry: bool,
    /// Whether it is known that no earlier attempt has run the request.
    pub not_run: bool,
    /// Risk tolerance, which limits the failure probability of the upstream.
    pub risk: outlier::RiskTolerance,
    /// Whether another attempt may follow if this one is lost.
    pub may_retry: bool,
}

/// Longest random delay before a retry that follows a second failure.
const RETRY_DELAY_MAX: time::Duration = time::Duration::from_millis(25);

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Serves a request to its final outcome. A server error is retried where possible, and is
    /// returned to the caller if no later attempt succeeds.
    pub(super) async fn serve(
        &self,
        context: &request_context::RequestContext,
        progress: &mut progress::Progress,
    ) -> Result<http::Response<response_body::ResponseBody<C>>, retry::AttemptEnd> {
        let service = &context.route_match.service;
        self.deposit_retry_budget(service);
        let mut server_error = None;
        let result = self.run_attempts(context, progress, &mut server_error).await;
        result.or_else(|end| server_error.ok_or(end))
    }

    /// Makes attempts until one gets a response that is not retried, or no retry is possible.
    /// Server errors that are retried are left in `server_error`.
    async fn run_attempts(
        &self,
        context: &request_context::RequestContext,
        progress: &mut progress::Progress,
        server_error: &mut Option<http::Response<response_body::ResponseBody<C>>>,
    ) -> Result<http::Response<response_body::ResponseBody<C>>, retry::AttemptEnd> {
        let service = &context.route_match.service;
        self.check_quarantine(context).await?;
        loop {
            let outstanding = match self.pick_upstream(context, progress) {
                Ok(outstanding) => outstanding,
                // No further upstream can be tried. Once the suspected ones have been tried too,
                // the result of the last attempt is returned at once.
                Err(rejection) => {
                    if self.await_upstream(context, progress).await || progress.retry_suspected() {
                        continue;
                    }
                    let last_end =
                        progress.last_end.unwrap_or(retry::AttemptEnd::NotRun(rejection));
                    return Err(progress.may_have_run.unwrap_or(last_end));
                }
            };
            let (address, sidecar) =
                (outstanding.candidate.id.address, outstanding.candidate.sidecar);
            let started = self.shared.now();
            let result = self.attempt_with_hedge(context, outstanding, progress).await;
            self.log_attempt(context, address, sidecar, started, &result);
            let end = match result {
                Ok(response) if self.try_retry_server_error(context, &response, progress) => {
                    *server_error = Some(response);
                    let shed = retry::AttemptEnd::MayHaveRun(outcome::Failure::Shed);
                    progress.record_end(address, shed);
                    continue;
                }
                Ok(response) => return Ok(response),
                Err(end) => end,
            };
            progress.record_end(address, end);
            if end == retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost) {
                self.await_crash_reports(context).await;
            }
            if let Err(quarantined) = self.check_quarantine(context).await {
                progress.is_quarantined = true;
                return Err(progress.may_have_run.unwrap_or(quarantined));
            }
            if progress.is_denied() || !self.try_retry(context, end, progress.attempts, progress) {
                // A rejection of the last attempt does not prove that no earlier attempt was run.
                return Err(progress.may_have_run.unwrap_or(end));
            }
            metrics::counter!("lynxmast_retries_total", "service" => service.name.to_string())
                .increment(1);
            if progress.attempts > 1 && end.reached_upstream() {
                let delay = rand::rng().random_range(time::Duration::ZERO..RETRY_DELAY_MAX);
                tokio::time::sleep(delay).await;
            }
        }
    }

    /// Makes one attempt, and a parallel hedge if the first attempt is unusually slow and the
    /// request is idempotent.
    async fn attempt_with_hedge(
        &self,
        context: &request_context::RequestContext,
        first: outstanding_request::OutstandingRequest<C>,
        progress: &mut progress::Progress,
    ) -> Result<http::Response<response_body::ResponseBody<C>>, retry::AttemptEnd> {
        let risk = context.risk_tolerance(progress, self.may_probe(context));
        let may_retry = context.has_attempt_after_next(progress) && context.body.is_replayable();
        let (is_retry, not_run) = (progress.attempts > 0, progress.may_have_run.is_none());
        let is_redirected = progress.contacted() > 1;
        let options = AttemptOptions { is_redirected, is_retry, not_run, risk, may_retry };
        let mut primary = std::pin::pin!(self.try_upstream(context, first, options));
        let Some(hedge_delay) = self.hedge_delay(context) else { return primary.await };
        if let Ok(result) = tokio::time::timeout(hedge_delay, &mut primary).await {
            return result;
        }
        let Some(second) = self.pick_hedge(context, progress) else { return primary.await };
        metrics::counter!("lynxmast_hedges_total").increment(1);
        let hedge_options =
            AttemptOptions { is_redirected: true, is_retry: true, not_run: false, ..options };
        let hedge = self.try_upstream(context, second, hedge_options);
        let is_success = |response: &http::Response<_>| !response.status().is_server_error();
        let outcome = hedge::first_success(primary, hedge, is_success).await;
        progress.record_hedge(outcome.hedge_end);
        outcome.result
    }

    /// Selects an untried upstream. After a lost connection, an upstream that was tried may be
    /// selected again if no other is left.
    pub(super) fn pick_upstream(
        &self,
        context: &request_context::RequestContext,
        progress: &mut progress::Progress,
    ) -> Result<outstanding_request::OutstandingRequest<C>, outcome::Rejection> {
        if !progress.may_contact() {
            return Err(outcome::Rejection::NoUpstream);
        }
        let tried: Vec<_> = progress.tried().iter().copied().collect();
        let now = self.shared.now();
        let response_size = self.shared.response_sizes().expected(context.response_key());
        let criteria = router::Criteria {
            service: &context.route_match.service.name,
            floor: context.route_match.service.floor,
            floor_share: context.route_match.service.floor_share,
            may_probe: context.has_attempt_after_next(progress) && self.may_probe(context),
            use_avoided: progress.found_unavailable(),
            body_size: context.body_size,
            response_size,
            transfer_cost: context.route_match.service.transfer_cost_per_byte(),
            objective: context.objective_remaining(now),
            tried: &tried,
            now,
        };
        if progress.contacted() == 0 {
            self.shared.with_traffic(&context.route_match.service.name, |traffic| {
                traffic.demand.record(criteria.class(), criteria.transfer_seconds(), now);
            });
        }
        let mut router = self.shared.router();
        let mut picked = router.pick(&criteria, &mut rand::rng());
        let lost = retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost);
        if picked.is_none() && progress.last_end == Some(lost) {
            // The upstream itself may be healthy and reachable on a new connection.
            let with_tried = router::Criteria { tried: &[], ..criteria };
            picked = router.pick(&with_tried, &mut rand::rng());
        }
        drop(router);
        let candidate = picked.ok_or(outcome::Rejection::NoUpstream)?;
        progress.record_contact(candidate.id.address);
        Ok(outstanding_request::OutstandingRequest::new(self.shared.clone(), candidate))
    }
}
