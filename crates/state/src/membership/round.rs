//! Schedule of gossip rounds: when a daemon contacts others, how many, which ones, and what for.

use std::net;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::member;
use crate::membership;

/// Purpose of a gossip round, which determines the digests in its messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundKind {
    /// Heartbeats, and a comparison of some of the records.
    Heartbeat,
    /// Changed records only.
    Update,
    /// Departures and news that must reach every daemon at once.
    Urgent,
    /// Comparison of all records, while a daemon that has just started learns of others.
    Startup,
}

/// A gossip round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Round {
    /// Purpose of the round.
    pub kind: RoundKind,
    /// Number of peers to contact.
    pub fanout: usize,
}

/// Ticks between heartbeat rounds.
const TICKS_PER_HEARTBEAT_ROUND: u32 = 20;
/// Ticks between update rounds in a small fleet.
const TICKS_PER_UPDATE_ROUND: u32 = 4;
/// Ticks between startup rounds.
const TICKS_PER_STARTUP_ROUND: u32 = 2;
/// Ticks after the start of a daemon with startup rounds, as long as it learns of other daemons.
pub(super) const STARTUP_TICKS: u32 = 60;
/// Ticks without another daemon learned of after which the startup rounds end.
const STARTUP_QUIET_TICKS: u32 = 10;
/// Number of peers from which a fleet counts as large. A large fleet always has pending updates, so
/// its rounds keep a constant interval.
const LARGE_FLEET_PEERS: usize = 128;
/// Probability that a heartbeat or update round only contacts peers in the same failure domain,
/// since traffic between domains costs most.
const SAME_DOMAIN_PROBABILITY: f64 = 0.75;
/// The same probability in a large fleet, where each domain has many daemons that contact others.
const LARGE_SAME_DOMAIN_PROBABILITY: f64 = 0.9;
/// Probability that a startup round only contacts peers in the same failure domain. Half of the
/// rounds spread the records between domains, and the others within them.
const STARTUP_SAME_DOMAIN_PROBABILITY: f64 = 0.5;
/// Peers contacted in a gossip round.
const FANOUT: usize = 2;
/// Peers contacted in a gossip round with urgent updates.
const URGENT_FANOUT: usize = 4;

impl membership::Membership {
    /// Returns whether an urgent record is still to be gossiped, as defined by
    /// [`member::Record::is_urgent`].
    pub fn has_urgent_update(&self) -> bool {
        let pending = self.pending.keys().filter_map(|name| self.record(name));
        pending.into_iter().any(member::Record::is_urgent)
    }

    /// Returns the round of the tick numbered `tick`. There is none in most ticks, so that traffic
    /// stays bounded in a large fleet; urgent updates are sent at once.
    pub fn next_round(&mut self, tick: u32) -> Option<Round> {
        let is_urgent = self.urgent_ticks > 0;
        self.urgent_ticks = self.urgent_ticks.saturating_sub(1);
        let is_starting = self.startup_ticks > 0
            && (self.quiet_ticks < STARTUP_QUIET_TICKS || self.peers.is_empty());
        self.startup_ticks = self.startup_ticks.saturating_sub(1);
        self.quiet_ticks = self.quiet_ticks.saturating_add(1);
        if is_urgent || self.has_urgent_update() {
            return Some(Round { kind: RoundKind::Urgent, fanout: URGENT_FANOUT });
        }
        let is_small = !self.is_large();
        let has_updates = is_small && !(self.pending.is_empty() && self.is_synced);
        let (kind, fanout) = if is_starting && tick.is_multiple_of(TICKS_PER_STARTUP_ROUND) {
            (RoundKind::Startup, FANOUT)
        } else if tick.is_multiple_of(TICKS_PER_HEARTBEAT_ROUND) {
            (RoundKind::Heartbeat, if is_small && !has_updates { 1 } else { FANOUT })
        } else if has_updates && tick.is_multiple_of(TICKS_PER_UPDATE_ROUND) {
            (RoundKind::Update, FANOUT)
        } else {
            return None;
        };
        Some(Round { kind, fanout })
    }

    pub(super) fn is_large(&self) -> bool {
        self.peers.len() >= LARGE_FLEET_PEERS
    }

    /// Makes the next tick an urgent round, for news that is not part of a record.
    pub fn expedite(&mut self) {
        self.urgent_ticks = self.urgent_ticks.max(1);
    }

    /// Selects random peers for a round and returns their control addresses.
    pub fn gossip_targets(&self, round: Round, rng: &mut impl Rng) -> Vec<net::SocketAddr> {
        let is_same_domain =
            |peer: &&membership::Peer| peer.record.domain == self.own_record.domain;
        let probability = match round.kind {
            RoundKind::Heartbeat | RoundKind::Update if self.is_large() => {
                LARGE_SAME_DOMAIN_PROBABILITY
            }
            RoundKind::Heartbeat | RoundKind::Update => SAME_DOMAIN_PROBABILITY,
            RoundKind::Startup => STARTUP_SAME_DOMAIN_PROBABILITY,
            RoundKind::Urgent => 0.0,
        };
        let count = round.fanout;
        let same_domain = self.peers.values().filter(is_same_domain).choose_multiple(rng, count);
        let chosen = if same_domain.len() == count && rng.random_bool(probability) {
            same_domain
        } else {
            self.peers.values().choose_multiple(rng, count)
        };
        chosen.into_iter().map(|peer| peer.record.control).collect()
    }
}
