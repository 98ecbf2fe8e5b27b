//! Callers that send requests throughout a soak run.

use std::net;
use std::sync;
use std::time;

use lynxmast_testing::caller;
use rand::seq::IndexedRandom;
use tokio::task;

use crate::fleet;

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    tasks: task::JoinSet<Vec<Observation>>,
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

/// Running callers of the organisation with a quota, one for each ingress.
#[derive(Debug)]
pub struct QuotaCallers {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    tasks: task::JoinSet<Vec<Run>>,
}

impl QuotaCallers {
    /// Starts the callers. Together they send several times the quota.
    pub fn start(ingresses: &[net::SocketAddr]) -> Self {
        let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let mut tasks = task::JoinSet::new();
        for ingress in ingresses {
            tasks.spawn(run_quota_caller(*ingress, stop.clone()));
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns the requests that ran.
    pub async fn stop(self) -> Vec<Run> {
        self.stop.store(true, sync::atomic::Ordering::Release);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

async fn run_quota_caller(
    ingress: net::SocketAddr,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<Run> {
    let caller = caller::Caller::new(ingress);
    let (host, path) = (fleet::HOST, fleet::QUOTA_PATH);
    let key = Some(fleet::QUOTA_KEY.to_owned());
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

/// Number of callers for each ingress.
const CALLERS_PER_INGRESS: usize = 3;
/// Pause of a caller after each request.
const REQUEST_PAUSE: time::Duration = time::Duration::from_millis(15);
/// Time between two copies of a request that crashes backend servers.
const COPY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of requests to each ingress in a probe.
const PROBE_REQUESTS: usize = 20;

impl Callers {
    /// Starts three callers for each ingress. A caller reuses its connection until it fails.
    pub fn start(ingresses: &[net::SocketAddr]) -> Self {
        let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let mut tasks = task::JoinSet::new();
        for (first_index, ingress) in
            ingresses.iter().cycle().take(CALLERS_PER_INGRESS * ingresses.len()).enumerate()
        {
            tasks.spawn(run_caller(*ingress, first_index, stop.clone()));
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns all responses.
    pub async fn stop(self) -> Vec<Observation> {
        self.stop.store(true, sync::atomic::Ordering::Release);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
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
        ("POST", fleet::NON_IDEMPOTENT_PATH)
    } else {
        ("GET", fleet::IDEMPOTENT_PATH)
    };
    caller::Request { method, host: fleet::HOST, path, ..caller::Request::default() }
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
    let (host, path) = (fleet::HOST, fleet::CRASHING_PATH);
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
