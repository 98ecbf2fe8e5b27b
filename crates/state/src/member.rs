//! Records that daemons publish about themselves and their upstreams.

use std::net;

use crate::ids;

value! {
    /// State of a daemon, published by that daemon only.
    pub struct Record {
        /// Name of the daemon.
        pub daemon: ids::DaemonName,
        /// Incarnation of the daemon.
        pub incarnation: ids::Incarnation,
        /// Number of changes to the record within the incarnation, counted from 1.
        pub version: u64,
        /// Number of heartbeats within the incarnation.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
        /// Failure domain of the daemon.
        pub domain: ids::DomainName,
        /// Address of the daemon's sidecar.
        #[serde(rename = "gate")]
        pub sidecar: net::SocketAddr,
        /// Address for control messages.
        pub control: net::SocketAddr,
        /// Address of the daemon's administration interface.
        pub admin: net::SocketAddr,
        /// Whether the daemon is shutting down.
        pub leaving: bool,
        /// Version of the policy active at the daemon.
        pub policy: ids::PolicyVersion,
        /// Whether the daemon reads the policy from its source, rather than from peers, and the
        /// source responds.
        #[serde(default, rename = "follows")]
        pub follows_source: bool,
        /// Upstreams on the daemon's VM.
        pub upstreams: Vec<Upstream>,
        /// Newest epoch of the policy source known to the daemon.
        #[serde(default)]
        pub source_epoch: ids::SourceEpoch,
        /// Backend servers on the daemon's VM that left last, see [`crate::departures`]. The daemon's next
        /// process learns them from its peers, and from the registry outside the fleet if there is one.
        #[serde(default)]
        pub departed: Vec<Departure>,
    }

    /// Departure of a backend server.
    #[derive(Eq)]
    pub struct Departure {
        /// Name of the backend server.
        pub instance: ids::InstanceName,
        /// Newest incarnation that has left.
        pub incarnation: ids::Incarnation,
    }

    /// Upstream in the record of its daemon.
    pub struct Upstream {
        /// Service and address.
        pub id: ids::UpstreamId,
        /// Number of slots that the backend server announced.
        pub slots: u32,
        /// Incarnation of the backend server.
        pub incarnation: ids::Incarnation,
        /// Whether the upstream no longer accepts new requests.
        pub draining: bool,
    }

    /// Version and heartbeat of a record, without its content.
    pub struct Digest {
        /// Daemon that the record is about.
        pub daemon: ids::DaemonName,
        /// Incarnation in the record.
        pub incarnation: ids::Incarnation,
        /// Version of the record.
        pub version: u64,
        /// Latest heartbeat received.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
        /// Version of the policy active at the daemon as of that heartbeat.
        #[serde(default)]
        pub policy: ids::PolicyVersion,
        /// Newest epoch of the policy source known to the daemon as of that heartbeat.
        #[serde(default)]
        pub source_epoch: ids::SourceEpoch,
    }
}

/// Addresses under which other daemons and operators reach a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address of the sidecar.
    pub sidecar: net::SocketAddr,
    /// Address for control messages.
    pub control: net::SocketAddr,
    /// Address of the administration interface.
    pub admin: net::SocketAddr,
}

impl Record {
    /// Returns the record of a daemon that has just started, without upstreams or policy.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::member;
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    /// let record = member::Record::new("d1".into(), 7, "a".into(), addresses);
    /// assert_eq!((record.incarnation, record.version, record.leaving), (7, 1, false));
    /// ```
    pub fn new(
        daemon: ids::DaemonName,
        incarnation: ids::Incarnation,
        domain: ids::DomainName,
        addresses: Addresses,
    ) -> Self {
        let Addresses { sidecar, control, admin } = addresses;
        Self {
            daemon,
            incarnation,
            version: 1,
            heartbeat: 0,
            domain,
            sidecar,
            control,
            admin,
            leaving: false,
            policy: 0,
            follows_source: false,
            upstreams: Vec::new(),
            source_epoch: 0,
            departed: Vec::new(),
        }
    }

    /// Returns the record's digest.
    pub fn digest(&self) -> Digest {
        Digest {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            version: self.version,
            heartbeat: self.heartbeat,
            policy: self.policy,
            source_epoch: self.source_epoch,
        }
    }

    /// Returns whether the record is newer than the state that `digest` identifies.
    pub fn is_newer_than(&self, digest: &Digest) -> bool {
        (self.incarnation, self.version) > (digest.incarnation, digest.version)
    }

    /// Returns whether the record must spread urgently, because the daemon or an upstream stops
    /// accepting requests.
    pub fn is_urgent(&self) -> bool {
        self.leaving || self.upstreams.iter().any(|upstream| upstream.draining)
    }
}
