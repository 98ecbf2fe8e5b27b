//! Responses without end are cut at the request's deadline, and their connections are closed.

use std::net;
use std::time;

use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;
use tokio::sync::mpsc;

const ROUTE: &str = "deadline = '1s'";
/// Time after the deadline within which everything has ended.
const GRACE: time::Duration = time::Duration::from_millis(500);

/// Starts a server that answers the first request of a connection with `head` and then repeats
/// `piece` until the connection is closed, `count` times at most. The receiver gets a message for
/// each closed connection.
async fn start_server(
    head: &'static str,
    piece: &'static str,
    count: usize,
) -> (net::SocketAddr, mpsc::UnboundedReceiver<()>) {
    let listener = tcp::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let (closed, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed = closed.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let mut result = stream.write_all(head.as_bytes()).await;
                for _ in 0..count {
                    result = result.and(stream.write_all(piece.as_bytes()).await);
                    if result.is_err() {
                        break;
                    }
                    tokio::time::sleep(time::Duration::from_millis(10)).await;
                }
                let _ = closed.send(());
            });
        }
    });
    (address, receiver)
}

async fn send(fleet: &fleet::Fleet) -> caller::Response {
    let request = caller::Request { host: "h.example", path: "/", ..Default::default() };
    caller::Caller::new(fleet.ingress_address(0)).send(&request).await
}

// Guards against passing on a response without end for as long as the caller reads.
#[test_case::test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nbytes\r\n", 200; "chunked body")]
#[test_case::test_case("HTTP/1.1 200 OK\r\nx: ", "value", 0; "head value")]
#[test_case::test_case("HTTP/1.1 200 OK\r\n", "x: value\r\n", 0; "head lines")]
#[test_case::test_case("", "no response", 0; "no response")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_end_is_cut_at_the_deadline(
    head: &'static str,
    piece: &'static str,
    status: u16,
) {
    let fleet = fleet::Fleet::start(&["a"], &[&fleet::section(ROUTE)]).await;
    let (address, mut closed) = start_server(head, piece, usize::MAX).await;
    fleet.announce_once(0, "s", address).await;
    let response = send(&fleet).await;
    let deadline = time::Duration::from_secs(1);
    assert!(response.elapsed < deadline + GRACE, "{:?}", response.elapsed);
    assert!(!response.is_complete || response.status >= 500, "{response:?}");
    assert!(status == 0 || response.status == status, "{response:?}");
    let closed = tokio::time::timeout(GRACE, closed.recv()).await;
    assert!(closed.is_ok(), "the connection to the backend server stays open");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_response_of_known_length_is_not_cut() {
    let fleet = fleet::Fleet::start(&["a"], &[&fleet::section(ROUTE)]).await;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 131072\r\n\r\n";
    let piece = "0123456789abcdef".repeat(64).leak();
    let (address, _closed) = start_server(head, piece, 128).await;
    fleet.announce_once(0, "s", address).await;
    let response = send(&fleet).await;
    assert!(response.is_complete, "{} bytes", response.body.len());
    assert!(response.elapsed > time::Duration::from_secs(1), "{:?}", response.elapsed);
}
