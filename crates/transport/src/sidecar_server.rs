//! HTTP/2 server of the sidecar for the ingresses of other daemons.

use std::net;
use std::sync;

use http_body::Body;
use hyper::body;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;
use lynxmast_state::shared_state;

use crate::body_error;
use crate::exchange;
use crate::request_body;
use crate::server;
use crate::sidecar;
use crate::small_frames;
use crate::stall_timeout;

/// Serves requests from the ingresses of other daemons.
#[derive(Debug)]
pub struct SidecarServer<C: clock::Clock> {
    sidecar: sync::Arc<sidecar::Sidecar<C>>,
    shared: sync::Arc<shared_state::SharedState<C>>,
    secret: String,
}

/// Body of a response to a peer's ingress.
#[derive(Debug)]
pub enum PeerResponseBody<C: clock::Clock> {
    /// No body, because no backend server responded.
    Empty,
    /// Body of a backend server's response.
    Response(small_frames::SmallFrames<exchange::SidecarBody<C>>),
}

impl<C: clock::Clock> SidecarServer<C> {
    /// Creates a server for `sidecar` that accepts only senders with the fleet's `secret`.
    pub fn new(
        sidecar: sync::Arc<sidecar::Sidecar<C>>,
        shared: sync::Arc<shared_state::SharedState<C>>,
        secret: String,
    ) -> Self {
        Self { sidecar, shared, secret }
    }

    /// Authenticates and serves one request from a peer's ingress.
    pub async fn serve_ingress(
        &self,
        request: http::Request<body::Incoming>,
    ) -> http::Response<PeerResponseBody<C>> {
        let secret = request.headers().get(header::FLEET_SECRET).map(|value| value.as_bytes());
        if secret.is_none_or(|secret| !secrets_match(secret, self.secret.as_bytes())) {
            metrics::counter!("lynxmast_unauthorised_total").increment(1);
            return self.reject(outcome::Rejection::NotAuthorised, http::StatusCode::FORBIDDEN);
        }
        let Ok(envelope) = envelope::Envelope::read(request.headers()) else {
            return self.reject(outcome::Rejection::BadRequest, http::StatusCode::BAD_REQUEST);
        };
        let policy = self.shared.policy();
        let service = policy.service(&envelope.upstream.service);
        let stall = service.map_or(envelope.time_left, |service| service.stall);
        let request = request.map(|incoming| {
            let timer = stall_timeout::StallTimer::new(stall);
            request_body::RequestBody::Remote(stall_timeout::StallTimeoutBody::new(incoming, timer))
        });
        let attempt = self.sidecar.serve(&envelope, request).await;
        let mut response = match attempt.result {
            Ok(response) => response
                .map(|body| PeerResponseBody::Response(small_frames::SmallFrames::new(body))),
            Err(_) => http::Response::new(PeerResponseBody::Empty),
        };
        attempt.report.write(response.headers_mut());
        response
    }

    fn reject(
        &self,
        rejection: outcome::Rejection,
        status: http::StatusCode,
    ) -> http::Response<PeerResponseBody<C>> {
        let mut response = http::Response::new(PeerResponseBody::Empty);
        *response.status_mut() = status;
        let end = Some(retry::AttemptEnd::NotRun(rejection));
        let policy = self.shared.policy().version;
        let (load, elapsed, failure_percent, dependency_failed) = (None, None, None, false);
        let report = envelope::AttemptReport {
            end,
            load,
            elapsed,
            failure_percent,
            dependency_failed,
            crashed: None,
            room: None,
            leaving: None,
            retries_left: None,
            policy,
        };
        report.write(response.headers_mut());
        response
    }
}

impl<C: clock::Clock> server::Handler for SidecarServer<C> {
    type Body = PeerResponseBody<C>;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        self.serve_ingress(request).await
    }
}

/// Compares secrets in a time that does not depend on where they differ, to prevent timing attacks.
pub fn secrets_match(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}

impl<C: clock::Clock> Body for PeerResponseBody<C> {
    type Data = bytes::Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> body_error::PolledFrame {
        match &mut *self {
            PeerResponseBody::Empty => std::task::Poll::Ready(None),
            PeerResponseBody::Response(body) => std::pin::Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            PeerResponseBody::Empty => true,
            PeerResponseBody::Response(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            PeerResponseBody::Empty => body::SizeHint::with_exact(0),
            PeerResponseBody::Response(body) => body.size_hint(),
        }
    }
}
