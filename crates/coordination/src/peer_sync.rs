//! Synchronisation of the policy from other daemons that have a newer version.

use std::net;
use std::sync;

use lynxmast_protocol::control;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::policy::edit;
use lynxmast_state::shared_state;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::control_client;
use crate::history;

/// Fetches the policy from other daemons.
#[derive(Debug, Clone)]
pub struct PeerSync<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Client for control messages to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
    /// Recent policy records, for daemons whose policy is older.
    pub history: sync::Arc<history::History>,
}

/// Probability of preferring a daemon of this daemon's failure domain over one of another domain.
const SAME_DOMAIN_PROBABILITY: f64 = 0.6;
/// Number of live peers that are enough, if none has a newer version, for a daemon to consider its
/// policy current after a start although it has not read the log or store.
pub(crate) const PEERS_MIN: usize = 2;

impl<C: clock::Clock> PeerSync<C> {
    /// Fetches the policy from a live daemon that has a newer version. If there is none, marks the
    /// policy as current once enough peers are live.
    pub async fn sync(&self) {
        match self.newer_peer() {
            Some(peer) => self.sync_from(peer).await,
            None => self.mark_current(),
        }
    }

    /// Fetches the policy from the daemon with the control address `peer`.
    pub async fn sync_from(&self, peer: net::SocketAddr) {
        loop {
            let from = self.shared.with_reducer(|reducer| reducer.next);
            let Ok(response) = self.client.catch_up(peer, from).await else { return };
            let is_last = match response {
                control::CatchUp::Current => true,
                control::CatchUp::Records(records) if records.is_empty() => true,
                control::CatchUp::Records(records) => {
                    records.into_iter().for_each(|record| self.apply(record.offset, record.edit));
                    false
                }
                control::CatchUp::State(state) => {
                    self.shared.update_policy(|reducer| *reducer = *state);
                    true
                }
            };
            if is_last {
                return;
            }
        }
    }

    /// Marks the policy as current if there is one and enough peers are live. Callers must have
    /// checked that no live peer has a newer version.
    fn mark_current(&self) {
        let live_peers = self.shared.membership().live_records(self.shared.now()).count() - 1;
        if live_peers >= PEERS_MIN && self.shared.policy().version > 0 {
            self.shared.mark_current();
        }
    }

    /// Returns the control address of a random live daemon whose policy is newer, usually one of
    /// the same failure domain. The choice is random because some daemons may be unreachable.
    fn newer_peer(&self) -> Option<net::SocketAddr> {
        let own_version = self.shared.with_reducer(|reducer| reducer.version);
        let membership = self.shared.membership();
        let is_same_domain =
            |record: &&member::Record| record.domain == membership.own_record().domain;
        let newer =
            membership.live_records(self.shared.now()).filter(|record| record.policy > own_version);
        let (same_domain, others): (Vec<_>, Vec<_>) = newer.partition(is_same_domain);
        let mut rng = rand::rng();
        let prefer_same = others.is_empty() || rng.random_bool(SAME_DOMAIN_PROBABILITY);
        let (preferred, fallback) =
            if prefer_same { (same_domain, others) } else { (others, same_domain) };
        let peer = preferred.choose(&mut rng).or_else(|| fallback.choose(&mut rng));
        peer.map(|record| record.control)
    }

    /// Applies the record at `offset` and adds it to the history.
    pub fn apply(&self, offset: ids::Offset, edit: edit::Edit) {
        self.shared.update_policy(|reducer| {
            reducer.apply(offset, &edit);
        });
        self.history.push(offset, edit);
    }
}
