//! Records that daemons publish about themselves and their upstreams.

use std::net;

use crate::ids;

value! {
    /// What a daemon says of itself; only that daemon writes it.
    pub struct Record {
        /// Name of the daemon.
        pub daemon: ids::DaemonName,
        /// Start of the daemon; larger is newer.
        pub incarnation: ids::Incarnation,
        /// Counts changes within an incarnation.
        pub version: u64,
        /// Counts heartbeats within an incarnation.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
        /// Failure domain.
        pub domain: ids::DomainName,
        /// Address of its gate.
        #[serde(rename = "gate")]
        pub sidecar: net::SocketAddr,
        /// Address for control messages.
        pub control: net::SocketAddr,
        /// Address of its administration interface.
        pub admin: net::SocketAddr,
        /// Whether the daemon is shutting down.
        pub leaving: bool,
        /// Policy version in force there.
        pub policy: ids::PolicyVersion,
        /// Whether it follows the source of the policy and the source answers.
        #[serde(default, rename = "follows")]
        pub follows_source: bool,
        /// Upstreams beside it.
        pub upstreams: Vec<Upstream>,
    }

    /// An upstream in its daemon's record.
    pub struct Upstream {
        /// Service and address.
        pub id: ids::UpstreamId,
        /// Slots announced.
        pub slots: u32,
        /// Start of the backend server.
        pub incarnation: ids::Incarnation,
        /// Whether it takes no new work.
        pub draining: bool,
    }

    /// Names a state of a record without its content.
    pub struct Digest {
        /// Daemon that the record is about.
        pub daemon: ids::DaemonName,
        /// Incarnation known.
        pub incarnation: ids::Incarnation,
        /// Version known.
        pub version: u64,
        /// Newest heartbeat known.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
        /// Policy version in force there with that heartbeat.
        #[serde(default)]
        pub policy: ids::PolicyVersion,
    }
}

/// Addresses under which other daemons and operators reach a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Its gate.
    pub sidecar: net::SocketAddr,
    /// Its control messages.
    pub control: net::SocketAddr,
    /// Its administration interface.
    pub admin: net::SocketAddr,
}

impl Record {
    /// Returns the record of a daemon that starts: without upstreams or policy.
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
        }
    }

    /// Tells whether the content is newer than what a digest names.
    pub fn is_newer_than(&self, digest: &Digest) -> bool {
        (self.incarnation, self.version) > (digest.incarnation, digest.version)
    }

    /// Tells whether the record asks for urgent spreading: something stops taking work.
    pub fn is_urgent(&self) -> bool {
        self.leaving || self.upstreams.iter().any(|upstream| upstream.draining)
    }
}
