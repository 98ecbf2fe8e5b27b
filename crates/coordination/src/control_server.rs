//! Server for control messages of other daemons.

use std::net;
use std::sync;
use std::time;

use futures::StreamExt;
use lynxmast_protocol::control;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::membership;
use lynxmast_state::quota::message;
use lynxmast_state::shared_state;
use lynxmast_transport::sidecar_server;
use lynxmast_transport::socket;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::server;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats;
use tokio::net as tcp;
use tokio_util::codec;
use tokio_util::sync::CancellationToken;

use crate::confirmations;
use crate::control_client;
use crate::gossip;
use crate::history;

/// Serves the control interface of one daemon.
#[derive(Debug)]
pub struct ControlServer<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Recent policy records, for daemons whose policy is older.
    pub history: sync::Arc<history::History>,
    /// Client for control messages to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
    /// Confirmations of the policy that other daemons wait for.
    pub confirmations: sync::Arc<confirmations::Confirmations<C>>,
    /// The fleet's shared secret.
    pub secret: String,
}

/// Messages of one connection that are processed at the same time.
const CONCURRENT_MAX: usize = 16;

impl<C: clock::Clock> Clone for ControlServer<C> {
    fn clone(&self) -> Self {
        let (shared, history) = (self.shared.clone(), self.history.clone());
        let (client, confirmations) = (self.client.clone(), self.confirmations.clone());
        Self { shared, history, client, confirmations, secret: self.secret.clone() }
    }
}

impl<C: clock::Clock> ControlServer<C> {
    /// Accepts and serves connections until `stop` is cancelled.
    pub async fn run(self, listener: tcp::TcpListener, stop: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            if socket::set_options(&stream).is_err() {
                continue;
            }
            let (server, stop) = (self.clone(), stop.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = server.serve_connection(stream) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }

    async fn serve_connection(self, stream: tcp::TcpStream) {
        use control::Control;
        let framed = codec::Framed::new(stream, control_client::framing());
        let transport = serde_transport::new(framed, formats::MessagePack::default());
        let channel = server::BaseChannel::with_defaults(transport);
        let responses = channel.execute(self.serve());
        // A relayed ask waits for another daemon, which must not delay the other messages.
        responses.for_each_concurrent(CONCURRENT_MAX, |response| response).await;
    }

    fn authorise(&self, sender: &control::Sender) -> bool {
        let is_authorised =
            sidecar_server::secrets_match(sender.secret.as_bytes(), self.secret.as_bytes());
        if !is_authorised {
            metrics::counter!("lynxmast_unauthorised_total").increment(1);
        }
        is_authorised
    }
}

impl<C: clock::Clock> control::Control for ControlServer<C> {
    async fn exchange(
        self,
        _: context::Context,
        sender: control::Sender,
        message: membership::GossipMessage,
    ) -> Option<membership::GossipMessage> {
        if !self.authorise(&sender) {
            return None;
        }
        let now = self.shared.now();
        let (mut response, changes) = self.shared.membership().respond(&message, now);
        if !message.loads.is_empty() {
            let mut load_reports = self.shared.load_reports();
            load_reports.merge(&message.loads, now);
            response.loads = load_reports.update(now);
        }
        gossip::apply_changes(&self.shared, changes);
        gossip::merge_suspects(&self.shared, &message.suspects);
        let is_full = message.requests_all;
        response.suspects = self.shared.quarantine().reply(&message.suspects, is_full, now);
        Some(response)
    }

    async fn lend(
        self,
        _: context::Context,
        sender: control::Sender,
        asks: Vec<message::Ask>,
    ) -> Option<Vec<message::Grant>> {
        self.authorise(&sender).then(|| self.shared.lend(&sender.daemon, &asks))
    }

    async fn relay_lend(
        self,
        _: context::Context,
        sender: control::Sender,
        owner: net::SocketAddr,
        asks: Vec<message::Ask>,
    ) -> Option<Vec<message::Grant>> {
        if !self.authorise(&sender) {
            return None;
        }
        let is_member = self.shared.membership().all_records().any(|r| r.control == owner);
        if !is_member {
            return Some(Vec::new());
        }
        let lent = self.client.lend_for(sender.daemon, owner, asks).await;
        Some(lent.unwrap_or_default())
    }

    async fn catch_up(
        self,
        _: context::Context,
        sender: control::Sender,
        from: u64,
    ) -> Option<control::CatchUp> {
        if !self.authorise(&sender) {
            return None;
        }
        let next = self.shared.with_reducer(|reducer| reducer.next);
        if next <= from {
            return Some(control::CatchUp::Current);
        }
        if let Some(records) = self.history.since(from) {
            return Some(control::CatchUp::Records(records));
        }
        let state = self.shared.with_reducer(Clone::clone);
        Some(control::CatchUp::State(Box::new(state)))
    }

    async fn confirm(
        self,
        _: context::Context,
        sender: control::Sender,
        version: ids::PolicyVersion,
        age: Option<time::Duration>,
    ) -> Option<control::Confirmation> {
        if !self.authorise(&sender) {
            return None;
        }
        Some(self.confirmations.next(version, age).await)
    }
}

/// Binds the listener for control messages.
///
/// # Errors
///
/// Returns the error of the `bind` system call.
pub async fn bind(address: net::SocketAddr) -> std::io::Result<tcp::TcpListener> {
    tcp::TcpListener::bind(address).await
}
