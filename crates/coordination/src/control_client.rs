//! Connections for control messages to other daemons.

use std::net;
use std::sync;
use std::time;

use displaydoc::Display;
use indexmap::IndexMap;
use lynxmast_protocol::control;
use lynxmast_state::membership;
use lynxmast_state::rate_limit;
use lynxmast_transport::socket;
use tarpc::client;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats;
use tokio_util::codec;

/// Sends control messages, keeping a bounded number of connections open.
#[derive(Debug)]
pub struct ControlClient {
    sender: control::Sender,
    open: sync::Mutex<IndexMap<net::SocketAddr, control::ControlClient>>,
}

/// A control message was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ControlError {
    /// the daemon cannot be reached or does not answer
    NoAnswer,
    /// the daemon does not accept this one as a member
    NotAccepted,
}

impl std::error::Error for ControlError {}

/// Connections kept open; the ones used longest ago are closed first.
const OPEN_MAX: usize = 32;
const CONNECT_MAX: time::Duration = time::Duration::from_millis(300);
/// Longest wait for a newer policy from one daemon; a few of them fit into the time in which a
/// configuration has to be in force.
const CATCH_UP_WITHIN: time::Duration = time::Duration::from_millis(500);
const ANSWER_WITHIN: time::Duration = time::Duration::from_secs(2);
/// Largest control message in bytes.
pub const MESSAGE_MAX: usize = 16 * 1024 * 1024;

impl ControlClient {
    /// Returns a client that sends in the name of `sender`.
    pub fn new(sender: control::Sender) -> Self {
        Self { sender, open: Default::default() }
    }

    /// Exchanges membership.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer in time or does not accept the message.
    pub async fn exchange(
        &self,
        to: net::SocketAddr,
        message: membership::GossipMessage,
    ) -> Result<membership::GossipMessage, ControlError> {
        let client = self.client(to).await?;
        let answer = client.exchange(deadline(), self.sender.clone(), message).await;
        self.check(to, answer)
    }

    /// Reports demand and returns the shares granted.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer in time or does not accept the message.
    pub async fn report(
        &self,
        to: net::SocketAddr,
        demands: Vec<rate_limit::Demand>,
    ) -> Result<Vec<rate_limit::Share>, ControlError> {
        let client = self.client(to).await?;
        let answer = client.report(deadline(), self.sender.clone(), demands).await;
        self.check(to, answer)
    }

    /// Asks for the policy from an offset on.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer in time or does not accept the message.
    pub async fn catch_up(
        &self,
        to: net::SocketAddr,
        from: u64,
    ) -> Result<control::CatchUp, ControlError> {
        let client = self.client(to).await?;
        let answer = client.catch_up(within(CATCH_UP_WITHIN), self.sender.clone(), from).await;
        self.check(to, answer)
    }

    fn check<T>(
        &self,
        to: net::SocketAddr,
        answer: Result<Option<T>, client::RpcError>,
    ) -> Result<T, ControlError> {
        match answer {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err(ControlError::NotAccepted),
            Err(_) => {
                // The connection may be silent for good; the next message opens a new one.
                self.lock().shift_remove(&to);
                Err(ControlError::NoAnswer)
            }
        }
    }

    async fn client(&self, to: net::SocketAddr) -> Result<control::ControlClient, ControlError> {
        if let Some(client) = self.reuse(to) {
            return Ok(client);
        }
        let stream = socket::connect(to, CONNECT_MAX).await.map_err(|_| ControlError::NoAnswer)?;
        let framed = codec::Framed::new(stream, frames());
        let transport = serde_transport::new(framed, formats::MessagePack::default());
        let client = control::ControlClient::new(client::Config::default(), transport).spawn();
        let mut open = self.lock();
        if open.len() >= OPEN_MAX {
            open.shift_remove_index(0);
        }
        open.insert(to, client.clone());
        Ok(client)
    }

    fn reuse(&self, to: net::SocketAddr) -> Option<control::ControlClient> {
        let mut open = self.lock();
        let client = open.shift_remove(&to)?;
        open.insert(to, client.clone());
        Some(client)
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, control::ControlClient>> {
        self.open.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the framing of control messages.
pub fn frames() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(MESSAGE_MAX).new_codec()
}

fn deadline() -> context::Context {
    within(ANSWER_WITHIN)
}

fn within(limit: time::Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = time::Instant::now() + limit;
    context
}
