//! HTTP servers with graceful shutdown: requests in flight are completed.

use std::convert;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use http::request;
use http_body::Body;
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net as tcp;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tokio_util::task::TaskTracker;

use crate::body_error;
use crate::guarded_body;
use crate::peers;
use crate::pipeline;
use crate::shared_stream;
use crate::socket;

/// Limits for request heads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_size: usize,
    /// Time to receive a request head, from the end of the previous request on the connection.
    pub head_time: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_size: HEAD_SIZE_MAX, head_time: HEAD_TIMEOUT }
    }
}

/// Request handler of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the limits for a new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Body of the responses.
    type Body: Body<Data = bytes::Bytes, Error = body_error::BodyError> + Send + 'static;

    /// Serves one request; `peer` is the address of its sender.
    fn handle(
        &self,
        request: http::Request<Incoming>,
        peer: net::SocketAddr,
    ) -> impl Future<Output = http::Response<Self::Body>> + Send;
}

/// Handler of callers that may pipeline their requests.
pub trait EarlyHandler: Handler<Body: Unpin> {
    /// Returns whether a request without a body may be started before the responses to the previous
    /// requests on its connection are complete. If one of these closes the connection, the caller
    /// counts the request as not read and sends it again.
    fn starts_early(&self, head: &request::Parts) -> bool;

    /// Serves a request without a body that [`EarlyHandler::starts_early`] allows.
    fn handle_early(
        &self,
        head: request::Parts,
        peer: net::SocketAddr,
    ) -> impl Future<Output = http::Response<Self::Body>> + Send;
}

/// A server that listens on one port.
#[derive(Debug)]
pub struct Server {
    listener: tcp::TcpListener,
    /// Number of open connections.
    connections: sync::Arc<atomic::AtomicUsize>,
    connections_max: usize,
}

/// Default time to receive a request head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Default for the largest head of an HTTP/1 request in bytes.
const HEAD_SIZE_MAX: usize = 64 * 1024;
/// Smallest read buffer that hyper accepts, in bytes.
const READ_BUFFER_MIN: usize = 8 * 1024;
/// Maximum number of headers in an HTTP/1 request.
const HEADERS_MAX: usize = 100;
/// Maximum number of requests that a server has started early; bounds the memory for responses that
/// wait for their turn.
const EARLY_REQUESTS_MAX: usize = 256;
/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

impl Server {
    /// Opens the port. At most `connections_max` connections are served at a time; further ones are
    /// closed.
    ///
    /// # Errors
    ///
    /// Returns errors of the system's bind.
    pub async fn bind(address: net::SocketAddr, connections_max: usize) -> io::Result<Self> {
        let listener = tcp::TcpListener::bind(address).await?;
        Ok(Self { listener, connections: Default::default(), connections_max })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report the address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then completes requests in flight and returns.
    pub async fn run<H: Handler>(self, handler: sync::Arc<H>, stop: CancellationToken) {
        let serve = |accepted| serve_plain(accepted, handler.clone());
        self.accept(|| handler.limits(), serve, stop).await;
    }

    /// Serves like [`Server::run`], and starts pipelined requests that the handler allows to be
    /// started before the responses to the previous ones are complete.
    pub async fn run_pipelined<H: EarlyHandler>(
        self,
        handler: sync::Arc<H>,
        stop: CancellationToken,
    ) {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(EARLY_REQUESTS_MAX));
        let serve = |accepted| serve_pipelined(accepted, handler.clone(), permits.clone());
        self.accept(|| handler.limits(), serve, stop).await;
    }

    /// Accepts connections and spawns the task that `serve` returns for each. When `stop` is
    /// cancelled, waits for these tasks to end.
    async fn accept<F: Future<Output = ()> + Send + 'static>(
        self,
        limits: impl Fn() -> Limits,
        serve: impl Fn(Accepted) -> F,
        stop: CancellationToken,
    ) {
        let tasks = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let guard = ConnectionGuard::new(&self.connections);
            if guard.count > self.connections_max || socket::set_options(&stream).is_err() {
                metrics::counter!("lynxmast_connections_refused_total").increment(1);
                continue;
            }
            let (limits, stop) = (limits(), stop.clone());
            tasks.spawn(serve(Accepted { stream, peer, limits, stop, _guard: guard }));
        }
        drop(self.listener);
        tasks.close();
        tasks.wait().await;
    }
}

/// A connection that was accepted.
struct Accepted {
    stream: tcp::TcpStream,
    peer: net::SocketAddr,
    limits: Limits,
    stop: CancellationToken,
    _guard: ConnectionGuard,
}

async fn serve_plain<H: Handler>(accepted: Accepted, handler: sync::Arc<H>) {
    let Accepted { stream, peer, limits, stop, _guard } = accepted;
    if !receives_first_byte(&stream, &stop, limits.head_time).await {
        return;
    }
    let serve = service::service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, convert::Infallible>(handler.handle(request, peer).await) }
    });
    let builder = builder(limits);
    let connection = builder.serve_connection(rt::TokioIo::new(stream), serve);
    drive(connection, stop.cancelled()).await;
}

/// Response to a request that was started early, with the permit to hold it.
type EarlyResponse<B> = (http::Response<B>, tokio::sync::OwnedSemaphorePermit);

async fn serve_pipelined<H: EarlyHandler>(
    accepted: Accepted,
    handler: sync::Arc<H>,
    permits: sync::Arc<tokio::sync::Semaphore>,
) {
    let Accepted { stream, peer, limits, stop, _guard } = accepted;
    if !receives_first_byte(&stream, &stop, limits.head_time).await {
        return;
    }
    let started: sync::Arc<pipeline::Started<EarlyResponse<H::Body>>> = Default::default();
    let (early_handler, early_started) = (handler.clone(), started.clone());
    let start = move |head: request::Parts| {
        if !early_handler.starts_early(&head) {
            return false;
        }
        let Ok(permit) = permits.clone().try_acquire_owned() else { return false };
        metrics::counter!("lynxmast_pipelined_total").increment(1);
        let (handler, expected) = (early_handler.clone(), head.clone());
        let response =
            tokio::spawn(async move { (handler.handle_early(head, peer).await, permit) });
        early_started.push(expected, AbortOnDropHandle::new(response));
        true
    };
    let stream = shared_stream::SharedStream::new(stream);
    let handle = stream.handle();
    let stream = pipeline::ReadAhead::new(stream, limits.head_size, started.clone(), start);
    let service_started = started.clone();
    let serve = service::service_fn(move |request: http::Request<Incoming>| {
        let (handler, started) = (handler.clone(), service_started.clone());
        let handle = handle.clone();
        let (head, body) = request.into_parts();
        let version = head.version;
        let early = started.take(&head);
        async move {
            let early = match early {
                Some(early) => early.await.ok(),
                None => None,
            };
            let (response, permit) = match early {
                Some((response, permit)) => (response, Some(permit)),
                None => {
                    // The HTTP implementation does not read the connection while a body is left
                    // unread, and would not notice that the caller has left.
                    let may_be_unread = !body.is_end_stream();
                    let request = http::Request::from_parts(head, body);
                    let response = tokio::select! {
                        response = handler.handle(request, peer) => response,
                        () = handle.ended(), if may_be_unread => {
                            return Err(body_error::BodyError::Cancelled);
                        }
                    };
                    (response, None)
                }
            };
            if version <= http::Version::HTTP_10 && ends_with_connection(response.body()) {
                handle.reset_unless_shut_down().map_err(|_| body_error::BodyError::Cancelled)?;
            }
            let guard = (started.finish_guard(), permit);
            Ok(response.map(|body| guarded_body::GuardedBody::new(body, guard)))
        }
    });
    let builder = builder(limits);
    let connection = builder.serve_connection(stream, serve);
    let stopped = async {
        stop.cancelled().await;
        started.stop().await;
    };
    drive(connection, stopped).await;
}

/// Returns whether the end of the connection is the end of a response to a caller of HTTP/1.0, which has no
/// chunks.
fn ends_with_connection(body: &impl Body) -> bool {
    !body.is_end_stream() && body.size_hint().exact().is_none()
}

/// Drives a connection to its end. After `stopped`, no further request is read on it.
async fn drive<C: graceful::GracefulConnection>(connection: C, stopped: impl Future<Output = ()>)
where
    C::Error: std::fmt::Debug,
{
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if result.is_err() {
        metrics::counter!("lynxmast_connections_failed_total").increment(1);
    }
}

/// Waits for the first byte of a connection. Returns `false` if it is closed, `timeout` passes or
/// `stop` is cancelled first.
async fn receives_first_byte(
    stream: &tcp::TcpStream,
    stop: &CancellationToken,
    timeout: time::Duration,
) -> bool {
    let mut first = [0];
    let received = tokio::time::timeout(timeout, stream.peek(&mut first));
    let received = stop.run_until_cancelled(received).await;
    matches!(received, Some(Ok(Ok(1..))))
}

fn builder(limits: Limits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(HEADERS_MAX)
        .max_buf_size(limits.head_size.max(READ_BUFFER_MIN));
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(peers::STREAM_WINDOW)
        .initial_connection_window_size(peers::CONNECTION_WINDOW)
        .max_concurrent_streams(peers::CONCURRENT_STREAMS_MAX)
        .max_header_list_size(peers::HEADER_LIST_SIZE_MAX)
        .max_send_buf_size(peers::STREAM_WINDOW as usize)
        .keep_alive_interval(peers::PING_INTERVAL * 5)
        .keep_alive_timeout(peers::PING_INTERVAL * 5);
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
