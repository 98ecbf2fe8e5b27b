//! What a platform provides in place of lynxmast's own interfaces.

use std::sync;

use lynxmast_coordination::discovery;
use lynxmast_coordination::document_source;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_transport::gate;
use lynxmast_transport::server;

/// A platform that daemons run on; an adapter implements it.
pub trait Platform<C: clock::Clock> {
    /// Where policy documents are published.
    type Documents: document_source::DocumentSource;
    /// Where daemons find each other.
    type Directory: discovery::Discovery;
    /// Interface for the backend servers beside the daemon.
    type Beside: server::Handler;

    /// Returns the headers spoken with callers and backend servers.
    fn dialect(&self) -> sync::Arc<header_scheme::HeaderScheme>;

    /// Returns the source of the policy.
    fn documents(&self) -> Self::Documents;

    /// Returns the directory of daemons.
    fn directory(&self) -> Self::Directory;

    /// Returns the interface that passes on what backend servers announce to `gate`.
    fn beside(&self, gate: sync::Arc<gate::Gate<C>>) -> Self::Beside;
}
