//! One attempt at a local upstream: forwards the request and judges the response.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::envelope;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::exchange;
use crate::hop;
use crate::pool;
use crate::request_body;
use crate::result_recorder;
use crate::sidecar;
use crate::sidecar::forwarding;
use crate::upstream;
use crate::upstream::slot;

/// Observations made during an attempt, besides its result.
#[derive(Debug, Default)]
pub struct Observation {
    /// Time from forwarding the request to receiving the response head.
    pub elapsed: Option<time::Duration>,
    /// Whether an error response follows a failed call of the backend server to a dependency.
    pub dependency_failed: bool,
    /// Incarnation of the upstream that crashed while it ran the request.
    pub crashed: Option<ids::Incarnation>,
}

impl<C: clock::Clock> sidecar::Sidecar<C> {
    /// Makes the attempt: admits the request, forwards it, checks the response head and records the
    /// result with the outlier detector.
    pub(super) async fn attempt(
        &self,
        envelope: &envelope::Envelope,
        upstream: &sync::Arc<upstream::Upstream<C>>,
        request: http::Request<request_body::RequestBody>,
        observed: &mut Observation,
    ) -> Result<http::Response<exchange::SidecarBody<C>>, retry::AttemptEnd> {
        let now = self.shared.now();
        let deadline = now + envelope.time_left;
        let route = self.route_key(&request);
        let body = self.admit_body(envelope, upstream, request.body(), deadline).await?;
        let now = now.max(self.shared.now());
        let (slot, stall) = self.admit(envelope, upstream, route, now, deadline).await?;
        let slot = slot.with_body(body);
        let connection = upstream.pool.acquire().await.map_err(retry::AttemptEnd::NotRun)?;
        let started = self.shared.now();
        let time_left = deadline.saturating_duration_since(started);
        if time_left.is_zero() {
            return Err(retry::AttemptEnd::NotRun(outcome::Rejection::DeadlineBeforeRun));
        }
        let exchange_id = self.exchange_id(request.headers());
        let lease = upstream.lease.newest();
        let instance = lease.instance.clone();
        let headers = forwarding::ForwardHeaders {
            scheme: &self.header_scheme,
            exchange_id: &exchange_id,
            instance: instance.as_deref(),
        };
        let request = forwarding::prepare_request(request, time_left, &headers);
        let no_body = *request.method() == http::Method::HEAD;
        let mut recorder = result_recorder::ResultRecorder::start(upstream);
        let result = self.await_response(envelope, &slot, connection, request, deadline).await;
        if matches!(result, Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost))) {
            observed.crashed = upstream.find_crash().await;
        }
        let (response, mut connection) = result.inspect_err(|end| recorder.record_end(*end))?;
        observed.elapsed = Some(self.shared.now().saturating_duration_since(started));
        let checked = forwarding::check_response(&response, &connection, &headers, no_body);
        let returned_id = checked.inspect_err(|end| recorder.record_end(*end))?;
        let rejection = forwarding::rejection(&response, &headers);
        if rejection != Some(outcome::Rejection::Misdirected)
            && upstream.lease.newest().incarnation == lease.incarnation
        {
            self.record_notices(upstream, response.headers());
        }
        upstream.liveness.record_response(upstream.now());
        connection.apply_keep_alive(response.headers());
        if let Some(rejection) = rejection {
            recorder.record_end(retry::AttemptEnd::NotRun(rejection));
            slot.mark_not_run();
            if rejection == outcome::Rejection::Shed {
                upstream.record_rejection(&slot, true);
            }
            if rejection == outcome::Rejection::Misdirected {
                upstream.lease.revoke(instance.as_ref());
            }
            let exchange = exchange::Exchange {
                incoming: response.into_body(),
                connection,
                slot,
                returned_id,
            };
            exchange.discard();
            return Err(retry::AttemptEnd::NotRun(rejection));
        }
        upstream.record_rejection(&slot, false);
        let is_error = response.status().is_server_error();
        observed.dependency_failed = is_error && self.may_be_dependency_error(self.shared.now());
        if observed.dependency_failed {
            recorder.pause();
        } else {
            recorder.record(!is_error);
        }
        let (mut parts, incoming) = response.into_parts();
        hop::strip_hop_by_hop_headers(&mut parts.headers, &self.header_scheme);
        hop::strip_internal_headers(&mut parts.headers);
        let exchange = exchange::Exchange { incoming, connection, slot, returned_id };
        let limits = exchange::BodyLimits { stall, deadline };
        let body = exchange.into_body(recorder, limits, &self.stall_monitor);
        Ok(http::Response::from_parts(parts, body))
    }

    /// Acts on what the backend server states about itself in a response: its limit, and that it is
    /// about to leave, which drains it like a departure.
    fn record_notices(&self, upstream: &upstream::Upstream<C>, headers: &http::HeaderMap) {
        upstream.record_limit(self.header_scheme.limit(headers));
        if self.header_scheme.is_leaving(headers) && upstream.record_leaving() {
            upstream.drain();
            self.publish();
        }
    }

    /// Forwards a request and waits for the response head. If a reused connection does not respond
    /// within the silence timeout, a request without a body is sent again on a new one, provided
    /// that the ingress allows it to be resent.
    async fn await_response(
        &self,
        envelope: &envelope::Envelope,
        slot: &slot::Slot<C>,
        connection: pool::Connection,
        request: http::Request<request_body::RequestBody>,
        deadline: time::Instant,
    ) -> Result<forwarding::ResponseHead, retry::AttemptEnd> {
        let was_idle = connection.was_idle;
        let may_resend = was_idle
            && http_body::Body::is_end_stream(request.body())
            && retry::is_safe_to_retry(None, envelope.may_resend);
        let copy = may_resend.then(|| forwarding::copy_head(&request));
        let upstream = slot.upstream();
        let mut pending = Box::pin(forwarding::forward(slot, connection, request));
        if let Some(copy) = copy {
            let timeout = forwarding::silence_timeout(upstream, envelope.time_left);
            match tokio::time::timeout(timeout, &mut pending).await {
                Ok(result) => return result,
                // Closes the unresponsive connection before the request is sent again.
                Err(_) => drop(pending),
            }
            return self.resend(slot, copy, deadline).await.map_err(|end| match end {
                // The request may still have been delivered on the unresponsive connection.
                retry::AttemptEnd::NotRun(_) => {
                    retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost)
                }
                failed => failed,
            });
        }
        let silence = upstream.overdue_timeout().min(envelope.time_left / 2);
        let pending = async {
            tokio::select! {
                result = pending => result,
                () = upstream.silent_crash(silence) => {
                    Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost))
                }
            }
        };
        match tokio::time::timeout_at(deadline.into(), pending).await {
            Ok(result) => result,
            Err(_) => {
                metrics::counter!("lynxmast_silent_exchanges_total").increment(1);
                upstream.pool.close_idle();
                Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline))
            }
        }
    }

    /// Sends a request again on a new connection, which replaces an unresponsive one.
    async fn resend(
        &self,
        slot: &slot::Slot<C>,
        request: http::Request<request_body::RequestBody>,
        deadline: time::Instant,
    ) -> Result<forwarding::ResponseHead, retry::AttemptEnd> {
        let upstream = slot.upstream();
        upstream.pool.close_idle();
        let fresh = upstream.pool.connect().await.map_err(retry::AttemptEnd::NotRun)?;
        upstream.charge_resend();
        let pending = forwarding::forward(slot, fresh, request);
        let timed_out = Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline));
        let result =
            tokio::time::timeout_at(deadline.into(), pending).await.unwrap_or(timed_out)?;
        let peer = upstream.id.to_string();
        self.shared.record_event(event::Kind::ConnectionReplaced { peer });
        Ok(result)
    }

    /// Returns the exchange id, which ties the response to the request: the caller's id if the
    /// header scheme lets callers choose it, otherwise a generated one.
    fn exchange_id(&self, headers: &http::HeaderMap) -> http::HeaderValue {
        let from_caller =
            headers.get(&self.header_scheme.exchange_id).filter(|_| self.header_scheme.forward_id);
        let generated = || http::HeaderValue::from_str(&self.new_exchange_id()).ok();
        let id = from_caller.cloned().or_else(generated);
        id.unwrap_or(http::HeaderValue::from_static(""))
    }

    fn new_exchange_id(&self) -> String {
        let number = self.exchange_counter.fetch_add(1, atomic::Ordering::Relaxed);
        let incarnation = self.shared.membership().own_record().incarnation;
        format!("{incarnation:x}-{number:x}")
    }
}
