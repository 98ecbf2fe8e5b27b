//! Demonstration in one process: a log service, three daemons and two services, with one upstream
//! that becomes slow (a gray failure) and one that drains. Prints the outcomes seen by the callers
//! and the timeline of the daemons.
//!
//! Exits with a failure if a caller got a wrong or truncated response, if no request succeeded, or
//! if the drain did not complete.

use std::process;
use std::sync;
use std::time;

use indexmap::IndexMap;
use lynxmast_state::policy::organisation;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;

/// Time during which the callers send requests.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(9);
const SLOWDOWN_AFTER: time::Duration = time::Duration::from_secs(2);
const DRAIN_AFTER: time::Duration = time::Duration::from_secs(5);
const CALLERS: usize = 12;
const REQUEST_PAUSE: time::Duration = time::Duration::from_millis(10);

#[tokio::main]
async fn main() -> process::ExitCode {
    let started = time::Instant::now();
    println!("starting a log service, three daemons and twelve backend servers of two services");
    let key = "the key of sialkot-straps";
    let strapline_section = STRAPLINE_SECTION.replace("KEY-HASH", &organisation::hash_key(key));
    let domains = ["pk-south-a", "pk-south-b", "pk-south-c"];
    let fleet = fleet::Fleet::start(&domains, &[&strapline_section, KALGARRA_SECTION]).await;
    let mut backends = Vec::new();
    for index in 0..12 {
        let service = if index < 6 { "storefront" } else { "artwork-hub" };
        let behaviour = backend::Behaviour::default();
        backends.push(fleet.add_backend(index % 3, service, behaviour).await);
    }
    println!("ready after {:.1} s; {CALLERS} callers start", started.elapsed().as_secs_f64());

    let stats = sync::Arc::new(sync::Mutex::new(CallerStats::default()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call(fleet.ingress_address(n % 3), n, key.to_owned(), stats.clone())))
        .collect();
    tokio::time::sleep(SLOWDOWN_AFTER).await;
    println!("upstream storefront@{} becomes 20 times slower (gray failure)", backends[0].address);
    backends[0].reconfigure(|behaviour| behaviour.slowdown = 20.0);
    let runs_before = backends[0].runs();
    tokio::time::sleep(DRAIN_AFTER - SLOWDOWN_AFTER).await;
    let gray_runs = backends[0].runs() - runs_before;
    println!(
        "this upstream got {gray_runs} requests in the next {} s",
        (DRAIN_AFTER - SLOWDOWN_AFTER).as_secs()
    );
    println!("upstream artwork-hub@{} announces its departure", backends[6].address);
    let announce_address = fleet.daemons[0].listen.beside;
    let has_departed = backends[6].depart(announce_address, time::Duration::from_secs(5)).await;
    backends[6].crash();
    for caller in callers {
        let _ = caller.await;
    }

    let stats = stats.lock().unwrap_or_else(sync::PoisonError::into_inner);
    println!("\noutcomes seen by the callers:");
    for (label, count) in &stats.outcomes {
        println!("  {count:>6}  {label}");
    }
    println!("\ntimeline of the daemons:");
    print_timeline(&fleet);
    let passed =
        has_departed && stats.mismatched == 0 && stats.truncated == 0 && stats.successes > 0;
    println!("\nwrong responses: {}, truncated responses: {}", stats.mismatched, stats.truncated);
    println!("finished after {:.1} s", started.elapsed().as_secs_f64());
    if passed { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

#[derive(Default)]
struct CallerStats {
    outcomes: IndexMap<String, u64>,
    successes: u64,
    mismatched: u64,
    truncated: u64,
}

impl CallerStats {
    fn record(&mut self, path: &str, response: &caller::Response) {
        let label = match (response.outcome.as_str(), response.reason.as_str()) {
            ("", _) => "connection lost".to_owned(),
            ("answered", _) => format!("answered {}", response.status),
            (outcome, reason) => format!("{outcome} ({reason})"),
        };
        *self.outcomes.entry(format!("{path}: {label}")).or_default() += 1;
        self.successes += u64::from(response.is_success());
        self.mismatched += u64::from(response.is_mismatched());
        self.truncated += u64::from(response.outcome.is_empty() || !response.is_complete);
    }
}

async fn call(
    ingress: std::net::SocketAddr,
    first_index: usize,
    key: String,
    stats: sync::Arc<sync::Mutex<CallerStats>>,
) {
    let caller = caller::Caller::new(ingress);
    let started = time::Instant::now();
    let requests = [
        caller::Request {
            host: "shop.example",
            path: "/orders",
            key: Some(key),
            ..Default::default()
        },
        caller::Request {
            method: "POST",
            host: "shop.example",
            path: "/checkout",
            ..Default::default()
        },
        caller::Request { host: "artwork.example", path: "/tickets", ..Default::default() },
    ];
    let mut index = first_index;
    while started.elapsed() < LOAD_DURATION {
        let request = &requests[index % requests.len()];
        index += 1;
        let response = caller.send(request).await;
        stats.lock().unwrap_or_else(sync::PoisonError::into_inner).record(request.path, &response);
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}

fn print_timeline(fleet: &fleet::Fleet) {
    let events_by_daemon = fleet.daemons.iter().flat_map(|daemon| daemon.shared.timeline().events);
    let mut events: Vec<_> = events_by_daemon.collect();
    events.sort_by_key(|event| event.at_us);
    let first = events.first().map_or(0, |event| event.at_us);
    for event in events {
        let at_s = (event.at_us - first) as f64 / 1e6;
        println!("  {at_s:>8.3} s  {}  {}", event.daemon, event.kind);
    }
}

/// Policy section of the first team; `KEY-HASH` stands for the hash of the organisation's key.
const STRAPLINE_SECTION: &str = "
team = 'strapline'
[[service]]
name = 'storefront'
floor = 12
ramp = '1s'
preset = 'fast'
[[route]]
service = 'storefront'
host = 'shop.example'
path = '/'
idempotent = true
deadline = '2s'
[[route]]
service = 'storefront'
host = 'shop.example'
path = '/checkout'
methods = ['POST']
deadline = '2s'
[[organisation]]
name = 'sialkot-straps'
key-hash = 'KEY-HASH'
weight = 1
rate = 2000.0
";

/// Policy section of the second team.
const KALGARRA_SECTION: &str = "
team = 'kalgarra'
[[service]]
name = 'artwork-hub'
floor = 12
ramp = '1s'
preset = 'steady'
[[route]]
service = 'artwork-hub'
host = 'artwork.example'
path = '/'
idempotent = true
deadline = '2s'
";
