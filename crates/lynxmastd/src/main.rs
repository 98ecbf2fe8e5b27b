//! `lynxmastd`: the proxy daemon that runs on each VM with backend servers.

use std::path;
use std::process;

use gumdrop::Options;
use lynxmast_coordination::http_log;
use lynxmast_state::clock;
use lynxmastd::daemon;
use lynxmastd::logging;
use lynxmastd::reload;
use lynxmastd::settings;
use lynxmastd::store_platform;
use metrics_exporter_prometheus as prometheus;
use tokio::signal::unix;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;
/// Exit code for a daemon that cannot start.
const EXIT_START: u8 = 3;
/// Exit code for a shutdown that aborted requests.
const EXIT_ABORTED: u8 = 4;

/// Interval at which recorded samples are merged into histograms; until then each sample is stored
/// individually.
const METRICS_UPKEEP_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);
/// Upper bounds of the request time histogram buckets, in seconds. They are finer than the latency
/// objectives of routes.
const REQUEST_TIME_BUCKETS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0];

/// Command line of the daemon.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file in TOML", meta = "FILE")]
    settings: Option<path::PathBuf>,
    #[options(help = "check the settings and exit without opening a port")]
    check: bool,
}

fn main() -> process::ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lynxmastd {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let Some(file) = &arguments.settings else {
        eprintln!("lynxmastd: no settings file given; usage: lynxmastd --settings FILE");
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
        println!("{}: settings of daemon '{}' are valid", file.display(), settings.name);
        return process::ExitCode::SUCCESS;
    }
    let pending_lines = match logging::start() {
        Ok(pending_lines) => pending_lines,
        Err(error) => {
            eprintln!("lynxmastd: cannot start the log writer thread: {error}");
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
    pending_lines.flush();
    code
}

/// Builds the runtime; on a single processor it has no worker threads.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    if processors == 1 {
        return tokio::runtime::Builder::new_current_thread().enable_all().build();
    }
    tokio::runtime::Builder::new_multi_thread().enable_all().build()
}

async fn run(settings: settings::Settings, file: &path::Path) -> process::ExitCode {
    let reloader = reload::Reloader::new(file.to_owned(), settings.clone());
    let metrics = prometheus::PrometheusBuilder::new()
        .set_buckets(&REQUEST_TIME_BUCKETS)
        .and_then(prometheus::PrometheusBuilder::install_recorder);
    let metrics = metrics
        .inspect_err(
            |error| log::warn!(event = "metrics", reason:% = error; "cannot start metrics"),
        )
        .ok();
    if let Some(metrics) = metrics.clone() {
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
                metrics.run_upkeep();
            }
        });
    }
    let clock = clock::SystemClock;
    let platform = settings
        .store
        .map(|address| store_platform::StorePlatform::new(address, &settings.services, clock));
    let started = match (settings.log, platform.clone()) {
        (Some(address), _) => {
            let log = http_log::HttpLog::new(address);
            daemon::Daemon::start_with_log(settings, log, clock, metrics).await
        }
        (None, Some(platform)) => {
            daemon::Daemon::start_with_platform(settings, platform, clock, metrics).await
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
    let [terminate, interrupt, hangup] =
        [unix::SignalKind::terminate(), unix::SignalKind::interrupt(), unix::SignalKind::hangup()]
            .map(unix::signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(hangup)) = (terminate, interrupt, hangup) else {
        eprintln!("lynxmastd: cannot listen for signals");
        return process::ExitCode::from(EXIT_START);
    };
    let apply = |settings: &settings::Settings| {
        daemon.set_local_service(&settings.service);
        if let Some(platform) = &platform {
            daemon.update_services(&platform.update_services(&settings.services));
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = reloader.run(hangup, apply) => {}
    }
    tokio::select! {
        result = daemon.shutdown() => match result {
            daemon::Shutdown::Complete => process::ExitCode::SUCCESS,
            daemon::Shutdown::TimedOut { in_flight } => {
                log::warn!(in_flight; "shutdown timeout reached; aborting requests in flight");
                process::ExitCode::from(EXIT_ABORTED)
            }
        },
        _ = terminate.recv() => {
            log::warn!("second termination signal; aborting requests in flight");
            process::ExitCode::from(EXIT_ABORTED)
        }
    }
}
