//! Responses within which the backend server goes silent end at the request's deadline, and those that
//! still arrive are not cut.

use std::sync::atomic;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::paced_backend;
use lynxmast_testing::scripted_backend;
use lynxmast_testing::scripted_backend::Step;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
stall = 'STALL'
hedge = false
[[route]]
service = 's'
host = 'h.example'
path = '/'
deadline = '1s'
[[route]]
service = 's'
host = 'h.example'
path = '/again'
idempotent = true
deadline = '1s'
";

const DEADLINE: time::Duration = time::Duration::from_secs(1);
/// Time after the deadline within which a caller has the end of its response.
const GRACE: time::Duration = time::Duration::from_millis(500);
const FOREVER: time::Duration = time::Duration::from_secs(60);

fn request(path: &'static str) -> caller::Request {
    caller::Request { host: "h.example", path, ..Default::default() }
}

/// Starts two daemons whose service has the stall timeout `stall`; callers use the first one.
async fn start(stall: &str) -> fleet::Fleet {
    fleet::Fleet::start(&["a", "a"], &[&SECTION.replace("STALL", stall)]).await
}

/// Starts a backend server beside a daemon that sends `head`, `sent` bytes of a body and nothing more.
async fn add_silent_backend(
    fleet: &fleet::Fleet,
    daemon: usize,
    head: &str,
    sent: usize,
) -> scripted_backend::ScriptedBackend {
    let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{}", "x".repeat(sent));
    let script = vec![Step::Send(text.leak()), Step::Wait(FOREVER)];
    let backend = scripted_backend::ScriptedBackend::start(vec![script]).await;
    fleet.announce_once(daemon, "s", backend.address).await;
    backend
}

/// Guards against callers that wait beyond the deadline of their route for an upstream that has sent a
/// part of a response and then nothing, and against a response that ends before the deadline for that.
#[test_case("10s", 0, "content-length: 5000", 2500; "held, local")]
#[test_case("10s", 1, "content-length: 5000", 2500; "held, remote")]
#[test_case("10s", 1, "content-length: 5000", 0; "head alone")]
#[test_case("10s", 0, "content-length: 200000", 100_000; "streamed, local")]
#[test_case("10s", 1, "content-length: 200000", 100_000; "streamed, remote")]
#[test_case("10s", 1, "transfer-encoding: chunked", 0; "chunked")]
#[test_case("300ms", 1, "content-length: 5000", 2500; "held, short stall timeout")]
#[test_case("300ms", 0, "content-length: 200000", 100_000; "streamed, short stall timeout")]
#[test_case("300ms", 1, "transfer-encoding: chunked", 0; "chunked, short stall timeout")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_goes_silent_ends_at_the_deadline(
    stall: &'static str,
    daemon: usize,
    head: &'static str,
    sent: usize,
) {
    let fleet = start(stall).await;
    let _backend = add_silent_backend(&fleet, daemon, head, sent).await;
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/")).await;
    assert!(response.elapsed < DEADLINE + GRACE, "{:?}", response.elapsed);
    assert!(response.elapsed > DEADLINE.mul_f64(0.95), "{:?}", response.elapsed);
    assert!(!response.is_complete || response.status == 504, "status {}", response.status);
    assert!(response.outcome != "not-run", "the request has run");
}

/// Guards against idempotent requests that share the fate of a response that goes silent, although
/// another upstream could serve them.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_retried_after_silence_within_a_response() {
    let fleet = start("300ms").await;
    let silent = add_silent_backend(&fleet, 1, "content-length: 5000", 2500).await;
    let good = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..10 {
        let response = caller.send(&request("/again")).await;
        assert!(response.is_success(), "{response:?}");
        assert!(response.elapsed < DEADLINE, "{:?}", response.elapsed);
    }
    assert_eq!(good.runs(), 10);
    assert!(silent.requests.load(atomic::Ordering::SeqCst) > 0, "the silent one got requests too");
}

/// Guards against an upstream that is not suspected although its responses go silent or break off
/// after their heads.
#[test_case(Step::Wait(FOREVER); "silence")]
#[test_case(Step::Close; "truncation")]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_with_incomplete_responses_is_suspected(end: Step) {
    let fleet = start("10s").await;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\nx";
    let script = vec![Step::Send(head), Step::Wait(time::Duration::from_millis(20)), end];
    let backend = scripted_backend::ScriptedBackend::start(vec![script]).await;
    fleet.announce_once(1, "s", backend.address).await;
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/")).await;
    assert!(response.status >= 500, "status {}", response.status);
    let sidecar = &fleet.daemons[1].sidecar;
    let suspicion = sidecar.upstreams()[0].failure_percent(fleet.daemons[1].shared.now());
    assert!(suspicion >= 20, "failure probability {suspicion}%");
}

/// Guards against callers that get nothing until long after the deadline while a response trickles in,
/// and against a response that is cut although its bytes still arrive.
#[test_case(5_000; "held")]
#[test_case(200_000; "streamed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_still_arrives_is_passed_on_after_the_deadline(size: usize) {
    const PIECES: usize = 10;
    let fleet = start("10s").await;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
    let piece: &str = "x".repeat(size / PIECES).leak();
    let mut script = vec![Step::Send(head.leak())];
    for _ in 0..PIECES {
        script.extend([Step::Wait(time::Duration::from_millis(200)), Step::Send(piece)]);
    }
    let backend = scripted_backend::ScriptedBackend::start(vec![script]).await;
    fleet.announce_once(1, "s", backend.address).await;
    let started = time::Instant::now();
    let mut stream = tcp::TcpStream::connect(fleet.ingress_address(0)).await.expect("a connection");
    let head = b"GET / HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.expect("the ingress reads the request");
    let mut first = [0; 12];
    stream.read_exact(&mut first).await.expect("the head of a response");
    assert_eq!(&first, b"HTTP/1.1 200");
    assert!(started.elapsed() < DEADLINE + GRACE, "head after {:?}", started.elapsed());
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("the whole response");
    assert!(rest.ends_with(b"x") && rest.len() > size, "{} bytes", rest.len());
    assert!(started.elapsed() > DEADLINE + GRACE, "the response lasts longer");
}

const LARGE: usize = 8_000_000;

/// Starts two daemons, of which the first one holds little, and a backend server beside the second one
/// that sends large responses and cuts off those that are not read for `unread_max`. Returns the
/// connection of a caller of the first daemon that has read the beginning of a response.
async fn start_slow_reader(
    unread_max: time::Duration,
) -> (fleet::Fleet, paced_backend::PacedBackend, tcp::TcpStream) {
    let mut fleet = fleet::Fleet::start(&["b"], &[&SECTION.replace("STALL", "10s")]).await;
    let limit = |settings: &mut lynxmastd::settings::Settings| {
        settings.limits.held_bytes = Some(256 * 1024);
    };
    fleet.add_daemon_with("a", limit).await;
    fleet.daemons.swap(0, 1);
    let pace = paced_backend::Pace { size: LARGE, sent: LARGE, rate: 100_000_000, unread_max };
    let backend = paced_backend::PacedBackend::start(pace).await;
    fleet.announce_once(1, "s", backend.address).await;
    let socket = tcp::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stream = socket.connect(fleet.ingress_address(0)).await.expect("a connection");
    let head = b"GET / HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.expect("the ingress reads the request");
    let mut first = [0; 12];
    stream.read_exact(&mut first).await.expect("the head of a response");
    (fleet, backend, stream)
}

/// Guards against a response that is cut at the deadline because its caller reads it slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_read_slowly_is_not_cut() {
    let (fleet, _backend, mut stream) = start_slow_reader(FOREVER).await;
    tokio::time::sleep(2 * DEADLINE).await;
    assert_eq!(fleet.daemons[1].sidecar.in_flight(), 1, "the response is not complete");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("the whole response");
    assert!(rest.len() > LARGE, "{} bytes", rest.len());
}

/// Guards against an upstream that is suspected because it cuts off a response that its caller does
/// not read.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_cuts_off_an_unread_response_is_not_suspected() {
    let unread_max = time::Duration::from_millis(1500);
    let (fleet, backend, mut stream) = start_slow_reader(unread_max).await;
    while backend.cut.load(atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.len() < LARGE, "the response is cut off");
    let sidecar = &fleet.daemons[1].sidecar;
    let suspicion = sidecar.upstreams()[0].failure_percent(fleet.daemons[1].shared.now());
    assert!(suspicion < 20, "failure probability {suspicion}%");
}
