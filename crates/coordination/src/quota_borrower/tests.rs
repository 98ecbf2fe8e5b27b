//! Tests of the messages between ingresses and owners: their size, and their relay by other daemons.

use lynxmast_protocol::control;
use lynxmast_state::member;
use lynxmast_state::membership;
use lynxmast_state::policy::edit;
use lynxmast_state::policy::organisation;
use lynxmast_state::quota;
use lynxmast_state::router;
use tarpc::context;

use super::*;
use crate::confirmations;
use crate::control_server;

/// Returns the size in bytes of a message with asks for a number of organisations, and of its
/// response.
fn sizes(organisations: usize) -> (usize, usize) {
    let name = |n: usize| format!("organisation-{n:05}").as_str().into();
    let seq = 1_780_000_000_000 << 20;
    let ask = |n| message::Ask { organisation: name(n), held: 1, seq, wanted: 1, advance: 3 };
    let grant = |n| message::Grant { organisation: name(n), tokens: 4, seq, wait_ms: 0 };
    let sender = control::Sender {
        daemon: "pk-south-a-0017".into(),
        secret: "lynxmast-on-the-platform".into(),
    };
    let message =
        control::ControlRequest::Lend { sender, asks: (0..organisations).map(ask).collect() };
    let request = tarpc::Request { context: context::current(), id: 1000, message };
    let request = rmp_serde::to_vec(&tarpc::ClientMessage::Request(request));
    let grants = Some((0..organisations).map(grant).collect());
    let response =
        tarpc::Response { request_id: 1000, message: Ok(control::ControlResponse::Lend(grants)) };
    let response = rmp_serde::to_vec(&response);
    (request.expect("encodes").len(), response.expect("encodes").len())
}

// Guards against messages that exceed the figures in docs/CAPACITY.md.
#[test]
fn messages_of_quotas_are_small() {
    let (one, many) = (sizes(1), sizes(11));
    println!("one organisation: {one:?}, eleven: {many:?}");
    assert!(one.0 <= 200 && one.1 <= 80, "{one:?}");
    assert!((many.0 - one.0) / 10 <= 40 && (many.1 - one.1) / 10 <= 40, "{one:?} {many:?}");
}

type Shared = sync::Arc<shared_state::SharedState<clock::ManualClock>>;

/// Daemon whose control server runs on loopback.
struct Daemon {
    shared: Shared,
    client: sync::Arc<control_client::ControlClient>,
    address: net::SocketAddr,
}

impl Daemon {
    /// Starts a daemon that accepts messages with `own_secret` and sends messages with
    /// `peer_secret`.
    async fn start(
        name: &str,
        (own_secret, peer_secret): (&str, &str),
        clock: &clock::ManualClock,
    ) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = control_server::bind(any_port).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let addresses = member::Addresses { sidecar: address, control: address, admin: address };
        let own = member::Record::new(name.into(), 1, "a".into(), addresses);
        let state = shared_state::SharedState::new(own, router::Balance::LoadSeen, clock.clone());
        let shared = sync::Arc::new(state);
        let sender = control::Sender { daemon: name.into(), secret: peer_secret.to_owned() };
        let client = sync::Arc::new(control_client::ControlClient::new(sender));
        let server = control_server::ControlServer {
            shared: shared.clone(),
            history: Default::default(),
            client: client.clone(),
            confirmations: confirmations::Confirmations::new(shared.clone()).into(),
            secret: own_secret.to_owned(),
        };
        tokio::spawn(server.run(listener, CancellationToken::new()));
        Self { shared, client, address }
    }

    /// Adds the records of other daemons to the membership.
    fn learn(&self, others: &[&Self]) {
        let record = |daemon: &&Self| daemon.shared.membership().own_record().clone();
        let records = others.iter().map(record).collect();
        let message = membership::GossipMessage { records, ..Default::default() };
        self.shared.membership().respond(&message, self.shared.now());
    }
}

// Guards against an organisation that gets no tokens at an ingress whose path to the owner is cut
// while other daemons reach the owner, and against relaying to addresses outside the fleet.
#[tokio::test]
async fn an_owner_that_does_not_respond_is_asked_through_another_daemon() {
    let clock = clock::ManualClock::new();
    // The owner rejects the secret of the ingress, so that it lends to it only through the relay.
    let owner = Daemon::start("owner", ("owner-secret", ""), &clock).await;
    let relay = Daemon::start("relay", ("relay-secret", "owner-secret"), &clock).await;
    let ingress = Daemon::start("ingress", ("", "relay-secret"), &clock).await;
    // An owner that has just started lends nothing.
    for _ in 0..20 {
        clock.advance(TICK_INTERVAL);
        owner.shared.quota_owner().tick(owner.shared.boot_time());
    }
    relay.learn(&[&owner]);
    ingress.learn(&[&owner, &relay]);
    let text = format!(
        "team = 't'\n[[organisation]]\nname = 'mailers'\nkey-hash = '{}'\nrate = 10.0\nburst = 10.0\n",
        organisation::hash_key("key-of-mailers")
    );
    let edit =
        edit::Edit { id: "1".into(), team: "t".into(), base: 0, text, signature: String::new() };
    owner.shared.update_policy(|reducer| {
        reducer.apply(0, &edit);
    });
    assert!(owner.shared.policy().quota("mailers").is_some(), "the policy is valid");
    let borrower = QuotaBorrower {
        shared: ingress.shared.clone(),
        client: ingress.client.clone(),
        signals: Default::default(),
        busy: Default::default(),
        unreachable: Default::default(),
    };
    let limit = quota::Limit { rate: 10.0, burst: 10.0 };
    let arrived = ingress.shared.boot_time();
    let decide = || {
        let now = ingress.shared.boot_time();
        ingress.shared.spend(&"mailers".into(), &limit, arrived, now).0
    };
    let borrow = async || {
        let sent = ingress.shared.boot_time();
        let asks = ingress.shared.spender().asks(sent);
        assert_eq!(asks.len(), 1, "an ask is due");
        borrower.borrow_from(owner.address, asks, sent).await;
    };

    assert!(matches!(decide(), spender::Decision::Wait(_)));
    assert_eq!(borrower.relay_to(owner.address), None, "the owner is asked directly at first");
    borrow().await;
    clock.advance(time::Duration::from_millis(100));
    assert!(matches!(decide(), spender::Decision::Wait(_)), "the owner has lent nothing");
    assert_eq!(borrower.relay_to(owner.address), Some(relay.address));
    borrow().await;
    assert_eq!(decide(), spender::Decision::Admit, "the relay has passed on the grant");

    let organisation = "mailers".into();
    let ask = message::Ask { organisation, held: 0, seq: 0, wanted: 1, advance: 0 };
    let relayed = ingress.client.relay_lend(relay.address, ingress.address, vec![ask]).await;
    assert_eq!(relayed, Ok(Vec::new()), "the relay does not know the address");

    clock.advance(RELAY_TIME);
    assert_eq!(borrower.relay_to(owner.address), None, "the owner is asked directly again");
}
