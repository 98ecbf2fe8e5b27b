//! Client for control messages to other daemons.

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

/// Sends control messages over a bounded pool of connections.
#[derive(Debug)]
pub struct ControlClient {
    sender: control::Sender,
    connections: sync::Mutex<IndexMap<net::SocketAddr, control::ControlClient>>,
}

/// Error of a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ControlError {
    /// the daemon cannot be reached or did not respond in time
    NoResponse,
    /// the daemon rejected the fleet's shared secret
    Unauthorised,
}

impl std::error::Error for ControlError {}

/// Connections kept open; the least recently used connection is closed first.
const CONNECTIONS_MAX: usize = 32;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Timeout for fetching the policy from one daemon. It is short enough for attempts with several
/// daemons within the time in which a configuration must become active.
const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Size limit of a control message.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

impl ControlClient {
    /// Returns a client that identifies itself as `sender`.
    pub fn new(sender: control::Sender) -> Self {
        Self { sender, connections: Default::default() }
    }

    /// Exchanges membership records with the daemon at `to`.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not respond in time or rejects the shared secret.
    pub async fn exchange(
        &self,
        to: net::SocketAddr,
        message: membership::GossipMessage,
    ) -> Result<membership::GossipMessage, ControlError> {
        let client = self.client(to).await?;
        let response = client.exchange(default_context(), self.sender.clone(), message).await;
        self.check_response(to, response)
    }

    /// Reports demand to the daemon at `to` and returns the granted rate-limit shares.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not respond in time or rejects the shared secret.
    pub async fn report(
        &self,
        to: net::SocketAddr,
        demands: Vec<rate_limit::Demand>,
    ) -> Result<Vec<rate_limit::Share>, ControlError> {
        let client = self.client(to).await?;
        let response = client.report(default_context(), self.sender.clone(), demands).await;
        self.check_response(to, response)
    }

    /// Requests the policy records from offset `from` on.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not respond in time or rejects the shared secret.
    pub async fn catch_up(
        &self,
        to: net::SocketAddr,
        from: u64,
    ) -> Result<control::CatchUp, ControlError> {
        let client = self.client(to).await?;
        let response = client
            .catch_up(context_with_timeout(CATCH_UP_TIMEOUT), self.sender.clone(), from)
            .await;
        self.check_response(to, response)
    }

    fn check_response<T>(
        &self,
        to: net::SocketAddr,
        response: Result<Option<T>, client::RpcError>,
    ) -> Result<T, ControlError> {
        match response {
            Ok(Some(response)) => Ok(response),
            Ok(None) => Err(ControlError::Unauthorised),
            Err(_) => {
                // The connection may be dead, so the next message opens a new one.
                self.lock().shift_remove(&to);
                Err(ControlError::NoResponse)
            }
        }
    }

    async fn client(&self, to: net::SocketAddr) -> Result<control::ControlClient, ControlError> {
        if let Some(client) = self.reuse(to) {
            return Ok(client);
        }
        let stream =
            socket::connect(to, CONNECT_TIMEOUT).await.map_err(|_| ControlError::NoResponse)?;
        let framed = codec::Framed::new(stream, framing());
        let transport = serde_transport::new(framed, formats::MessagePack::default());
        let client = control::ControlClient::new(client::Config::default(), transport).spawn();
        let mut connections = self.lock();
        if connections.len() >= CONNECTIONS_MAX {
            connections.shift_remove_index(0);
        }
        connections.insert(to, client.clone());
        Ok(client)
    }

    /// Returns the pooled connection to `to` and marks it as the most recently used.
    fn reuse(&self, to: net::SocketAddr) -> Option<control::ControlClient> {
        let mut connections = self.lock();
        let client = connections.shift_remove(&to)?;
        connections.insert(to, client.clone());
        Some(client)
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, control::ControlClient>> {
        self.connections.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the codec that frames control messages.
pub fn framing() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(MESSAGE_MAX_BYTES).new_codec()
}

fn default_context() -> context::Context {
    context_with_timeout(RESPONSE_TIMEOUT)
}

fn context_with_timeout(timeout: time::Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}
