//! Fairness between organisations that share a service, and their limits over the fleet.

use std::time;

use lynxmast_state::policy::organisation;
use lynxmast_testing::backend;
use lynxmast_testing::load;

use crate::data_path;
use crate::report;

const SELLERS: [&str; 4] = ["greedy", "anarkali", "saddar", "tariq-road"];
/// Requests a second of an ordinary seller: four of them ask for half of the slots, or 80%.
const SELLER_RATES: [f64; 2] = [100.0, 160.0];
const SERVICE_TIME: time::Duration = time::Duration::from_millis(10);
const LIMIT: f64 = 100.0;

fn section(rate: Option<f64>) -> String {
    let mut section = data_path::section().replace("ramp = '0s'", "ramp = '0s'\nhedge = false");
    for name in SELLERS {
        let hash = organisation::hash_key(name);
        section += &format!("[[organisation]]\nname = '{name}'\nkey-hash = '{hash}'\n");
        if let Some(rate) = rate {
            section += &format!("rate = {rate:.1}\n");
        }
    }
    section
}

/// Measures what three sellers see alone, and beside one that sends ten times as much.
pub fn measure(seed: u64, span: time::Duration) {
    SELLER_RATES.into_iter().for_each(|rate| measure_at(rate, seed, span));
}

fn measure_at(rate: f64, seed: u64, span: time::Duration) {
    let behaviour = backend::Behaviour { time: SERVICE_TIME, ..Default::default() };
    let bench = data_path::Bench::start(&section(None), 2, &behaviour);
    let run = |name: &str, rate: f64, seed: u64| {
        let mut plan = bench.plan(rate, span, seed);
        plan.ask.key = Some(name.to_owned());
        load::run(plan)
    };
    let others = || {
        let names = SELLERS[1..].iter().zip(seed + 1..);
        futures::future::join_all(names.map(|(name, seed)| run(name, rate, seed)))
    };
    bench.load.block_on(run(SELLERS[1], rate, seed));
    let three = bench.load.block_on(others());
    let greedy = run(SELLERS[0], rate * 10.0, seed + 9);
    let (beside, greedy) = bench.load.block_on(futures::future::join(others(), greedy));
    let prefix = format!("fairness.{rate}rps");
    report::tally(&format!("{prefix}.greedy"), &greedy);
    let mut worst: f64 = 0.0;
    for (name, (before, after)) in SELLERS[1..].iter().zip(three.iter().zip(&beside)) {
        report::tally(&format!("{prefix}.{name}.three"), before);
        report::tally(&format!("{prefix}.{name}.beside-greedy"), after);
        worst = worst.max(after.quantile_ms(0.99) / before.quantile_ms(0.99));
    }
    report::line(&format!("{prefix}.ratio"), worst, "times");
}

/// Measures how well a limit over the whole fleet holds when one entry, or all, get the demand.
pub fn limits(seed: u64, span: time::Duration) {
    let behaviour = backend::Behaviour { time: time::Duration::ZERO, ..Default::default() };
    let bench = data_path::Bench::start(&section(Some(LIMIT)), 6, &behaviour);
    for (name, entries) in [("all-entries", 3), ("one-entry", 1)] {
        let mut plan = bench.plan(LIMIT * 5.0, span + time::Duration::from_secs(2), seed);
        plan.entries.truncate(entries);
        plan.ask.key = Some(SELLERS[1].to_owned());
        let settle = load::Plan { span: time::Duration::from_secs(2), ..plan.clone() };
        bench.load.block_on(load::run(settle));
        let tally = bench.load.block_on(load::run(load::Plan { span, ..plan }));
        let admitted = tally.good_share() * tally.sent as f64 / span.as_secs_f64();
        report::line(&format!("limits.{name}.admitted"), admitted, "requests/s");
        report::line(&format!("limits.{name}.of-limit"), admitted / LIMIT * 100.0, "percent");
    }
}
