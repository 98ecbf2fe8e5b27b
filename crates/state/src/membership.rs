//! Membership table of one daemon: its own record, those of its peers, and what to spread next.

use std::collections;
use std::net;
use std::time;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::ids;
use crate::member;
use crate::router;

value! {
    /// One anti-entropy message, in either direction.
    #[derive(Default)]
    pub struct GossipMessage {
        /// States known to the sender; a bounded slice of them.
        pub digests: Vec<member::Digest>,
        /// Records that the receiver may lack.
        pub records: Vec<member::Record>,
        /// Daemons whose newer records the sender asks for.
        #[serde(rename = "wants")]
        pub requested: Vec<ids::DaemonName>,
        /// Whether the sender has just started and asks for all records.
        #[serde(rename = "wants-all")]
        pub requests_all: bool,
        /// Whether the records are all that the sender knows.
        #[serde(rename = "is-all")]
        pub is_full: bool,
    }
}

/// Membership as one daemon knows it.
#[derive(Debug)]
pub struct Membership {
    own: member::Record,
    peers: IndexMap<ids::DaemonName, Peer>,
    /// Daemons whose records are still to be spread, with the sends left.
    pending: IndexMap<ids::DaemonName, u32>,
    digest_cursor: usize,
    generation: u64,
    /// Whether some peer has told all that it knows.
    is_synced: bool,
    /// Ticks left in which each has a round.
    urgent_ticks: u32,
}

#[derive(Debug, Clone)]
struct Peer {
    record: member::Record,
    last_seen: time::Instant,
    was_live: bool,
}

/// Who follows the source of the policy in a failure domain, besides the own daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Followers {
    /// Daemons that follow it.
    pub following: usize,
    /// Daemons whose name comes before the own, following or not.
    pub preceding: usize,
}

/// Change in what is known of a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A daemon was heard of for the first time, or again after a restart.
    Joined(ids::DaemonName),
    /// A daemon announced its shutdown.
    Leaving(ids::DaemonName),
    /// A daemon has not been heard of for [`GONE_AFTER`].
    Gone(ids::DaemonName),
    /// An upstream takes work.
    Serving(ids::UpstreamId),
    /// An upstream takes no more work.
    Draining(ids::UpstreamId),
    /// An upstream left its daemon's record.
    Removed(ids::UpstreamId),
}

/// Silence after which a daemon's upstreams get no new requests, in a small fleet.
pub const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Silence allowed on top for each daemon of the fleet, as heartbeats take turns in messages.
const LIVENESS_TIMEOUT_PER_PEER: time::Duration = time::Duration::from_millis(60);
/// Time between decisions on whether to exchange.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Ticks between heartbeats.
pub const TICKS_PER_HEARTBEAT: u32 = 20;
/// Ticks between rounds without news.
const TICKS_PER_IDLE_ROUND: u32 = 20;
/// Ticks between rounds with news in a small fleet.
const TICKS_PER_UPDATE_ROUND: u32 = 4;
/// Ticks after a new policy version in which each tick has a round.
const POLICY_URGENT_TICKS: u32 = 4;
/// Daemons from which a fleet counts as large: it always has news, so that rounds keep one pace.
const LARGE_FLEET_PEERS: usize = 128;
/// Digests in a message of a small fleet at least.
const DIGESTS_MIN: usize = 16;
/// Share of the exchanges that stay in the own failure domain; bytes between domains cost most.
const SAME_DOMAIN_SHARE: f64 = 0.75;
/// Daemons exchanged with in a round.
const FANOUT: usize = 2;
/// Daemons exchanged with in a round with urgent news.
const URGENT_FANOUT: usize = 4;
/// Silence after which a daemon's record is forgotten; also the life of a departure's record.
pub const FORGET_AFTER: time::Duration = time::Duration::from_secs(120);
const DIGESTS_MAX: usize = 160;
const RECORDS_MAX: usize = 16;
/// Sends of a changed record by each daemon, besides one for each doubling of the fleet.
const SENDS_MIN: u32 = 2;

impl Membership {
    /// Returns a table that knows only the daemon's own record.
    pub fn new(own: member::Record) -> Self {
        let mut pending = IndexMap::new();
        pending.insert(own.daemon.clone(), SENDS_MIN);
        Self {
            own,
            peers: IndexMap::new(),
            pending,
            digest_cursor: 0,
            generation: 1,
            is_synced: false,
            urgent_ticks: 0,
        }
    }

    /// Returns the own record.
    pub fn own(&self) -> &member::Record {
        &self.own
    }

    /// Returns a number that rises with every change that matters to routing.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Counts the live daemons of the own failure domain, besides this one, that follow the source
    /// of the policy, and those of them whose name comes before the own.
    pub fn domain_followers(&self, now: time::Instant) -> Followers {
        let liveness_timeout = self.liveness_timeout();
        let live = self.peers.values().filter(|peer| peer.is_live(liveness_timeout, now));
        let same_domain = live.map(|peer| &peer.record).filter(|r| r.domain == self.own.domain);
        let same_domain: Vec<&member::Record> =
            same_domain.filter(|record| !record.leaving).collect();
        let following = same_domain.iter().filter(|record| record.follows_source);
        let preceding = same_domain.iter().filter(|record| record.daemon < self.own.daemon);
        Followers { following: following.count(), preceding: preceding.count() }
    }

    /// Notes the policy version in force. It goes round with the heartbeat rather than as a change
    /// of the record, as every daemon has one at each new version.
    pub fn set_policy(&mut self, version: ids::PolicyVersion) {
        self.own.policy = version;
        self.own.heartbeat += 1;
        self.urgent_ticks = POLICY_URGENT_TICKS;
    }

    /// Changes the own record and marks it for spreading.
    pub fn update_own(&mut self, change: impl FnOnce(&mut member::Record)) {
        change(&mut self.own);
        self.own.version += 1;
        self.generation += 1;
        self.mark_pending(self.own.daemon.clone());
    }

    /// Tells whether something that stops taking work is still to be spread.
    pub fn has_urgent(&self) -> bool {
        let pending = self.pending.keys().filter_map(|name| self.record(name));
        pending.into_iter().any(member::Record::is_urgent)
    }

    /// Returns with how many daemons to exchange in a tick; few ticks have any, so that traffic
    /// stays bounded in a large fleet, and urgent news go out at once.
    pub fn fanout(&mut self, tick: u32) -> usize {
        let is_urgent = self.urgent_ticks > 0;
        self.urgent_ticks = self.urgent_ticks.saturating_sub(1);
        if is_urgent || self.has_urgent() {
            return URGENT_FANOUT;
        }
        let is_small = self.peers.len() < LARGE_FLEET_PEERS;
        let has_updates = is_small && !(self.pending.is_empty() && self.is_synced);
        let period = if has_updates { TICKS_PER_UPDATE_ROUND } else { TICKS_PER_IDLE_ROUND };
        match tick.is_multiple_of(period) {
            true if is_small && !has_updates => 1,
            true => FANOUT,
            false => 0,
        }
    }

    /// Forgets what is still to be spread, as if it had been.
    pub fn mark_synced(&mut self) {
        self.pending.clear();
        self.is_synced = true;
    }

    /// Silence after which a daemon counts as gone for new requests.
    fn liveness_timeout(&self) -> time::Duration {
        LIVENESS_TIMEOUT + LIVENESS_TIMEOUT_PER_PEER * self.peers.len() as u32
    }

    /// Counts a heartbeat of the own record.
    pub fn heartbeat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Returns the records of live daemons, the own one first.
    pub fn live_records(&self, now: time::Instant) -> impl Iterator<Item = &member::Record> {
        let liveness_timeout = self.liveness_timeout();
        let peers = self.peers.values().filter(move |peer| peer.is_live(liveness_timeout, now));
        std::iter::once(&self.own).chain(peers.map(|peer| &peer.record))
    }

    /// Returns every record known, the own one first.
    pub fn all_records(&self) -> impl Iterator<Item = &member::Record> {
        std::iter::once(&self.own).chain(self.peers.values().map(|peer| &peer.record))
    }

    /// Returns the upstreams that may get new requests.
    pub fn candidates(&self, now: time::Instant) -> Vec<router::Candidate> {
        let serving = self.live_records(now).filter(|record| !record.leaving);
        serving.flat_map(record_candidates).collect()
    }

    /// Chooses up to `count` daemons to exchange with.
    pub fn gossip_targets(&self, count: usize, rng: &mut impl Rng) -> Vec<net::SocketAddr> {
        let is_same_domain = |peer: &&Peer| peer.record.domain == self.own.domain;
        let is_urgent = self.urgent_ticks > 0 || self.has_urgent();
        let prefers_same_domain = !is_urgent && rng.random_bool(SAME_DOMAIN_SHARE);
        let same_domain = self.peers.values().filter(is_same_domain).choose_multiple(rng, count);
        let chosen = if prefers_same_domain && same_domain.len() == count {
            same_domain
        } else {
            self.peers.values().choose_multiple(rng, count)
        };
        chosen.into_iter().map(|peer| peer.record.control).collect()
    }

    /// Builds the opening message of an exchange, bounded in entries.
    pub fn opening_message(&mut self) -> GossipMessage {
        let digests = self.next_digests();
        let records = self.take_pending();
        let requests_all = !self.is_synced;
        GossipMessage { digests, records, requests_all, ..GossipMessage::default() }
    }

    /// Takes a message in and builds the answer to it.
    pub fn respond(
        &mut self,
        message: &GossipMessage,
        now: time::Instant,
    ) -> (GossipMessage, Vec<Change>) {
        let (mut reply, changes) = self.apply(message, now);
        reply.digests.push(self.own.digest());
        if message.requests_all {
            reply.records = self.all_records().cloned().collect();
            reply.is_full = true;
            return (reply, changes);
        }
        reply.records.extend(self.take_pending());
        reply.records.truncate(RECORDS_MAX);
        (reply, changes)
    }

    /// Takes a message in; returns what its sender lacks or has to send, and what changed.
    pub fn apply(
        &mut self,
        message: &GossipMessage,
        now: time::Instant,
    ) -> (GossipMessage, Vec<Change>) {
        let mut changes = Vec::new();
        self.is_synced |= message.is_full;
        for record in &message.records {
            self.merge(record, now, &mut changes);
        }
        if message.is_full {
            // The fleet knows these already; only the own record is news.
            self.pending.retain(|name, _| *name == self.own.daemon);
        }
        let mut reply = GossipMessage::default();
        for digest in &message.digests {
            match self.compare(digest, now) {
                outdated @ (Outdated::Sender | Outdated::Receiver) => {
                    if outdated == Outdated::Receiver {
                        reply.requested.push(digest.daemon.clone());
                    } else if reply.records.len() < RECORDS_MAX {
                        reply.records.extend(self.record(&digest.daemon).cloned());
                    }
                }
                Outdated::Neither => {}
            }
        }
        for name in message.requested.iter().take(RECORDS_MAX) {
            reply.records.extend(self.record(name).cloned());
        }
        (reply, changes)
    }

    /// Notes which daemons fell silent and forgets those that have been so for too long.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut liveness_changes = 0;
        let liveness_timeout = self.liveness_timeout();
        for peer in self.peers.values_mut() {
            let is_live = peer.is_live(liveness_timeout, now);
            liveness_changes +=
                u64::from(std::mem::replace(&mut peer.was_live, is_live) != is_live);
        }
        self.generation += liveness_changes;
        self.peers.retain(|name, peer| {
            let keep = now.saturating_duration_since(peer.last_seen) < FORGET_AFTER;
            if !keep {
                changes.push(Change::Gone(name.clone()));
            }
            keep
        });
        if !changes.is_empty() {
            self.generation += 1;
        }
        changes
    }

    fn record(&self, name: &str) -> Option<&member::Record> {
        if name == &*self.own.daemon {
            return Some(&self.own);
        }
        self.peers.get(name).map(|peer| &peer.record)
    }

    fn merge(&mut self, record: &member::Record, now: time::Instant, changes: &mut Vec<Change>) {
        if record.daemon == self.own.daemon {
            self.refute(record);
            return;
        }
        let known = self.peers.get_mut(&record.daemon);
        if let Some(peer) = known.filter(|peer| !record.is_newer_than(&peer.record.digest())) {
            peer.record_heartbeat(&record.digest(), now);
            return;
        }
        let old = self.peers.get(&record.daemon).map(|peer| &peer.record);
        collect_changes(old, record, changes);
        let peer = Peer { record: record.clone(), last_seen: now, was_live: true };
        self.peers.insert(record.daemon.clone(), peer);
        self.generation += 1;
        self.mark_pending(record.daemon.clone());
    }

    /// Outbids a record of an earlier start under the own name that is still going round.
    fn refute(&mut self, record: &member::Record) {
        if record.incarnation == self.own.incarnation && record.version > self.own.version {
            self.own.version = record.version;
            self.update_own(|_| ());
        } else if record.is_newer_than(&self.own.digest()) {
            self.own.incarnation = record.incarnation + 1;
            self.update_own(|_| ());
        }
    }

    fn compare(&mut self, digest: &member::Digest, now: time::Instant) -> Outdated {
        if digest.daemon == self.own.daemon {
            return if self.own.is_newer_than(digest) {
                Outdated::Sender
            } else {
                Outdated::Neither
            };
        }
        let Some(peer) = self.peers.get_mut(&digest.daemon) else { return Outdated::Receiver };
        if peer.record.is_newer_than(digest) {
            return Outdated::Sender;
        }
        let known = (peer.record.incarnation, peer.record.version);
        if (digest.incarnation, digest.version) > known {
            return Outdated::Receiver;
        }
        peer.record_heartbeat(digest, now);
        Outdated::Neither
    }

    /// Returns the own digest and the next slice of the others'.
    fn next_digests(&mut self) -> Vec<member::Digest> {
        let known = self.peers.len();
        let wanted = if known < LARGE_FLEET_PEERS { (known / 2).max(DIGESTS_MIN) } else { known };
        let count = wanted.min(known).min(DIGESTS_MAX - 1);
        let turn = self.peers.values().cycle().skip(self.digest_cursor).take(count);
        let digests = turn.map(|peer| peer.record.digest());
        let all = std::iter::once(self.own.digest()).chain(digests).collect();
        self.digest_cursor = (self.digest_cursor + count) % self.peers.len().max(1);
        all
    }

    /// Returns records that still have to be spread, urgent ones first.
    fn take_pending(&mut self) -> Vec<member::Record> {
        let mut names: Vec<ids::DaemonName> = self.pending.keys().cloned().collect();
        names.sort_by_key(|name| !self.record(name).is_some_and(member::Record::is_urgent));
        names.truncate(RECORDS_MAX);
        for name in &names {
            let Some(left) = self.pending.get_mut(name) else { continue };
            *left -= 1;
            if *left == 0 {
                self.pending.swap_remove(name);
            }
        }
        names.iter().filter_map(|name| self.record(name).cloned()).collect()
    }

    /// Sends grow with the logarithm of the fleet, as rumours need to reach all of it.
    fn mark_pending(&mut self, name: ids::DaemonName) {
        let doublings = usize::BITS - (self.peers.len() + 1).leading_zeros();
        self.pending.insert(name, SENDS_MIN + doublings);
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Outdated {
    Sender,
    Receiver,
    Neither,
}

impl Peer {
    fn is_live(&self, liveness_timeout: time::Duration, now: time::Instant) -> bool {
        now.saturating_duration_since(self.last_seen) < liveness_timeout
    }

    fn record_heartbeat(&mut self, digest: &member::Digest, now: time::Instant) {
        if digest.incarnation == self.record.incarnation && digest.heartbeat > self.record.heartbeat
        {
            self.record.heartbeat = digest.heartbeat;
            self.record.policy = self.record.policy.max(digest.policy);
            self.last_seen = now;
        }
    }
}

fn record_candidates(record: &member::Record) -> impl Iterator<Item = router::Candidate> {
    let serving = record.upstreams.iter().filter(|upstream| !upstream.draining);
    serving.map(|upstream| router::Candidate {
        id: upstream.id.clone(),
        daemon: record.daemon.clone(),
        sidecar: record.sidecar,
        domain: record.domain.clone(),
        slots: upstream.slots,
        incarnation: upstream.incarnation,
        daemon_incarnation: record.incarnation,
    })
}

fn collect_changes(old: Option<&member::Record>, new: &member::Record, changes: &mut Vec<Change>) {
    if old.is_none_or(|old| old.incarnation != new.incarnation) {
        changes.push(Change::Joined(new.daemon.clone()));
    }
    if new.leaving && old.is_none_or(|old| !old.leaving) {
        changes.push(Change::Leaving(new.daemon.clone()));
    }
    let before = old.map_or(&[][..], |old| &old.upstreams);
    let states: collections::HashMap<&ids::UpstreamId, bool> =
        before.iter().map(|upstream| (&upstream.id, upstream.draining)).collect();
    for upstream in &new.upstreams {
        match (states.get(&upstream.id), upstream.draining) {
            (Some(before), now) if *before == now => {}
            (_, true) => changes.push(Change::Draining(upstream.id.clone())),
            (_, false) => changes.push(Change::Serving(upstream.id.clone())),
        }
    }
    let kept: collections::HashSet<&ids::UpstreamId> =
        new.upstreams.iter().map(|upstream| &upstream.id).collect();
    let removed = before.iter().filter(|upstream| !kept.contains(&upstream.id));
    changes.extend(removed.map(|upstream| Change::Removed(upstream.id.clone())));
}

#[cfg(test)]
mod tests;
