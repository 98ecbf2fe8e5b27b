//! A single attempt at one upstream, through the local sidecar or that of another daemon.

use std::time;

use http::HeaderValue;
use http_body::Body;
use hyper::body as hyper_body;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header as names;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;
use lynxmast_state::router;

use crate::cutoff;
use crate::hop;
use crate::ingress;
use crate::ingress::attempts;
use crate::ingress::request_context;
use crate::outstanding_request;
use crate::peers;
use crate::request_body;
use crate::response_body;
use crate::stall_timeout;

type ResponseResult<C> = Result<http::Response<response_body::ResponseBody<C>>, retry::AttemptEnd>;

/// Time after the deadline for which the ingress still waits for the sidecar's report.
const REPORT_GRACE: time::Duration = time::Duration::from_millis(20);

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Sends the request to one upstream and waits for the response.
    pub(super) async fn try_upstream(
        &self,
        context: &request_context::RequestContext,
        mut outstanding: outstanding_request::OutstandingRequest<C>,
        options: attempts::AttemptOptions,
    ) -> ResponseResult<C> {
        let started = self.shared.now();
        let envelope = envelope::Envelope {
            upstream: outstanding.candidate.id.clone(),
            organisation: context.charged_organisation().clone(),
            time_left: context.deadline.saturating_duration_since(started),
            policy: context.policy_version,
            may_resend: context.may_resend(),
            is_redirected: options.is_redirected,
            is_retry: options.is_retry,
            not_run: options.is_retry && options.not_run,
            retry_probability: self.retry_probability(&context.route_match.service),
            risk: options.risk,
            rank: context.rank(),
            objective: context.objective_left(started),
            is_call: context.is_call(),
        };
        let response = if outstanding.candidate.daemon == self.own_daemon {
            self.send_to_local_sidecar(context, &envelope, &mut outstanding).await
        } else {
            self.send_to_peer(context, &envelope, options, &mut outstanding).await
        };
        let response = match response {
            Ok(response) => response,
            Err(end) => return Err(self.attribute_to_caller(context, end)),
        };
        self.record_response(context, response.status());
        if !response.status().is_server_error() {
            outstanding.learn_size(context.response_key(), response.body().exact_size());
        }
        let response = track(response, outstanding, context.deadline);
        let held = self.hold_response(context, response, options.may_retry).await;
        let response = held.map_err(retry::AttemptEnd::MayHaveRun)?;
        // Includes the time for which the response was held: every response that is held for longer
        // than the usual time to a head would be hedged otherwise.
        let elapsed = self.shared.now().saturating_duration_since(started);
        let service = &context.route_match.service.name;
        self.shared
            .with_traffic(service, |traffic| traffic.latency_p95.record(elapsed.as_secs_f64()));
        Ok(response)
    }

    async fn send_to_local_sidecar(
        &self,
        context: &request_context::RequestContext,
        envelope: &envelope::Envelope,
        outstanding: &mut outstanding_request::OutstandingRequest<C>,
    ) -> Result<http::Response<UntrackedBody<C>>, retry::AttemptEnd> {
        let request = build_request(context).map(request_body::RequestBody::Local);
        let attempt = self.sidecar.serve(envelope, request).await;
        let is_error = attempt.result.as_ref().is_ok_and(|r| r.status().is_server_error());
        self.record_report(&attempt.report, is_error, outstanding);
        self.record_crash(context, &attempt.report, outstanding).await;
        let dependency_failed = attempt.report.dependency_failed;
        let response = attempt.result.map(|response| response.map(UntrackedBody::Local));
        response.map(|response| mark_dependency_error(response, dependency_failed))
    }

    async fn send_to_peer(
        &self,
        context: &request_context::RequestContext,
        envelope: &envelope::Envelope,
        options: attempts::AttemptOptions,
        outstanding: &mut outstanding_request::OutstandingRequest<C>,
    ) -> Result<http::Response<UntrackedBody<C>>, retry::AttemptEnd> {
        let mut request = build_request(context);
        envelope.write(request.headers_mut());
        if let Ok(secret) = HeaderValue::from_str(&self.identity.secret) {
            request.headers_mut().insert(names::FLEET_SECRET, secret);
        }
        let sidecar = outstanding.candidate.sidecar;
        let sending = self.peers.send(sidecar, request, options.may_retry);
        let timeout = envelope.time_left + REPORT_GRACE;
        let sent = tokio::time::timeout(timeout, sending).await;
        let mut response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(peers::PeerError::Unreachable)) => {
                outstanding.set_result(router::AttemptResult::Unavailable);
                let daemon = &outstanding.candidate.daemon;
                self.shared.router().record_sidecar_failure(daemon, self.shared.now());
                return Err(retry::AttemptEnd::NotRun(outcome::Rejection::Unreachable));
            }
            // A lost connection to the sidecar is no evidence about the upstream behind it.
            Ok(Err(peers::PeerError::Lost(end))) => {
                outstanding.set_result(router::AttemptResult::Inconclusive);
                return Err(end);
            }
            Err(_) => return Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline)),
        };
        let malformed = retry::AttemptEnd::MayHaveRun(outcome::Failure::BadResponse);
        let report = envelope::AttemptReport::read(response.headers()).map_err(|_| malformed)?;
        self.record_report(&report, response.status().is_server_error(), outstanding);
        self.record_crash(context, &report, outstanding).await;
        if let Some(end) = report.end {
            return Err(end);
        }
        hop::strip_internal_headers(response.headers_mut());
        let timer = stall_timeout::StallTimer::for_response(context.deadline);
        let response = response.map(|incoming| {
            UntrackedBody::Remote(stall_timeout::StallTimeoutBody::new(incoming, timer))
        });
        Ok(mark_dependency_error(response, report.dependency_failed))
    }

    /// Passes the load, failure probability and result that a sidecar reported to the router, and
    /// requests a policy update if the sidecar has a newer version.
    fn record_report(
        &self,
        report: &envelope::AttemptReport,
        is_error: bool,
        outstanding: &mut outstanding_request::OutstandingRequest<C>,
    ) {
        let now = self.shared.now();
        let id = &outstanding.candidate.id;
        self.record_capacity(&id.service, report, now);
        if let Some(load) = report.load {
            let mut router = self.shared.router();
            router.record_load(id, load, now);
            router.record_room(id, report.room, now, &mut rand::rng());
        }
        if let Some(retries) = report.retries_left {
            self.shared.with_traffic(&id.service, |traffic| {
                traffic.retries_left.record(f64::from(retries), now);
            });
        }
        if let Some(incarnation) = report.leaving {
            self.shared.router().record_leaving(id, incarnation);
        }
        if let Some(percent) = report.failure_percent {
            self.shared.router().record_failure_probability(id, f64::from(percent) / 100.0, now);
        }
        if report.policy > self.shared.policy().version {
            self.sidecar.policy_refresh.notify_one();
        }
        use outcome::Failure::{CallerGone, Deadline, Stalled};
        use outcome::Rejection::Shed;
        outstanding.set_result(match (report.end, report.elapsed) {
            (None, Some(elapsed)) => router::AttemptResult::Responded { elapsed, is_error },
            (Some(retry::AttemptEnd::NotRun(rejection)), _) if rejection.is_unavailable() => {
                router::AttemptResult::Unavailable
            }
            (Some(retry::AttemptEnd::NotRun(Shed)), _) => router::AttemptResult::Failed,
            (Some(retry::AttemptEnd::NotRun(_)), _) => router::AttemptResult::Inconclusive,
            (Some(retry::AttemptEnd::MayHaveRun(CallerGone)), _) => {
                router::AttemptResult::Inconclusive
            }
            // No result is set, so the time waited counts as a lower bound of the upstream's
            // latency.
            (Some(retry::AttemptEnd::MayHaveRun(Deadline | Stalled)), _) => return,
            _ => router::AttemptResult::Failed,
        });
    }

    /// Returns `CallerGone` in place of a failure if the caller did not send its whole request
    /// body.
    fn attribute_to_caller(
        &self,
        context: &request_context::RequestContext,
        end: retry::AttemptEnd,
    ) -> retry::AttemptEnd {
        match end {
            retry::AttemptEnd::MayHaveRun(_) if context.body.has_failed() => {
                retry::AttemptEnd::MayHaveRun(outcome::Failure::CallerGone)
            }
            other => other,
        }
    }
}

/// Response extension: the server error was probably caused by a failed call to a dependency, which
/// the backend server made while serving the request.
#[derive(Debug, Clone, Copy)]
pub struct DependencyError;

fn mark_dependency_error<B>(
    mut response: http::Response<B>,
    dependency_failed: bool,
) -> http::Response<B> {
    if dependency_failed {
        response.extensions_mut().insert(DependencyError);
    }
    response
}

/// Response body before its [`outstanding_request::OutstandingRequest`] is attached.
enum UntrackedBody<C: clock::Clock> {
    Local(crate::exchange::SidecarBody<C>),
    Remote(stall_timeout::StallTimeoutBody),
}

impl<C: clock::Clock> UntrackedBody<C> {
    /// Returns the size of the body in bytes; `None` if it is not known in advance.
    fn exact_size(&self) -> Option<u64> {
        match self {
            UntrackedBody::Local(body) => body.size_hint().exact(),
            UntrackedBody::Remote(body) => body.size_hint().exact(),
        }
    }
}

fn build_request(
    context: &request_context::RequestContext,
) -> http::Request<crate::replay::AttemptBody> {
    let mut request = http::Request::new(context.body.attempt());
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = context.head.uri.clone();
    *request.headers_mut() = context.head.headers.clone();
    request
}

/// Attaches the outstanding request to the response body, so that it ends with the body. A body of
/// unknown length ends at the `deadline`, as it may have no end of its own.
fn track<C: clock::Clock>(
    response: http::Response<UntrackedBody<C>>,
    outstanding: outstanding_request::OutstandingRequest<C>,
    deadline: time::Instant,
) -> http::Response<response_body::ResponseBody<C>> {
    let cutoff = |size: hyper_body::SizeHint| match size.exact() {
        Some(_) => cutoff::Cutoff::default(),
        None => cutoff::Cutoff::at(deadline),
    };
    response.map(|untracked| match untracked {
        UntrackedBody::Local(body) => {
            let cutoff = cutoff(body.size_hint());
            response_body::ResponseBody::Local(body, outstanding, cutoff)
        }
        UntrackedBody::Remote(body) => {
            let cutoff = cutoff(body.size_hint());
            response_body::ResponseBody::Remote(body, outstanding, cutoff)
        }
    })
}
