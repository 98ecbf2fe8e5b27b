//! Read-only administration interface of a daemon for operators: JSON over HTTP.

use lynxmast_state::ids;
use lynxmast_state::load;
use lynxmast_state::member;
use lynxmast_state::policy::edit;

/// Path of [`Status`].
pub const STATUS_PATH: &str = "/status";
/// Path of the timeline.
pub const TIMELINE_PATH: &str = "/timeline";
/// Path of the active policy, returned as a list of [`Section`].
pub const POLICY_PATH: &str = "/policy";
/// Path prefix of [`EditState`]; the rest of the path is the edit's id.
pub const EDITS_PATH: &str = "/edits/";
/// Path of Prometheus metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Path that returns status 200 while the process runs.
pub const LIVE_PATH: &str = "/live";
/// Path that returns status 200 while new requests are accepted.
pub const READY_PATH: &str = "/ready";

lynxmast_state::value! {
    /// Status of one daemon.
    pub struct Status {
        /// Name of the daemon.
        pub daemon: ids::DaemonName,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Version of the active policy.
        pub policy: ids::PolicyVersion,
        /// Number of organisations in the active policy; without any, no key has a meaning.
        #[serde(default)]
        pub organisations: usize,
        /// Whether the most recent call to the source of the policy (log or store) succeeded.
        pub log: bool,
        /// Newest epoch of the policy source known to the daemon; 0 if unknown.
        #[serde(default)]
        pub source_epoch: ids::SourceEpoch,
        /// Bytes that the daemon holds in memory; absent from older daemons.
        #[serde(default)]
        pub held: Option<HeldBytes>,
        /// Local upstreams.
        pub upstreams: Vec<Upstream>,
        /// Membership records of the known daemons, each as published by that daemon.
        pub members: Vec<member::Record>,
    }

    /// Bytes of requests and responses that a daemon holds in memory.
    pub struct HeldBytes {
        /// Limit for all of them.
        pub limit: usize,
        /// Parts of request bodies that are kept for another attempt.
        pub replay: usize,
        /// Responses that are kept until they are complete.
        pub response: usize,
        /// Parts of responses that were read ahead of their callers.
        pub read_ahead: usize,
    }

    /// Status of an upstream at its sidecar.
    pub struct Upstream {
        /// Service and address.
        pub id: ids::UpstreamId,
        /// Slots in use, queued requests, and slots currently open.
        pub load: load::Load,
        /// Whether new requests are rejected.
        pub draining: bool,
        /// Number of open connections.
        pub connections: u32,
    }

    /// A section of the active policy.
    pub struct Section {
        /// Team that owns the section.
        pub team: ids::TeamName,
        /// Version of the section, to be given as the base of the next edit.
        pub version: ids::PolicyVersion,
        /// The active section, encoded as TOML; its formatting may differ from the submitted text.
        pub text: String,
    }

    /// State of an edit.
    pub struct EditState {
        /// Verdict on the edit; `None` until the daemon has read the edit from the log.
        pub verdict: Option<edit::Verdict>,
        /// Offset of the next log record that the daemon will read.
        pub next: ids::Offset,
    }
}
