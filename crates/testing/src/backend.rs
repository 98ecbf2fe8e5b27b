//! Stand-in for a backend server: runs requests in slots, announces itself, turns gray on command.

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

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    /// Service that it belongs to.
    pub service: String,
    /// Address at which it takes requests.
    pub address: net::SocketAddr,
    state: sync::Arc<State>,
    incarnation: u64,
    server: tasks::AbortHandle,
    heartbeat: sync::Mutex<Option<tasks::AbortHandle>>,
}

/// How a backend server behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Behaviour {
    /// Time that a request runs.
    pub time: time::Duration,
    /// Factor on the time; above 1 the backend server is gray.
    pub slowness: f64,
    /// Share of requests answered with status 500.
    pub errors: f64,
    /// Share of answers cut in the middle.
    pub cuts: f64,
    /// Share of requests never answered.
    pub silence: f64,
    /// Whether answers return the exchange id.
    pub returns_ids: bool,
    /// Bytes of an answer's body.
    pub size: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            time: time::Duration::from_millis(5),
            slowness: 1.0,
            errors: 0.0,
            cuts: 0.0,
            silence: 0.0,
            returns_ids: true,
            size: 256,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    behaviour: sync::Mutex<Behaviour>,
    runs: atomic::AtomicU64,
    running: atomic::AtomicU32,
    most_running: atomic::AtomicU32,
    received: atomic::AtomicU64,
    connections: atomic::AtomicU64,
    /// Runs of each tagged request, by path and tag.
    tags: sync::Mutex<IndexMap<String, u32>>,
}

/// Header by which callers mark a request; the answer's body repeats it.
pub const TAG: &str = "x-tag";

/// Returns the body that answers a tagged request.
pub fn answer_for(tag: &str, size: usize) -> Bytes {
    let line = format!("{tag}\n");
    line.bytes().cycle().take(size.max(line.len())).collect()
}

impl Backend {
    /// Starts a backend server on a free loopback port; it announces nothing yet.
    ///
    /// # Panics
    ///
    /// Panics when no port can be opened.
    pub async fn start(service: &str, behaviour: Behaviour) -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self::start_at(service, behaviour, any, 1).await
    }

    /// Starts a backend server at an address, as the start numbered `incarnation`.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened.
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
        let server = tokio::spawn(accept(listener, state.clone())).abort_handle();
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

    /// Announces the backend server and keeps its lease until [`Backend::depart`] or a crash.
    ///
    /// # Panics
    ///
    /// Panics when the daemon refuses for longer than five seconds.
    pub async fn announce(&self, beside: net::SocketAddr) {
        let announcement = self.announcement();
        let started = time::Instant::now();
        while !post(beside, announce::ANNOUNCE_PATH, &announcement).await.is_some_and(|a| a.0) {
            assert!(started.elapsed() < time::Duration::from_secs(5), "announcement refused");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        self.keep_announcing(beside);
    }

    /// Announces the backend server again and again, whether the daemon answers or not.
    pub fn keep_announcing(&self, beside: net::SocketAddr) {
        let announcement = self.announcement();
        let heartbeat = tokio::spawn(async move {
            loop {
                post(beside, announce::ANNOUNCE_PATH, &announcement).await;
                tokio::time::sleep(time::Duration::from_millis(500)).await;
            }
        });
        if let Some(old) = lock(&self.heartbeat).replace(heartbeat.abort_handle()) {
            old.abort();
        }
    }

    /// Announces departure and waits until nothing is in flight; `false` if that takes over `limit`.
    pub async fn depart(&self, beside: net::SocketAddr, limit: time::Duration) -> bool {
        let departure = announce::Departure {
            instance: None,
            service: self.service.as_str().into(),
            address: self.address,
            incarnation: self.incarnation,
        };
        let leave = async {
            loop {
                let answer = post(beside, announce::DEPART_PATH, &departure).await;
                let departing = answer.and_then(|(_, body)| {
                    serde_json::from_slice::<announce::DrainStatus>(&body).ok()
                });
                if departing.is_some_and(|departing| departing.in_flight == 0) {
                    return;
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        };
        let left = tokio::time::timeout(limit, leave).await.is_ok();
        self.silence_heartbeat();
        left
    }

    /// Ends the process as a crash would: connections break, heartbeats stop.
    pub fn crash(&self) {
        self.silence_heartbeat();
        self.server.abort();
    }

    /// Changes the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.state.behaviour));
    }

    /// Returns the requests that have begun to run.
    pub fn runs(&self) -> u64 {
        self.state.runs.load(atomic::Ordering::SeqCst)
    }

    /// Returns the most requests that ran at the same time.
    pub fn most_running(&self) -> u32 {
        self.state.most_running.load(atomic::Ordering::SeqCst)
    }

    /// Returns the bytes of request bodies received.
    pub fn received(&self) -> u64 {
        self.state.received.load(atomic::Ordering::SeqCst)
    }

    /// Returns the runs of each tagged request on a path.
    pub fn runs_by_tag(&self, path: &str) -> IndexMap<String, u32> {
        let tags = lock(&self.state.tags);
        let prefix = format!("{path} ");
        let own = tags.iter().filter_map(|(key, runs)| Some((key.strip_prefix(&prefix)?, *runs)));
        own.map(|(tag, runs)| (tag.to_owned(), runs)).collect()
    }

    /// Returns the connections accepted.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(atomic::Ordering::SeqCst)
    }

    fn silence_heartbeat(&self) {
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

async fn accept(listener: tcp::TcpListener, state: sync::Arc<State>) {
    let mut connections = tasks::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        state.connections.fetch_add(1, atomic::Ordering::SeqCst);
        let state = state.clone();
        let serve = service::service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, convert::Infallible>(state.run(request).await) }
        });
        connections.spawn(http1::Builder::new().serve_connection(rt::TokioIo::new(stream), serve));
        while connections.try_join_next().is_some() {}
    }
}

impl State {
    async fn run(&self, request: http::Request<body::Incoming>) -> http::Response<StandInBody> {
        let _running = Running::start(self);
        let behaviour = lock(&self.behaviour).clone();
        let (head, mut incoming) = request.into_parts();
        let tag = head.headers.get(TAG).and_then(|tag| tag.to_str().ok()).unwrap_or_default();
        *lock(&self.tags).entry(format!("{} {tag}", head.uri.path())).or_default() += 1;
        while let Some(frame) = incoming.frame().await {
            let data = frame.ok().and_then(|frame| frame.into_data().ok());
            let size = data.map_or(0, |data| data.len() as u64);
            self.received.fetch_add(size, atomic::Ordering::SeqCst);
        }
        let time = behaviour.time.mul_f64(behaviour.slowness);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        if rand::rng().random_bool(behaviour.silence) {
            std::future::pending::<()>().await;
        }
        let bytes = answer_for(tag, behaviour.size);
        let cut = rand::rng().random_bool(behaviour.cuts);
        let mut response =
            http::Response::new(StandInBody { bytes: Some(bytes), cut, pause: None });
        if rand::rng().random_bool(behaviour.errors) {
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        let id = head.headers.get(header::EXCHANGE_ID).filter(|_| behaviour.returns_ids);
        if let Some(id) = id {
            response.headers_mut().insert(header::EXCHANGE_ID, id.clone());
        }
        response
    }
}

/// Counts a request while it runs.
struct Running<'a>(&'a State);

impl<'a> Running<'a> {
    fn start(state: &'a State) -> Self {
        state.runs.fetch_add(1, atomic::Ordering::SeqCst);
        let running = state.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        state.most_running.fetch_max(running, atomic::Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// A body that may break off in its middle.
struct StandInBody {
    bytes: Option<Bytes>,
    cut: bool,
    pause: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

/// Time between the last bytes of a cut answer and its end, so that they are sent at all.
const CUT_PAUSE: time::Duration = time::Duration::from_millis(10);

impl body::Body for StandInBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        let Some(bytes) = self.bytes.take() else {
            if !self.cut {
                return task::Poll::Ready(None);
            }
            let pause = self.pause.get_or_insert_with(|| Box::pin(tokio::time::sleep(CUT_PAUSE)));
            task::ready!(pause.as_mut().poll(cx));
            return task::Poll::Ready(Some(Err(std::io::ErrorKind::BrokenPipe.into())));
        };
        let end = if self.cut { bytes.len() / 2 } else { bytes.len() };
        task::Poll::Ready(Some(Ok(body::Frame::data(bytes.slice(..end)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && !self.cut
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

async fn post<T: serde::Serialize>(
    address: net::SocketAddr,
    path: &str,
    value: &T,
) -> Option<(bool, Bytes)> {
    let limit = time::Duration::from_secs(2);
    let body = client::json(value);
    let answer = client::exchange(address, http::Method::POST, path, body, limit).await.ok()?;
    Some((answer.status.is_success(), answer.body))
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
