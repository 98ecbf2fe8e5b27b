//! What a platform provides in place of lynxmast's own interfaces.

use std::sync;

use lynxmast_coordination::directory;
use lynxmast_coordination::document_source;
use lynxmast_protocol::dialect;
use lynxmast_state::clock;
use lynxmast_transport::server;
use lynxmast_transport::sidecar;

/// A platform that daemons run on; an adapter implements it.
pub trait Platform<C: clock::Clock> {
    /// Where policy documents are published.
    type Documents: document_source::DocumentSource;
    /// Where daemons find each other.
    type Directory: directory::Directory;
    /// Interface for the backend servers beside the daemon.
    type Beside: server::Handler;

    /// Returns the headers spoken with callers and backend servers.
    fn dialect(&self) -> sync::Arc<dialect::Dialect>;

    /// Returns the source of the policy.
    fn documents(&self) -> Self::Documents;

    /// Returns the directory of daemons.
    fn directory(&self) -> Self::Directory;

    /// Returns the interface that passes on what backend servers announce to `gate`.
    fn beside(&self, gate: sync::Arc<sidecar::Sidecar<C>>) -> Self::Beside;
}
