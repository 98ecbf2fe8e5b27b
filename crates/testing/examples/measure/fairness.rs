//! Fairness between organisations that share a service, and accuracy of their fleet-wide rate
//! limits.

use std::time;

use lynxmast_state::policy::organisation;
use lynxmast_testing::backend;
use lynxmast_testing::load;

use crate::data_path;
use crate::report;

/// Organisations; the first sends ten times as many requests as each of the others.
const ORGANISATIONS: [&str; 4] = ["greedy", "anarkali", "saddar", "tariq-road"];
/// Requests per second of an ordinary organisation: the load of four such organisations occupies
/// 50% or 80% of the slots.
const ORDINARY_RATES: [f64; 2] = [100.0, 160.0];
const SERVICE_TIME: time::Duration = time::Duration::from_millis(10);
const RATE_LIMIT: f64 = 100.0;

fn section(rate: Option<f64>) -> String {
    let mut section = data_path::section().replace("ramp = '0s'", "ramp = '0s'\nhedge = false");
    for name in ORGANISATIONS {
        let hash = organisation::hash_key(name);
        section += &format!("[[organisation]]\nname = '{name}'\nkey-hash = '{hash}'\n");
        if let Some(rate) = rate {
            section += &format!("rate = {rate:.1}\n");
        }
    }
    section
}

/// Measures the latency of three organisations alone, and together with an organisation that sends
/// ten times as many requests.
pub fn measure(seed: u64, duration: time::Duration) {
    ORDINARY_RATES.into_iter().for_each(|rate| measure_rate(rate, seed, duration));
}

fn measure_rate(rate: f64, seed: u64, duration: time::Duration) {
    let behaviour = backend::Behaviour { service_time: SERVICE_TIME, ..Default::default() };
    let bench = data_path::Bench::start(&section(None), 2, &behaviour);
    let start_load = |name: &str, rate: f64, seed: u64| {
        let mut plan = bench.plan(rate, duration, seed);
        plan.request.key = Some(name.to_owned());
        load::run(plan)
    };
    let run_ordinary = || {
        let names = ORGANISATIONS[1..].iter().zip(seed + 1..);
        futures::future::join_all(names.map(|(name, seed)| start_load(name, rate, seed)))
    };
    bench.caller_runtime.block_on(start_load(ORGANISATIONS[1], rate, seed));
    let baseline = bench.caller_runtime.block_on(run_ordinary());
    let greedy_load = start_load(ORGANISATIONS[0], rate * 10.0, seed + 9);
    let (contended, greedy_stats) =
        bench.caller_runtime.block_on(futures::future::join(run_ordinary(), greedy_load));
    let prefix = format!("fairness.{rate}rps");
    report::load_stats(&format!("{prefix}.greedy"), &greedy_stats);
    let mut worst_ratio: f64 = 0.0;
    for (name, (baseline_stats, contended_stats)) in
        ORGANISATIONS[1..].iter().zip(baseline.iter().zip(&contended))
    {
        report::load_stats(&format!("{prefix}.{name}.three"), baseline_stats);
        report::load_stats(&format!("{prefix}.{name}.beside-greedy"), contended_stats);
        worst_ratio =
            worst_ratio.max(contended_stats.quantile_ms(0.99) / baseline_stats.quantile_ms(0.99));
    }
    report::figure(&format!("{prefix}.ratio"), worst_ratio, "times");
}

/// Measures how accurately a fleet-wide rate limit holds when all ingresses or only one get the
/// load.
pub fn limits(seed: u64, duration: time::Duration) {
    let behaviour = backend::Behaviour { service_time: time::Duration::ZERO, ..Default::default() };
    let bench = data_path::Bench::start(&section(Some(RATE_LIMIT)), 6, &behaviour);
    for (name, targets) in [("all-entries", 3), ("one-entry", 1)] {
        let mut plan = bench.plan(RATE_LIMIT * 5.0, duration + time::Duration::from_secs(2), seed);
        plan.targets.truncate(targets);
        plan.request.key = Some(ORGANISATIONS[1].to_owned());
        let warm_up = load::Plan { duration: time::Duration::from_secs(2), ..plan.clone() };
        bench.caller_runtime.block_on(load::run(warm_up));
        let stats = bench.caller_runtime.block_on(load::run(load::Plan { duration, ..plan }));
        let admitted = stats.success_rate() * stats.sent as f64 / duration.as_secs_f64();
        report::figure(&format!("limits.{name}.admitted"), admitted, "requests/s");
        report::figure(
            &format!("limits.{name}.of-limit"),
            admitted / RATE_LIMIT * 100.0,
            "percent",
        );
    }
}
