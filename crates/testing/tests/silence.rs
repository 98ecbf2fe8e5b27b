//! Connections that fall silent are found and replaced, and the upstream is not blamed.

use std::net;
use std::time;

use lynxmast_state::event;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::relay;

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

fn ask(path: &'static str) -> caller::Ask {
    caller::Ask { host: "h.example", path, ..Default::default() }
}

fn avoided(fleet: &fleet::Fleet) -> usize {
    let events = fleet.daemons.iter().flat_map(|daemon| daemon.shared.timeline().events);
    events.filter(|event| matches!(event.what, event::Kind::UpstreamAvoided { .. })).count()
}

fn free_port() -> net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound port")
}

/// Starts a daemon whose upstream is reached through a relay.
async fn start_behind_relay() -> (fleet::Fleet, relay::Relay, backend::Backend) {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let backend = backend::Backend::start("s", backend::Behaviour::default()).await;
    let relay = relay::Relay::start(backend.address).await;
    fleet.announce_once(0, "s", relay.address).await;
    (fleet, relay, backend)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_a_gate_is_replaced() {
    let mut fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let gate = free_port();
    let relay = relay::Relay::start(gate).await;
    fleet
        .add_daemon_with("b", |settings| {
            settings.listen.gate = gate;
            settings.advertise.gate = Some(relay.address);
        })
        .await;
    let backend = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let caller = caller::Caller::new(fleet.entry(0));
    assert!(caller.ask(&ask("/")).await.is_good());
    relay.silence_open();
    let got = caller.ask(&ask("/")).await;
    assert!(got.is_good(), "{got:?}");
    assert!(got.took < time::Duration::from_secs(3), "{got:?}");
    let next = caller.ask(&ask("/book")).await;
    assert!(next.is_good() && next.took < time::Duration::from_millis(500), "{next:?}");
    assert_eq!(avoided(&fleet), 0);
    assert_eq!(backend.runs(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_an_upstream_is_replaced() {
    let (fleet, relay, _backend) = start_behind_relay().await;
    let caller = caller::Caller::new(fleet.entry(0));
    assert!(caller.ask(&ask("/")).await.is_good());

    relay.silence_open();
    let got = caller.ask(&ask("/")).await;
    assert!(got.is_good(), "{got:?}");
    assert!(got.took < time::Duration::from_millis(500), "{got:?}");
    let events = fleet.daemons[0].shared.timeline().events;
    let is_replacement =
        |e: &event::Event| matches!(e.what, event::Kind::ConnectionReplaced { .. });
    assert!(events.iter().any(is_replacement));

    relay.silence_open();
    let lost = caller.ask(&ask("/book")).await;
    assert_eq!((lost.outcome.as_str(), lost.reason.as_str()), ("may-have-run", "deadline"));
    let next = caller.ask(&ask("/book")).await;
    assert!(next.is_good(), "the next booking gets a new connection: {next:?}");
    assert_eq!(avoided(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_lost_on_a_silent_connection_is_not_called_not_run() {
    let (fleet, relay, _backend) = start_behind_relay().await;
    let caller = caller::Caller::new(fleet.entry(0));
    assert!(caller.ask(&ask("/")).await.is_good());
    relay.silence_open();
    relay.stop_listening();
    let got = caller.ask(&ask("/")).await;
    assert_eq!(got.outcome, "may-have-run", "{got:?}");
}
