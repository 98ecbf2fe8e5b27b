//! Log lines and metrics of the requests at the ingress.

use std::net;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::policy::compiled;
use lynxmast_state::progress;
use lynxmast_state::quota::spender;
use lynxmast_state::retry;

use crate::ingress;
use crate::ingress::head;
use crate::ingress::request_context;

/// Number of successful requests skipped between two that are logged, so that a busy daemon logs
/// one every few seconds at most.
pub const SUCCESSES_SKIPPED: u64 = 200;

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Records the duration of a request, by service and outcome.
    pub(super) fn record_duration<B>(
        &self,
        context: &request_context::RequestContext,
        result: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let (outcome, _) = outcome_of(result);
        let elapsed = self.shared.now().saturating_duration_since(context.arrived);
        metrics::histogram!(
            "lynxmast_request_seconds",
            "service" => context.route_match.service.name.to_string(),
            "outcome" => outcome.as_str()
        )
        .record(elapsed.as_secs_f64());
    }

    /// Logs a sample of the successful requests, with the number skipped since the last one.
    pub(super) fn log_success(
        &self,
        context: &request_context::RequestContext,
        progress: &progress::Progress,
        status: u16,
    ) {
        let Some(skipped) = self.success_sampler.sample() else { return };
        let elapsed = self.shared.now().saturating_duration_since(context.arrived);
        log::info!(
            event = "served",
            id = context.id(&self.identity.header_scheme),
            service = &*context.route_match.service.name,
            route = &*context.route_match.route.path,
            policy = context.policy_version,
            status,
            attempts = progress.attempts,
            asked = progress.contacted(),
            took_ms = elapsed.as_millis() as u64,
            left_out = skipped;
            "request served"
        );
    }

    /// Logs a failed request with the values that decided its outcome, or samples a successful one.
    pub(super) fn log_request<B>(
        &self,
        context: &request_context::RequestContext,
        progress: &progress::Progress,
        result: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let (outcome, status) = outcome_of(result);
        if is_success(outcome, status) {
            return self.log_success(context, progress, status);
        }
        let now = self.shared.now();
        self.sidecar.record_call_failure(now);
        log::info!(
            event = "request",
            id = context.id(&self.identity.header_scheme),
            service = &*context.route_match.service.name,
            route = &*context.route_match.route.path,
            policy = context.policy_version,
            outcome = outcome.as_str(),
            reason = outcome.reason(),
            status,
            attempts = progress.attempts,
            asked = progress.contacted(),
            over_budget = progress.over_budget,
            quarantined = progress.is_quarantined,
            call = context.is_call(),
            rank = context.rank(),
            took_ms = now.saturating_duration_since(context.arrived).as_millis() as u64,
            left_ms = context.deadline.saturating_duration_since(now).as_millis() as u64;
            "request failed"
        );
    }

    /// Logs a request that the ingress rejects before it is routed, with the policy version by which
    /// it did, and the newest one that it knows of.
    pub(super) fn log_rejection(
        &self,
        id: Option<&http::HeaderValue>,
        rejection: outcome::Rejection,
    ) {
        let outcome = outcome::Outcome::NotRun(rejection);
        log::info!(
            event = "request",
            id = head::id_text(id),
            outcome = outcome.as_str(),
            reason = outcome.reason(),
            policy = self.shared.policy().version,
            newest = self.shared.membership().newest_policy(self.shared.now());
            "request rejected by ingress"
        );
    }

    /// Logs a failed attempt.
    pub(super) fn log_attempt<B>(
        &self,
        context: &request_context::RequestContext,
        upstream: net::SocketAddr,
        sidecar: net::SocketAddr,
        started: time::Instant,
        result: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let (outcome, status) = outcome_of(result);
        if is_success(outcome, status) {
            return;
        }
        let fingerprint = context.fingerprint();
        log::info!(
            event = "attempt",
            id = context.id(&self.identity.header_scheme),
            fingerprint:% = fingerprint.map_or_else(String::new, |known| known.to_string()),
            upstream:% = upstream,
            gate:% = sidecar,
            outcome = outcome.as_str(),
            reason = outcome.reason(),
            status,
            took_ms = self.shared.now().saturating_duration_since(started).as_millis() as u64;
            "attempt failed"
        );
    }
}

/// Returns the outcome of a request or attempt and the HTTP status of its response; 0 if there is
/// none.
fn outcome_of<B>(result: &Result<http::Response<B>, retry::AttemptEnd>) -> (outcome::Outcome, u16) {
    match result {
        Ok(response) => (outcome::Outcome::Answered, response.status().as_u16()),
        Err(end) => (end.outcome(), 0),
    }
}

/// Returns whether there is a response that is not a server error.
fn is_success(outcome: outcome::Outcome, status: u16) -> bool {
    outcome == outcome::Outcome::Answered && status < 500
}

/// Logs a request that was rejected under the quota of its organisation.
pub fn log_over_quota(
    id: Option<&http::HeaderValue>,
    route_match: &compiled::RouteMatch,
    refusal: spender::Refusal,
    outcome: outcome::Outcome,
) {
    let quota = route_match.quota;
    log::info!(
        event = "request",
        id = head::id_text(id),
        outcome = outcome.as_str(),
        reason = outcome.reason(),
        organisation = &*route_match.organisation,
        rate = quota.map_or(0.0, |limit| limit.rate),
        burst = quota.map_or(0.0, |limit| limit.burst),
        owner = if refusal.is_unreachable { "no-response" } else { "responds" },
        room_ms = refusal.room.as_millis() as u64;
        "request rejected by ingress"
    );
}

/// Counts a request by service, outcome and reason.
pub fn count_outcome(service: &str, outcome: outcome::Outcome) {
    metrics::counter!(
        "lynxmast_requests_total",
        "service" => service.to_owned(),
        "outcome" => outcome.as_str(),
        "reason" => outcome.reason()
    )
    .increment(1);
}
