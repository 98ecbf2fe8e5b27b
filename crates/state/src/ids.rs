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
/// Name of a daemon, unique in the fleet. The daemon of a replacement VM may reuse it.
pub type DaemonName = sync::Arc<str>;
/// Name of one run of a backend server, from start to stop.
pub type InstanceName = sync::Arc<str>;
/// Number that identifies one start of a daemon or backend server; later starts have larger
/// numbers.
pub type Incarnation = u64;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Version of the policy: the log offset of the newest accepted edit plus one, or 0 without a
/// policy.
pub type PolicyVersion = u64;
/// Number of restores of the policy source from older copies, plus a constant. It increases with
/// each restore; 0 if unknown.
pub type SourceEpoch = u64;

value! {
    /// Identifies an upstream: the address of a backend server within a service.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct UpstreamId {
        /// Service that the backend server belongs to.
        pub service: ServiceName,
        /// Address at which the backend server accepts requests.
        pub address: net::SocketAddr,
    }
}
