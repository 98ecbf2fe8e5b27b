//! Answers other daemons' control messages.

use std::net;
use std::sync;

use futures::StreamExt;
use lynxmast_protocol::control;
use lynxmast_state::clock;
use lynxmast_state::members;
use lynxmast_state::tables;
use lynxmast_state::usage;
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

use crate::control_client;
use crate::gossip;
use crate::history;

/// Control interface of one daemon.
#[derive(Debug)]
pub struct ControlServer<C: clock::Clock> {
    /// Shared tables.
    pub tables: sync::Arc<tables::Tables<C>>,
    /// Policy records for those behind.
    pub history: sync::Arc<history::History>,
    /// The fleet's shared secret.
    pub secret: String,
}

impl<C: clock::Clock> Clone for ControlServer<C> {
    fn clone(&self) -> Self {
        let (tables, history) = (self.tables.clone(), self.history.clone());
        Self { tables, history, secret: self.secret.clone() }
    }
}

impl<C: clock::Clock> ControlServer<C> {
    /// Serves connections until `stop`.
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
        let framed = codec::Framed::new(stream, control_client::frames());
        let transport = serde_transport::new(framed, formats::MessagePack::default());
        let channel = server::BaseChannel::with_defaults(transport);
        channel.execute(self.serve()).for_each(|answer| answer).await;
    }

    fn accepts(&self, sender: &control::Sender) -> bool {
        let accepted =
            sidecar_server::secrets_match(sender.secret.as_bytes(), self.secret.as_bytes());
        if !accepted {
            metrics::counter!("lynxmast_unauthorised_total").increment(1);
        }
        accepted
    }
}

impl<C: clock::Clock> control::Control for ControlServer<C> {
    async fn exchange(
        self,
        _: context::Context,
        sender: control::Sender,
        message: members::Exchange,
    ) -> Option<members::Exchange> {
        if !self.accepts(&sender) {
            return None;
        }
        let now = self.tables.now();
        let (reply, changes) = self.tables.members().answer(&message, now);
        gossip::note(&self.tables, changes);
        Some(reply)
    }

    async fn report(
        self,
        _: context::Context,
        sender: control::Sender,
        demands: Vec<usage::Demand>,
    ) -> Option<Vec<usage::Share>> {
        if !self.accepts(&sender) {
            return None;
        }
        let view = self.tables.view();
        let now = self.tables.now();
        let limited = demands
            .iter()
            .take(usage::REPORTS_MAX)
            .filter_map(|demand| view.rate(&demand.organisation).map(|limit| (demand, limit)));
        let mut keeper = self.tables.keeper();
        let shares =
            limited.map(|(demand, limit)| keeper.share(&sender.daemon, demand, limit, now));
        Some(shares.collect())
    }

    async fn catch_up(
        self,
        _: context::Context,
        sender: control::Sender,
        from: u64,
    ) -> Option<control::CatchUp> {
        if !self.accepts(&sender) {
            return None;
        }
        let next = self.tables.with_reducer(|reducer| reducer.next);
        if next <= from {
            return Some(control::CatchUp::Current);
        }
        if let Some(records) = self.history.since(from) {
            return Some(control::CatchUp::Records(records));
        }
        let state = self.tables.with_reducer(Clone::clone);
        Some(control::CatchUp::State(Box::new(state)))
    }
}

/// Opens the port for control messages.
///
/// # Errors
///
/// Fails like the system's bind.
pub async fn bind(address: net::SocketAddr) -> std::io::Result<tcp::TcpListener> {
    tcp::TcpListener::bind(address).await
}
