//! Ingress: accepts callers' requests, selects upstreams, retries failed attempts and responds.

mod attempt;
mod attempts;
mod authentication;
mod call;
mod call_slot;
mod capacity;
mod head;
mod hedge;
mod hold;
mod quarantine;
mod request_context;
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
use lynxmast_state::progress;
use lynxmast_state::quota::spender;
use lynxmast_state::retry;
use lynxmast_state::sampling;
use lynxmast_state::shared_state;

use crate::error_response;
use crate::hop;
use crate::incoming_body;
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
    calls: call_slot::CallCount,
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

/// Timeout assumed for requests that state none while there is no policy.
const POLICY_WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(4);
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
    ) -> Result<request_context::RequestContext, outcome::Rejection> {
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
        // Headers are set only once the caller's are removed, as `Connection` may list any name.
        hop::strip_hop_by_hop_headers(&mut head.headers, scheme);
        hop::strip_internal_headers(&mut head.headers);
        scheme.sanitise(&mut head.headers, &self.local_service());
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
        Ok(request_context::RequestContext {
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
    fn startup_delay(&self, context: &request_context::RequestContext) -> Option<time::Duration> {
        let (arrived, deadline) = (context.arrived, context.deadline);
        self.shared.startup.retry_delay(arrived, deadline, self.shared.now())
    }

    /// Waits for upstreams that a daemon that has just started may not know yet. Returns `false` if
    /// the request is to be rejected.
    async fn await_upstream(
        &self,
        context: &request_context::RequestContext,
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
    async fn check_quota(
        &self,
        context: &request_context::RequestContext,
    ) -> Result<(), spender::Refusal> {
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
        let version = request.version();
        let body = |incoming| incoming_body::IncomingBody::new(incoming, version);
        self.serve_caller(request.map(body)).await
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
