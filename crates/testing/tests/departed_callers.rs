//! Requests of callers that have left do not reach a backend server.

use std::net;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

/// Time for which a request holds the only slot; shorter than the time after which its upstream is suspected.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(400);
/// Requests that are served before the one whose caller leaves.
const EARLIER: usize = 4;
/// Time after which the request of a caller that has left may not reach a backend server.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Starts a fleet of one daemon with one backend server, which has one slot.
async fn start() -> (fleet::Fleet, backend::Backend) {
    let section = "team = 't'\n[[service]]\nname = 's'\nramp = '0s'\nslots = 1\nmax-wait = '4s'\nhedge = false\n\
         [[route]]\nservice = 's'\nhost = 'h.example'\npath = '/'\ndeadline = '5s'\n";
    let fleet = fleet::Fleet::start(&["a"], &[section]).await;
    let behaviour = backend::Behaviour { service_time: SERVICE_TIME, ..Default::default() };
    let backend = fleet.add_backend(0, "s", behaviour).await;
    (fleet, backend)
}

fn upload(size: usize) -> caller::Request {
    let body = vec![7; size].into();
    caller::Request { method: "POST", host: "h.example", path: "/", body, ..Default::default() }
}

/// Sends an upload of `size` bytes on a connection of its own.
async fn send_upload(ingress: net::SocketAddr, size: usize) -> tcp::TcpStream {
    let mut stream = tcp::TcpStream::connect(ingress).await.expect("a connection");
    let head = format!("POST / HTTP/1.1\r\nhost: h.example\r\ncontent-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the ingress reads the request");
    stream.write_all(&vec![7; size]).await.expect("the ingress reads the request");
    stream
}

// Guards against uploads that wait for the upstream beside their ingress after their callers have left,
// as nobody reads the connection meanwhile.
#[test_case(0; "without a body")]
#[test_case(2; "in the first segment")]
#[test_case(30_000; "that fits into the socket")]
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_ends_when_its_caller_leaves(size: usize) {
    let (fleet, backend) = start().await;
    let ingress = fleet.ingress_address(0);
    let earlier = (0..EARLIER)
        .map(|_| tokio::spawn(async move { caller::Caller::new(ingress).send(&upload(2)).await }));
    let earlier: Vec<_> = earlier.collect();
    let queued = || fleet.daemons[0].sidecar.upstreams()[0].load(time::Instant::now()).queued;
    fleet.wait_until(|_| queued() as usize == EARLIER - 1).await;
    let stream = send_upload(ingress, size).await;
    fleet.wait_until(|_| queued() as usize == EARLIER).await;
    drop(stream);
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    // One of the earlier requests has been served and another one runs.
    assert_eq!(queued() as usize, EARLIER - 2, "the request goes on waiting");
    for request in earlier {
        assert!(request.await.expect("no panic").is_success(), "an earlier request is served");
    }
    tokio::time::sleep(SERVICE_TIME).await;
    assert_eq!(backend.runs(), EARLIER as u64, "the request has run although its caller has left");
}

// Guards against callers that are taken for gone because they pause before they send the rest.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_upload_is_served_if_its_caller_waits() {
    let (fleet, backend) = start().await;
    let ingress = fleet.ingress_address(0);
    let uploads = (0..2)
        .map(|_| async { caller::Caller::new(ingress).send(&upload(30_000)).await.is_success() });
    assert_eq!(futures::future::join_all(uploads).await, [true, true]);
    assert_eq!(backend.runs(), 2);
}
