//! Control messages between daemons, over tarpc.

use std::net;
use std::time;

use lynxmast_state::ids;
use lynxmast_state::membership;
use lynxmast_state::policy::edit;
use lynxmast_state::policy::reducer;
use lynxmast_state::quota::message;

lynxmast_state::value! {
    /// Policy update for a daemon whose policy is older.
    pub enum CatchUp {
        /// The responding daemon has no newer policy.
        Current,
        /// A bounded number of records, starting at the requested offset.
        Records(Vec<PolicyRecord>),
        /// The complete state, if the requested records are no longer kept.
        State(Box<reducer::Reducer>),
    }

    /// A policy record with its offset in the log.
    pub struct PolicyRecord {
        /// Offset in the policy stream.
        pub offset: ids::Offset,
        /// Edit of the policy document.
        pub edit: edit::Edit,
    }

    /// Confirmation that a policy was the newest one.
    pub struct Confirmation {
        /// Version of the responding daemon's policy.
        pub version: ids::PolicyVersion,
        /// Time for which the responding daemon has not known its policy to be the newest one; `None` if
        /// it never knew.
        pub age: Option<time::Duration>,
        /// Time for which the responding daemon has held the message.
        pub held: time::Duration,
    }

    /// Name and credentials of the daemon that sends a message.
    pub struct Sender {
        /// Name of the sending daemon.
        pub daemon: ids::DaemonName,
        /// The fleet's shared secret.
        pub secret: String,
    }
}

/// Control interface of a daemon.
#[allow(missing_docs)]
#[tarpc::service]
pub trait Control {
    /// Exchanges membership records; returns `None` if the sender's secret is wrong.
    async fn exchange(
        sender: Sender,
        message: membership::GossipMessage,
    ) -> Option<membership::GossipMessage>;
    /// Requests tokens of quotas that the daemon owns; returns `None` if the sender's secret is
    /// wrong. Quotas that the daemon does not own are missing in the response.
    async fn lend(sender: Sender, asks: Vec<message::Ask>) -> Option<Vec<message::Grant>>;
    /// Passes on an ask to the owner of the quotas, for a daemon that cannot reach it; returns `None`
    /// if the sender's secret is wrong, and no grants if the owner does not respond.
    async fn relay_lend(
        sender: Sender,
        owner: net::SocketAddr,
        asks: Vec<message::Ask>,
    ) -> Option<Vec<message::Grant>>;
    /// Requests the policy records, starting at offset `from`; returns `None` if the sender's secret
    /// is wrong.
    async fn catch_up(sender: Sender, from: ids::Offset) -> Option<CatchUp>;
    /// Requests a confirmation of the policy that is newer than the sender's of the given age, or a
    /// newer version; returns `None` if the sender's secret is wrong. The response is held back until
    /// there is either, but not for long.
    async fn confirm(
        sender: Sender,
        version: ids::PolicyVersion,
        age: Option<time::Duration>,
    ) -> Option<Confirmation>;
}
