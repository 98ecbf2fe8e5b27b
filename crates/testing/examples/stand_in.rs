//! Runs a fake log service or a fake backend server, to try out daemons by hand.

use std::net;
use std::process;
use std::time;

use gumdrop::Options;
use lynxmast_testing::backend;
use lynxmast_testing::fake_log;

/// Command-line arguments.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "run a log service on this port", meta = "PORT")]
    log: Option<u16>,
    #[options(help = "run a backend server of this service", meta = "SERVICE")]
    service: Option<String>,
    #[options(help = "address where the local daemon accepts announcements", meta = "ADDRESS")]
    beside: Option<net::SocketAddr>,
    #[options(help = "time to process a request, in milliseconds", default = "5")]
    time: u64,
}

const DEPARTURE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

#[tokio::main]
async fn main() -> process::ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match (arguments.log, arguments.service, arguments.beside) {
        (Some(port), None, None) => {
            let log = fake_log::FakeLog::start(port).await;
            println!("log on {}", log.address);
            let _ = tokio::signal::ctrl_c().await;
        }
        (None, Some(service), Some(announce_address)) => {
            let service_time = time::Duration::from_millis(arguments.time);
            let behaviour = backend::Behaviour { service_time, ..Default::default() };
            let backend = backend::Backend::start(&service, behaviour).await;
            backend.announce(announce_address).await;
            println!("backend server of {service} on {}", backend.address);
            let _ = tokio::signal::ctrl_c().await;
            let is_complete = backend.depart(announce_address, DEPARTURE_TIMEOUT).await;
            println!("departed after {} runs, complete: {is_complete}", backend.runs());
        }
        _ => {
            eprintln!("stand-in: use --log PORT, or --service SERVICE --beside ADDRESS");
            return process::ExitCode::from(2);
        }
    }
    process::ExitCode::SUCCESS
}
