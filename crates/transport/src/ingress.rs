//! Ingress: accepts callers' requests, selects upstreams, retries failed attempts and responds.

mod attempt;
mod authentication;
mod call;
mod capacity;
mod head;
mod hedge;
mod hold;
mod quarantine;
mod retries;
mod spillover;
mod telemetry;

use std::net;
use std::sync;
use std::time;

use http::request;
use hyper::body::Incoming;
use lynxmast_protocol::header as names;
use lynxmast_protocol::header_scheme;
use lynxmast_state::byte_budget;
use lynxmast_state::clock;
use lynxmast_state::fingerprint;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::policy::compiled;
use lynxmast_state::progress;
use lynxmast_state::quota::spender;
use lynxmast_state::response_size;
use lynxmast_state::retry;
use lynxmast_state::router;
use lynxmast_state::sampling;
use lynxmast_state::shared_state;
use rand::Rng;

use crate::error_response;
use crate::hop;
use crate::incoming_body;
use crate::outstanding_request;
use crate::peers;
use crate::replay;
use crate::response_body;
use crate::server;
use crate::sidecar;

/// Ingress of one daemon.
#[derive(Debug)]
pub struct Ingress<C: clock::Clock> {
    shared: sync::Arc<shared_state::SharedState<C>>,
    sidecar: sync::Arc<sidecar::Sidecar<C>>,
    peers: peers::Peers,
    own_daemon: ids::DaemonName,
    identity: Identity,
    fingerprint_key: fingerprint::Key,
    key_waits: authentication::SharedWaits,
    calls: call::CallCount,
    /// Samples the successful requests that are logged.
    success_sampler: sampling::Sampler,
    spillover: spillover::PlanUpdates,
}

/// Settings with which an ingress identifies itself to other daemons, callers and backend servers.
#[derive(Debug, Clone, Default)]
pub struct Identity {
    /// Shared secret that authenticates daemons to each other.
    pub secret: String,
    /// Service of the local backend server; empty if none is configured. It changes when the VM gets a
    /// backend server of another service.
    pub service: sync::Arc<sync::RwLock<ids::ServiceName>>,
    /// Names and units of the headers exchanged with callers and backend servers.
    pub header_scheme: sync::Arc<header_scheme::HeaderScheme>,
}

/// A caller's request while it is being served.
#[derive(Debug)]
struct RequestContext {
    /// Route, service and organisation that the policy assigns to the request.
    route_match: compiled::RouteMatch,
    policy_version: ids::PolicyVersion,
    /// Hash of the head for the request's fingerprint.
    head_hash: u64,
    idempotent: bool,
    /// `Content-Length` of the request in bytes; 0 if there is none.
    body_size: u64,
    head: http::request::Parts,
    body: replay::ReplayBuffer,
    arrived: time::Instant,
    deadline: time::Instant,
    /// Running request of which this one is probably a call.
    parent: Option<call::Parent>,
    /// Place among the requests that count as calls although their parents are not known.
    call: Option<call::CallSlot>,
}

impl RequestContext {
    /// Returns the request id sent by the caller, or `-` if there is none.
    fn id(&self, scheme: &header_scheme::HeaderScheme) -> &str {
        telemetry::id_text(self.head.headers.get(&scheme.exchange_id))
    }

    /// Returns the request's fingerprint; `None` if too little of its body has arrived.
    fn fingerprint(&self) -> Option<fingerprint::Fingerprint> {
        self.body.body_hash().map(|body| fingerprint::Fingerprint { head: self.head_hash, body })
    }

    /// Returns whether a sidecar may send the request a second time on its own. A retry budget that
    /// the whole fleet shares does not count such resends, so services with a shared budget do not
    /// allow them.
    fn may_resend(&self) -> bool {
        self.idempotent && self.route_match.service.retry_reserve.is_none()
    }

    /// Returns whether a further attempt is allowed if the next one fails.
    fn has_attempt_after_next(&self, progress: &progress::Progress) -> bool {
        self.idempotent && progress.attempts + 1 < self.route_match.route.attempts
    }

    /// Returns the risk tolerance of the next attempt, which limits the failure probability of its
    /// upstream. `may_probe` states whether the retry budget covers the retry that a probe is
    /// likely to need.
    fn risk_tolerance(
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
    fn response_key(&self) -> response_size::RouteKey {
        let compiled::RouteMatch { route, service, .. } = &self.route_match;
        response_size::route_key(&service.name, route)
    }

    /// Returns the time left to meet the latency objective of the route, zero if it is missed;
    /// `None` if the route has no objective.
    fn objective_remaining(&self, now: time::Instant) -> Option<time::Duration> {
        let objective = self.route_match.route.objective;
        let until = Some(self.arrived + objective).filter(|_| !objective.is_zero())?;
        Some(until.saturating_duration_since(now))
    }
}

/// Options of one attempt.
#[derive(Debug, Clone, Copy)]
struct AttemptOptions {
    /// Whether another sidecar was asked before.
    is_redirected: bool,
    /// Whether an earlier attempt reached a backend server.
    is_retry: bool,
    /// Whether it is known that no earlier attempt has run the request.
    not_run: bool,
    /// Risk tolerance, which limits the failure probability of the upstream.
    risk: outlier::RiskTolerance,
    /// Whether another attempt may follow if this one is lost.
    may_retry: bool,
}

/// Timeout assumed for requests that state none while there is no policy.
const POLICY_WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Longest random delay before a retry that follows a second failure.
const RETRY_DELAY_MAX: time::Duration = time::Duration::from_millis(25);
/// Shortest `Retry-After` of a request that was rejected for the limits of upstreams.
const RETRY_AFTER_MIN: time::Duration = time::Duration::from_millis(250);

impl<C: clock::Clock> Ingress<C> {
    /// Creates the ingress of a daemon; requests to local upstreams go through `sidecar`.
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        sidecar: sync::Arc<sidecar::Sidecar<C>>,
        identity: Identity,
    ) -> Self {
        let own_daemon = shared.membership().own_record().daemon.clone();
        let peers = peers::Peers::default();
        let success_sampler = sampling::Sampler::new(telemetry::SUCCESSES_SKIPPED);
        let fingerprint_key = fingerprint::Key::from_secret(&identity.secret);
        let spillover = spillover::PlanUpdates::default();
        Self {
            shared,
            sidecar,
            peers,
            own_daemon,
            identity,
            fingerprint_key,
            key_waits: Default::default(),
            calls: Default::default(),
            success_sampler,
            spillover,
        }
    }

    /// Serves one caller's request. Rejections and failures are returned as HTTP responses too.
    pub async fn serve_caller(
        &self,
        request: http::Request<incoming_body::IncomingBody>,
    ) -> http::Response<response_body::ResponseBody<C>> {
        let scheme = &self.identity.header_scheme;
        let id = request.headers().get(&scheme.exchange_id).cloned();
        let arrived = self.shared.now();
        self.await_policy(&request, arrived).await;
        let context = match self.accept(request, arrived).await {
            Ok(context) => context,
            Err(rejection) => {
                let outcome = outcome::Outcome::NotRun(rejection);
                self.log_rejection(id.as_ref(), rejection);
                telemetry::count_outcome("", outcome);
                return error_response::for_outcome(outcome, None, scheme);
            }
        };
        if let Err(refusal) = self.check_quota(&context).await {
            let outcome = outcome::Outcome::NotRun(match refusal.is_unreachable {
                true => outcome::Rejection::QuotaUnavailable,
                false => outcome::Rejection::RateLimited,
            });
            telemetry::log_over_quota(id.as_ref(), &context.route_match, refusal, outcome);
            telemetry::count_outcome("", outcome);
            return error_response::for_outcome(outcome, Some(refusal.room), scheme);
        }
        let service = context.route_match.service.name.clone();
        let mut progress = progress::Progress::default();
        let result = self.serve(&context, &mut progress).await;
        self.log_request(&context, &progress, &result);
        self.record_duration(&context, &result);
        self.record_call_end(&context, &result);
        match result {
            Ok(mut response) => {
                let outcome = outcome::Outcome::Answered;
                telemetry::count_outcome(&service, outcome);
                let value = http::HeaderValue::from_static(outcome.as_str());
                response.headers_mut().insert(names::OUTCOME, value);
                response
            }
            Err(end) => {
                telemetry::count_outcome(&service, end.outcome());
                error_response::for_outcome(end.outcome(), self.next_room(&service, end), scheme)
            }
        }
    }

    /// Returns when a caller that was rejected for the limits of upstreams, or for lack of capacity,
    /// may come back.
    fn next_room(
        &self,
        service: &ids::ServiceName,
        end: retry::AttemptEnd,
    ) -> Option<time::Duration> {
        let retry::AttemptEnd::NotRun(rejection) = end else { return None };
        if rejection != outcome::Rejection::Limited {
            return self.capacity_due(service, rejection);
        }
        let room = self.shared.router().next_room(service, self.shared.now());
        room.map(|wait| wait.max(RETRY_AFTER_MIN))
    }

    /// Returns the service of the local backend server.
    fn local_service(&self) -> ids::ServiceName {
        self.identity.service.read().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Does periodic work: closes connections to sidecars of daemons that have left the membership, and
    /// updates the load report and the plans of requests that leave the failure domain.
    pub fn tick(&self) {
        let sidecars: Vec<_> =
            self.shared.membership().all_records().map(|record| record.sidecar).collect();
        self.peers.retain(&sidecars);
        self.update_plans();
    }

    /// Validates, routes and authorises a request, applies the size limit, and prepares the
    /// head for forwarding.
    async fn accept(
        &self,
        request: http::Request<incoming_body::IncomingBody>,
        arrived: time::Instant,
    ) -> Result<RequestContext, outcome::Rejection> {
        let (mut head, incoming) = request.into_parts();
        let scheme = &self.identity.header_scheme;
        let authentication::Authenticated { policy, parsed, route_match } =
            self.authenticate(&head, arrived).await?;
        let body_size = content_length(&head.headers).unwrap_or(0);
        if body_size > policy.limits.body_size {
            return Err(outcome::Rejection::BodyTooLarge);
        }
        if !self.shared.held_bytes.with(|budget| budget.admits_request(body_size)) {
            return Err(outcome::Rejection::HeldBytes);
        }
        let timeout = parsed
            .timeout
            .map_or(route_match.route.deadline, |t| t.min(route_match.route.deadline));
        let idempotent =
            route_match.route.idempotent && !head.headers.contains_key(names::IDEMPOTENCY_KEY);
        scheme.sanitise(&mut head.headers, &self.local_service());
        hop::strip_internal_headers(&mut head.headers);
        hop::strip_hop_by_hop_headers(&mut head.headers);
        if policy.has_organisations() {
            let name = route_match.has_organisation().then_some(&*route_match.organisation);
            scheme.write_organisation(&mut head.headers, name);
        }
        head::normalise(&mut head, &parsed);
        let head_hash = self.fingerprint_key.hash_head(&fingerprint::Head {
            method: head.method.as_str(),
            host: &parsed.host,
            target: head.uri.path_and_query().map_or("", |target| target.as_str()),
            organisation: &route_match.organisation,
            body_size,
        });
        let stall = route_match.service.stall;
        let held = self.shared.held_bytes.empty(byte_budget::Kind::Replay);
        let body = replay::ReplayBuffer::new(incoming, stall, self.fingerprint_key, held);
        let policy_version = policy.version;
        // Waiting in queues or trying again past the end of this daemon would leave the caller without
        // a response.
        let deadline = arrived + timeout;
        let deadline = self.sidecar.latest_deadline().map_or(deadline, |end| deadline.min(end));
        let parent = self.find_parent(&parsed, &route_match, arrived);
        let call = match &parent {
            Some(_) => None,
            None => self.find_call(&parsed, &policy, &route_match),
        };
        Ok(RequestContext {
            route_match,
            policy_version,
            head_hash,
            idempotent,
            body_size,
            head,
            body,
            arrived,
            deadline,
            parent,
            call,
        })
    }

    /// Waits until a daemon that has just started has a current policy.
    async fn await_policy<B>(&self, request: &http::Request<B>, arrived: time::Instant) {
        let timeout = head::timeout(request.headers(), &self.identity.header_scheme);
        let deadline = arrived + timeout.ok().flatten().unwrap_or(POLICY_WAIT_TIMEOUT);
        while !self.shared.is_current()
            && let Some(delay) =
                self.shared.startup.retry_delay(arrived, deadline, self.shared.now())
        {
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns after what time the request is to be tried again, as this daemon has just started and
    /// may not know all upstreams; `None` later or if the request has waited for long.
    fn startup_delay(&self, context: &RequestContext) -> Option<time::Duration> {
        let (arrived, deadline) = (context.arrived, context.deadline);
        self.shared.startup.retry_delay(arrived, deadline, self.shared.now())
    }

    /// Waits for upstreams that a daemon that has just started may not know yet. Returns `false` if
    /// the request is to be rejected.
    async fn await_upstream(
        &self,
        context: &RequestContext,
        progress: &mut progress::Progress,
    ) -> bool {
        let delay = self.startup_delay(context);
        let may_wait = progress.could_succeed_elsewhere(context.idempotent);
        let Some(delay) = delay.filter(|_| may_wait) else { return false };
        tokio::time::sleep(delay).await;
        progress.restart_search();
        true
    }

    /// Spends a token of the organisation's quota, for which the request may wait shortly.
    ///
    /// # Errors
    ///
    /// Returns when there is room if the request is to be rejected.
    async fn check_quota(&self, context: &RequestContext) -> Result<(), spender::Refusal> {
        let route_match = &context.route_match;
        let Some(limit) = route_match.quota else { return Ok(()) };
        let signals = &self.sidecar.quota_signals;
        let organisation = &route_match.organisation;
        let arrived = self.shared.boot_time();
        let mut now = arrived;
        loop {
            let mut granted = std::pin::pin!(signals.granted.notified());
            granted.as_mut().enable();
            let (decision, is_ask_due) = self.shared.spend(organisation, &limit, arrived, now);
            if is_ask_due {
                signals.ask.notify_one();
            }
            match decision {
                spender::Decision::Admit => return Ok(()),
                spender::Decision::Reject(refusal) => return Err(refusal),
                spender::Decision::Wait(until) => {
                    let left = context.deadline.saturating_duration_since(self.shared.now());
                    let remaining = until.saturating_duration_since(now).min(left);
                    if left.is_zero() {
                        let room = RETRY_AFTER_MIN;
                        return Err(spender::Refusal { room, is_unreachable: true });
                    }
                    let _ = tokio::time::timeout(remaining, granted).await;
                }
            }
            now = self.shared.boot_time();
        }
    }

    /// Serves a request to its final outcome. A server error is retried where possible, and is
    /// returned to the caller if no later attempt succeeds.
    async fn serve(
        &self,
        context: &RequestContext,
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
        context: &RequestContext,
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
        context: &RequestContext,
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
    fn pick_upstream(
        &self,
        context: &RequestContext,
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

/// Returns the `Content-Length` of a request; `None` if it is missing or malformed.
fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

impl<C: clock::Clock> server::Handler for Ingress<C> {
    type Body = response_body::ResponseBody<C>;

    /// Uses the longer of the head timeout and the idle timeout of the policy, because the time to
    /// receive a head counts from the end of the previous request on the connection.
    fn limits(&self) -> server::Limits {
        let policy = self.shared.policy();
        let limits = &policy.limits;
        let head_time = limits.head_time.max(limits.idle_time);
        server::Limits { head_size: limits.head_size, head_time }
    }

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        self.serve_caller(request.map(incoming_body::IncomingBody::Streamed)).await
    }
}

impl<C: clock::Clock> server::EarlyHandler for Ingress<C> {
    fn starts_early(&self, head: &request::Parts) -> bool {
        let scheme = &self.identity.header_scheme;
        let policy = self.shared.policy();
        let parsed = head::RequestHead::parse(head, scheme, policy.has_organisations());
        let Ok(parsed) = parsed else { return false };
        let route = policy.find_route(&parsed.host, &parsed.path, head.method.as_str());
        route.is_some_and(|route| route.idempotent)
            && !head.headers.contains_key(names::IDEMPOTENCY_KEY)
    }

    async fn handle_early(
        &self,
        head: request::Parts,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        let body = incoming_body::IncomingBody::Empty;
        self.serve_caller(http::Request::from_parts(head, body)).await
    }
}
