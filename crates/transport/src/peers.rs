//! HTTP/2 connections from this entry to other daemons' gates.

use std::net;
use std::sync;
use std::time;

use hyper::body;
use hyper::client::conn::http2;
use hyper_util::rt;
use indexmap::IndexMap;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::replay;
use crate::socket;

/// Connections to gates, one a gate, opened when first needed.
#[derive(Debug, Default)]
pub struct Peers {
    peers: sync::Mutex<IndexMap<net::SocketAddr, sync::Arc<Peer>>>,
}

#[derive(Debug)]
struct Peer {
    address: net::SocketAddr,
    connection: tokio::sync::Mutex<Connection>,
}

#[derive(Debug, Default)]
struct Connection {
    sender: Option<Sender>,
    /// When a connection could last not be opened.
    failed: Option<time::Instant>,
}

type Sender = http2::SendRequest<replay::Attempt>;

/// How sending to a gate went wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeerError {
    /// No connection could be opened.
    Unreachable,
    /// The connection was lost with the request on it.
    Lost(retry::AttemptEnd),
}

/// Flow-control window of one stream in bytes.
pub const STREAM_WINDOW: u32 = 64 * 1024;
/// Requests on one connection at a time.
pub const STREAMS_MAX: u32 = 512;
/// Flow-control window of one connection; lets every stream use its own window.
pub const CONNECTION_WINDOW: u32 = STREAM_WINDOW * STREAMS_MAX;
/// Largest HTTP/2 frame in bytes.
pub const FRAME_MAX: u32 = 16 * 1024;
/// Largest list of headers in bytes.
pub const HEADERS_MAX: u32 = 64 * 1024;
/// Time between pings while requests are outstanding, and the longest wait for their answer.
pub const PING_EVERY: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a connection to a gate: many round trips between failure domains, and well below
/// the objective of any route, as the request may still go elsewhere.
const CONNECT_MAX: time::Duration = time::Duration::from_millis(300);

impl Peers {
    /// Sends a request to a gate and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells apart a gate that cannot be reached and a connection lost with the request on it.
    pub async fn send(
        &self,
        gate: net::SocketAddr,
        request: http::Request<replay::Attempt>,
    ) -> Result<http::Response<body::Incoming>, PeerError> {
        let peer = self.peer(gate);
        let mut request = request;
        // A connection may die between two requests; the second one is new.
        for _ in 0..2 {
            let mut sender = peer.sender().await?;
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => {
                        let failure = outcome::Failure::ConnectionLost;
                        return Err(PeerError::Lost(retry::AttemptEnd::MayHaveRun(failure)));
                    }
                },
            }
        }
        Err(PeerError::Unreachable)
    }

    /// Closes connections to gates that are not in `gates`.
    pub fn retain(&self, gates: &[net::SocketAddr]) {
        self.lock().retain(|address, _| gates.contains(address));
    }

    fn peer(&self, address: net::SocketAddr) -> sync::Arc<Peer> {
        let new = || sync::Arc::new(Peer { address, connection: Default::default() });
        self.lock().entry(address).or_insert_with(new).clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, sync::Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Peer {
    /// Returns a sender on a live connection, opening one if needed.
    async fn sender(&self) -> Result<Sender, PeerError> {
        let asked = time::Instant::now();
        let mut current = self.connection.lock().await;
        if let Some(sender) = current.sender.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        if current.sender.take().is_some() {
            metrics::counter!("lynxmast_gate_connections_replaced_total").increment(1);
        }
        // What failed while this request waited for its turn would fail again.
        if current.failed.is_some_and(|failed| failed >= asked) {
            return Err(PeerError::Unreachable);
        }
        let Some(sender) = connect(self.address).await else {
            current.failed = Some(time::Instant::now());
            return Err(PeerError::Unreachable);
        };
        current.sender = Some(sender.clone());
        Ok(sender)
    }
}

async fn connect(address: net::SocketAddr) -> Option<Sender> {
    let stream = socket::connect(address, CONNECT_MAX).await.ok()?;
    let mut builder = http2::Builder::new(rt::TokioExecutor::new());
    builder
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(FRAME_MAX)
        .max_send_buf_size(STREAM_WINDOW as usize)
        .max_header_list_size(HEADERS_MAX)
        .keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_EVERY);
    let handshake = builder.handshake(rt::TokioIo::new(stream));
    let (sender, driver) = tokio::time::timeout(CONNECT_MAX, handshake).await.ok()?.ok()?;
    tokio::spawn(async move {
        // The end of the connection shows at its senders.
        let _ = driver.await;
    });
    Some(sender)
}

#[cfg(test)]
mod tests;
