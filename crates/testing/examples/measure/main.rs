//! Runs measurements: `measure -- EXPERIMENT` prints one line `name value unit` per figure.

mod data_path;
mod fairness;
mod fingerprint;
mod membership;
mod organisations;
mod process;
mod report;
mod routing;
mod streaming;

use gumdrop::Options;

/// Command-line arguments.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
    #[options(help = "seconds of load for each figure", default = "5")]
    seconds: u64,
    #[options(
        free,
        help = "latency, throughput, connections, streaming, fairness, limits or routing; data-path for all of these; or membership, fingerprint or organisations"
    )]
    experiments: Vec<String>,
}

/// Name and function of an experiment; the function takes the seed and the duration of the load.
struct Experiment(&'static str, fn(u64, std::time::Duration));

fn main() -> std::process::ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let duration = std::time::Duration::from_secs(arguments.seconds);
    let seed = arguments.seed;
    for name in &arguments.experiments {
        let runs_all = name == "data-path";
        let experiments = [
            Experiment("latency", data_path::latency),
            Experiment("throughput", data_path::throughput),
            Experiment("connections", streaming::idle_connections),
            Experiment("streaming", streaming::large_upload),
            Experiment("fairness", fairness::measure),
            Experiment("limits", fairness::limits),
            Experiment("routing", routing::measure),
        ];
        match name.as_str() {
            "membership" => {
                membership::measure(seed, duration);
                continue;
            }
            "fingerprint" => {
                fingerprint::measure(seed, duration);
                continue;
            }
            "organisations" => {
                organisations::measure();
                continue;
            }
            _ => {}
        }
        let selected: Vec<_> = experiments
            .iter()
            .filter(|Experiment(experiment, _)| runs_all || experiment == name)
            .collect();
        if selected.is_empty() {
            eprintln!("measure: unknown experiment '{name}'");
            return std::process::ExitCode::from(2);
        }
        selected.iter().for_each(|Experiment(_, run)| run(seed, duration));
    }
    std::process::ExitCode::SUCCESS
}
