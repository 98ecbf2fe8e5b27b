//! Tests of the ends that a peer sees.

use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use super::*;

// Guards against a response without a length that looks complete as its connection ends in order.
#[test_case(false, false, None; "dropped")]
#[test_case(true, false, Some(io::ErrorKind::ConnectionReset); "dropped after the option was set")]
#[test_case(true, true, None; "shut down after the option was set")]
#[tokio::test]
async fn the_peer_sees_a_reset_unless_the_stream_was_shut_down(
    resets: bool,
    shuts_down: bool,
    expected: Option<io::ErrorKind>,
) {
    let listener = tcp::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let mut peer = tcp::TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut stream = SharedStream::new(stream);
    if resets {
        stream.handle().reset_unless_shut_down().expect("the option is set");
    }
    stream.write_all(b"part").await.expect("the peer is there");
    if shuts_down {
        stream.shutdown().await.expect("the peer is there");
    }
    drop(stream);
    let mut received = Vec::new();
    let end = peer.read_to_end(&mut received).await.map_err(|error| error.kind()).err();
    assert_eq!((end, &received[..]), (expected, &b"part"[..]));
}
