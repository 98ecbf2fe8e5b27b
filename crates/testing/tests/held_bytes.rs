//! Responses are held whole within the byte budget, and what is held stays within it.

use std::sync::atomic;
use std::time;

use lynxmast_state::byte_budget;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::paced_backend;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
slots = 256
stall = '3s'
hedge = false
[[route]]
service = 's'
host = 'h.example'
path = '/'
deadline = '10s'
[[route]]
service = 's'
host = 'h.example'
path = '/again'
idempotent = true
deadline = '10s'
objective = '800ms'
";

const MIB: usize = 1024 * 1024;
const FOREVER: time::Duration = time::Duration::from_secs(60);

fn request(path: &'static str) -> caller::Request {
    caller::Request { host: "h.example", path, ..Default::default() }
}

/// Starts two daemons; callers use the first one, and the backend servers are beside the second.
async fn start() -> fleet::Fleet {
    fleet::Fleet::start(&["a", "a"], &[SECTION]).await
}

fn held(fleet: &fleet::Fleet, kind: byte_budget::Kind) -> usize {
    fleet.daemons[0].shared.held_bytes.with(|budget| budget.held(kind))
}

/// Sends a GET on a connection of its own and returns the connection after the request.
async fn open(fleet: &fleet::Fleet, path: &str) -> tcp::TcpStream {
    let mut stream = tcp::TcpStream::connect(fleet.ingress_address(0)).await.expect("a connection");
    let head = format!("GET {path} HTTP/1.1\r\nhost: h.example\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the ingress reads the request");
    stream
}

/// Guards against a large response that reaches an idempotent caller truncated although another
/// upstream could serve it, and against a body that two runs have contributed to.
#[test_case(90_000; "average size")]
#[test_case(540_000; "largest size")]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_large_response_is_retried(size: usize) {
    let fleet = start().await;
    let truncating =
        backend::Behaviour { truncation_rate: 1.0, body_size: size, ..Default::default() };
    let whole = backend::Behaviour { body_size: size, ..Default::default() };
    let bad = fleet.add_backend(1, "s", truncating).await;
    let good = fleet.add_backend(1, "s", whole).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..10 {
        let response = caller.send(&request("/again")).await;
        assert!(response.is_success() && response.body.len() == size, "{}", response.status);
    }
    assert_eq!(good.runs(), 10);
    assert!(bad.runs() > 0, "the truncating upstream got requests as well");
    assert_eq!(held(&fleet, byte_budget::Kind::Response), 0);
}

/// Guards against a status of 200 for a large response that is truncated, and against a second run
/// of a request that must not run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_large_response_to_a_request_that_must_not_run_twice_is_reported() {
    let fleet = start().await;
    let truncating =
        backend::Behaviour { truncation_rate: 1.0, body_size: 90_000, ..Default::default() };
    let backend = fleet.add_backend(1, "s", truncating).await;
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/")).await;
    let outcome = (response.status, response.outcome.as_str(), response.reason.as_str());
    assert_eq!(outcome, (502, "may-have-run", "truncated"));
    assert_eq!(backend.runs(), 1);
}

/// Guards against a first byte that waits for a large response on a slow link for longer than a
/// quarter of the objective, and against a retry that continues a response already passed on.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_large_response_is_passed_on_after_a_quarter_of_the_objective() {
    let fleet = start().await;
    let pace =
        paced_backend::Pace { size: 200_000, sent: 150_000, rate: 200_000, unread_max: FOREVER };
    let backend = paced_backend::PacedBackend::start(pace).await;
    fleet.announce_once(1, "s", backend.address).await;
    for expected_ms in [200, 0] {
        let started = time::Instant::now();
        let mut stream = open(&fleet, "/again").await;
        let mut first = [0; 12];
        stream.read_exact(&mut first).await.expect("the head of a response");
        let waited = started.elapsed();
        assert_eq!(&first, b"HTTP/1.1 200");
        let longest = time::Duration::from_millis(expected_ms + 150);
        assert!(waited <= longest, "first byte after {waited:?}");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        let body =
            rest.windows(4).position(|w| w == b"\r\n\r\n").map_or(&[][..], |i| &rest[i + 4..]);
        assert!(body.len() < 200_000, "the response does not look complete");
        assert!(body.iter().all(|byte| *byte == body[0]), "the body is of a single run");
    }
    assert_eq!(backend.runs.load(atomic::Ordering::SeqCst), 2);
}

/// Guards against callers that read 1 kB/s and together make the daemon hold more than its budget,
/// occupy the slots of the backend server, or hold up others.
#[tokio::test(flavor = "multi_thread")]
async fn two_hundred_callers_that_read_slowly_stay_within_the_budget() {
    let mut fleet = fleet::Fleet::start(&["b"], &[SECTION]).await;
    fleet.add_daemon_with("a", |settings| settings.limits.held_bytes = Some(4 * MIB)).await;
    fleet.daemons.swap(0, 1);
    let behaviour = backend::Behaviour { body_size: 90_000, ..Default::default() };
    let _backend = fleet.add_backend(1, "s", behaviour).await;
    let readers = (0..200).map(|_| async {
        let socket = tcp::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        let mut stream = socket.connect(fleet.ingress_address(0)).await.expect("a connection");
        let head = b"GET /again HTTP/1.1\r\nhost: h.example\r\n\r\n";
        stream.write_all(head).await.expect("the ingress reads the request");
        let mut chunk = [0; 100];
        for _ in 0..20 {
            stream.read_exact(&mut chunk).await.expect("a part of the response");
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    });
    let others = async {
        let caller = caller::Caller::new(fleet.ingress_address(0));
        let (mut peak, mut slowest) = (0, time::Duration::ZERO);
        for _ in 0..40 {
            let response = caller.send(&request("/again")).await;
            assert!(response.is_success(), "{}", response.status);
            slowest = slowest.max(response.elapsed);
            let total = fleet.daemons[0].shared.held_bytes.with(|budget| budget.total());
            peak = peak.max(total);
            tokio::time::sleep(time::Duration::from_millis(40)).await;
        }
        (peak, slowest)
    };
    let ((peak, slowest), _) = tokio::join!(others, futures::future::join_all(readers));
    println!("peak of held bytes {peak}, slowest of the other responses {slowest:?}");
    assert!(peak <= 4 * MIB / 8 * 6, "{peak} bytes held");
    fleet.wait_until(|fleet| held(fleet, byte_budget::Kind::Response) == 0).await;
}

/// Guards against an upload that is read into a full budget, or rejected as if it might have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_request_is_rejected_as_not_run_while_the_budget_is_full() {
    let fleet = start().await;
    let backend = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    let upload =
        |size: usize| caller::Request { method: "PUT", body: vec![7; size].into(), ..request("/") };
    let budget = &fleet.daemons[0].shared.held_bytes;
    let limit = budget.with(|budget| budget.limit());
    let mut guard = budget.empty(byte_budget::Kind::Replay);
    guard.grow(limit);
    let response = caller.send(&upload(100_000)).await;
    let outcome = (response.status, response.outcome.as_str(), response.reason.as_str());
    assert_eq!(outcome, (503, "not-run", "held-bytes"));
    assert_eq!(backend.runs(), 0);
    // The rejection closes the connection, as its body is not read. A small request is served, although
    // its body cannot be kept for another attempt.
    let caller = caller::Caller::new(fleet.ingress_address(0));
    let response = caller.send(&upload(1000)).await;
    assert!(response.is_success(), "{response:?}");
    drop(guard);
    let response = caller.send(&upload(100_000)).await;
    assert!(response.is_success(), "{response:?}");
    fleet.wait_until(|fleet| held(fleet, byte_budget::Kind::Replay) == 0).await;
}

/// Guards against a backend server that cuts off a large response because its caller reads nothing
/// for a while, and against a slot that is occupied until the caller has read.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_read_from_a_backend_server_that_cuts_off_unread_ones() {
    let fleet = start().await;
    let size = 1_500_000;
    let unread_max = time::Duration::from_secs(2);
    let pace = paced_backend::Pace { size, sent: size, rate: 3_000_000, unread_max };
    let backend = paced_backend::PacedBackend::start(pace).await;
    fleet.announce_once(1, "s", backend.address).await;
    let socket = tcp::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stream = socket.connect(fleet.ingress_address(0)).await.expect("a connection");
    let head = b"GET /again HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.expect("the ingress reads the request");
    tokio::time::sleep(time::Duration::from_millis(3500)).await;
    assert_eq!(fleet.daemons[1].sidecar.in_flight(), 0, "the slot is free");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("the whole response");
    assert!(response.len() > size, "{} bytes", response.len());
    assert_eq!(backend.cut.load(atomic::Ordering::SeqCst), 0);
    fleet.wait_until(|fleet| fleet.daemons[0].shared.held_bytes.with(|b| b.total()) == 0).await;
}

/// Guards against a caller that reads nothing and is never disconnected, so that what is held for it
/// is never released.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_is_disconnected() {
    let fleet = start().await;
    let behaviour = backend::Behaviour { body_size: 1_500_000, ..Default::default() };
    let _backend = fleet.add_backend(1, "s", behaviour).await;
    let socket = tcp::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stream = socket.connect(fleet.ingress_address(0)).await.expect("a connection");
    let head = b"GET /again HTTP/1.1\r\nhost: h.example\r\n\r\n";
    stream.write_all(head).await.expect("the ingress reads the request");
    let started = time::Instant::now();
    fleet.wait_until(|fleet| held(fleet, byte_budget::Kind::Response) > 0).await;
    fleet.wait_until(|fleet| fleet.daemons[0].shared.held_bytes.with(|b| b.total()) == 0).await;
    println!("released after {:?}", started.elapsed());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    assert!(response.len() < 1_500_000, "the response does not look complete");
}
