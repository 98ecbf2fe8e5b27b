//! The whole fleet acts on what an upstream states in its responses: a limit on its requests per
//! second, and that it is about to leave.

use std::sync;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
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
const SERVICE_TIME: time::Duration = time::Duration::from_millis(50);
/// Time after which every daemon acts on what an upstream states.
const STABLE: time::Duration = time::Duration::from_secs(3);
/// Window in which the requests to a limited upstream are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Requests above one and a half times the limit that are tolerated in a window.
const EXCESS_MAX: f64 = 5.0;
/// Time after its first notice from which a leaving upstream must get no request.
const DRAIN: time::Duration = time::Duration::from_secs(2);

fn request(path: &'static str) -> caller::Request {
    let method = if path == "/book" { "POST" } else { "GET" };
    caller::Request { method, host: "h.example", path, ..Default::default() }
}

fn behaviour(limit: Option<&'static str>) -> backend::Behaviour {
    backend::Behaviour { service_time: SERVICE_TIME, limit, ..Default::default() }
}

/// Starts [`DAEMONS`] daemons, the first of them with backend servers of these limits.
async fn start(limits: &[Option<&'static str>]) -> (fleet::Fleet, Vec<backend::Backend>) {
    let fleet = fleet::Fleet::start(&["a", "b", "c"].repeat(DAEMONS / 3), &[SECTION]).await;
    let mut backends = Vec::new();
    for (daemon, limit) in limits.iter().enumerate() {
        backends.push(fleet.add_backend(daemon, "s", behaviour(*limit)).await);
    }
    (fleet, backends)
}

/// Sends requests to all ingresses in turn, alternately to both routes, and returns the responses.
async fn send_load(
    fleet: &fleet::Fleet,
    rate: f64,
    duration: time::Duration,
) -> Vec<caller::Response> {
    let callers: Vec<sync::Arc<caller::Caller>> =
        (0..64).map(|i| caller::Caller::new(fleet.ingress_address(i % DAEMONS)).into()).collect();
    let mut responses = tokio::task::JoinSet::new();
    let started = time::Instant::now();
    let mut interval = tokio::time::interval(time::Duration::from_secs_f64(1.0 / rate));
    for number in 0.. {
        interval.tick().await;
        if started.elapsed() >= duration {
            break;
        }
        let caller = callers[number % callers.len()].clone();
        let path = if number % 2 == 0 { "/" } else { "/book" };
        responses.spawn(async move { caller.send(&request(path)).await });
    }
    responses.join_all().await
}

/// Returns the largest number of arrivals in a window that starts at `from` or later.
fn busiest_window(arrivals: &[time::Instant], from: time::Instant) -> usize {
    let counted: Vec<_> = arrivals.iter().filter(|at| **at >= from).collect();
    let in_window = |(index, start): (usize, &&time::Instant)| {
        counted[index..].iter().take_while(|at| ***at < **start + WINDOW).count()
    };
    counted.iter().enumerate().map(in_window).max().unwrap_or(0)
}

// Guards against requests beyond the limit that an upstream has named.
#[test_case::test_case(&["3.3"], 3, 100.0, 95.0; "one of four upstreams")]
#[test_case::test_case(&["0.5"], 3, 100.0, 95.0; "less than one a second")]
#[test_case::test_case(&["0"], 3, 100.0, 95.0; "zero")]
#[test_case::test_case(&["5", "5", "5"], 0, 60.0, 15.0; "all upstreams")]
#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_keeps_the_limit_that_an_upstream_names(
    limits: &[&'static str],
    unlimited: usize,
    rate: f64,
    served_min: f64,
) {
    let limited = limits.iter().map(|limit| Some(*limit));
    let all: Vec<_> = limited.chain(std::iter::repeat_n(None, unlimited)).collect();
    let (fleet, backends) = start(&all).await;
    let duration = STABLE + 2 * WINDOW;
    let responses = send_load(&fleet, rate, duration).await;
    let mut counts = Vec::new();
    for (backend, limit) in backends.iter().zip(limits) {
        let arrivals = backend.arrivals();
        let first = *arrivals.first().expect("a limited upstream gets a request");
        let count = busiest_window(&arrivals, first + STABLE);
        let rate: f64 = limit.parse().expect("a number");
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + EXCESS_MAX;
        counts.push(count);
        assert!(count as f64 <= allowed, "{count} requests in 4 s at a limit of {limit} a second");
    }
    let served = responses.iter().filter(|response| response.is_success()).count();
    let served_rate = served as f64 / duration.as_secs_f64();
    println!("{limits:?}: at most {counts:?} in 4 s, {served_rate:.1} of {rate} a second served");
    assert!(served_rate >= 0.9 * served_min, "{served_rate:.1} requests served a second");
    let failed = responses.iter().filter(|response| !response.is_success());
    let outcomes: Vec<_> = failed.map(|r| (r.status, r.outcome.as_str())).collect();
    assert!(outcomes.iter().all(|outcome| *outcome == (503, "not-run")), "{outcomes:?}");
}

// Guards against requests to an upstream that has stated in a response that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_states_that_it_leaves_gets_no_more_requests() {
    let (fleet, backends) = start(&[None, None]).await;
    send_load(&fleet, 50.0, time::Duration::from_secs(1)).await;
    backends[0].reconfigure(|behaviour| behaviour.is_leaving = true);
    let noticed = time::Instant::now();
    let responses = send_load(&fleet, 50.0, 2 * DRAIN).await;
    let arrivals = backends[0].arrivals();
    let first = arrivals.iter().find(|at| **at > noticed).expect("a request brings the notice");
    let late = arrivals.iter().filter(|at| **at > *first + DRAIN).count();
    assert_eq!(late, 0, "{late} requests later than 2 s after the notice");
    assert!(responses.iter().all(caller::Response::is_success));
}

/// Daemon in the failure domain of the first one, which therefore prefers its upstream.
const IN_SAME_DOMAIN: usize = 3;

// Guards against an ingress that forgets a notice that it passed on, as the sidecar has restarted.
#[tokio::test(flavor = "multi_thread")]
async fn an_ingress_remembers_a_leaving_upstream_when_its_sidecar_restarts() {
    let (mut fleet, backends) = start(&[None, None]).await;
    backends[0].reconfigure(|behaviour| behaviour.is_leaving = true);
    send_load(&fleet, 50.0, time::Duration::from_secs(1)).await;
    let arrived = backends[0].arrivals().len();
    fleet.daemons[0].kill();
    let name = fleet.daemons[0].shared.membership().own_record().daemon.clone();
    fleet.add_daemon_with("a", |settings| settings.name = name).await;
    let listen = fleet.daemons[DAEMONS].listen.clone();
    backends[0].keep_announcing(listen.beside);
    fleet
        .wait_until(|fleet| {
            let membership = fleet.daemons[IN_SAME_DOMAIN].shared.membership();
            let mut records = membership.all_records();
            records.any(|record| record.sidecar == listen.gate && !record.upstreams.is_empty())
        })
        .await;
    let caller = caller::Caller::new(fleet.ingress_address(IN_SAME_DOMAIN));
    for _ in 0..50 {
        assert!(caller.send(&request("/book")).await.is_success());
    }
    assert_eq!(backends[0].arrivals().len(), arrived);
}
