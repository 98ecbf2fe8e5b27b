//! Tests of connections to gates.

use super::*;

/// Returns an address that takes no further connections and does not refuse them either, and what
/// keeps it so.
fn dark_address() -> (net::SocketAddr, socket2::Socket, Vec<net::TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("a listener");
    let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("its address");
    let wait = time::Duration::from_millis(50);
    let fill = || net::TcpStream::connect_timeout(&address, wait).ok();
    let filling = std::iter::from_fn(fill).take(16).collect();
    (address, socket, filling)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_wait_in_turn_for_a_gate_that_is_dark() {
    let (address, _socket, _filling) = dark_address();
    let peer = Peer { address, connection: Default::default() };
    let started = time::Instant::now();
    let asked = (0..10).map(|_| peer.sender());
    let answers = futures::future::join_all(asked).await;
    assert!(answers.iter().all(|answer| matches!(answer, Err(PeerError::Unreachable))));
    assert!(started.elapsed() < 3 * CONNECT_MAX, "{:?}", started.elapsed());
}
