//! Added latency against going straight to the backend server, and requests a second a core.

use std::sync;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::load;

use crate::process;
use crate::report;

/// A service in three failure domains.
pub fn section() -> String {
    fleet::section("idempotent = true\ndeadline = '5s'")
}

/// Requests a second that one daemon is designed for.
const DAEMON_RATE: f64 = 125.0;
const DAEMONS: usize = 3;
const CALLERS: usize = 48;

/// A fleet with six backend servers, each role on threads of its own.
pub struct Bench {
    /// Threads of callers.
    pub load: tokio::runtime::Runtime,
    /// Threads of daemons.
    pub daemon: tokio::runtime::Runtime,
    /// The fleet.
    pub fleet: sync::Arc<fleet::Fleet>,
    /// Backend servers.
    pub backends: Vec<backend::Backend>,
    _backend: tokio::runtime::Runtime,
}

impl Bench {
    /// Starts the fleet; `count` backend servers behave as told.
    pub fn start(section: &str, count: usize, behaviour: &backend::Behaviour) -> Self {
        Self::balanced(section, count, behaviour, Default::default())
    }

    /// Starts a fleet with a balancing policy.
    pub fn balanced(
        section: &str,
        count: usize,
        behaviour: &backend::Behaviour,
        balance: lynxmast_state::router::Balance,
    ) -> Self {
        let (daemon, backend) = (process::runtime("daemon", 3), process::runtime("backend", 2));
        let load = process::runtime("load", 2);
        let domains = ["a", "b", "c"];
        let fleet = daemon.block_on(fleet::Fleet::balanced(&domains, &[section], balance));
        let mut backends = Vec::new();
        for index in 0..count {
            let added = fleet.add_backend(index % DAEMONS, "s", behaviour.clone());
            backends.push(backend.block_on(added));
        }
        Self { load, daemon, fleet: sync::Arc::new(fleet), backends, _backend: backend }
    }

    /// Returns a plan through all entries.
    pub fn plan(&self, rate: f64, span: time::Duration, seed: u64) -> load::Plan {
        let entries = (0..DAEMONS).map(|daemon| self.fleet.entry(daemon)).collect();
        load::Plan { entries, ask: ask(), rate, span, seed }
    }
}

/// A plain read.
pub fn ask() -> caller::Ask {
    caller::Ask { host: "h.example", path: "/", ..Default::default() }
}

fn instant() -> backend::Behaviour {
    backend::Behaviour { time: time::Duration::ZERO, ..Default::default() }
}

/// Measures added latency at the designed rate and at ten times that.
pub fn latency(seed: u64, span: time::Duration) {
    let bench = Bench::start(&section(), 6, &instant());
    let warm_up = bench.plan(500.0, time::Duration::from_secs(1), seed);
    bench.load.block_on(load::run(warm_up));
    for factor in [1.0, 10.0] {
        let rate = DAEMON_RATE * factor * DAEMONS as f64;
        let through = bench.plan(rate, span, seed);
        let entries = bench.backends.iter().map(|backend| backend.address).collect();
        let direct = load::Plan { entries, ..through.clone() };
        // Both at the same time, so that they share the machine's noise.
        let both = futures::future::join(load::run(direct), load::run(through));
        let (direct, through) = bench.load.block_on(both);
        let name = format!("latency.{}rps", DAEMON_RATE * factor);
        report::tally(&format!("{name}.direct"), &direct);
        report::tally(&format!("{name}.through"), &through);
        let added = |quantile| through.quantile_ms(quantile) - direct.quantile_ms(quantile);
        report::line(&format!("{name}.added.p50"), added(0.5), "ms");
        report::line(&format!("{name}.added.p99"), added(0.99), "ms");
        let strict = through.quantile_ms(0.99) - direct.quantile_ms(0.5);
        report::line(&format!("{name}.added.p99-over-direct-p50"), strict, "ms");
    }
}

/// Measures requests a second for each core that daemons use, with callers that never pause.
pub fn throughput(_seed: u64, span: time::Duration) {
    let bench = Bench::start(&section(), 6, &instant());
    let before = process::processor_time("daemon");
    let answered = bench.load.block_on(async {
        let callers = (0..CALLERS).map(|n| {
            let caller = caller::Caller::new(bench.fleet.entry(n % DAEMONS));
            async move {
                let started = time::Instant::now();
                let mut answered = 0_u64;
                while started.elapsed() < span {
                    answered += u64::from(caller.ask(&ask()).await.is_good());
                }
                answered
            }
        });
        futures::future::join_all(callers.map(tokio::spawn)).await
    });
    let answered: u64 = answered.into_iter().filter_map(Result::ok).sum();
    let used = process::processor_time("daemon") - before;
    let rate = answered as f64 / span.as_secs_f64();
    report::line("throughput.answered", rate, "requests/s");
    let cores = used.as_secs_f64() / span.as_secs_f64();
    report::line("throughput.daemon-cores", cores, "cores");
    report::line("throughput.per-core", rate / cores, "requests/s/core");
}
