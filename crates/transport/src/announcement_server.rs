//! HTTP server for announcements and departures of local backend servers.

use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use lynxmast_protocol::announce;
use lynxmast_state::clock;

use crate::client;
use crate::server;
use crate::sidecar;

/// Serves announcements and departures of local backend servers.
#[derive(Debug)]
pub struct AnnouncementServer<C: clock::Clock> {
    sidecar: sync::Arc<sidecar::Sidecar<C>>,
}

/// Largest announcement in bytes.
const BODY_SIZE_MAX: usize = 16 * 1024;

impl<C: clock::Clock> AnnouncementServer<C> {
    /// Creates a server that passes announcements and departures to `sidecar`.
    pub fn new(sidecar: sync::Arc<sidecar::Sidecar<C>>) -> Self {
        Self { sidecar }
    }

    async fn dispatch(
        &self,
        path: &str,
        body: &[u8],
        sender: net::IpAddr,
    ) -> Result<Bytes, String> {
        match path {
            announce::ANNOUNCE_PATH => {
                let announcement = parse(body)?;
                let lease = self.sidecar.announce(&announcement, sender).await?;
                Ok(client::json(&lease))
            }
            announce::DEPART_PATH => {
                let departed = self.sidecar.depart(&parse(body)?).await;
                let drain_status = departed.map_err(|error| error.to_string())?;
                Ok(client::json(&drain_status))
            }
            _ => Err(format!("no such path: {path}")),
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

impl<C: clock::Clock> server::Handler for AnnouncementServer<C> {
    type Body = client::FullBody;

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        peer: net::SocketAddr,
    ) -> http::Response<client::FullBody> {
        let (head, incoming) = request.into_parts();
        let limited = Limited::new(incoming, BODY_SIZE_MAX);
        let Ok(body) = limited.collect().await else {
            let rejection =
                announce::ErrorBody { error: "request body too long or truncated".into() };
            return client::response(http::StatusCode::BAD_REQUEST, client::json(&rejection));
        };
        if head.method != http::Method::POST {
            let rejection = announce::ErrorBody { error: "method not allowed; use POST".into() };
            return client::response(
                http::StatusCode::METHOD_NOT_ALLOWED,
                client::json(&rejection),
            );
        }
        match self.dispatch(head.uri.path(), &body.to_bytes(), peer.ip()).await {
            Ok(body) => client::response(http::StatusCode::OK, body),
            Err(error) => {
                let rejection = announce::ErrorBody { error };
                client::response(http::StatusCode::CONFLICT, client::json(&rejection))
            }
        }
    }
}
