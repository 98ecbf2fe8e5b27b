//! HTTP/2 connections from this daemon's ingress to the sidecars of other daemons.

use std::net;
use std::pin;
use std::sync;
use std::time;

use hyper::body;
use hyper::client::conn::http2;
use hyper_util::rt;
use indexmap::IndexMap;
use lynxmast_state::outcome;
use lynxmast_state::retry;
use tokio_util::io;

use crate::replay;
use crate::socket;

mod last_read;

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
    current: Option<Link>,
    /// Time of the last failure to open a connection.
    last_failure: Option<time::Instant>,
}

/// An open connection.
#[derive(Debug, Clone)]
struct Link {
    sender: http2::SendRequest<replay::AttemptBody>,
    last_read: sync::Arc<last_read::LastRead>,
}

/// Why sending a request to a sidecar failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeerError {
    /// No connection could be opened.
    Unreachable,
    /// The connection was lost, or silent for too long, after the request was sent on it.
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
/// Time between pings while requests are outstanding.
pub const PING_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a ping response. A daemon that is paused for less keeps its running requests;
/// the kernel closes connections to a VM that is gone much earlier.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Longest wait for a connection to a sidecar: many round trips between failure domains, but well
/// below the latency objective of any route, as the request may still be sent elsewhere.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

impl Peers {
    /// Sends a request to a sidecar and returns the head of its response.
    ///
    /// A request that `may_retry` is given up when the connection is silent. Others wait on, as the
    /// sidecar may only be paused; requests sent later use a new connection.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if the request was not sent, and `Lost` if the connection was lost
    /// after it was sent.
    pub async fn send(
        &self,
        sidecar: net::SocketAddr,
        request: http::Request<replay::AttemptBody>,
        may_retry: bool,
    ) -> Result<http::Response<body::Incoming>, PeerError> {
        let peer = self.peer(sidecar);
        let mut request = request;
        let lost = PeerError::Lost(retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost));
        // The existing connection may have closed since its last request; the second iteration then
        // opens a new one.
        for _ in 0..2 {
            let mut link = peer.link().await?;
            if link.sender.ready().await.is_err() {
                continue;
            }
            let mut sending = pin::pin!(link.sender.try_send_request(request));
            let result = tokio::select! {
                result = &mut sending => result,
                () = link.last_read.silence() => {
                    peer.retire(&link.last_read).await;
                    if may_retry {
                        return Err(lost);
                    }
                    sending.await
                }
            };
            match result {
                Ok(response) => return Ok(response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(lost),
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
    /// Returns a live connection, opening one if needed.
    async fn link(&self) -> Result<Link, PeerError> {
        let requested = time::Instant::now();
        let mut connection = self.connection.lock().await;
        if let Some(link) = connection.current.as_ref().filter(|link| !link.sender.is_closed()) {
            return Ok(link.clone());
        }
        if connection.current.take().is_some() {
            metrics::counter!("lynxmast_gate_connections_replaced_total").increment(1);
        }
        // An attempt to connect that failed while this request waited for the lock is not retried,
        // so that waiting requests do not time out one after the other.
        if connection.last_failure.is_some_and(|failed| failed >= requested) {
            return Err(PeerError::Unreachable);
        }
        let Some(link) = connect(self.address).await else {
            connection.last_failure = Some(time::Instant::now());
            return Err(PeerError::Unreachable);
        };
        connection.current = Some(link.clone());
        Ok(link)
    }

    /// Sends no further requests on the connection that `last_read` belongs to. It closes when its
    /// last request ends.
    async fn retire(&self, last_read: &sync::Arc<last_read::LastRead>) {
        let mut connection = self.connection.lock().await;
        if connection.current.take_if(|l| sync::Arc::ptr_eq(&l.last_read, last_read)).is_some() {
            metrics::counter!("lynxmast_gate_connections_replaced_total").increment(1);
        }
    }
}

async fn connect(address: net::SocketAddr) -> Option<Link> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.ok()?;
    let last_read = sync::Arc::new(last_read::LastRead::new());
    let recorder = last_read.clone();
    let stream = io::InspectReader::new(stream, move |_: &[u8]| recorder.record());
    let mut builder = http2::Builder::new(rt::TokioExecutor::new());
    builder
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(FRAME_SIZE_MAX)
        .max_send_buf_size(STREAM_WINDOW as usize)
        .max_header_list_size(HEADER_LIST_SIZE_MAX)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let handshake = builder.handshake(rt::TokioIo::new(stream));
    let (sender, driver) = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await.ok()?.ok()?;
    tokio::spawn(async move {
        // Errors of the connection are reported by its senders.
        let _ = driver.await;
    });
    Some(Link { sender, last_read })
}

#[cfg(test)]
mod tests;
