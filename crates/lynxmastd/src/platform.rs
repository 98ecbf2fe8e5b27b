//! Interface of a platform adapter, which replaces lynxmast's own log, peer list and local API.

use std::sync;

use lynxmast_coordination::discovery;
use lynxmast_coordination::document_source;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_transport::server;
use lynxmast_transport::sidecar;
use tokio::sync::watch;

/// Adapter to the platform that daemons run on.
pub trait Platform<C: clock::Clock> {
    /// Source of policy documents.
    type Documents: document_source::DocumentSource;
    /// Registry of the fleet's daemons.
    type Discovery: discovery::Discovery;
    /// HTTP interface for local backend servers.
    type LocalApi: server::Handler;

    /// Returns the names and units of the headers exchanged with callers and backend servers.
    fn header_scheme(&self) -> sync::Arc<header_scheme::HeaderScheme>;

    /// Returns the source of policy documents.
    fn documents(&self) -> Self::Documents;

    /// Returns the registry of the fleet's daemons.
    fn discovery(&self) -> Self::Discovery;

    /// Returns the epoch of the policy source, which increases when the source is restored from an
    /// older copy.
    fn source_epochs(&self) -> watch::Receiver<Option<ids::SourceEpoch>>;

    /// Returns the interface that passes announcements of local backend servers to `sidecar`.
    fn local_api(&self, sidecar: sync::Arc<sidecar::Sidecar<C>>) -> Self::LocalApi;
}
