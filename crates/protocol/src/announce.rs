//! Messages between a backend server and its local daemon: JSON over HTTP.

use std::net;

use lynxmast_state::ids;

/// Path for announcements and heartbeats.
pub const ANNOUNCE_PATH: &str = "/announce";
/// Path for departures.
pub const DEPART_PATH: &str = "/depart";

lynxmast_state::value! {
    /// Registers a backend server. The backend server sends it again as its heartbeat.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// Service that the backend server belongs to.
        pub service: ids::ServiceName,
        /// Address on which the backend server accepts requests; it is on the daemon's VM.
        pub address: net::SocketAddr,
        /// Number of requests that the backend server can run concurrently. If absent, the value of
        /// the service's policy applies.
        #[serde(default)]
        pub slots: Option<u32>,
        /// Name of the backend server's instance, if it has one.
        #[serde(default)]
        pub instance: Option<ids::InstanceName>,
        /// Sequence number that increases with each announcement of one incarnation; 0 if the
        /// backend server does not number its announcements.
        #[serde(default)]
        pub sequence: u64,
        /// Incarnation of the backend server: a larger value is a more recent start.
        pub incarnation: ids::Incarnation,
    }

    /// Response to an announcement.
    pub struct Lease {
        /// Milliseconds without a heartbeat after which the backend server is considered gone.
        pub lease_ms: u64,
        /// Recommended milliseconds between heartbeats, short enough to keep the lease.
        pub heartbeat_ms: u64,
    }

    /// Announces that a backend server is about to stop, so that it is drained. The backend server
    /// sends it repeatedly until no request is in flight.
    #[serde(deny_unknown_fields)]
    pub struct Departure {
        /// Name of the departing instance, if it has one.
        #[serde(default)]
        pub instance: Option<ids::InstanceName>,
        /// Service that the backend server belongs to.
        pub service: ids::ServiceName,
        /// Address that was announced.
        pub address: net::SocketAddr,
        /// Incarnation that was announced.
        pub incarnation: ids::Incarnation,
    }

    /// Response to a departure.
    pub struct DrainStatus {
        /// Number of requests still running; the backend server may stop once it is 0.
        pub in_flight: u32,
    }

    /// Response to a message that is rejected.
    pub struct ErrorBody {
        /// Description of the error and of what is expected instead.
        pub error: String,
    }
}
