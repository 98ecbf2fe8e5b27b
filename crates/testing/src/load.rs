//! Open-loop load generator: the send times do not depend on the response times.

use std::net;
use std::sync;
use std::time;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::caller;

/// Load that sends the same request repeatedly.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Addresses to send to, in rotation.
    pub targets: Vec<net::SocketAddr>,
    /// Request to send.
    pub request: caller::Request,
    /// Mean requests per second; the times between requests are exponentially distributed.
    pub rate: f64,
    /// Time during which requests are sent.
    pub duration: time::Duration,
    /// Seed of the random times between requests.
    pub seed: u64,
}

/// Statistics of the responses.
#[derive(Debug, Clone)]
pub struct LoadStats {
    /// Latencies of successful responses in microseconds.
    pub latencies: Histogram<u64>,
    /// Number of responses by label: `good` for a successful response, `broken` for another
    /// response without an outcome header, otherwise the outcome and the reason, such as
    /// `not-run-rate-limited`.
    pub outcomes: IndexMap<String, u64>,
    /// Number of responses with a wrong body that was passed as complete.
    pub mismatched: u64,
    /// Number of requests sent.
    pub sent: u64,
}

impl Default for LoadStats {
    fn default() -> Self {
        let latencies =
            Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("fixed bounds are valid");
        Self { latencies, outcomes: IndexMap::new(), mismatched: 0, sent: 0 }
    }
}

const LATENCY_MAX_US: u64 = 600_000_000;

impl LoadStats {
    fn record(&mut self, response: &caller::Response) {
        self.sent += 1;
        self.mismatched += u64::from(response.is_mismatched());
        let label = match (response.outcome.as_str(), response.reason.as_str()) {
            ("", _) if response.is_success() => "good".to_owned(),
            ("", _) => "broken".to_owned(),
            ("answered", _) if response.is_success() => "good".to_owned(),
            (outcome, reason) => format!("{outcome}-{reason}"),
        };
        *self.outcomes.entry(label).or_default() += 1;
        if response.is_success() {
            self.latencies.saturating_record(response.elapsed.as_micros() as u64);
        }
    }

    /// Returns the fraction of requests with a successful response.
    pub fn success_rate(&self) -> f64 {
        self.outcomes.get("good").copied().unwrap_or(0) as f64 / self.sent.max(1) as f64
    }

    /// Returns a quantile of the latencies of successful responses in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Sends the requests of a plan and returns the statistics once all requests have completed or
/// failed.
pub async fn run(plan: Plan) -> LoadStats {
    let stats = sync::Arc::new(sync::Mutex::new(LoadStats::default()));
    let pools: Vec<sync::Arc<CallerPool>> =
        plan.targets.iter().map(|&target| sync::Arc::new(CallerPool::new(target))).collect();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut requests = tokio::task::JoinSet::new();
    let started = time::Instant::now();
    let (mut offset_s, mut index) = (0.0, 0);
    while offset_s < plan.duration.as_secs_f64() {
        tokio::time::sleep_until((started + time::Duration::from_secs_f64(offset_s)).into()).await;
        let pool = pools[index % pools.len()].clone();
        index += 1;
        let (request, stats) = (plan.request.clone(), stats.clone());
        requests.spawn(async move {
            let response = pool.send(&request).await;
            lock(&stats).record(&response);
        });
        let uniform: f64 = rng.random();
        offset_s += -(1.0 - uniform).ln() / plan.rate;
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    lock(&stats).clone()
}

/// Pool of callers of one address, each with its own connection; grows when all callers are busy.
#[derive(Debug)]
struct CallerPool {
    target: net::SocketAddr,
    idle: sync::Mutex<Vec<caller::Caller>>,
}

impl CallerPool {
    fn new(target: net::SocketAddr) -> Self {
        Self { target, idle: Default::default() }
    }

    async fn send(&self, request: &caller::Request) -> caller::Response {
        let idle = lock(&self.idle).pop();
        let caller = idle.unwrap_or_else(|| caller::Caller::new(self.target));
        let response = caller.send(request).await;
        lock(&self.idle).push(caller);
        response
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
