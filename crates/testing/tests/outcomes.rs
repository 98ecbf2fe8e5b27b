//! What callers are told when something fails: "not run" only with proof, at most one run.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::raw_backend;
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

fn ask(path: &'static str) -> caller::Ask {
    caller::Ask { method: "POST", host: "h.example", path, ..Default::default() }
}

/// Sends bookings through a backend server with `fault` until one fails, and counts its runs.
async fn check(fault: impl FnOnce(&mut backend::Behaviour), outcome: &str, reason: &str) {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let sick = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    sick.change(fault);
    let got = caller::Caller::new(fleet.entry(0)).ask(&ask("/book")).await;
    assert_eq!((got.outcome.as_str(), got.reason.as_str()), (outcome, reason), "{got:?}");
    assert_eq!(sick.runs(), 1, "a booking is handed over once");
}

#[test_case(|b| b.silence = 1.0, "may-have-run", "deadline"; "silence")]
#[test_case(|b| b.cuts = 1.0, "may-have-run", "truncated"; "cut answers")]
#[test_case(|b| b.slowness = 1000.0, "may-have-run", "deadline"; "slowness")]
#[test_case(|b| b.errors = 1.0, "answered", ""; "errors are answers")]
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_may_have_run_is_not_sent_again(
    fault: fn(&mut backend::Behaviour),
    outcome: &'static str,
    reason: &'static str,
) {
    check(fault, outcome, reason).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_makes_any_route_run_once() {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let sick = backend::Behaviour { cuts: 1.0, ..Default::default() };
    let sick = fleet.add_backend(0, "s", sick).await;
    let other = fleet.add_backend(0, "s", backend::Behaviour { cuts: 1.0, ..Default::default() });
    let other = other.await;
    let mut keyed = ask("/");
    keyed.headers = vec![("idempotency-key", "k1".to_owned())];
    let got = caller::Caller::new(fleet.entry(0)).ask(&keyed).await;
    assert_eq!(got.outcome, "may-have-run");
    assert_eq!(sick.runs() + other.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_upstream_costs_bookings_nothing_once_it_is_unreachable() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let crashed = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let good = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    crashed.crash();
    let caller = caller::Caller::new(fleet.entry(0));
    for _ in 0..20 {
        let got = caller.ask(&ask("/book")).await;
        assert!(got.is_good(), "refused connections prove that nothing ran: {got:?}");
    }
    assert_eq!(good.runs(), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_were_not_run() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let slow = backend::Behaviour { time: time::Duration::from_millis(50), ..Default::default() };
    let backend = fleet.add_backend(1, "s", slow).await;
    let entry = fleet.entry(0);
    let calls =
        (0..200).map(|_| async move { caller::Caller::new(entry).ask(&ask("/book")).await });
    let all = futures::future::join_all(calls).await;
    let count = |outcome: &str| all.iter().filter(|got| got.outcome == outcome).count() as u64;
    assert!(count("not-run") > 100, "a burst of 200 on 4 slots and 8 places is shed");
    assert_eq!(count("may-have-run"), 0);
    assert_eq!(backend.runs(), count("answered"), "what was refused did not run");
    assert!(backend.most_running() <= 4, "slots are exact");
    assert!(all.iter().all(|got| got.outcome != "not-run" || got.status == 503));
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_stay_exact_when_callers_hang_up() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let slow = backend::Behaviour { time: time::Duration::from_millis(30), ..Default::default() };
    let _backend = fleet.add_backend(1, "s", slow).await;
    let entry = fleet.entry(0);
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..100_u64 {
        calls.spawn(async move {
            let patience = time::Duration::from_millis(5 + n);
            let caller = caller::Caller::new(entry);
            let _ = tokio::time::timeout(patience, caller.ask(&ask("/"))).await;
        });
    }
    while calls.join_next().await.is_some() {}
    let gate = fleet.daemons[1].sidecar.clone();
    fleet.settle(|_| gate.in_flight() == 0).await;
    let caller = caller::Caller::new(entry);
    assert!(caller.ask(&ask("/")).await.is_good(), "no slot was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_uploads_of_any_size_are_sent_elsewhere() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let gone = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let good = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    gone.crash();
    let mut upload = ask("/book");
    upload.body = Bytes::from(vec![7; 8 * 1024 * 1024]);
    let caller = caller::Caller::new(fleet.entry(0));
    for n in 1..=4 {
        let got = caller.ask(&upload).await;
        assert!(got.is_good(), "{got:?}");
        assert_eq!(good.received(), n * 8 * 1024 * 1024);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_shed_load_are_replaced_for_idempotent_requests() {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let good = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let busy = raw_backend::Step::Send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    let shed = raw_backend::RawBackend::start(vec![vec![busy]]).await;
    fleet.announce_once(0, "s", shed.address).await;
    let caller = caller::Caller::new(fleet.entry(0));
    for _ in 0..10 {
        assert!(caller.ask(&ask("/")).await.is_good());
    }
    assert_eq!(good.runs(), 10);
}

/// Asks on a path until stopped and returns what was got.
async fn keep_asking(
    entry: std::net::SocketAddr,
    path: &'static str,
    span: time::Duration,
) -> Vec<caller::Got> {
    let caller = caller::Caller::new(entry);
    let started = time::Instant::now();
    let mut all = Vec::new();
    while started.elapsed() < span {
        all.push(caller.ask(&ask(path)).await);
    }
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_costs_reads_nothing_and_doubles_no_booking() {
    let mut fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let runtime = fleet.add_killable_daemon("c").await;
    fleet.settle(|fleet| fleet.daemons[2].shared.is_current()).await;
    let mut backends = Vec::new();
    for daemon in 0..3 {
        backends.push(fleet.add_backend(daemon, "s", backend::Behaviour::default()).await);
    }
    let span = time::Duration::from_secs(2);
    let ask_all = |path| {
        let calls = (0..6).map(|n| keep_asking(fleet.entry(n % 2), path, span));
        futures::future::join_all(calls)
    };
    let kill = async {
        tokio::time::sleep(span / 4).await;
        runtime.shutdown_background();
    };
    let (reads, bookings, ()) = tokio::join!(ask_all("/"), ask_all("/book"), kill);
    let bad: Vec<_> = reads.iter().flatten().filter(|got| !got.is_good()).collect();
    assert!(bad.is_empty(), "{} of reads are not sent again: {:?}", bad.len(), bad[0]);
    let runs: Vec<_> = backends.iter().map(|backend| backend.runs_by_tag("/book")).collect();
    assert!(runs.iter().flat_map(|tags| tags.values()).all(|&runs| runs == 1));
    let (a, b, c) = (&runs[0], &runs[1], &runs[2]);
    let elsewhere = |tag: &&String| a.contains_key(*tag) && b.contains_key(*tag);
    assert_eq!(a.keys().filter(elsewhere).count(), 0);
    assert!(!c.is_empty(), "the killed daemon's upstream had work");
    assert!(c.keys().all(|tag| !a.contains_key(tag) && !b.contains_key(tag)));
    let ended = bookings.iter().flatten();
    let run = runs.iter().map(|tags| tags.len()).sum::<usize>();
    let (good, doubt) = ended.fold((0, 0), |(good, doubt), got| {
        let may = usize::from(got.outcome == "may-have-run");
        (good + usize::from(got.is_good()), doubt + may)
    });
    assert!(good <= run && run <= good + doubt, "good {good}, run {run}, doubt {doubt}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_every_upstream_refused_is_answered_at_once() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let stuck = backend::Behaviour { time: time::Duration::from_secs(5), ..Default::default() };
    let _backends =
        [fleet.add_backend(0, "s", stuck.clone()).await, fleet.add_backend(1, "s", stuck).await];
    let entry = fleet.entry(0);
    let mut holders = tokio::task::JoinSet::new();
    for _ in 0..40 {
        holders.spawn(async move { caller::Caller::new(entry).ask(&ask("/book")).await });
    }
    fleet.settle(|fleet| fleet.daemons.iter().all(|daemon| daemon.sidecar.in_flight() == 4)).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let got = caller::Caller::new(entry).ask(&ask("/")).await;
    assert_eq!((got.status, got.reason.as_str()), (503, "queue-full"), "{got:?}");
    assert!(got.took < time::Duration::from_millis(300), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_answered_once_is_never_called_not_run() {
    let section = SECTION.replace("queue = 8", "floor = 8");
    let fleet = fleet::Fleet::start(&["a"], &[&section]).await;
    let crashed = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let busy = raw_backend::Step::Send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    let shed = raw_backend::RawBackend::start(vec![vec![busy]]).await;
    fleet.announce_once(0, "s", shed.address).await;
    crashed.crash();
    let caller = caller::Caller::new(fleet.entry(0));
    let mut runs = 0;
    for _ in 0..20 {
        let got = caller.ask(&ask("/")).await;
        let after = shed.runs.load(atomic::Ordering::SeqCst);
        // A refusal is right only where the retry budget ends before the other one is asked.
        let expected = if after > runs { "answered" } else { "not-run" };
        assert_eq!((got.status, got.outcome.as_str()), (503, expected), "{got:?}");
        runs = after;
    }
    assert!(runs > 0);
}
