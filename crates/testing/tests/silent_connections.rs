//! Connections that stay open but lose all bytes are detected and replaced, and do not count as
//! failures of the upstream.

use std::net;
use std::time;

use lynxmast_state::event;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fault_proxy;
use lynxmast_testing::fleet;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
hedge = false
[[route]]
service = 's'
host = 'h.example'
path = '/'
idempotent = true
deadline = '4s'
[[route]]
service = 's'
host = 'h.example'
path = '/book'
deadline = '1s'
";

fn request(path: &'static str) -> caller::Request {
    caller::Request { host: "h.example", path, ..Default::default() }
}

fn count_avoided_events(fleet: &fleet::Fleet) -> usize {
    let events = fleet.daemons.iter().flat_map(|daemon| daemon.shared.timeline().events);
    events.filter(|event| matches!(event.kind, event::Kind::UpstreamAvoided { .. })).count()
}

fn free_address() -> net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound port")
}

/// Starts a daemon with a fault proxy between it and its upstream.
async fn start_behind_proxy() -> (fleet::Fleet, fault_proxy::FaultProxy, backend::Backend) {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let backend = backend::Backend::start("s", backend::Behaviour::default()).await;
    let proxy = fault_proxy::FaultProxy::start(backend.address).await;
    fleet.announce_once(0, "s", proxy.address).await;
    (fleet, proxy, backend)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_a_sidecar_is_replaced() {
    let mut fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let sidecar = free_address();
    let proxy = fault_proxy::FaultProxy::start(sidecar).await;
    fleet
        .add_daemon_with("b", |settings| {
            settings.listen.gate = sidecar;
            settings.advertise.gate = Some(proxy.address);
        })
        .await;
    let backend = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    assert!(caller.send(&request("/")).await.is_success());
    proxy.blackhole_connections();
    let response = caller.send(&request("/")).await;
    assert!(response.is_success(), "{response:?}");
    assert!(response.elapsed < time::Duration::from_secs(3), "{response:?}");
    let next = caller.send(&request("/book")).await;
    assert!(next.is_success() && next.elapsed < time::Duration::from_millis(500), "{next:?}");
    assert_eq!(count_avoided_events(&fleet), 0);
    assert_eq!(backend.runs(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_an_upstream_is_replaced() {
    let (fleet, proxy, _backend) = start_behind_proxy().await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    assert!(caller.send(&request("/")).await.is_success());

    proxy.blackhole_connections();
    let response = caller.send(&request("/")).await;
    assert!(response.is_success(), "{response:?}");
    assert!(response.elapsed < time::Duration::from_millis(500), "{response:?}");
    let events = fleet.daemons[0].shared.timeline().events;
    let is_replacement =
        |e: &event::Event| matches!(e.kind, event::Kind::ConnectionReplaced { .. });
    assert!(events.iter().any(is_replacement));

    proxy.blackhole_connections();
    let lost = caller.send(&request("/book")).await;
    assert_eq!((lost.outcome.as_str(), lost.reason.as_str()), ("may-have-run", "deadline"));
    let next = caller.send(&request("/book")).await;
    assert!(next.is_success(), "the next request uses a new connection: {next:?}");
    assert_eq!(count_avoided_events(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_lost_on_a_silent_connection_is_not_reported_as_not_run() {
    let (fleet, proxy, _backend) = start_behind_proxy().await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    assert!(caller.send(&request("/")).await.is_success());
    proxy.blackhole_connections();
    proxy.stop_listening();
    let response = caller.send(&request("/")).await;
    assert_eq!(response.outcome, "may-have-run", "{response:?}");
}
