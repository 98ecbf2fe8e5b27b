//! Latency that the daemons add to a direct request, and throughput per CPU core.

use std::sync;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::load;

use crate::process;
use crate::report;

/// Returns the policy section of the measured service.
pub fn section() -> String {
    fleet::section("idempotent = true\ndeadline = '5s'")
}

/// Requests per second that one daemon is designed for.
const DAEMON_RATE: f64 = 125.0;
const DAEMONS: usize = 3;
const CALLERS: usize = 48;

/// Fleet under measurement. Load, daemons and backend servers run on separate threads.
pub struct Bench {
    /// Runtime of the callers.
    pub caller_runtime: tokio::runtime::Runtime,
    /// Runtime of the daemons.
    pub daemon_runtime: tokio::runtime::Runtime,
    /// Daemons and log service.
    pub fleet: sync::Arc<fleet::Fleet>,
    /// Backend servers, spread over the daemons.
    pub backends: Vec<backend::Backend>,
    _backend_runtime: tokio::runtime::Runtime,
}

impl Bench {
    /// Starts a fleet with `count` backend servers and the default balancing policy.
    pub fn start(section: &str, count: usize, behaviour: &backend::Behaviour) -> Self {
        Self::start_with_balance(section, count, behaviour, Default::default())
    }

    /// Starts a fleet with `count` backend servers and the given balancing policy.
    pub fn start_with_balance(
        section: &str,
        count: usize,
        behaviour: &backend::Behaviour,
        balance: lynxmast_state::router::Balance,
    ) -> Self {
        let (daemon_runtime, backend_runtime) =
            (process::runtime("daemon", 3), process::runtime("backend", 2));
        let caller_runtime = process::runtime("load", 2);
        let domains = ["a", "b", "c"];
        let fleet = daemon_runtime.block_on(fleet::Fleet::start_with_balance(
            &domains,
            &[section],
            balance,
        ));
        let mut backends = Vec::new();
        for index in 0..count {
            let added = fleet.add_backend(index % DAEMONS, "s", behaviour.clone());
            backends.push(backend_runtime.block_on(added));
        }
        Self {
            caller_runtime,
            daemon_runtime,
            fleet: sync::Arc::new(fleet),
            backends,
            _backend_runtime: backend_runtime,
        }
    }

    /// Returns a load plan that uses all ingresses in rotation.
    pub fn plan(&self, rate: f64, duration: time::Duration, seed: u64) -> load::Plan {
        let targets = (0..DAEMONS).map(|daemon| self.fleet.ingress_address(daemon)).collect();
        load::Plan { targets, request: request(), rate, duration, seed }
    }
}

/// Returns a GET request without a body or key.
pub fn request() -> caller::Request {
    caller::Request { host: "h.example", path: "/", ..Default::default() }
}

fn instant_behaviour() -> backend::Behaviour {
    backend::Behaviour { service_time: time::Duration::ZERO, ..Default::default() }
}

/// Measures the added latency at the design rate and at ten times that rate.
pub fn latency(seed: u64, duration: time::Duration) {
    let bench = Bench::start(&section(), 6, &instant_behaviour());
    let warm_up = bench.plan(500.0, time::Duration::from_secs(1), seed);
    bench.caller_runtime.block_on(load::run(warm_up));
    for factor in [1.0, 10.0] {
        let rate = DAEMON_RATE * factor * DAEMONS as f64;
        let proxied = bench.plan(rate, duration, seed);
        let targets = bench.backends.iter().map(|backend| backend.address).collect();
        let direct = load::Plan { targets, ..proxied.clone() };
        // Both run at the same time, so that other load on the machine affects both alike.
        let runs = futures::future::join(load::run(direct), load::run(proxied));
        let (direct, proxied) = bench.caller_runtime.block_on(runs);
        let name = format!("latency.{}rps", DAEMON_RATE * factor);
        report::load_stats(&format!("{name}.direct"), &direct);
        report::load_stats(&format!("{name}.through"), &proxied);
        let added = |quantile| proxied.quantile_ms(quantile) - direct.quantile_ms(quantile);
        report::figure(&format!("{name}.added.p50"), added(0.5), "ms");
        report::figure(&format!("{name}.added.p99"), added(0.99), "ms");
        // Upper estimate: subtracts the median of direct requests instead of their 99th percentile.
        let conservative = proxied.quantile_ms(0.99) - direct.quantile_ms(0.5);
        report::figure(&format!("{name}.added.p99-over-direct-p50"), conservative, "ms");
    }
}

/// Measures requests per second per CPU core used by the daemons, with callers that send without
/// pauses.
pub fn throughput(_seed: u64, duration: time::Duration) {
    let bench = Bench::start(&section(), 6, &instant_behaviour());
    let cpu_before = process::cpu_time("daemon");
    let successes = bench.caller_runtime.block_on(async {
        let callers = (0..CALLERS).map(|n| {
            let caller = caller::Caller::new(bench.fleet.ingress_address(n % DAEMONS));
            async move {
                let started = time::Instant::now();
                let mut successes = 0_u64;
                while started.elapsed() < duration {
                    successes += u64::from(caller.send(&request()).await.is_success());
                }
                successes
            }
        });
        futures::future::join_all(callers.map(tokio::spawn)).await
    });
    let successes: u64 = successes.into_iter().filter_map(Result::ok).sum();
    let cpu_used = process::cpu_time("daemon") - cpu_before;
    let rate = successes as f64 / duration.as_secs_f64();
    report::figure("throughput.answered", rate, "requests/s");
    let cores = cpu_used.as_secs_f64() / duration.as_secs_f64();
    report::figure("throughput.daemon-cores", cores, "cores");
    report::figure("throughput.per-core", rate / cores, "requests/s/core");
}
