//! `lynxmastd`: the daemon beside backend servers.

use std::path;
use std::process;

use gumdrop::Options;
use lynxmast_coordination::http_log;
use lynxmast_state::clock;
use lynxmastd::daemon;
use lynxmastd::logging;
use lynxmastd::on_store;
use lynxmastd::reload;
use lynxmastd::settings;
use metrics_exporter_prometheus as prometheus;
use tokio::signal::unix;

/// Exit code for settings or arguments that are refused.
const EXIT_USAGE: u8 = 2;
/// Exit code for a daemon that cannot start.
const EXIT_START: u8 = 3;
/// Exit code for a shutdown that cut requests.
const EXIT_CUT: u8 = 4;

/// Time between sums over recorded times, which are kept one by one until then.
const UPKEEP_EVERY: std::time::Duration = std::time::Duration::from_secs(5);
/// Upper ends of the classes of request times, in seconds: finer than the objectives of routes.
const SECONDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0];

/// Command line of the daemon.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file in TOML", meta = "FILE")]
    settings: Option<path::PathBuf>,
    #[options(help = "check the settings and exit; opens no port")]
    check: bool,
}

fn main() -> process::ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lynxmastd {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let Some(file) = &arguments.settings else {
        eprintln!("lynxmastd: name a settings file: lynxmastd --settings FILE");
        return process::ExitCode::from(EXIT_USAGE);
    };
    let settings = match settings::Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("{}: settings of daemon '{}' are good", file.display(), settings.name);
        return process::ExitCode::SUCCESS;
    }
    let lines = match logging::start() {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("lynxmastd: cannot start the thread for log lines: {error}");
            return process::ExitCode::from(EXIT_START);
        }
    };
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lynxmastd: cannot start worker threads: {error}");
            return process::ExitCode::from(EXIT_START);
        }
    };
    let code = runtime.block_on(run(settings, file));
    runtime.shutdown_background();
    lines.flush();
    code
}

/// Builds a runtime without further threads where there is one processor.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    if processors == 1 {
        return tokio::runtime::Builder::new_current_thread().enable_all().build();
    }
    tokio::runtime::Builder::new_multi_thread().enable_all().build()
}

async fn run(settings: settings::Settings, file: &path::Path) -> process::ExitCode {
    let reload = reload::Reload::new(file.to_owned(), settings.clone());
    let metrics = prometheus::PrometheusBuilder::new()
        .set_buckets(&SECONDS)
        .and_then(prometheus::PrometheusBuilder::install_recorder);
    let metrics =
        metrics.inspect_err(|error| log::warn!(event = "metrics", reason:% = error; "")).ok();
    if let Some(metrics) = metrics.clone() {
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(UPKEEP_EVERY).await;
                metrics.run_upkeep();
            }
        });
    }
    let clock = clock::SystemClock;
    let platform =
        settings.store.map(|address| on_store::OnStore::new(address, &settings.services, clock));
    let started = match (settings.log, platform.clone()) {
        (Some(address), _) => {
            let log = http_log::HttpLog::new(address);
            daemon::Daemon::start(settings, log, clock, metrics).await
        }
        (None, Some(platform)) => {
            daemon::Daemon::start_on(settings, platform, clock, metrics).await
        }
        (None, None) => return process::ExitCode::from(EXIT_USAGE),
    };
    let daemon = match started {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("lynxmastd: {error}");
            return process::ExitCode::from(EXIT_START);
        }
    };
    let [terminate, interrupt, hang_up] =
        [unix::SignalKind::terminate(), unix::SignalKind::interrupt(), unix::SignalKind::hangup()]
            .map(unix::signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(hang_up)) = (terminate, interrupt, hang_up)
    else {
        eprintln!("lynxmastd: cannot listen for signals");
        return process::ExitCode::from(EXIT_START);
    };
    let apply = |services: &settings::Services| {
        if let Some(platform) = &platform {
            daemon.revise_services(&platform.revise(services));
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = reload.run(hang_up, apply) => {}
    }
    tokio::select! {
        ended = daemon.shutdown() => match ended {
            daemon::Shutdown::Complete => process::ExitCode::SUCCESS,
            daemon::Shutdown::Cut { in_flight } => {
                log::warn!(in_flight; "shutdown limit passed, requests are cut");
                process::ExitCode::from(EXIT_CUT)
            }
        },
        _ = terminate.recv() => {
            log::warn!("second signal, requests are cut");
            process::ExitCode::from(EXIT_CUT)
        }
    }
}
