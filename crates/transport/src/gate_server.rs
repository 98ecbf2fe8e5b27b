//! HTTP/2 front of the gate for the entries of other daemons.

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

use crate::body as bodies;
use crate::body_error;
use crate::exchange;
use crate::gate;
use crate::server;
use crate::stalling;

/// Serves entries of other daemons.
#[derive(Debug)]
pub struct GateServer<C: clock::Clock> {
    gate: sync::Arc<gate::Gate<C>>,
    shared: sync::Arc<shared_state::SharedState<C>>,
    secret: String,
}

/// Body of an answer to an entry.
#[derive(Debug)]
pub enum ToEntry<C: clock::Clock> {
    /// No answer of a backend server.
    Empty,
    /// Answer of a backend server.
    Answer(exchange::GateBody<C>),
}

impl<C: clock::Clock> GateServer<C> {
    /// Returns a server for `gate` that accepts senders who know `secret`.
    pub fn new(
        gate: sync::Arc<gate::Gate<C>>,
        shared: sync::Arc<shared_state::SharedState<C>>,
        secret: String,
    ) -> Self {
        Self { gate, shared, secret }
    }

    /// Runs one request of an entry.
    pub async fn serve_entry(
        &self,
        request: http::Request<body::Incoming>,
    ) -> http::Response<ToEntry<C>> {
        let secret = request.headers().get(header::FLEET_SECRET).map(|value| value.as_bytes());
        if secret.is_none_or(|secret| !is_same(secret, self.secret.as_bytes())) {
            metrics::counter!("lynxmast_unauthorised_total").increment(1);
            return self.refuse(outcome::Refusal::NotAuthorised, http::StatusCode::FORBIDDEN);
        }
        let Ok(envelope) = envelope::Envelope::read(request.headers()) else {
            return self.refuse(outcome::Refusal::BadRequest, http::StatusCode::BAD_REQUEST);
        };
        let view = self.shared.view();
        let service = view.service(&envelope.upstream.service);
        let stall = service.map_or(envelope.time_left, |service| service.stall);
        let request = request
            .map(|incoming| bodies::RequestBody::Remote(stalling::Stalling::new(incoming, stall)));
        let attempted = self.gate.run(&envelope, request).await;
        let mut response = match attempted.result {
            Ok(response) => response.map(ToEntry::Answer),
            Err(_) => http::Response::new(ToEntry::Empty),
        };
        attempted.verdict.write(response.headers_mut());
        response
    }

    fn refuse(
        &self,
        refusal: outcome::Refusal,
        status: http::StatusCode,
    ) -> http::Response<ToEntry<C>> {
        let mut response = http::Response::new(ToEntry::Empty);
        *response.status_mut() = status;
        let ended = Some(retry::AttemptEnd::NotRun(refusal));
        let policy = self.shared.view().version;
        let (load, took, doubt, of_call) = (None, None, None, false);
        let verdict = envelope::Verdict {
            ended,
            load,
            elapsed: took,
            failure_percent: doubt,
            dependency_failed: of_call,
            policy,
        };
        verdict.write(response.headers_mut());
        response
    }
}

impl<C: clock::Clock> server::Handler for GateServer<C> {
    type Body = ToEntry<C>;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        self.serve_entry(request).await
    }
}

/// Compares secrets in a time that does not depend on where they differ.
pub fn is_same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}

impl<C: clock::Clock> Body for ToEntry<C> {
    type Data = bytes::Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> body_error::Polled {
        match &mut *self {
            ToEntry::Empty => std::task::Poll::Ready(None),
            ToEntry::Answer(body) => std::pin::Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ToEntry::Empty => true,
            ToEntry::Answer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            ToEntry::Empty => body::SizeHint::with_exact(0),
            ToEntry::Answer(body) => body.size_hint(),
        }
    }
}
