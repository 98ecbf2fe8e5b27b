//! Tests of connections to sidecars.

use super::*;

/// Returns an address that neither accepts nor refuses connections, with the listener and the
/// connections that fill its backlog.
fn unresponsive_address() -> (net::SocketAddr, socket2::Socket, Vec<net::TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("a listener");
    let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("its address");
    let wait = time::Duration::from_millis(50);
    let connect = || net::TcpStream::connect_timeout(&address, wait).ok();
    let backlog = std::iter::from_fn(connect).take(16).collect();
    (address, socket, backlog)
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_to_an_unresponsive_sidecar_do_not_connect_in_turn() {
    let (address, _socket, _backlog) = unresponsive_address();
    let peer = Peer { address, connection: Default::default() };
    let started = time::Instant::now();
    let requests = (0..10).map(|_| peer.link());
    let results = futures::future::join_all(requests).await;
    assert!(results.iter().all(|result| matches!(result, Err(PeerError::Unreachable))));
    assert!(started.elapsed() < 3 * CONNECT_TIMEOUT, "{:?}", started.elapsed());
}
