//! The main job in one process: a log, three daemons, two services, one upstream that turns gray
//! and one that drains, with what callers saw and what the daemons did.
//!
//! Exits with a failure if a caller got a wrong or cut answer, or a refusal that nothing explains.

use std::process;
use std::sync;
use std::time;

use indexmap::IndexMap;
use lynxmast_state::policy::organisation;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;

/// Time that callers go on for.
const LOAD_FOR: time::Duration = time::Duration::from_secs(9);
const GRAY_AFTER: time::Duration = time::Duration::from_secs(2);
const DRAIN_AFTER: time::Duration = time::Duration::from_secs(5);
const CALLERS: usize = 12;
const PAUSE: time::Duration = time::Duration::from_millis(10);

#[tokio::main]
async fn main() -> process::ExitCode {
    let started = time::Instant::now();
    println!("starting a log, three daemons and twelve backend servers of two services");
    let key = "the key of sialkot-straps";
    let strapline = STRAPLINE.replace("KEY-HASH", &organisation::hash_key(key));
    let domains = ["pk-south-a", "pk-south-b", "pk-south-c"];
    let fleet = fleet::Fleet::start(&domains, &[&strapline, KALGARRA]).await;
    let mut backends = Vec::new();
    for index in 0..12 {
        let service = if index < 6 { "storefront" } else { "artwork-hub" };
        let behaviour = backend::Behaviour::default();
        backends.push(fleet.add_backend(index % 3, service, behaviour).await);
    }
    println!("ready after {:.1} s; {CALLERS} callers start", started.elapsed().as_secs_f64());

    let seen = sync::Arc::new(sync::Mutex::new(Seen::default()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call(fleet.entry(n % 3), n, key.to_owned(), seen.clone())))
        .collect();
    tokio::time::sleep(GRAY_AFTER).await;
    println!("upstream storefront@{} turns gray: twenty times slower", backends[0].address);
    backends[0].change(|behaviour| behaviour.slowness = 20.0);
    let before_gray = backends[0].runs();
    tokio::time::sleep(DRAIN_AFTER - GRAY_AFTER).await;
    let gray_runs = backends[0].runs() - before_gray;
    println!("it got {gray_runs} requests in the {} s since", (DRAIN_AFTER - GRAY_AFTER).as_secs());
    println!("upstream artwork-hub@{} announces its departure", backends[6].address);
    let beside = fleet.daemons[0].listen.beside;
    let departed = backends[6].depart(beside, time::Duration::from_secs(5)).await;
    backends[6].crash();
    for caller in callers {
        let _ = caller.await;
    }

    let seen = seen.lock().unwrap_or_else(sync::PoisonError::into_inner);
    println!("\nwhat callers saw:");
    for (what, count) in &seen.counts {
        println!("  {count:>6}  {what}");
    }
    println!("\nwhat the daemons did:");
    print_timeline(&fleet);
    let is_good = departed && seen.wrong == 0 && seen.cut == 0 && seen.good > 0;
    println!("\nwrong answers: {}, cut answers: {}", seen.wrong, seen.cut);
    println!("finished after {:.1} s", started.elapsed().as_secs_f64());
    if is_good { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

#[derive(Default)]
struct Seen {
    counts: IndexMap<String, u64>,
    good: u64,
    wrong: u64,
    cut: u64,
}

impl Seen {
    fn note(&mut self, path: &str, got: &caller::Got) {
        let what = match (got.outcome.as_str(), got.reason.as_str()) {
            ("", _) => "connection broken".to_owned(),
            ("answered", _) => format!("answered {}", got.status),
            (outcome, reason) => format!("{outcome} ({reason})"),
        };
        *self.counts.entry(format!("{path}: {what}")).or_default() += 1;
        self.good += u64::from(got.is_good());
        self.wrong += u64::from(got.is_wrong());
        self.cut += u64::from(got.outcome.is_empty() || !got.is_whole);
    }
}

async fn call(
    entry: std::net::SocketAddr,
    number: usize,
    key: String,
    seen: sync::Arc<sync::Mutex<Seen>>,
) {
    let caller = caller::Caller::new(entry);
    let started = time::Instant::now();
    let asks = [
        caller::Ask { host: "shop.example", path: "/orders", key: Some(key), ..Default::default() },
        caller::Ask {
            method: "POST",
            host: "shop.example",
            path: "/checkout",
            ..Default::default()
        },
        caller::Ask { host: "artwork.example", path: "/tickets", ..Default::default() },
    ];
    let mut turn = number;
    while started.elapsed() < LOAD_FOR {
        let ask = &asks[turn % asks.len()];
        turn += 1;
        let got = caller.ask(ask).await;
        seen.lock().unwrap_or_else(sync::PoisonError::into_inner).note(ask.path, &got);
        tokio::time::sleep(PAUSE).await;
    }
}

fn print_timeline(fleet: &fleet::Fleet) {
    let all = fleet.daemons.iter().flat_map(|daemon| daemon.shared.timeline().events);
    let mut events: Vec<_> = all.collect();
    events.sort_by_key(|event| event.at_us);
    let first = events.first().map_or(0, |event| event.at_us);
    for event in events {
        let at = (event.at_us - first) as f64 / 1e6;
        println!("  {at:>8.3} s  {}  {}", event.daemon, event.what);
    }
}

const STRAPLINE: &str = "
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

const KALGARRA: &str = "
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
