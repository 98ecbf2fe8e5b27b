//! Runs the fault soak for a range of seeds and prints the invariants that were violated.

use std::path;
use std::process;
use std::time;

use gumdrop::Options;

/// Command-line arguments.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "path of the daemon's executable", meta = "FILE")]
    daemon: path::PathBuf,
    #[options(help = "first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "number of seeds to run, one after the other", default = "1", meta = "N")]
    seeds: u64,
    #[options(
        help = "seconds during which faults are injected, for each seed",
        default = "20",
        meta = "N"
    )]
    seconds: u64,
    #[options(help = "number of daemon processes", default = "8", meta = "N")]
    processes: usize,
    #[options(help = "directory for the daemons' log files", meta = "DIR")]
    logs: Option<path::PathBuf>,
}

/// Number of violations printed for each seed.
const VIOLATIONS_SHOWN_MAX: usize = 10;

#[tokio::main]
async fn main() -> process::ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let plan = lynxmast_soak::Plan {
            daemon: arguments.daemon.clone(),
            seed,
            duration: time::Duration::from_secs(arguments.seconds),
            processes: arguments.processes,
            logs: arguments.logs.clone(),
        };
        let violations = match lynxmast_soak::run(&plan).await {
            Ok(violations) => violations,
            Err(error) => vec![error],
        };
        println!("seed {seed}: {} violations", violations.len());
        violations.iter().take(VIOLATIONS_SHOWN_MAX).for_each(|line| println!("  {line}"));
        failed += u64::from(!violations.is_empty());
    }
    println!("{failed} of {} seeds violated an invariant", arguments.seeds);
    if failed == 0 { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}
