//! Callers that send requests throughout a soak run.

use std::net;
use std::sync;
use std::time;

use lynxmast_testing::caller;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::task;

use crate::policy;

/// Running callers, each of which records a `T` for each request.
#[derive(Debug)]
pub struct Callers<T> {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    tasks: task::JoinSet<Vec<T>>,
}

/// Response to a request of the soak, with the kind of the request.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
    /// Response as seen by the caller.
    pub response: caller::Response,
}

/// A request of the organisation with a quota that a backend server has answered. It ran between the
/// two times.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// When the caller sent the request.
    pub sent: time::Instant,
    /// When the caller had received the response.
    pub completed: time::Instant,
}

/// Response to a request under a key.
#[derive(Debug, Clone)]
pub struct KeyedObservation {
    /// Ingress that the request was sent to.
    pub ingress: net::SocketAddr,
    /// Edit that has introduced the key; the next one withdraws it.
    pub edit: u64,
    /// Time at which the request was sent.
    pub started: time::Instant,
    /// Time at which the response ended.
    pub ended: time::Instant,
    /// Response as seen by the caller.
    pub response: caller::Response,
}

/// Number of earlier keys that callers use beside the newest one.
const EARLIER_KEYS: u64 = 3;
/// Number of callers for each ingress.
const CALLERS_PER_INGRESS: usize = 3;
/// Pause of a caller after each request.
const REQUEST_PAUSE: time::Duration = time::Duration::from_millis(15);
/// Time between two copies of a request that crashes backend servers.
const COPY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of requests to each ingress in a probe.
const PROBE_REQUESTS: usize = 20;

impl<T: Send + 'static> Callers<T> {
    fn new() -> Self {
        Self { stop: Default::default(), tasks: task::JoinSet::new() }
    }

    /// Stops the callers and returns what they recorded.
    pub async fn stop(self) -> Vec<T> {
        self.stop.store(true, sync::atomic::Ordering::Release);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

impl Callers<Observation> {
    /// Starts three callers for each ingress. A caller reuses its connection until it fails.
    pub fn start(ingresses: &[net::SocketAddr]) -> Self {
        let mut callers = Self::new();
        for (first_index, ingress) in
            ingresses.iter().cycle().take(CALLERS_PER_INGRESS * ingresses.len()).enumerate()
        {
            callers.tasks.spawn(run_caller(*ingress, first_index, callers.stop.clone()));
        }
        callers
    }
}

impl Callers<KeyedObservation> {
    /// Starts one caller for each ingress, which sends requests under new and withdrawn keys; `edits`
    /// is the number of the newest edit.
    pub fn start_keyed(
        ingresses: &[net::SocketAddr],
        edits: &sync::Arc<sync::atomic::AtomicU64>,
    ) -> Self {
        let mut callers = Self::new();
        for ingress in ingresses {
            callers.tasks.spawn(run_keyed_caller(*ingress, edits.clone(), callers.stop.clone()));
        }
        callers
    }
}

impl Callers<Run> {
    /// Starts one caller of the organisation with a quota for each ingress. Together they send several
    /// times the quota, and record the requests that ran.
    pub fn start_quota(ingresses: &[net::SocketAddr]) -> Self {
        let mut callers = Self::new();
        for ingress in ingresses {
            callers.tasks.spawn(run_quota_caller(*ingress, callers.stop.clone()));
        }
        callers
    }
}

async fn run_quota_caller(
    ingress: net::SocketAddr,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<Run> {
    let caller = caller::Caller::new(ingress);
    let (host, path) = (policy::HOST, policy::QUOTA_PATH);
    let key = Some(policy::QUOTA_KEY.to_owned());
    let request = caller::Request { host, path, key, ..caller::Request::default() };
    let mut runs = Vec::new();
    while !stop.load(sync::atomic::Ordering::Acquire) {
        let sent = time::Instant::now();
        if caller.send(&request).await.is_success() {
            runs.push(Run { sent, completed: time::Instant::now() });
        }
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    runs
}

async fn run_keyed_caller(
    ingress: net::SocketAddr,
    edits: sync::Arc<sync::atomic::AtomicU64>,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<KeyedObservation> {
    let caller = caller::Caller::new(ingress);
    let mut observations = Vec::new();
    while !stop.load(sync::atomic::Ordering::Acquire) {
        let newest = edits.load(sync::atomic::Ordering::Acquire);
        let edit = rand::rng().random_range(newest.saturating_sub(EARLIER_KEYS)..=newest);
        let started = time::Instant::now();
        let response = caller.send(&keyed_request(edit)).await;
        let ended = time::Instant::now();
        observations.push(KeyedObservation { ingress, edit, started, ended, response });
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    observations
}

fn keyed_request(edit: u64) -> caller::Request {
    let (host, path, key) = (policy::HOST, policy::KEYED_PATH, Some(policy::key(edit)));
    caller::Request { method: "POST", host, path, key, ..caller::Request::default() }
}

/// Sends one request under the key of an edit, on a new connection.
pub async fn send_keyed_request(ingress: net::SocketAddr, edit: u64) -> caller::Response {
    caller::Caller::new(ingress).send(&keyed_request(edit)).await
}

async fn run_caller(
    ingress: net::SocketAddr,
    first_index: usize,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<Observation> {
    let caller = caller::Caller::new(ingress);
    let mut observations = Vec::new();
    let mut index = first_index;
    while !stop.load(sync::atomic::Ordering::Acquire) {
        index += 1;
        let non_idempotent = index.is_multiple_of(2);
        observations.push(Observation {
            non_idempotent,
            response: caller.send(&request(non_idempotent)).await,
        });
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    observations
}

fn request(non_idempotent: bool) -> caller::Request {
    let (method, path) = if non_idempotent {
        ("POST", policy::NON_IDEMPOTENT_PATH)
    } else {
        ("GET", policy::IDEMPOTENT_PATH)
    };
    caller::Request { method, host: policy::HOST, path, ..caller::Request::default() }
}

/// Sends copies of a request that crashes backend servers, at random ingresses, until the task is
/// aborted.
pub async fn send_crashing_requests(ingresses: Vec<net::SocketAddr>) {
    let mut copies = task::JoinSet::new();
    loop {
        if let Some(ingress) = ingresses.choose(&mut rand::rng()) {
            copies.spawn(send_crashing_request(*ingress));
        }
        tokio::time::sleep(COPY_INTERVAL).await;
        while copies.try_join_next().is_some() {}
    }
}

/// Sends one copy of a request that crashes the backend server that runs it.
pub async fn send_crashing_request(ingress: net::SocketAddr) -> caller::Response {
    let (host, path) = (policy::HOST, policy::CRASHING_PATH);
    let request = caller::Request { host, path, ..caller::Request::default() };
    caller::Caller::new(ingress).send(&request).await
}

/// Sends idempotent requests to each ingress and returns the success rate of each ingress.
pub async fn probe(ingresses: &[net::SocketAddr]) -> Vec<f64> {
    let mut success_rates = Vec::new();
    for ingress in ingresses {
        let caller = caller::Caller::new(*ingress);
        let mut successes = 0;
        for _ in 0..PROBE_REQUESTS {
            successes += usize::from(caller.send(&request(false)).await.is_success());
        }
        success_rates.push(successes as f64 / PROBE_REQUESTS as f64);
    }
    success_rates
}
