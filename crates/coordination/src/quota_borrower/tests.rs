//! Tests of the size of the messages between ingresses and owners.

use lynxmast_protocol::control;
use tarpc::context;

use super::*;

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
