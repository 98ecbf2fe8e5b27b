//! Message of a gossip exchange.

use crate::ids;
use crate::load_report;
use crate::member;
use crate::quarantine;

value! {
    /// Anti-entropy message: the opening of an exchange, its reply, or the follow-up with what the
    /// reply requests.
    #[derive(Default)]
    pub struct GossipMessage {
        /// Digests of some of the records that the sender holds; empty in a follow-up.
        pub digests: Vec<member::Digest>,
        /// Records that the receiver may lack.
        pub records: Vec<member::Record>,
        /// Daemons whose newer records the sender requests.
        #[serde(rename = "wants")]
        pub requested: Vec<ids::DaemonName>,
        /// Whether the sender has just started and requests all records.
        #[serde(rename = "wants-all")]
        pub requests_all: bool,
        /// Whether the sender requests all records that are not in `digests`, which then holds all
        /// that it has.
        #[serde(default, rename = "wants-others")]
        pub requests_others: bool,
        /// Whether `records` holds every record of the sender.
        #[serde(rename = "is-all")]
        pub is_full: bool,
        /// Requests that are suspected of crashing upstreams.
        #[serde(default)]
        pub suspects: quarantine::SuspectUpdate,
        /// Recent load reports.
        #[serde(default)]
        pub loads: Vec<load_report::LoadReport>,
    }
}

impl GossipMessage {
    /// Returns whether the message carries or requests records, apart from the digests.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::membership;
    /// let mut message = membership::GossipMessage::default();
    /// assert!(message.is_empty());
    /// message.requested.push("d1".into());
    /// assert!(!message.is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.requested.is_empty()
    }
}
