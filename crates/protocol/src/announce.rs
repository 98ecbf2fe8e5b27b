//! Messages between a backend server and the daemon beside it: JSON over HTTP.

use std::net;

use lynxmast_state::ids;

/// Path for announcements and heartbeats.
pub const ANNOUNCE_PATH: &str = "/announce";
/// Path for departures.
pub const DEPART_PATH: &str = "/depart";

lynxmast_state::value! {
    /// Announces a backend server; repeated as its heartbeat.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// Service that the backend server belongs to.
        pub service: ids::ServiceName,
        /// Address at which it takes requests, on the VM of the daemon.
        pub address: net::SocketAddr,
        /// Requests it runs at a time; the service's policy if absent.
        #[serde(default)]
        pub slots: Option<u32>,
        /// Name of this start, if the backend server has one.
        #[serde(default)]
        pub instance: Option<ids::InstanceName>,
        /// Rises with each announcement of a start; 0 if the backend server does not count.
        #[serde(default)]
        pub sequence: u64,
        /// Start of the backend server; larger is newer.
        pub incarnation: ids::Incarnation,
    }

    /// Answer to an announcement.
    pub struct Lease {
        /// Milliseconds after which the backend server counts as gone without a heartbeat.
        pub lease_ms: u64,
        /// Milliseconds between heartbeats that keep the lease safely.
        pub heartbeat_ms: u64,
    }

    /// Announces a departure; repeated until nothing is in flight.
    #[serde(deny_unknown_fields)]
    pub struct Departure {
        /// Name of the start that departs, if it has one.
        #[serde(default)]
        pub instance: Option<ids::InstanceName>,
        /// Service that the backend server belongs to.
        pub service: ids::ServiceName,
        /// Address that was announced.
        pub address: net::SocketAddr,
        /// Start that was announced.
        pub incarnation: ids::Incarnation,
    }

    /// Answer to a departure.
    pub struct Departing {
        /// Requests still being run; the backend server may stop at 0.
        pub in_flight: u32,
    }

    /// Answer to a message that is refused.
    pub struct Refused {
        /// What is wrong and what is expected.
        pub error: String,
    }
}
