//! HTTP/2 connections from this daemon's ingress to the sidecars of other daemons.

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

/// Connections to sidecars, one for each, opened on first use.
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
    /// Time of the last failure to open a connection.
    last_failure: Option<time::Instant>,
}

type Sender = http2::SendRequest<replay::AttemptBody>;

/// Why sending a request to a sidecar failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeerError {
    /// No connection could be opened.
    Unreachable,
    /// The connection was lost after the request was sent on it.
    Lost(retry::AttemptEnd),
}

/// Flow-control window of one stream in bytes.
pub const STREAM_WINDOW: u32 = 64 * 1024;
/// Maximum number of concurrent requests on one connection.
pub const CONCURRENT_STREAMS_MAX: u32 = 512;
/// Flow-control window of one connection in bytes; covers the windows of all streams.
pub const CONNECTION_WINDOW: u32 = STREAM_WINDOW * CONCURRENT_STREAMS_MAX;
/// Largest HTTP/2 frame in bytes.
pub const FRAME_SIZE_MAX: u32 = 16 * 1024;
/// Largest header list in bytes.
pub const HEADER_LIST_SIZE_MAX: u32 = 64 * 1024;
/// Time between pings while requests are outstanding, and the longest wait for a ping response.
pub const PING_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a connection to a sidecar: many round trips between failure domains, but well
/// below the latency objective of any route, as the request may still be sent elsewhere.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

impl Peers {
    /// Sends a request to a sidecar and returns the head of its response.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if the request was not sent, and `Lost` if the connection was lost
    /// after it was sent.
    pub async fn send(
        &self,
        sidecar: net::SocketAddr,
        request: http::Request<replay::AttemptBody>,
    ) -> Result<http::Response<body::Incoming>, PeerError> {
        let peer = self.peer(sidecar);
        let mut request = request;
        // The existing connection may have closed since its last request; the second iteration then
        // opens a new one.
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

    /// Closes connections to sidecars that are not in `sidecars`.
    pub fn retain(&self, sidecars: &[net::SocketAddr]) {
        self.lock().retain(|address, _| sidecars.contains(address));
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
    /// Returns a sender for a live connection, opening one if needed.
    async fn sender(&self) -> Result<Sender, PeerError> {
        let requested = time::Instant::now();
        let mut current = self.connection.lock().await;
        if let Some(sender) = current.sender.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        if current.sender.take().is_some() {
            metrics::counter!("lynxmast_gate_connections_replaced_total").increment(1);
        }
        // An attempt to connect that failed while this request waited for the lock is not retried,
        // so that waiting requests do not time out one after the other.
        if current.last_failure.is_some_and(|failed| failed >= requested) {
            return Err(PeerError::Unreachable);
        }
        let Some(sender) = connect(self.address).await else {
            current.last_failure = Some(time::Instant::now());
            return Err(PeerError::Unreachable);
        };
        current.sender = Some(sender.clone());
        Ok(sender)
    }
}

async fn connect(address: net::SocketAddr) -> Option<Sender> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.ok()?;
    let mut builder = http2::Builder::new(rt::TokioExecutor::new());
    builder
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(FRAME_SIZE_MAX)
        .max_send_buf_size(STREAM_WINDOW as usize)
        .max_header_list_size(HEADER_LIST_SIZE_MAX)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    let handshake = builder.handshake(rt::TokioIo::new(stream));
    let (sender, driver) = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await.ok()?.ok()?;
    tokio::spawn(async move {
        // Errors of the connection are reported by its senders.
        let _ = driver.await;
    });
    Some(sender)
}

#[cfg(test)]
mod tests;
