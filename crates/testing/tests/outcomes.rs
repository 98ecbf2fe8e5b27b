//! Outcomes reported to callers after failures: `not-run` only if the request provably did not run,
//! and at most one run of a non-idempotent request.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::scripted_backend;
use test_case::test_case;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
queue = 8
stall = '1s'
[[route]]
service = 's'
host = 'h.example'
path = '/'
idempotent = true
deadline = '1s'
[[route]]
service = 's'
host = 'h.example'
path = '/book'
deadline = '1s'
";

fn request(path: &'static str) -> caller::Request {
    caller::Request { method: "POST", host: "h.example", path, ..Default::default() }
}

/// Sends a non-idempotent request to a backend server with `fault`, and checks the outcome and that
/// it ran once.
async fn check_non_idempotent(
    fault: impl FnOnce(&mut backend::Behaviour),
    outcome: &str,
    reason: &str,
) {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let faulty = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    faulty.reconfigure(fault);
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/book")).await;
    assert_eq!(
        (response.outcome.as_str(), response.reason.as_str()),
        (outcome, reason),
        "{response:?}"
    );
    assert_eq!(faulty.runs(), 1, "a non-idempotent request is forwarded once");
}

#[test_case(|b| b.hang_rate = 1.0, "may-have-run", "deadline"; "no response")]
#[test_case(|b| b.truncation_rate = 1.0, "may-have-run", "truncated"; "truncated response")]
#[test_case(|b| b.slowdown = 1000.0, "may-have-run", "deadline"; "slow response")]
#[test_case(|b| b.error_rate = 1.0, "answered", ""; "error response")]
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_that_may_have_run_is_not_retried(
    fault: fn(&mut backend::Behaviour),
    outcome: &'static str,
    reason: &'static str,
) {
    check_non_idempotent(fault, outcome, reason).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_prevents_a_second_run_on_any_route() {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let faulty = backend::Behaviour { truncation_rate: 1.0, ..Default::default() };
    let faulty = fleet.add_backend(0, "s", faulty).await;
    let other = fleet.add_backend(
        0,
        "s",
        backend::Behaviour { truncation_rate: 1.0, ..Default::default() },
    );
    let other = other.await;
    let mut keyed = request("/");
    keyed.headers = vec![("idempotency-key", "k1".to_owned())];
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&keyed).await;
    assert_eq!(response.outcome, "may-have-run");
    assert_eq!(faulty.runs() + other.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_are_retried_if_a_crashed_upstream_refuses_connections() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let crashed = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let good = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let _closed = crashed.close_port().await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..20 {
        let response = caller.send(&request("/book")).await;
        assert!(
            response.is_success(),
            "a refused connection proves that the request did not run: {response:?}"
        );
    }
    assert_eq!(good.runs(), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_requests_are_never_run() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let slow =
        backend::Behaviour { service_time: time::Duration::from_millis(50), ..Default::default() };
    let backend = fleet.add_backend(1, "s", slow).await;
    let ingress = fleet.ingress_address(0);
    let calls =
        (0..200).map(|_| async move { caller::Caller::new(ingress).send(&request("/book")).await });
    let responses = futures::future::join_all(calls).await;
    let count = |outcome: &str| responses.iter().filter(|r| r.outcome == outcome).count() as u64;
    assert!(count("not-run") > 100, "200 requests exceed 4 slots and a queue of 8");
    assert_eq!(count("may-have-run"), 0);
    assert_eq!(backend.runs(), count("answered"), "rejected requests did not run");
    assert!(backend.peak_running() <= 4, "no more requests run than there are slots");
    assert!(
        responses.iter().all(|response| response.outcome != "not-run" || response.status == 503)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn no_slot_leaks_when_callers_disconnect() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let slow =
        backend::Behaviour { service_time: time::Duration::from_millis(30), ..Default::default() };
    let _backend = fleet.add_backend(1, "s", slow).await;
    let ingress = fleet.ingress_address(0);
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..100_u64 {
        calls.spawn(async move {
            let timeout = time::Duration::from_millis(5 + n);
            let caller = caller::Caller::new(ingress);
            let _ = tokio::time::timeout(timeout, caller.send(&request("/"))).await;
        });
    }
    while calls.join_next().await.is_some() {}
    let sidecar = fleet.daemons[1].sidecar.clone();
    fleet.wait_until(|_| sidecar.in_flight() == 0).await;
    let caller = caller::Caller::new(ingress);
    assert!(caller.send(&request("/")).await.is_success(), "no slot leaked");
}

#[tokio::test(flavor = "multi_thread")]
async fn large_uploads_are_retried_if_an_upstream_refuses_connections() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let crashed = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let good = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let _closed = crashed.close_port().await;
    let mut upload = request("/book");
    upload.body = Bytes::from(vec![7; 8 * 1024 * 1024]);
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for n in 1..=4 {
        let response = caller.send(&upload).await;
        assert!(response.is_success(), "{response:?}");
        assert_eq!(good.received_bytes(), n * 8 * 1024 * 1024);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_retried_after_a_503_response() {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let good = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let busy = scripted_backend::Step::Send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    let shedding = scripted_backend::ScriptedBackend::start(vec![vec![busy]]).await;
    fleet.announce_once(0, "s", shedding.address).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..10 {
        assert!(caller.send(&request("/")).await.is_success());
    }
    assert_eq!(good.runs(), 10);
}

/// Sends requests to a path, one after the other, for `duration` and returns the responses.
async fn send_repeatedly(
    ingress: std::net::SocketAddr,
    path: &'static str,
    duration: time::Duration,
) -> Vec<caller::Response> {
    let caller = caller::Caller::new(ingress);
    let started = time::Instant::now();
    let mut responses = Vec::new();
    while started.elapsed() < duration {
        responses.push(caller.send(&request(path)).await);
    }
    responses
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_a_daemon_fails_no_idempotent_request_and_runs_no_non_idempotent_one_twice() {
    let mut fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let runtime = fleet.add_killable_daemon("c").await;
    fleet.wait_until(|fleet| fleet.daemons[2].shared.is_current()).await;
    let mut backends = Vec::new();
    for daemon in 0..3 {
        backends.push(fleet.add_backend(daemon, "s", backend::Behaviour::default()).await);
    }
    let duration = time::Duration::from_secs(2);
    let send_all = |path| {
        let calls = (0..6).map(|n| send_repeatedly(fleet.ingress_address(n % 2), path, duration));
        futures::future::join_all(calls)
    };
    let kill = async {
        tokio::time::sleep(duration / 4).await;
        runtime.shutdown_background();
    };
    let (idempotent, non_idempotent, ()) = tokio::join!(send_all("/"), send_all("/book"), kill);
    let failed: Vec<_> =
        idempotent.iter().flatten().filter(|response| !response.is_success()).collect();
    assert!(
        failed.is_empty(),
        "{} idempotent requests failed despite retries: {:?}",
        failed.len(),
        failed[0]
    );
    let runs: Vec<_> = backends.iter().map(|backend| backend.runs_by_tag("/book")).collect();
    assert!(runs.iter().flat_map(|tags| tags.values()).all(|&runs| runs == 1));
    let (a, b, c) = (&runs[0], &runs[1], &runs[2]);
    let ran_on_both = |tag: &&String| a.contains_key(*tag) && b.contains_key(*tag);
    assert_eq!(a.keys().filter(ran_on_both).count(), 0);
    assert!(!c.is_empty(), "the killed daemon's upstream ran non-idempotent requests");
    assert!(c.keys().all(|tag| !a.contains_key(tag) && !b.contains_key(tag)));
    let responses = non_idempotent.iter().flatten();
    let run_count = runs.iter().map(|tags| tags.len()).sum::<usize>();
    let (good, unknown) = responses.fold((0, 0), |(good, unknown), response| {
        let may_have_run = usize::from(response.outcome == "may-have-run");
        (good + usize::from(response.is_success()), unknown + may_have_run)
    });
    assert!(
        good <= run_count && run_count <= good + unknown,
        "good {good}, run {run_count}, unknown {unknown}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_rejected_by_every_upstream_gets_an_immediate_response() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let slow =
        backend::Behaviour { service_time: time::Duration::from_secs(5), ..Default::default() };
    let _backends =
        [fleet.add_backend(0, "s", slow.clone()).await, fleet.add_backend(1, "s", slow).await];
    let ingress = fleet.ingress_address(0);
    let mut occupying = tokio::task::JoinSet::new();
    for _ in 0..40 {
        occupying.spawn(async move { caller::Caller::new(ingress).send(&request("/book")).await });
    }
    fleet
        .wait_until(|fleet| fleet.daemons.iter().all(|daemon| daemon.sidecar.in_flight() == 4))
        .await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let response = caller::Caller::new(ingress).send(&request("/")).await;
    assert_eq!((response.status, response.reason.as_str()), (503, "queue-full"), "{response:?}");
    assert!(response.elapsed < time::Duration::from_millis(300), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_an_upstream_response_is_never_reported_as_not_run() {
    let section = SECTION.replace("queue = 8", "floor = 8");
    let fleet = fleet::Fleet::start(&["a"], &[&section]).await;
    let crashed = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let busy = scripted_backend::Step::Send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    let shedding = scripted_backend::ScriptedBackend::start(vec![vec![busy]]).await;
    fleet.announce_once(0, "s", shedding.address).await;
    let _closed = crashed.close_port().await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    let mut runs = 0;
    for _ in 0..20 {
        let response = caller.send(&request("/")).await;
        let after = shedding.requests.load(atomic::Ordering::SeqCst);
        // `not-run` is correct only if the retry budget ran out before the second upstream got the
        // request.
        let expected = if after > runs { "answered" } else { "not-run" };
        assert_eq!((response.status, response.outcome.as_str()), (503, expected), "{response:?}");
        runs = after;
    }
    assert!(runs > 0);
}
