//! Fake backend server that announces itself to a daemon and injects faults: slow, failed,
//! truncated and missing responses.

use std::convert;
use std::future::Future;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use indexmap::IndexMap;
use lynxmast_protocol::announce;
use lynxmast_protocol::header;
use lynxmast_transport::client;
use rand::Rng;
use tokio::net as tcp;
use tokio::task as tasks;

use crate::crashing_requests;

/// Fake backend server, running until it is dropped.
#[derive(Debug)]
pub struct Backend {
    /// Service that the backend server provides.
    pub service: String,
    /// Address that the server listens on.
    pub address: net::SocketAddr,
    state: sync::Arc<State>,
    incarnation: u64,
    server: tasks::AbortHandle,
    heartbeat: sync::Mutex<Option<tasks::AbortHandle>>,
}

/// Response behaviour of a backend server, with the faults to inject.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Time taken to process a request, before it is multiplied by `slowdown`.
    pub service_time: time::Duration,
    /// Multiplier for `service_time`; a value above 1 simulates a gray failure.
    pub slowdown: f64,
    /// Fraction of requests that get status 500 and crash nothing.
    pub error_rate: f64,
    /// Fraction of responses that end after half of the body.
    pub truncation_rate: f64,
    /// Fraction of requests that never get a response.
    pub hang_rate: f64,
    /// Whether responses repeat the exchange id of the request.
    pub echoes_ids: bool,
    /// Size of a response body in bytes; at least the tag and a line feed.
    pub body_size: usize,
    /// Limit in requests per second that responses name; not a number for an invalid one.
    pub limit: Option<&'static str>,
    /// Whether responses state that the server is about to leave.
    pub is_leaving: bool,
    /// Requests that crash the server once `service_time` has passed.
    pub crash_on: Option<crashing_requests::CrashingRequests>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time: time::Duration::from_millis(5),
            slowdown: 1.0,
            error_rate: 0.0,
            truncation_rate: 0.0,
            hang_rate: 0.0,
            echoes_ids: true,
            body_size: 256,
            limit: None,
            is_leaving: false,
            crash_on: None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    behaviour: sync::Mutex<Behaviour>,
    runs: atomic::AtomicU64,
    /// Time of each arrival.
    arrivals: sync::Mutex<Vec<time::Instant>>,
    running: atomic::AtomicU32,
    peak_running: atomic::AtomicU32,
    received_bytes: atomic::AtomicU64,
    connections: atomic::AtomicU64,
    /// Number of runs of each request, by path and tag.
    tag_runs: sync::Mutex<IndexMap<String, u32>>,
    /// Notified when a request that crashes the server has run.
    crashed: tokio::sync::Notify,
    /// Notified when the listener is to be closed.
    silenced: tokio::sync::Notify,
    /// Whether no further response is sent.
    is_silent: atomic::AtomicBool,
}

/// Header with the unique tag of a request; the response body repeats the tag.
pub const TAG: &str = "x-tag";

/// Returns the response body for a tag: lines with the tag, cut off at `size` bytes.
pub fn response_body(tag: &str, size: usize) -> Bytes {
    let line = format!("{tag}\n");
    line.bytes().cycle().take(size.max(line.len())).collect()
}

impl Backend {
    /// Starts a backend server on a free loopback port, without announcing it.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(service: &str, behaviour: Behaviour) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self::start_at(service, behaviour, any_port, 1).await
    }

    /// Starts a backend server at an address, without announcing it. `incarnation` numbers the
    /// starts of the same backend server.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be opened.
    pub async fn start_at(
        service: &str,
        behaviour: Behaviour,
        address: net::SocketAddr,
        incarnation: u64,
    ) -> Self {
        let listener = tcp::TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let state = sync::Arc::new(State::default());
        *lock(&state.behaviour) = behaviour;
        let server = tokio::spawn(serve_connections(listener, state.clone())).abort_handle();
        let service = service.to_owned();
        Self { service, address, state, incarnation, server, heartbeat: Default::default() }
    }

    fn announcement(&self) -> announce::Announcement {
        announce::Announcement {
            instance: None,
            sequence: 0,
            service: self.service.as_str().into(),
            address: self.address,
            slots: None,
            incarnation: self.incarnation,
        }
    }

    /// Announces the backend server to the local daemon and renews its lease until
    /// [`Backend::depart`] or [`Backend::crash`].
    ///
    /// # Panics
    ///
    /// Panics if the daemon has not accepted the announcement within 5 s.
    pub async fn announce(&self, announce_address: net::SocketAddr) {
        let announcement = self.announcement();
        let started = time::Instant::now();
        while !post(announce_address, announce::ANNOUNCE_PATH, &announcement)
            .await
            .is_some_and(|response| response.0)
        {
            assert!(
                started.elapsed() < time::Duration::from_secs(5),
                "announcement not accepted within 5 s"
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        self.keep_announcing(announce_address);
    }

    /// Announces the backend server to the local daemon every 500 ms in the background, even if the
    /// daemon does not respond.
    pub fn keep_announcing(&self, announce_address: net::SocketAddr) {
        let announcement = self.announcement();
        let heartbeat = tokio::spawn(async move {
            loop {
                post(announce_address, announce::ANNOUNCE_PATH, &announcement).await;
                tokio::time::sleep(time::Duration::from_millis(500)).await;
            }
        });
        if let Some(old) = lock(&self.heartbeat).replace(heartbeat.abort_handle()) {
            old.abort();
        }
    }

    /// Announces the departure to the local daemon and waits until no request is in flight.
    ///
    /// Returns `false` if the daemon has not reported this within `timeout`.
    pub async fn depart(&self, announce_address: net::SocketAddr, timeout: time::Duration) -> bool {
        let departure = announce::Departure {
            instance: None,
            service: self.service.as_str().into(),
            address: self.address,
            incarnation: self.incarnation,
        };
        let departure_loop = async {
            loop {
                let response = post(announce_address, announce::DEPART_PATH, &departure).await;
                let status = response.and_then(|(_, body)| {
                    serde_json::from_slice::<announce::DrainStatus>(&body).ok()
                });
                if status.is_some_and(|status| status.in_flight == 0) {
                    return;
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        };
        let completed = tokio::time::timeout(timeout, departure_loop).await.is_ok();
        self.stop_heartbeat();
        completed
    }

    /// Simulates a crash: closes all connections and stops the heartbeats.
    pub fn crash(&self) {
        self.stop_heartbeat();
        self.server.abort();
    }

    /// Simulates a crash, and waits until the port is closed. No other process gets the port while
    /// the returned guard exists.
    pub async fn close_port(&self) -> ClosedPort {
        self.crash();
        while !self.server.is_finished() {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        ClosedPort { _socket: bind(self.address).await }
    }

    /// Waits until a request has crashed the server. The caller carries the crash out.
    pub async fn crashed(&self) {
        self.state.crashed.notified().await;
    }

    /// Simulates a crash that closes nothing: open connections stay silent, new ones are not
    /// established while the returned guard exists.
    pub fn silence(&self) -> SilentPort {
        self.stop_heartbeat();
        self.state.is_silent.store(true, atomic::Ordering::SeqCst);
        self.state.silenced.notify_one();
        SilentPort(tokio::spawn(occupy(self.address)).abort_handle())
    }

    /// Changes the behaviour for requests that arrive from now on.
    pub fn reconfigure(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.state.behaviour));
    }

    /// Returns the number of requests that have started to run, including retries of the same
    /// request.
    pub fn runs(&self) -> u64 {
        self.state.runs.load(atomic::Ordering::SeqCst)
    }

    /// Returns the time of each arrival of a request, in order.
    pub fn arrivals(&self) -> Vec<time::Instant> {
        lock(&self.state.arrivals).clone()
    }

    /// Returns the highest number of requests that ran at the same time.
    pub fn peak_running(&self) -> u32 {
        self.state.peak_running.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of request body bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.state.received_bytes.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of runs of each request to a path, by tag.
    pub fn runs_by_tag(&self, path: &str) -> IndexMap<String, u32> {
        let tag_runs = lock(&self.state.tag_runs);
        let prefix = format!("{path} ");
        let on_path =
            tag_runs.iter().filter_map(|(key, runs)| Some((key.strip_prefix(&prefix)?, *runs)));
        on_path.map(|(tag, runs)| (tag.to_owned(), runs)).collect()
    }

    /// Returns the number of connections accepted.
    pub fn accepted_connections(&self) -> u64 {
        self.state.connections.load(atomic::Ordering::SeqCst)
    }

    fn stop_heartbeat(&self) {
        if let Some(heartbeat) = lock(&self.heartbeat).take() {
            heartbeat.abort();
        }
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Reserves the port of a crashed backend server, which refuses connections.
#[derive(Debug)]
pub struct ClosedPort {
    _socket: tcp::TcpSocket,
}

/// Keeps the port of a silent backend server occupied.
#[derive(Debug)]
pub struct SilentPort(tasks::AbortHandle);

impl Drop for SilentPort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Listens at `address` with a full queue of new connections, so that the kernel does not respond to
/// further ones.
async fn occupy(address: net::SocketAddr) {
    let listener = bind(address).await.listen(1).expect("a bound port");
    let filling = (0..4).map(|_| tcp::TcpStream::connect(address));
    let _filled = futures::future::join_all(filling).await;
    drop(listener);
}

/// Binds a socket to an address as soon as the address is free.
async fn bind(address: net::SocketAddr) -> tcp::TcpSocket {
    loop {
        let socket = tcp::TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        match socket.bind(address) {
            Ok(()) => return socket,
            Err(_) => tokio::time::sleep(time::Duration::from_millis(1)).await,
        }
    }
}

async fn serve_connections(listener: tcp::TcpListener, state: sync::Arc<State>) {
    let mut connections = tasks::JoinSet::new();
    // Dropped before the connections when the task is aborted: the kernel closes the files of a process that
    // ends in the order in which they were opened.
    let listener = listener;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.silenced.notified() => {
                drop(listener);
                return std::future::pending().await;
            }
        };
        let Ok((stream, _)) = accepted else { return };
        let _ = stream.set_nodelay(true);
        state.connections.fetch_add(1, atomic::Ordering::SeqCst);
        let state = state.clone();
        let serve = service::service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, convert::Infallible>(state.handle(request).await) }
        });
        connections.spawn(http1::Builder::new().serve_connection(rt::TokioIo::new(stream), serve));
        while connections.try_join_next().is_some() {}
    }
}

impl State {
    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> http::Response<TruncatableBody> {
        let _running = RunningGuard::start(self);
        let behaviour = lock(&self.behaviour).clone();
        let (head, mut incoming) = request.into_parts();
        let tag = head.headers.get(TAG).and_then(|tag| tag.to_str().ok()).unwrap_or_default();
        *lock(&self.tag_runs).entry(format!("{} {tag}", head.uri.path())).or_default() += 1;
        let mut received = Vec::new();
        while let Some(frame) = incoming.frame().await {
            let data = frame.ok().and_then(|frame| frame.into_data().ok()).unwrap_or_default();
            self.received_bytes.fetch_add(data.len() as u64, atomic::Ordering::SeqCst);
            if behaviour.crash_on.is_some() {
                received.extend_from_slice(&data);
            }
        }
        let crash_rate =
            behaviour.crash_on.map_or(0.0, |on| on.record_arrival(head.uri.path(), &received));
        let service_time = behaviour.service_time.mul_f64(behaviour.slowdown);
        if !service_time.is_zero() {
            tokio::time::sleep(service_time).await;
        }
        let is_error = rand::rng().random_bool(behaviour.error_rate);
        let crashes = !is_error && rand::rng().random_bool(crash_rate);
        if crashes {
            self.crashed.notify_one();
        }
        let is_silent = crashes || self.is_silent.load(atomic::Ordering::SeqCst);
        if is_silent || rand::rng().random_bool(behaviour.hang_rate) {
            std::future::pending::<()>().await;
        }
        let bytes = response_body(tag, behaviour.body_size);
        let truncated = rand::rng().random_bool(behaviour.truncation_rate);
        let mut response =
            http::Response::new(TruncatableBody { bytes: Some(bytes), truncated, delay: None });
        if is_error {
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        let id = head.headers.get(header::EXCHANGE_ID).filter(|_| behaviour.echoes_ids);
        if let Some(id) = id {
            response.headers_mut().insert(header::EXCHANGE_ID, id.clone());
        }
        if let Some(limit) = behaviour.limit {
            response.headers_mut().insert(header::LIMIT, http::HeaderValue::from_static(limit));
        }
        if behaviour.is_leaving {
            response.headers_mut().insert(header::LEAVING, http::HeaderValue::from_static("1"));
        }
        response
    }
}

/// Counts a request as running until the guard is dropped.
struct RunningGuard<'a>(&'a State);

impl<'a> RunningGuard<'a> {
    fn start(state: &'a State) -> Self {
        state.runs.fetch_add(1, atomic::Ordering::SeqCst);
        lock(&state.arrivals).push(time::Instant::now());
        let running = state.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        state.peak_running.fetch_max(running, atomic::Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Response body that can end with an error after half of its bytes.
struct TruncatableBody {
    bytes: Option<Bytes>,
    truncated: bool,
    delay: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

/// Delay before the connection of a truncated response is closed: without it the first half of the
/// body would not be sent.
const TRUNCATION_DELAY: time::Duration = time::Duration::from_millis(10);

impl body::Body for TruncatableBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        let Some(bytes) = self.bytes.take() else {
            if !self.truncated {
                return task::Poll::Ready(None);
            }
            let delay =
                self.delay.get_or_insert_with(|| Box::pin(tokio::time::sleep(TRUNCATION_DELAY)));
            task::ready!(delay.as_mut().poll(cx));
            return task::Poll::Ready(Some(Err(std::io::ErrorKind::BrokenPipe.into())));
        };
        let end = if self.truncated { bytes.len() / 2 } else { bytes.len() };
        task::Poll::Ready(Some(Ok(body::Frame::data(bytes.slice(..end)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && !self.truncated
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

/// Posts a value as JSON. Returns whether the status is a success, and the body of the response;
/// `None` if there is no response within 2 s.
async fn post<T: serde::Serialize>(
    address: net::SocketAddr,
    path: &str,
    value: &T,
) -> Option<(bool, Bytes)> {
    let limit = time::Duration::from_secs(2);
    let body = client::json(value);
    let response = client::exchange(address, http::Method::POST, path, body, limit).await.ok()?;
    Some((response.status.is_success(), response.body))
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
