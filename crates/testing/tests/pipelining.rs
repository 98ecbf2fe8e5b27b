//! Tests of several requests on a connection before the first response.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http::request;
use hyper::body::Incoming;
use lynxmast_transport::client;
use lynxmast_transport::server;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;
use tokio_util::sync::CancellationToken;

/// Handler that takes as many milliseconds as the path says: `/safe/200` may be started early,
/// `/unsafe/200` may not. The response names the target.
#[derive(Default)]
struct Handler {
    running: atomic::AtomicUsize,
    running_max: atomic::AtomicUsize,
    /// Targets in the order in which they were started.
    started: sync::Mutex<Vec<String>>,
    /// Number of requests that were completed rather than abandoned.
    completed: atomic::AtomicUsize,
}

struct Running<'a>(&'a Handler);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl Handler {
    async fn serve(&self, target: &http::Uri) -> http::Response<client::FullBody> {
        self.started.lock().expect("no panic").push(target.to_string());
        let running = self.running.fetch_add(1, atomic::Ordering::AcqRel) + 1;
        let _running = Running(self);
        self.running_max.fetch_max(running, atomic::Ordering::AcqRel);
        let millis = target.path().rsplit('/').next().and_then(|text| text.parse().ok());
        tokio::time::sleep(time::Duration::from_millis(millis.unwrap_or(0))).await;
        self.completed.fetch_add(1, atomic::Ordering::AcqRel);
        client::response(http::StatusCode::OK, Bytes::from(target.to_string()))
    }

    fn started(&self) -> Vec<String> {
        self.started.lock().expect("no panic").clone()
    }
}

impl server::Handler for Handler {
    type Body = client::FullBody;

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        let (head, body) = request.into_parts();
        let _ = http_body_util::BodyExt::collect(body).await;
        self.serve(&head.uri).await
    }
}

impl server::EarlyHandler for Handler {
    fn starts_early(&self, head: &request::Parts) -> bool {
        head.uri.path().starts_with("/safe/")
    }

    async fn handle_early(
        &self,
        head: request::Parts,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        self.serve(&head.uri).await
    }
}

struct Fixture {
    handler: sync::Arc<Handler>,
    address: net::SocketAddr,
    stop: CancellationToken,
    running: tokio::task::JoinHandle<()>,
}

async fn start() -> Fixture {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let server = server::Server::bind(any, 100).await.expect("a free port");
    let address = server.address().expect("a bound port");
    let (handler, stop) = (sync::Arc::new(Handler::default()), CancellationToken::new());
    let running = tokio::spawn(server.run_pipelined(handler.clone(), stop.clone()));
    Fixture { handler, address, stop, running }
}

async fn send(fixture: &Fixture, text: &str) -> tcp::TcpStream {
    let mut stream = tcp::TcpStream::connect(fixture.address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("a connection");
    stream
}

fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: shop.example\r\n\r\n")
}

/// Reads responses with a length until there are `count` or the connection ends, and returns their
/// bodies.
async fn read_bodies(stream: &mut tcp::TcpStream, count: usize) -> Vec<String> {
    let (mut received, mut bodies) = (Vec::new(), Vec::new());
    while bodies.len() < count {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            assert!(head.starts_with("HTTP/1.1 200"), "{head}");
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok()
                })
                .expect("a length");
            if let Some(body) = rest.get(..length) {
                bodies.push(body.to_owned());
                received = received.split_off(head.len() + 4 + length);
                continue;
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(length) => received.extend_from_slice(&chunk[..length]),
        }
    }
    bodies
}

// Before, ten requests of 200 ms each took 2 s.
#[tokio::test(flavor = "multi_thread")]
async fn safe_requests_run_at_the_same_time_and_are_answered_in_order() {
    let fixture = start().await;
    // Later requests take less time.
    let targets: Vec<String> = (0..9).map(|n| format!("/safe/{}", 300 - 30 * n)).collect();
    let requests: String = targets.iter().map(|target| get(target)).collect();
    let started = time::Instant::now();
    let mut stream = send(&fixture, &requests).await;
    assert_eq!(read_bodies(&mut stream, 9).await, targets);
    assert!(started.elapsed() < time::Duration::from_millis(600), "{:?}", started.elapsed());
    let second = get("/safe/1");
    stream.write_all(second.as_bytes()).await.expect("the connection is kept");
    assert_eq!(read_bodies(&mut stream, 1).await, ["/safe/1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_requests_of_one_connection_that_run_at_the_same_time_are_bounded() {
    let fixture = start().await;
    let targets: Vec<String> = (0..60).map(|n| format!("/safe/{}", 10 + n % 5)).collect();
    let requests: String = targets.iter().map(|target| get(target)).collect();
    let mut stream = send(&fixture, &requests).await;
    assert_eq!(read_bodies(&mut stream, 60).await, targets);
    let most = fixture.handler.running_max.load(atomic::Ordering::Acquire);
    assert!((4..=9).contains(&most), "{most} at the same time");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_may_run_once_wait_for_their_turn() {
    let fixture = start().await;
    let requests = [get("/safe/200"), get("/unsafe/0"), get("/safe/0")].concat();
    let mut stream = send(&fixture, &requests).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert_eq!(fixture.handler.started(), ["/safe/200"]);
    assert_eq!(read_bodies(&mut stream, 3).await, ["/safe/200", "/unsafe/0", "/safe/0"]);
}

#[test_case("POST /unsafe/1 HTTP/1.1\r\ncontent-length: 20000\r\n\r\n", 20_000; "with a length")]
#[test_case("POST /unsafe/1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4e20\r\n", 20_000; "with chunks")]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_between_pipelined_requests_are_passed_on(head: &str, size: usize) {
    let fixture = start().await;
    let end = if head.contains("chunked") { "\r\n0\r\n\r\n" } else { "" };
    let upload =
        format!("{head}{}{end}", "GET /safe/9 HTTP/1.1\r\n\r\n".repeat(1000)[..size].to_owned());
    let requests =
        [get("/safe/1"), upload.clone(), get("/safe/2"), upload, get("/safe/3")].concat();
    let mut stream = send(&fixture, &requests).await;
    let expected = ["/safe/1", "/unsafe/1", "/safe/2", "/unsafe/1", "/safe/3"];
    assert_eq!(read_bodies(&mut stream, 5).await, expected);
    assert_eq!(fixture.handler.started(), expected, "nothing inside of a body is run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_head_behind_another_request_is_read_in_parts() {
    let fixture = start().await;
    let long = format!("GET /safe/2 HTTP/1.1\r\nx-long: {}\r\n\r\n", "a".repeat(50_000));
    let requests = [get("/safe/50"), long, get("/safe/3")].concat();
    let mut stream = send(&fixture, &requests).await;
    assert_eq!(read_bodies(&mut stream, 3).await, ["/safe/50", "/safe/2", "/safe/3"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_one_that_closes_the_connection_are_not_run() {
    let fixture = start().await;
    let closing = "GET /safe/50 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let requests = [get("/safe/100"), closing.to_owned(), get("/safe/3")].concat();
    let mut stream = send(&fixture, &requests).await;
    assert_eq!(read_bodies(&mut stream, 3).await, ["/safe/100", "/safe/50"]);
    assert_eq!(fixture.handler.started(), ["/safe/100", "/safe/50"]);
}

// Pattern: a planned stop while several requests of a connection are in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_what_was_started_and_runs_nothing_else() {
    let fixture = start().await;
    let targets: Vec<String> = (0..40).map(|n| format!("/safe/{}", 100 + n)).collect();
    let requests: String = targets.iter().map(|target| get(target)).collect();
    let mut stream = send(&fixture, &requests).await;
    while fixture.handler.started().len() < 9 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    fixture.stop.cancel();
    let bodies = read_bodies(&mut stream, 40).await;
    assert!((9..40).contains(&bodies.len()), "{} answered", bodies.len());
    assert_eq!(bodies, targets[..bodies.len()]);
    assert_eq!(fixture.handler.started().len(), bodies.len(), "what was started is answered");
    fixture.running.await.expect("the server ends");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_all_its_requests() {
    let fixture = start().await;
    let requests: String = (0..5).map(|_| get("/safe/5000")).collect();
    let stream = send(&fixture, &requests).await;
    while fixture.handler.running.load(atomic::Ordering::Acquire) < 5 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    drop(stream);
    let left = time::Instant::now();
    while fixture.handler.running.load(atomic::Ordering::Acquire) > 0 {
        assert!(left.elapsed() < time::Duration::from_millis(500), "requests go on");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    assert_eq!(fixture.handler.completed.load(atomic::Ordering::Acquire), 0);
}
