//! Dedicated port for metrics, in addition to the admin port.

use std::net;
use std::time;

use lynxmast_protocol::admin;
use lynxmast_testing::fleet;
use lynxmast_transport::client;

const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

async fn status(address: net::SocketAddr, path: &str) -> http::StatusCode {
    let body = bytes::Bytes::new();
    let exchange = client::exchange(address, http::Method::GET, path, body, RESPONSE_TIMEOUT);
    exchange.await.expect("a response").status
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_also_served_on_a_dedicated_port() {
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut fleet = fleet::Fleet::start(&["a"], &[]).await;
    fleet.add_daemon_with("a", |settings| settings.listen.metrics = Some(any_port)).await;
    assert_eq!(fleet.daemons[0].listen.metrics, None);
    let address = fleet.daemons[1].listen.metrics.expect("a bound address");
    assert_ne!(address, fleet.daemons[1].listen.admin);
    assert_eq!(status(address, admin::METRICS_PATH).await, http::StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_serves_without_the_metrics_port_if_it_is_in_use() {
    let occupied = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = occupied.local_addr().ok();
    let mut fleet = fleet::Fleet::start(&["a"], &[]).await;
    fleet.add_daemon_with("a", |settings| settings.listen.metrics = address).await;
    let daemon = &fleet.daemons[1];
    assert_eq!(daemon.listen.metrics, None);
    assert_eq!(status(daemon.listen.admin, admin::LIVE_PATH).await, http::StatusCode::OK);
}
