//! Accept loops that end gracefully: open connections finish what they owe.

use std::convert;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use http_body::Body;
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net as tcp;
use tokio_util::sync::CancellationToken;

use crate::body_error;
use crate::peers;
use crate::socket;

/// What those who connect may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_size: usize,
    /// Time to send a request's head; counts from the end of the request before.
    pub head_time: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_size: HEAD_SIZE_MAX, head_time: HEAD_MAX }
    }
}

/// What a server does with requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the limits of a connection that is opened now.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Body of the answers.
    type Body: Body<Data = bytes::Bytes, Error = body_error::BodyError> + Send + 'static;

    /// Answers one request; `peer` is the address of its sender.
    fn handle(
        &self,
        request: http::Request<Incoming>,
        peer: net::SocketAddr,
    ) -> impl Future<Output = http::Response<Self::Body>> + Send;
}

/// A listening server.
#[derive(Debug)]
pub struct Server {
    listener: tcp::TcpListener,
    connections: sync::Arc<atomic::AtomicUsize>,
    connections_max: usize,
}

/// Time that a caller gets to send a request's head.
const HEAD_MAX: time::Duration = time::Duration::from_secs(10);
/// Largest head of an HTTP/1 request in bytes.
const HEAD_SIZE_MAX: usize = 64 * 1024;
/// Smallest read buffer that the HTTP library takes, in bytes.
const HEAD_SIZE_MIN: usize = 8 * 1024;
/// Headers of one HTTP/1 request at most.
const HEADERS_MAX: usize = 100;
/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

impl Server {
    /// Opens the port; at most `connections_max` connections are served at a time.
    ///
    /// # Errors
    ///
    /// Fails like the system's bind.
    pub async fn bind(address: net::SocketAddr, connections_max: usize) -> io::Result<Self> {
        let listener = tcp::TcpListener::bind(address).await?;
        Ok(Self { listener, connections: Default::default(), connections_max })
    }

    /// Returns the address that is listened on.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop`, then lets open connections finish and returns.
    pub async fn run<H: Handler>(self, handler: sync::Arc<H>, stop: CancellationToken) {
        let graceful = graceful::GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let guard = ConnectionGuard::new(&self.connections);
            if guard.count > self.connections_max || socket::tune(&stream).is_err() {
                metrics::counter!("lynxmast_connections_refused_total").increment(1);
                continue;
            }
            let limits = handler.limits();
            let handler = handler.clone();
            let stopped = stop.clone();
            let serve = service::service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, convert::Infallible>(handler.handle(request, peer).await) }
            });
            let (builder, watcher) = (builder(limits), graceful.watcher());
            tokio::spawn(async move {
                if !speaks_in_time(&stream, &stopped, limits.head_time).await {
                    return;
                }
                let connection = builder.serve_connection(rt::TokioIo::new(stream), serve);
                if watcher.watch(connection.into_owned()).await.is_err() {
                    metrics::counter!("lynxmast_connections_failed_total").increment(1);
                }
                drop(guard);
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

/// Waits for the first byte; a connection that sends none for too long is closed.
async fn speaks_in_time(
    stream: &tcp::TcpStream,
    stop: &CancellationToken,
    limit: time::Duration,
) -> bool {
    let mut first = [0];
    let spoken = tokio::time::timeout(limit, stream.peek(&mut first));
    let spoken = stop.run_until_cancelled(spoken).await;
    matches!(spoken, Some(Ok(Ok(1..))))
}

fn builder(limits: Limits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(HEADERS_MAX)
        .max_buf_size(limits.head_size.max(HEAD_SIZE_MIN));
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(peers::STREAM_WINDOW)
        .initial_connection_window_size(peers::CONNECTION_WINDOW)
        .max_concurrent_streams(peers::STREAMS_MAX)
        .max_header_list_size(peers::HEADERS_MAX)
        .max_send_buf_size(peers::STREAM_WINDOW as usize)
        .keep_alive_interval(peers::PING_EVERY * 5)
        .keep_alive_timeout(peers::PING_EVERY * 5);
    builder
}

/// Counts a connection while it is open.
struct ConnectionGuard {
    connections: sync::Arc<atomic::AtomicUsize>,
    count: usize,
}

impl ConnectionGuard {
    fn new(connections: &sync::Arc<atomic::AtomicUsize>) -> Self {
        let count = connections.fetch_add(1, atomic::Ordering::AcqRel) + 1;
        Self { connections: connections.clone(), count }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}
