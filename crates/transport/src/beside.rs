//! The interface for backend servers on the daemon's VM: announcements and departures.

use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use lynxmast_protocol::announce;
use lynxmast_state::clock;

use crate::client;
use crate::gate;
use crate::server;

/// Serves backend servers beside this daemon.
#[derive(Debug)]
pub struct Beside<C: clock::Clock> {
    gate: sync::Arc<gate::Gate<C>>,
}

/// Largest announcement in bytes.
const BODY_MAX: usize = 16 * 1024;

impl<C: clock::Clock> Beside<C> {
    /// Returns the interface to `gate`.
    pub fn new(gate: sync::Arc<gate::Gate<C>>) -> Self {
        Self { gate }
    }

    fn answer(&self, path: &str, body: &[u8], from: net::IpAddr) -> Result<Bytes, String> {
        match path {
            announce::ANNOUNCE_PATH => {
                let announcement = parse(body)?;
                let lease = self.gate.announce(&announcement, from)?;
                Ok(client::json(&lease))
            }
            announce::DEPART_PATH => {
                let departing = self.gate.depart(&parse(body)?)?;
                Ok(client::json(&departing))
            }
            _ => Err(format!("no such path: {path}")),
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

impl<C: clock::Clock> server::Handler for Beside<C> {
    type Body = client::Whole;

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        peer: net::SocketAddr,
    ) -> http::Response<client::Whole> {
        let (head, incoming) = request.into_parts();
        let limited = Limited::new(incoming, BODY_MAX);
        let Ok(body) = limited.collect().await else {
            let refused = announce::Rejection { error: "the body is too long or was cut".into() };
            return client::answer(http::StatusCode::BAD_REQUEST, client::json(&refused));
        };
        if head.method != http::Method::POST {
            let refused = announce::Rejection { error: "use POST".into() };
            return client::answer(http::StatusCode::METHOD_NOT_ALLOWED, client::json(&refused));
        }
        match self.answer(head.uri.path(), &body.to_bytes(), peer.ip()) {
            Ok(body) => client::answer(http::StatusCode::OK, body),
            Err(error) => {
                let refused = announce::Rejection { error };
                client::answer(http::StatusCode::CONFLICT, client::json(&refused))
            }
        }
    }
}
