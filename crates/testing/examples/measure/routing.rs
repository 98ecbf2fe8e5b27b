//! Comparison of balancing policies with one upstream slowed down by a factor of ten.

use std::time;

use lynxmast_state::router;
use lynxmast_testing::backend;
use lynxmast_testing::load;

use crate::data_path;
use crate::report;

const SERVICE_TIME: time::Duration = time::Duration::from_millis(10);
/// Requests per second: 40% of the capacity of six healthy upstreams with four slots each.
const RATE: f64 = 960.0;
const SLOWDOWN: f64 = 10.0;

/// Measures each policy with the same load, on a separate fleet.
pub fn measure(seed: u64, duration: time::Duration) {
    let policies = [
        ("round-robin", router::Balance::RoundRobin, false),
        ("least-connections", router::Balance::LeastConnections, false),
        ("load-seen", router::Balance::LoadSeen, false),
        ("load-seen-hedged", router::Balance::LoadSeen, true),
    ];
    for (name, balance, hedge) in policies {
        let section =
            data_path::section().replace("ramp = '0s'", &format!("ramp = '0s'\nhedge = {hedge}"));
        let behaviour = backend::Behaviour { service_time: SERVICE_TIME, ..Default::default() };
        let bench = data_path::Bench::start_with_balance(&section, 6, &behaviour, balance);
        bench.backends[0].reconfigure(|behaviour| behaviour.slowdown = SLOWDOWN);
        let runs = bench.backends[0].runs();
        let stats = bench.caller_runtime.block_on(load::run(bench.plan(RATE, duration, seed)));
        report::load_stats(&format!("routing.{name}"), &stats);
        let share = (bench.backends[0].runs() - runs) as f64 / stats.sent as f64;
        report::figure(&format!("routing.{name}.slow-share"), share * 100.0, "percent");
    }
}
