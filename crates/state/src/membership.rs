//! Membership state of one daemon: its own record, the records of its peers, and which of them are
//! still to be gossiped.

mod change;
mod exchange;
mod message;
mod placement;
pub(crate) mod relay;
mod round;

use std::time;

use indexmap::IndexMap;

use crate::departures;
use crate::ids;
use crate::member;
use crate::router;

pub use change::Change;
pub use message::GossipMessage;
pub use placement::Placement;
pub use relay::Parent;
pub use relay::Relay;
pub use round::Round;
pub use round::RoundKind;

/// Fleet membership as seen by one daemon.
#[derive(Debug)]
pub struct Membership {
    own_record: member::Record,
    /// Departures of backend servers on this daemon's VM; the published ones are in its record.
    departures: departures::Departures,
    peers: IndexMap<ids::DaemonName, Peer>,
    /// Daemons whose records are still to be gossiped, with the number of times left to send each.
    pending: IndexMap<ids::DaemonName, u32>,
    digest_cursor: usize,
    generation: u64,
    /// Whether a peer has sent all its records.
    is_synced: bool,
    /// Number of coming ticks with an urgent round.
    urgent_ticks: u32,
    /// Number of coming ticks in which the daemon counts as starting.
    startup_ticks: u32,
    /// Number of ticks since the last daemon was learned of.
    quiet_ticks: u32,
    /// Time of the last tick.
    ticked: Option<time::Instant>,
}

#[derive(Debug, Clone)]
struct Peer {
    record: member::Record,
    last_seen: time::Instant,
    was_live: bool,
}

/// Time without a heartbeat after which a daemon's upstreams get no new requests, before the
/// extension for each peer.
pub const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Extension of [`LIVENESS_TIMEOUT`] for each peer, since heartbeats share the limited space in
/// messages.
const LIVENESS_TIMEOUT_PER_PEER: time::Duration = time::Duration::from_millis(60);
/// Interval at which a daemon decides whether to gossip.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Shortest time without a tick that counts as a pause of this process.
const PAUSE_MIN: time::Duration = time::Duration::from_secs(1);
/// Ticks between heartbeats.
pub const TICKS_PER_HEARTBEAT: u32 = 20;
/// Number of ticks after a new policy version or source epoch with an urgent round.
const NEWS_URGENT_TICKS: u32 = 4;
/// Time without a heartbeat after which a daemon's record is removed. The record of a daemon that
/// announced its shutdown is kept for the same time.
pub const REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(120);

impl Membership {
    /// Returns the membership of a daemon that knows no peers.
    pub fn new(own_record: member::Record) -> Self {
        let own_name = own_record.daemon.clone();
        let mut membership = Self {
            own_record,
            departures: departures::Departures::new(None),
            peers: IndexMap::new(),
            pending: IndexMap::new(),
            digest_cursor: 0,
            generation: 1,
            is_synced: false,
            urgent_ticks: 0,
            startup_ticks: round::STARTUP_TICKS,
            quiet_ticks: 0,
            ticked: None,
        };
        membership.mark_pending(own_name);
        membership
    }

    /// Returns this daemon's record.
    pub fn own_record(&self) -> &member::Record {
        &self.own_record
    }

    /// Returns a number that increases with every change that affects routing.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the active policy version. It spreads with the heartbeat rather than as a change of the
    /// record, since a new version would otherwise change the records of all daemons at once.
    pub fn set_policy_version(&mut self, version: ids::PolicyVersion) {
        // Tasks that have activated versions one after the other may get here in another order.
        self.own_record.policy = self.own_record.policy.max(version);
        self.own_record.heartbeat += 1;
        self.urgent_ticks = NEWS_URGENT_TICKS;
    }

    /// Returns the newest policy version that is active at a live daemon.
    pub fn newest_policy(&self, now: time::Instant) -> ids::PolicyVersion {
        self.live_records(now).map(|record| record.policy).max().unwrap_or(0)
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

    /// Returns the departures of backend servers on this daemon's VM.
    pub fn departures(&self) -> &departures::Departures {
        &self.departures
    }

    /// Changes the departures of backend servers on this daemon's VM, given the newest known epoch of the
    /// registry. Schedules the daemon's record for gossip if other departures are published now.
    pub fn update_departures<R>(
        &mut self,
        change: impl FnOnce(&mut departures::Departures, ids::SourceEpoch) -> R,
    ) -> R {
        let epoch = self.source_epoch();
        let result = change(&mut self.departures, epoch);
        if self.own_record.departed != self.departures.published() {
            let published = self.departures.published().to_vec();
            self.update_own_record(|own| own.departed = published);
        }
        result
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

    /// Notes that this daemon's process runs. To be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: time::Instant) {
        self.skip_pause(now);
        self.ticked = Some(now);
    }

    /// Excludes a pause of this process from the silence of its peers, whose heartbeats it could not
    /// read meanwhile.
    pub(crate) fn skip_pause(&mut self, now: time::Instant) {
        let Some(ticked) = self.ticked else { return };
        let pause = now.saturating_duration_since(ticked);
        if pause < PAUSE_MIN {
            return;
        }
        self.ticked = Some(now);
        for peer in self.peers.values_mut() {
            peer.last_seen += pause;
        }
    }

    /// Updates which peers are live, removes those without a heartbeat for [`REMOVAL_TIMEOUT`], and
    /// returns the removals.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Change> {
        self.skip_pause(now);
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

#[cfg(test)]
mod tests;
