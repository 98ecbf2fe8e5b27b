//! Membership state of one daemon: its own record, the records of its peers, and which of them are
//! still to be gossiped.

use std::collections;
use std::net;
use std::time;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::ids;
use crate::member;
use crate::quarantine;
use crate::read_turn;
use crate::router;

value! {
    /// Anti-entropy message, both request and response.
    #[derive(Default)]
    pub struct GossipMessage {
        /// Digests of some of the records that the sender holds.
        pub digests: Vec<member::Digest>,
        /// Records that the receiver may lack.
        pub records: Vec<member::Record>,
        /// Daemons whose newer records the sender requests.
        #[serde(rename = "wants")]
        pub requested: Vec<ids::DaemonName>,
        /// Whether the sender has just started and requests all records.
        #[serde(rename = "wants-all")]
        pub requests_all: bool,
        /// Whether `records` holds every record of the sender.
        #[serde(rename = "is-all")]
        pub is_full: bool,
        /// Requests that are suspected of crashing upstreams.
        #[serde(default)]
        pub suspects: quarantine::SuspectUpdate,
    }
}

/// Fleet membership as seen by one daemon.
#[derive(Debug)]
pub struct Membership {
    own_record: member::Record,
    peers: IndexMap<ids::DaemonName, Peer>,
    /// Daemons whose records are still to be gossiped, with the number of times left to send each.
    pending: IndexMap<ids::DaemonName, u32>,
    digest_cursor: usize,
    generation: u64,
    /// Whether a peer has sent all its records.
    is_synced: bool,
    /// Number of coming ticks that use [`URGENT_FANOUT`].
    urgent_ticks: u32,
}

#[derive(Debug, Clone)]
struct Peer {
    record: member::Record,
    last_seen: time::Instant,
    was_live: bool,
}

/// Counts of other daemons in the same failure domain. A daemon uses them to decide whether to read
/// the policy from its source itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Followers {
    /// Daemons that read the policy from its source.
    pub following: usize,
    /// Daemons whose name sorts before this daemon's, whether they read the source or not.
    pub preceding: usize,
}

/// Change in the state of a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A daemon joined, or rejoined after a restart.
    DaemonJoined(ids::DaemonName),
    /// A daemon announced its shutdown.
    DaemonLeaving(ids::DaemonName),
    /// No heartbeat of a daemon arrived for [`REMOVAL_TIMEOUT`].
    DaemonGone(ids::DaemonName),
    /// An upstream accepts requests.
    UpstreamServing(ids::UpstreamId),
    /// An upstream no longer accepts new requests.
    UpstreamDraining(ids::UpstreamId),
    /// An upstream was removed from its daemon's record.
    UpstreamGone(ids::UpstreamId),
}

/// Time without a heartbeat after which a daemon's upstreams get no new requests, before the
/// extension for each peer.
pub const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Extension of [`LIVENESS_TIMEOUT`] for each peer, since heartbeats share the limited space in
/// messages.
const LIVENESS_TIMEOUT_PER_PEER: time::Duration = time::Duration::from_millis(60);
/// Interval at which a daemon decides whether to gossip.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Ticks between heartbeats.
pub const TICKS_PER_HEARTBEAT: u32 = 20;
/// Ticks between gossip rounds while no updates are pending.
const TICKS_PER_IDLE_ROUND: u32 = 20;
/// Ticks between gossip rounds while updates are pending, in a small fleet.
const TICKS_PER_UPDATE_ROUND: u32 = 4;
/// Number of ticks after a new policy version or source epoch that use [`URGENT_FANOUT`].
const NEWS_URGENT_TICKS: u32 = 4;
/// Number of peers from which a fleet counts as large. A large fleet always has pending updates, so
/// its rounds keep a constant interval.
const LARGE_FLEET_PEERS: usize = 128;
/// Minimum number of digests in a message of a small fleet.
const DIGESTS_MIN: usize = 16;
/// Probability that a non-urgent round only contacts peers in the same failure domain, since
/// traffic between domains costs most.
const SAME_DOMAIN_PROBABILITY: f64 = 0.75;
/// Peers contacted in a gossip round.
const FANOUT: usize = 2;
/// Peers contacted in a gossip round with urgent updates.
const URGENT_FANOUT: usize = 4;
/// Time without a heartbeat after which a daemon's record is removed. The record of a daemon that
/// announced its shutdown is kept for the same time.
pub const REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(120);
const DIGESTS_MAX: usize = 160;
const RECORDS_MAX: usize = 16;
/// Number of times that each daemon sends a changed record, plus one for each doubling of the fleet
/// size.
const SENDS_MIN: u32 = 2;

impl Membership {
    /// Returns the membership of a daemon that knows no peers.
    pub fn new(own_record: member::Record) -> Self {
        let mut pending = IndexMap::new();
        pending.insert(own_record.daemon.clone(), SENDS_MIN);
        Self {
            own_record,
            peers: IndexMap::new(),
            pending,
            digest_cursor: 0,
            generation: 1,
            is_synced: false,
            urgent_ticks: 0,
        }
    }

    /// Returns this daemon's record.
    pub fn own_record(&self) -> &member::Record {
        &self.own_record
    }

    /// Returns a number that increases with every change that affects routing.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Counts the other live daemons in the same failure domain that read the policy from its
    /// source, and those whose name sorts before this daemon's.
    pub fn domain_followers(&self, now: time::Instant) -> Followers {
        let liveness_timeout = self.liveness_timeout();
        let live = self.peers.values().filter(|peer| peer.is_live(liveness_timeout, now));
        let same_domain =
            live.map(|peer| &peer.record).filter(|r| r.domain == self.own_record.domain);
        let same_domain: Vec<&member::Record> =
            same_domain.filter(|record| !record.leaving).collect();
        let following = same_domain.iter().filter(|record| record.follows_source);
        let preceding = same_domain.iter().filter(|record| record.daemon < self.own_record.daemon);
        Followers { following: following.count(), preceding: preceding.count() }
    }

    /// Returns this daemon's turn among the live daemons that read the policy from its source, in
    /// the order of their names. Of each failure domain only the first `per_domain` daemons count,
    /// since others stop reading soon; a longer turn would last until long after that.
    pub fn read_turn(&self, per_domain: usize, now: time::Instant) -> read_turn::ReadTurn {
        let mut by_domain: IndexMap<&ids::DomainName, Vec<&member::Record>> = IndexMap::new();
        for record in self.live_records(now).filter(|record| !record.leaving) {
            by_domain.entry(&record.domain).or_default().push(record);
        }
        let own = &self.own_record.daemon;
        let mut others = Vec::new();
        for mut records in by_domain.into_values() {
            records.sort_by_key(|record| &record.daemon);
            let readers = records.into_iter().take(per_domain);
            others.extend(readers.filter(|r| r.follows_source && r.daemon != *own));
        }
        let position = others.iter().filter(|record| record.daemon < *own).count();
        read_turn::ReadTurn { position, readers: others.len() + 1 }
    }

    /// Sets the active policy version. It spreads with the heartbeat rather than as a change of the
    /// record, since a new version would otherwise change the records of all daemons at once.
    pub fn set_policy_version(&mut self, version: ids::PolicyVersion) {
        self.own_record.policy = version;
        self.own_record.heartbeat += 1;
        self.urgent_ticks = NEWS_URGENT_TICKS;
    }

    /// Returns the newest epoch of the policy source that any daemon knows; 0 if none does.
    pub fn source_epoch(&self) -> ids::SourceEpoch {
        self.all_records().map(|record| record.source_epoch).max().unwrap_or(0)
    }

    /// Sets the epoch of the policy source if it is newer than the one that this daemon knows. Like
    /// a policy version, it spreads with the heartbeat.
    pub fn advance_source_epoch(&mut self, epoch: ids::SourceEpoch) {
        if epoch > self.own_record.source_epoch {
            self.own_record.source_epoch = epoch;
            self.own_record.heartbeat += 1;
            self.urgent_ticks = NEWS_URGENT_TICKS;
        }
    }

    /// Changes this daemon's record and schedules it for gossip.
    pub fn update_own_record(&mut self, change: impl FnOnce(&mut member::Record)) {
        change(&mut self.own_record);
        self.own_record.version += 1;
        self.generation += 1;
        self.mark_pending(self.own_record.daemon.clone());
    }

    /// Returns whether an urgent record is still to be gossiped, as defined by
    /// [`member::Record::is_urgent`].
    pub fn has_urgent_update(&self) -> bool {
        let pending = self.pending.keys().filter_map(|name| self.record(name));
        pending.into_iter().any(member::Record::is_urgent)
    }

    /// Returns the number of peers to gossip with in the tick numbered `tick`. It is 0 in most
    /// ticks, so that traffic stays bounded in a large fleet; urgent updates are sent at once.
    pub fn fanout(&mut self, tick: u32) -> usize {
        let is_urgent = self.urgent_ticks > 0;
        self.urgent_ticks = self.urgent_ticks.saturating_sub(1);
        if is_urgent || self.has_urgent_update() {
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

    /// Makes the next tick contact [`URGENT_FANOUT`] peers, for news that is not part of a record.
    pub fn expedite(&mut self) {
        self.urgent_ticks = self.urgent_ticks.max(1);
    }

    /// Marks the membership as synchronised and drops all pending updates, as if they had been
    /// sent.
    pub fn mark_synced(&mut self) {
        self.pending.clear();
        self.is_synced = true;
    }

    /// Returns the time without a heartbeat after which a daemon gets no new requests.
    fn liveness_timeout(&self) -> time::Duration {
        LIVENESS_TIMEOUT + LIVENESS_TIMEOUT_PER_PEER * self.peers.len() as u32
    }

    /// Increments this daemon's heartbeat counter.
    pub fn heartbeat(&mut self) {
        self.own_record.heartbeat += 1;
    }

    /// Returns the records of live daemons, this daemon's first.
    pub fn live_records(&self, now: time::Instant) -> impl Iterator<Item = &member::Record> {
        let liveness_timeout = self.liveness_timeout();
        let peers = self.peers.values().filter(move |peer| peer.is_live(liveness_timeout, now));
        std::iter::once(&self.own_record).chain(peers.map(|peer| &peer.record))
    }

    /// Returns all records, this daemon's first.
    pub fn all_records(&self) -> impl Iterator<Item = &member::Record> {
        std::iter::once(&self.own_record).chain(self.peers.values().map(|peer| &peer.record))
    }

    /// Returns the upstreams that may get new requests.
    pub fn candidates(&self, now: time::Instant) -> Vec<router::Candidate> {
        let serving = self.live_records(now).filter(|record| !record.leaving);
        serving.flat_map(record_candidates).collect()
    }

    /// Counts the upstreams of each service in all records, also those of silent daemons, which may
    /// be on the other side of a partition.
    pub fn upstream_counts(&self) -> IndexMap<ids::ServiceName, usize> {
        let mut counts = IndexMap::new();
        for upstream in self.all_records().flat_map(|record| &record.upstreams) {
            *counts.entry(upstream.id.service.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Selects up to `count` random peers to gossip with and returns their control addresses.
    pub fn gossip_targets(&self, count: usize, rng: &mut impl Rng) -> Vec<net::SocketAddr> {
        let is_same_domain = |peer: &&Peer| peer.record.domain == self.own_record.domain;
        let is_urgent = self.urgent_ticks > 0 || self.has_urgent_update();
        let prefers_same_domain = !is_urgent && rng.random_bool(SAME_DOMAIN_PROBABILITY);
        let same_domain = self.peers.values().filter(is_same_domain).choose_multiple(rng, count);
        let chosen = if prefers_same_domain && same_domain.len() == count {
            same_domain
        } else {
            self.peers.values().choose_multiple(rng, count)
        };
        chosen.into_iter().map(|peer| peer.record.control).collect()
    }

    /// Builds the first message of a gossip exchange, bounded in the number of digests and records.
    pub fn opening_message(&mut self) -> GossipMessage {
        let digests = self.next_digests();
        let records = self.take_pending();
        let requests_all = !self.is_synced;
        GossipMessage { digests, records, requests_all, ..GossipMessage::default() }
    }

    /// Applies a message and returns the response and the changes that the message caused.
    pub fn respond(
        &mut self,
        message: &GossipMessage,
        now: time::Instant,
    ) -> (GossipMessage, Vec<Change>) {
        let (mut reply, changes) = self.apply(message, now);
        reply.digests.push(self.own_record.digest());
        if message.requests_all {
            reply.records = self.all_records().cloned().collect();
            reply.is_full = true;
            return (reply, changes);
        }
        reply.records.extend(self.take_pending());
        reply.records.truncate(RECORDS_MAX);
        (reply, changes)
    }

    /// Applies a message. Returns a reply with the records that the sender lacks or requested and
    /// the names of those that it should send, and the changes that the message caused.
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
            // The rest of the fleet already has these records; only this daemon's is new to it.
            self.pending.retain(|name, _| *name == self.own_record.daemon);
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

    /// Updates which peers are live, removes those without a heartbeat for [`REMOVAL_TIMEOUT`], and
    /// returns the removals.
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
            let keep = now.saturating_duration_since(peer.last_seen) < REMOVAL_TIMEOUT;
            if !keep {
                changes.push(Change::DaemonGone(name.clone()));
            }
            keep
        });
        if !changes.is_empty() {
            self.generation += 1;
        }
        changes
    }

    fn record(&self, name: &str) -> Option<&member::Record> {
        if name == &*self.own_record.daemon {
            return Some(&self.own_record);
        }
        self.peers.get(name).map(|peer| &peer.record)
    }

    fn merge(&mut self, record: &member::Record, now: time::Instant, changes: &mut Vec<Change>) {
        if record.daemon == self.own_record.daemon {
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

    /// Gives this daemon's record a higher version than `record`, which an earlier instance of the
    /// daemon published and which still circulates.
    fn refute(&mut self, record: &member::Record) {
        if record.incarnation == self.own_record.incarnation
            && record.version > self.own_record.version
        {
            self.own_record.version = record.version;
            self.update_own_record(|_| ());
        } else if record.is_newer_than(&self.own_record.digest()) {
            self.own_record.incarnation = record.incarnation + 1;
            self.update_own_record(|_| ());
        }
    }

    fn compare(&mut self, digest: &member::Digest, now: time::Instant) -> Outdated {
        if digest.daemon == self.own_record.daemon {
            return if self.own_record.is_newer_than(digest) {
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

    /// Returns the digests of this daemon and of the next peers in rotation.
    fn next_digests(&mut self) -> Vec<member::Digest> {
        let peers = self.peers.len();
        let wanted = if peers < LARGE_FLEET_PEERS { (peers / 2).max(DIGESTS_MIN) } else { peers };
        let count = wanted.min(peers).min(DIGESTS_MAX - 1);
        let next = self.peers.values().cycle().skip(self.digest_cursor).take(count);
        let digests = next.map(|peer| peer.record.digest());
        let all = std::iter::once(self.own_record.digest()).chain(digests).collect();
        self.digest_cursor = (self.digest_cursor + count) % self.peers.len().max(1);
        all
    }

    /// Returns the next records to gossip, urgent ones first.
    fn take_pending(&mut self) -> Vec<member::Record> {
        let mut names: Vec<ids::DaemonName> = self.pending.keys().cloned().collect();
        names.sort_by_key(|name| !self.record(name).is_some_and(member::Record::is_urgent));
        names.truncate(RECORDS_MAX);
        for name in &names {
            let Some(sends_left) = self.pending.get_mut(name) else { continue };
            *sends_left -= 1;
            if *sends_left == 0 {
                self.pending.swap_remove(name);
            }
        }
        names.iter().filter_map(|name| self.record(name).cloned()).collect()
    }

    /// Schedules a record for gossip. The number of sends grows with the logarithm of the fleet
    /// size, as epidemic dissemination needs to reach every daemon.
    fn mark_pending(&mut self, name: ids::DaemonName) {
        let doublings = usize::BITS - (self.peers.len() + 1).leading_zeros();
        self.pending.insert(name, SENDS_MIN + doublings);
    }
}

/// Side of an exchange that holds the older state of a record.
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
            self.record.source_epoch = self.record.source_epoch.max(digest.source_epoch);
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
        changes.push(Change::DaemonJoined(new.daemon.clone()));
    }
    if new.leaving && old.is_none_or(|old| !old.leaving) {
        changes.push(Change::DaemonLeaving(new.daemon.clone()));
    }
    let old_upstreams = old.map_or(&[][..], |old| &old.upstreams);
    let was_draining: collections::HashMap<&ids::UpstreamId, bool> =
        old_upstreams.iter().map(|upstream| (&upstream.id, upstream.draining)).collect();
    for upstream in &new.upstreams {
        match (was_draining.get(&upstream.id), upstream.draining) {
            (Some(before), after) if *before == after => {}
            (_, true) => changes.push(Change::UpstreamDraining(upstream.id.clone())),
            (_, false) => changes.push(Change::UpstreamServing(upstream.id.clone())),
        }
    }
    let kept: collections::HashSet<&ids::UpstreamId> =
        new.upstreams.iter().map(|upstream| &upstream.id).collect();
    let removed = old_upstreams.iter().filter(|upstream| !kept.contains(&upstream.id));
    changes.extend(removed.map(|upstream| Change::UpstreamGone(upstream.id.clone())));
}

#[cfg(test)]
mod tests;
