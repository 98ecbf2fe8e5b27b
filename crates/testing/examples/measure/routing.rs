//! Balancing policies side by side, with one upstream at a tenth of its speed.

use std::time;

use lynxmast_state::router;
use lynxmast_testing::backend;
use lynxmast_testing::load;

use crate::data_path;
use crate::report;

const SERVICE_TIME: time::Duration = time::Duration::from_millis(10);
/// Requests a second: 40% of what six healthy upstreams with four slots each run.
const RATE: f64 = 960.0;
const SLOWNESS: f64 = 10.0;

/// Measures each policy on a fleet of its own under the same load.
pub fn measure(seed: u64, span: time::Duration) {
    let policies = [
        ("round-robin", router::Balance::RoundRobin, false),
        ("least-connections", router::Balance::LeastConnections, false),
        ("load-seen", router::Balance::LoadSeen, false),
        ("load-seen-hedged", router::Balance::LoadSeen, true),
    ];
    for (name, balance, hedge) in policies {
        let section =
            data_path::section().replace("ramp = '0s'", &format!("ramp = '0s'\nhedge = {hedge}"));
        let behaviour = backend::Behaviour { time: SERVICE_TIME, ..Default::default() };
        let bench = data_path::Bench::balanced(&section, 6, &behaviour, balance);
        bench.backends[0].change(|behaviour| behaviour.slowness = SLOWNESS);
        let runs = bench.backends[0].runs();
        let tally = bench.load.block_on(load::run(bench.plan(RATE, span, seed)));
        report::tally(&format!("routing.{name}"), &tally);
        let share = (bench.backends[0].runs() - runs) as f64 / tally.sent as f64;
        report::line(&format!("routing.{name}.slow-share"), share * 100.0, "percent");
    }
}
