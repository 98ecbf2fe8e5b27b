//! Identifiers used across the fleet.

use std::net;
use std::sync;

/// Name of a service, unique in the policy document.
pub type ServiceName = sync::Arc<str>;
/// Name of an organisation, unique in the policy document.
pub type OrganisationName = sync::Arc<str>;
/// Name of a team, the owner of one section of the policy document.
pub type TeamName = sync::Arc<str>;
/// Name of a failure domain.
pub type DomainName = sync::Arc<str>;
/// Name of a daemon, unique in the fleet; a replaced VM may take it over.
pub type DaemonName = sync::Arc<str>;
/// Name of one start of a backend server.
pub type InstanceName = sync::Arc<str>;
/// Counts starts of a daemon or backend server; a larger number is the newer start.
pub type Incarnation = u64;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Version of the policy: the log offset of the newest accepted edit plus one; 0 is "none yet".
pub type PolicyVersion = u64;

value! {
    /// Names an upstream: a backend server's address within a service.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct UpstreamId {
        /// Service that the backend server belongs to.
        pub service: ServiceName,
        /// Address at which the backend server takes requests.
        pub address: net::SocketAddr,
    }
}
