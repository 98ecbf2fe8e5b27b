//! Requests that crash the upstreams that run them are recognised and stopped in the whole fleet,
//! and requests that were merely running beside a crash are not.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::crashing_backend;
use lynxmast_testing::crashing_requests;
use lynxmast_testing::fleet;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
hedge = false
[[route]]
service = 's'
host = 'h.example'
path = '/'
idempotent = true
deadline = '2s'
[[route]]
service = 's'
host = 'h.example'
path = '/book'
deadline = '2s'
";

const DAEMONS: usize = 6;
const LARGE_FLEET: usize = 60;
/// Maximum number of daemons with a backend server. Ingresses would use only some of a larger number.
const BACKENDS_MAX: usize = 30;
const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);
/// Service time within which the copies of a burst all start to run.
const SLOW: time::Duration = time::Duration::from_millis(110);
const DOWNTIME: time::Duration = time::Duration::from_secs(2);
/// Time after which every daemon acts on what any daemon knows.
const STABLE: time::Duration = time::Duration::from_secs(3);
const COPY_INTERVAL: time::Duration = time::Duration::from_millis(250);

struct Setup {
    fleet: fleet::Fleet,
    backends: Vec<crashing_backend::CrashingBackend>,
}

/// Size of the fleet and behaviour of its backend servers.
struct Scenario {
    daemons: usize,
    trigger: crashing_requests::Trigger,
    is_silent: bool,
    /// Fraction of the runs of a crashing request that crash the server.
    crash_rate: f64,
    /// Number of backend servers that fail requests, and the fraction of their requests.
    failing: usize,
    error_rate: f64,
    service_time: time::Duration,
    /// Number of copies sent at the same time.
    burst: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            daemons: DAEMONS,
            trigger: crashing_requests::Trigger::Path("/crash"),
            is_silent: false,
            crash_rate: 1.0,
            failing: 0,
            error_rate: 0.0,
            service_time: SERVICE_TIME,
            burst: 1,
        }
    }
}

impl Setup {
    async fn start(trigger: crashing_requests::Trigger, is_silent: bool) -> Self {
        Self::start_with(&Scenario { trigger, is_silent, ..Default::default() }).await
    }

    async fn start_with(scenario: &Scenario) -> Self {
        let domains = ["a", "b", "c"].repeat(scenario.daemons / 3);
        let fleet = fleet::Fleet::start(&domains, &[SECTION]).await;
        let plan = crashing_backend::CrashPlan {
            trigger: scenario.trigger.clone(),
            rate: scenario.crash_rate,
            is_silent: scenario.is_silent,
            downtime: DOWNTIME,
        };
        let sound =
            backend::Behaviour { service_time: scenario.service_time, ..Default::default() };
        let failing = backend::Behaviour { error_rate: scenario.error_rate, ..sound.clone() };
        let mut backends = Vec::new();
        for (number, daemon) in fleet.daemons.iter().take(BACKENDS_MAX).enumerate() {
            let behaviour = if number < scenario.failing { &failing } else { &sound }.clone();
            let (plan, beside) = (plan.clone(), daemon.listen.beside);
            let backend =
                crashing_backend::CrashingBackend::start("s", behaviour, plan, beside).await;
            fleet.await_upstream("s", backend.address, true).await;
            backends.push(backend);
        }
        Self { fleet, backends }
    }

    fn ingress(&self, number: usize) -> net::SocketAddr {
        self.fleet.ingress_address(number % self.fleet.daemons.len())
    }

    /// Returns the times of all crashes that requests have caused, in order.
    fn crashes(&self) -> Vec<time::Instant> {
        let mut crashes: Vec<_> = self.backends.iter().flat_map(|b| b.crashes()).collect();
        crashes.sort();
        crashes
    }

    /// Returns the times at which requests that may crash a server arrived at one, in order.
    fn arrivals(&self) -> Vec<time::Instant> {
        let mut arrivals: Vec<_> = self.backends.iter().flat_map(|b| b.arrivals()).collect();
        arrivals.sort();
        arrivals
    }

    /// Sends copies of a request at all daemons in turn, and returns the responses.
    async fn send_copies(
        &self,
        request: &caller::Request,
        duration: time::Duration,
    ) -> Vec<caller::Response> {
        self.send_bursts(request, 1, 0, duration).await
    }

    /// Sends `count` copies of a request at the same time, at the first daemons, and waits for the
    /// responses.
    async fn send_burst(&self, request: &caller::Request, count: usize) {
        let copies = (0..count).map(|number| async move {
            caller::Caller::new(self.ingress(number)).send(request).await
        });
        futures::future::join_all(copies).await;
    }

    /// Sends copies of a request, `burst` at a time, at all daemons in turn, and returns the
    /// responses. The first of the copies has the number `from`.
    async fn send_bursts(
        &self,
        request: &caller::Request,
        burst: usize,
        from: usize,
        duration: time::Duration,
    ) -> Vec<caller::Response> {
        let mut copies = tokio::task::JoinSet::new();
        let started = time::Instant::now();
        for number in from.. {
            if number % burst == 0 && started.elapsed() >= duration {
                break;
            }
            let (ingress, request) = (self.ingress(number), request.clone());
            copies.spawn(async move { caller::Caller::new(ingress).send(&request).await });
            if number % burst == burst - 1 {
                tokio::time::sleep(COPY_INTERVAL).await;
            }
        }
        copies.join_all().await
    }
}

fn request(method: &'static str, path: &'static str, body: &'static [u8]) -> caller::Request {
    caller::Request {
        method,
        host: "h.example",
        path,
        body: Bytes::from_static(body),
        ..Default::default()
    }
}

// Guards against a daemon that starts without the knowledge of its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_rejects_what_its_peers_have_quarantined() {
    let trigger = crashing_requests::Trigger::Path("/crash");
    let mut setup = Setup::start(trigger, false).await;
    let crashing = request("GET", "/crash", b"");
    setup.send_copies(&crashing, time::Duration::from_secs(1)).await;
    let crashes = setup.crashes().len();
    setup.fleet.add_daemon("a").await;
    let all = DAEMONS + 1;
    setup
        .fleet
        .wait_until(|fleet| {
            let started = &fleet.daemons[DAEMONS].shared;
            started.membership().live_records(started.now()).count() == all && started.is_current()
        })
        .await;
    let caller = caller::Caller::new(setup.fleet.ingress_address(DAEMONS));
    let response = caller.send(&crashing).await;
    assert_eq!((response.status, response.reason.as_str()), (503, "quarantined"));
    assert_eq!(setup.crashes().len(), crashes);
}

#[test_case::test_case(DAEMONS, false; "small fleet")]
#[test_case::test_case(DAEMONS, true; "small fleet, silent crash")]
#[test_case::test_case(LARGE_FLEET, false; "large fleet")]
#[test_case::test_case(LARGE_FLEET, true; "large fleet, silent crash")]
#[tokio::test(flavor = "multi_thread")]
#[ignore = "run by hand: takes minutes"]
async fn copies_that_arrive_for_a_minute_crash_few_upstreams(daemons: usize, is_silent: bool) {
    let scenario = Scenario { daemons, is_silent, ..Default::default() };
    let setup = Setup::start_with(&scenario).await;
    setup.send_copies(&request("GET", "/crash", b""), time::Duration::from_secs(60)).await;
    let crashes = setup.crashes();
    println!("{daemons} daemons: {} crashes, {} late", crashes.len(), late_crashes(&crashes));
    assert_eq!(late_crashes(&crashes), 0);
}

const BYSTANDERS: usize = 10_000;
const UNRELATED_CRASHES: usize = 20;

// Guards against rejecting requests that were merely running when upstreams crashed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_unrelated_crashes_are_not_quarantined() {
    let setup = Setup::start(crashing_requests::Trigger::Path("/none"), false).await;
    let sent = sync::atomic::AtomicUsize::new(0);
    let send = |sender: usize| {
        let (setup, sent) = (&setup, &sent);
        async move {
            let caller = caller::Caller::new(setup.ingress(sender));
            let mut quarantined = 0;
            loop {
                let number = sent.fetch_add(1, sync::atomic::Ordering::Relaxed);
                if number >= BYSTANDERS {
                    return quarantined;
                }
                // Every other request is a copy of all others like it.
                let body = if number % 2 == 0 { String::new() } else { number.to_string() };
                let bystander =
                    caller::Request { body: Bytes::from(body), ..request("POST", "/other", b"") };
                let response = caller.send(&bystander).await;
                quarantined += usize::from(response.reason == "quarantined");
            }
        }
    };
    let crash = async {
        for number in 0..UNRELATED_CRASHES {
            let progress = BYSTANDERS * (number + 1) / (UNRELATED_CRASHES + 1);
            while sent.load(sync::atomic::Ordering::Relaxed) < progress {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            setup.backends[number % DAEMONS].crash();
        }
    };
    let senders = futures::future::join_all((0..2 * DAEMONS).map(send));
    let (quarantined, ()) = tokio::join!(senders, crash);
    assert_eq!(quarantined.iter().sum::<usize>(), 0);
}

/// Number of copies that are sent at the same time.
const BURST: usize = 6;

// Guards against copies that are retried before their ingresses know of the crashes that the others
// have caused. Those of a first burst run before anything is known.
#[tokio::test(flavor = "multi_thread")]
async fn copies_of_a_burst_are_not_retried() {
    check_burst(9).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "run by hand: takes half a minute"]
async fn copies_of_a_burst_are_not_retried_in_a_large_fleet() {
    check_burst(LARGE_FLEET).await;
}

async fn check_burst(daemons: usize) {
    let scenario = Scenario { daemons, service_time: SLOW, ..Default::default() };
    let setup = Setup::start_with(&scenario).await;
    let (crashing, duration) = (request("GET", "/crash", b""), time::Duration::from_secs(4));
    // A busy machine may delay the first crashes beyond the interval of the bursts.
    setup.send_burst(&crashing, BURST).await;
    setup.send_bursts(&crashing, BURST, BURST, duration).await;
    let (crashes, arrivals) = (setup.crashes().len(), setup.arrivals().len());
    println!("{crashes} crashes, {arrivals} arrivals");
    assert!(crashes <= BURST, "{crashes} crashes");
}

const CRASHING_PATHS: [&str; 5] = ["/crash?1", "/crash?2", "/crash?3", "/crash?4", "/crash?5"];

// Guards against rejecting a frequent request that runs at most crashes that other requests cause.
#[tokio::test(flavor = "multi_thread")]
async fn a_frequent_request_is_served_while_others_crash_upstreams() {
    let setup = Setup::start_with(&Scenario { service_time: SLOW, ..Default::default() }).await;
    let done = sync::atomic::AtomicBool::new(false);
    let send = |sender: usize| {
        let (setup, done) = (&setup, &done);
        async move {
            let caller = caller::Caller::new(setup.ingress(sender));
            let (mut served, mut sent) = (0, 0);
            while !done.load(sync::atomic::Ordering::Relaxed) {
                let response = caller.send(&request("GET", "/frequent", b"")).await;
                served += usize::from(response.is_success());
                sent += 1;
            }
            (served, sent)
        }
    };
    let crash = async {
        for path in CRASHING_PATHS {
            tokio::time::sleep(DOWNTIME).await;
            setup.send_copies(&request("GET", path, b""), COPY_INTERVAL * 2).await;
        }
        done.store(true, sync::atomic::Ordering::Relaxed);
    };
    let senders = futures::future::join_all((0..2 * DAEMONS).map(send));
    let (results, ()) = tokio::join!(senders, crash);
    let served: usize = results.iter().map(|(served, _)| served).sum();
    let sent: usize = results.iter().map(|(_, sent)| sent).sum();
    println!("{served} of {sent} served, {} crashes", setup.crashes().len());
    assert!(served * 100 >= sent * 90, "{served} of {sent} served");
}

/// Returns the crashes later than [`STABLE`] after the third one.
fn late_crashes(crashes: &[time::Instant]) -> usize {
    late_events(crashes, crashes)
}

/// Returns the number of `events` later than [`STABLE`] after the third crash.
fn late_events(crashes: &[time::Instant], events: &[time::Instant]) -> usize {
    crashes.get(2).map_or(0, |third| events.iter().filter(|at| **at > *third + STABLE).count())
}

/// Maximum number of copies that may reach upstreams later than [`STABLE`] after the third crash;
/// from the users' rules.
const LATE_ARRIVALS_MAX: usize = 3;

// Guards against a response that lets a crashing request be sent to upstreams again: an error of an
// upstream that has not run it, or a run that went well by chance.
#[test_case::test_case(Scenario { failing: 2, error_rate: 1.0, ..Default::default() }, 4; "two of six upstreams fail")]
#[test_case::test_case(Scenario { failing: 6, error_rate: 0.5, ..Default::default() }, 8; "half of the requests fail")]
#[test_case::test_case(Scenario { crash_rate: 0.5, ..Default::default() }, 8; "half of the runs crash")]
#[test_case::test_case(Scenario { crash_rate: 0.5, burst: BURST, service_time: SLOW, ..Default::default() }, 8; "half of the runs of a burst crash")]
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_that_also_gets_responses_is_stopped(
    scenario: Scenario,
    crashes_max: usize,
) {
    let setup = Setup::start_with(&scenario).await;
    let (crashing, duration) = (request("GET", "/crash", b""), time::Duration::from_secs(12));
    setup.send_bursts(&crashing, scenario.burst, 0, duration).await;
    let (crashes, arrivals) = (setup.crashes(), setup.arrivals());
    let late = late_events(&crashes, &arrivals);
    println!("{} crashes, {} arrivals, {late} late", crashes.len(), arrivals.len());
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals, {} crashes", crashes.len());
    assert!(crashes.len() <= crashes_max, "{} crashes", crashes.len());
}

// Guards against copies of a crashing request that reach one upstream after the other.
#[test_case::test_case(request("GET", "/crash", b""), crashing_requests::Trigger::Path("/crash"), false; "idempotent")]
#[test_case::test_case(request("POST", "/book", b"crash"), crashing_requests::Trigger::Body(Bytes::from_static(b"crash")), false; "by its body")]
#[test_case::test_case(request("GET", "/crash", b""), crashing_requests::Trigger::Path("/crash"), true; "silent crash")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_upstreams_is_stopped_in_the_whole_fleet(
    crashing: caller::Request,
    trigger: crashing_requests::Trigger,
    is_silent: bool,
) {
    let setup = Setup::start(trigger, is_silent).await;
    let others_path = crashing.path;
    let done = sync::atomic::AtomicBool::new(false);
    let send_others = async {
        let (mut served, mut sent) = (0, 0);
        while !done.load(sync::atomic::Ordering::Relaxed) {
            let path = if others_path == "/book" { "/book" } else { "/other" };
            let other = request(crashing.method, path, b"sound");
            let caller = caller::Caller::new(setup.ingress(sent));
            served += usize::from(caller.send(&other).await.is_success());
            sent += 1;
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        (served, sent)
    };
    let send_copies = async {
        let responses = setup.send_copies(&crashing, time::Duration::from_secs(12)).await;
        done.store(true, sync::atomic::Ordering::Relaxed);
        responses
    };
    let (responses, (served, sent)) = tokio::join!(send_copies, send_others);
    let crashes = setup.crashes();
    let outcomes: Vec<_> = responses.iter().map(|r| (r.status, r.reason.as_str())).collect();
    assert_eq!(late_crashes(&crashes), 0, "{} crashes, {outcomes:?}", crashes.len());
    assert!(served * 100 >= sent * 90, "{served} of {sent} other requests served");
    let last = responses.last().expect("copies were sent");
    let outcome = (last.status, last.outcome.as_str(), last.reason.as_str());
    assert_eq!(outcome, (503, "not-run", "quarantined"));
}
