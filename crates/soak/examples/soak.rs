//! Plays seeds of the fault soak and reports the promises that were broken.

use std::path;
use std::process;
use std::time;

use gumdrop::Options;

/// Command line of the soak.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "program of the daemon", meta = "FILE")]
    daemon: path::PathBuf,
    #[options(help = "first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "seeds to play, one after the other", default = "1", meta = "N")]
    seeds: u64,
    #[options(help = "seconds in which faults come, for each seed", default = "20", meta = "N")]
    seconds: u64,
    #[options(help = "daemons, each a process", default = "8", meta = "N")]
    processes: usize,
    #[options(help = "directory for the daemons' logs", meta = "DIR")]
    logs: Option<path::PathBuf>,
}

/// Lines shown of each seed that broke something.
const LINES_MAX: usize = 10;

#[tokio::main]
async fn main() -> process::ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let plan = lynxmast_soak::Plan {
            daemon: arguments.daemon.clone(),
            seed,
            span: time::Duration::from_secs(arguments.seconds),
            processes: arguments.processes,
            logs: arguments.logs.clone(),
        };
        let broken = match lynxmast_soak::run(&plan).await {
            Ok(broken) => broken,
            Err(error) => vec![error],
        };
        println!("seed {seed}: {} broken", broken.len());
        broken.iter().take(LINES_MAX).for_each(|line| println!("  {line}"));
        failed += u64::from(!broken.is_empty());
    }
    println!("{failed} of {} seeds broke a promise", arguments.seeds);
    if failed == 0 { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}
