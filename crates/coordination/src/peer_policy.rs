//! Learning the policy from other daemons that are ahead.

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

/// What other daemons know of the policy.
#[derive(Debug)]
pub struct PeerPolicy<C: clock::Clock> {
    /// Shared tables.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Connections to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
    /// Recent records, for those behind.
    pub history: sync::Arc<history::History>,
}

/// Share of the looks that ask a daemon of the own failure domain, while one there is ahead.
const NEAR_SHARE: f64 = 0.6;
/// Daemons whose word replaces that of the log or store after a start.
const PEERS_ENOUGH: usize = 2;

impl<C: clock::Clock> PeerPolicy<C> {
    /// Catches up with the newest live daemon that is ahead; without one, counts the policy as
    /// current once enough daemons have been heard.
    pub async fn learn(&self) {
        let Some(peer) = self.newer_peer() else {
            self.note_current_with_peers();
            return;
        };
        loop {
            let from = self.shared.with_reducer(|reducer| reducer.next);
            let Ok(answer) = self.client.catch_up(peer, from).await else { return };
            let is_last = match answer {
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

    /// Counts as current without the log once enough peers have been heard and none is newer.
    fn note_current_with_peers(&self) {
        let heard = self.shared.membership().live_records(self.shared.now()).count() - 1;
        if heard >= PEERS_ENOUGH && self.shared.view().version > 0 {
            self.shared.mark_current();
        }
    }

    /// Returns a live daemon whose policy is newer: any of them, as some may be out of reach, but
    /// mostly one of the own failure domain.
    fn newer_peer(&self) -> Option<net::SocketAddr> {
        let own = self.shared.with_reducer(|reducer| reducer.version);
        let members = self.shared.membership();
        let is_near = |record: &&member::Record| record.domain == members.own().domain;
        let newer = members.live_records(self.shared.now()).filter(|record| record.policy > own);
        let (near, far): (Vec<_>, Vec<_>) = newer.partition(is_near);
        let mut rng = rand::rng();
        let wants_near = far.is_empty() || rng.random_bool(NEAR_SHARE);
        let (first, second) = if wants_near { (near, far) } else { (far, near) };
        let chosen = first.choose(&mut rng).or_else(|| second.choose(&mut rng));
        chosen.map(|record| record.control)
    }

    /// Applies the record at `offset` and keeps it for those behind.
    pub fn apply(&self, offset: ids::Offset, edit: edit::Edit) {
        self.shared.update_policy(|reducer| {
            reducer.apply(offset, &edit);
        });
        self.history.push(offset, edit);
    }
}
