//! Control messages between daemons, over tarpc.

use lynxmast_state::ids;
use lynxmast_state::membership;
use lynxmast_state::policy::edit;
use lynxmast_state::policy::reducer;
use lynxmast_state::rate_limit;

lynxmast_state::value! {
    /// Policy records for a daemon that is behind.
    pub enum CatchUp {
        /// The asked daemon is not newer.
        Current,
        /// The records from the asked offset on; a bounded number.
        Records(Vec<Numbered>),
        /// The whole state, where the records are no longer kept.
        State(Box<reducer::Reducer>),
    }

    /// A policy record with its place in the log.
    pub struct Numbered {
        /// Offset in the policy stream.
        pub offset: ids::Offset,
        /// The edit.
        pub edit: edit::Edit,
    }

    /// Proof of membership and name of the sender.
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
    /// Exchanges membership; `None` if the sender is not accepted.
    async fn exchange(
        sender: Sender,
        message: membership::GossipMessage,
    ) -> Option<membership::GossipMessage>;
    /// Reports demand and returns shares; `None` if the sender is not accepted.
    async fn report(
        sender: Sender,
        demands: Vec<rate_limit::Demand>,
    ) -> Option<Vec<rate_limit::Share>>;
    /// Asks for the policy from an offset on; `None` if the sender is not accepted.
    async fn catch_up(sender: Sender, from: ids::Offset) -> Option<CatchUp>;
}
