//! Exchange of records between two daemons: an opening, a reply, and a follow-up if either side
//! lacks records of which it got a digest.

use std::collections;
use std::time;

use crate::ids;
use crate::member;
use crate::membership;
use crate::membership::change;

/// Side of an exchange that holds the older state of a record.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outdated {
    Sender,
    Receiver,
    Neither,
}

/// Maximum number of records in a message, other than the full state for a new daemon.
pub(super) const RECORDS_MAX: usize = 64;
/// Maximum number of changed records that a message announces.
const ANNOUNCED_MAX: usize = 32;
/// Maximum number of digests of other daemons in a heartbeat message.
pub(super) const DIGESTS_MAX: usize = 160;
/// Maximum number of digests in a message of a startup round.
const STARTUP_DIGESTS_MAX: usize = 512;
/// Number of times that each daemon announces a changed record, plus one for each doubling of the
/// fleet size.
const SENDS_MIN: u32 = 2;

impl membership::Membership {
    /// Builds the first message of an exchange in a round of kind `kind`, bounded in the number of
    /// digests and records.
    pub fn opening_message(&mut self, kind: membership::RoundKind) -> membership::GossipMessage {
        let (records, mut digests) = self.take_pending(&collections::HashSet::new());
        digests.insert(0, self.own_record.digest());
        let others = match kind {
            membership::RoundKind::Startup => self.next_digests(STARTUP_DIGESTS_MAX),
            membership::RoundKind::Heartbeat => self.next_digests(DIGESTS_MAX),
            membership::RoundKind::Update | membership::RoundKind::Urgent => Vec::new(),
        };
        digests.extend(others);
        let requests_all = !self.is_synced;
        let is_startup = kind == membership::RoundKind::Startup;
        let requests_others = is_startup && !requests_all && digests.len() > self.peers.len();
        membership::GossipMessage {
            digests,
            records,
            requests_all,
            requests_others,
            ..Default::default()
        }
    }

    /// Applies a message and returns the response and the changes that the message caused.
    pub fn respond(
        &mut self,
        message: &membership::GossipMessage,
        now: time::Instant,
    ) -> (membership::GossipMessage, Vec<membership::Change>) {
        let (mut reply, changes) = self.apply(message, now);
        if message.digests.is_empty() {
            return (reply, changes);
        }
        reply.digests.push(self.own_record.digest());
        if message.requests_all {
            reply.records.extend(self.all_records().cloned());
            reply.is_full = true;
            return (reply, changes);
        }
        if message.requests_others {
            let listed: collections::HashSet<&ids::DaemonName> =
                message.digests.iter().map(|digest| &digest.daemon).collect();
            let others = self.all_records().filter(|record| !listed.contains(&record.daemon));
            reply.records.extend(others.cloned());
            return (reply, changes);
        }
        // What the sender has listed was compared above.
        let listed = message.digests.iter().map(|digest| digest.daemon.clone()).collect();
        let (records, digests) = self.take_pending(&listed);
        reply.records.extend(records);
        reply.digests.extend(digests);
        (reply, changes)
    }

    /// Applies a message. Returns a reply with the records that the sender lacks or requested and
    /// the names of those that it should send, and the changes that the message caused.
    pub fn apply(
        &mut self,
        message: &membership::GossipMessage,
        now: time::Instant,
    ) -> (membership::GossipMessage, Vec<membership::Change>) {
        self.skip_pause(now);
        let mut changes = Vec::new();
        self.is_synced |= message.is_full;
        let mut superseded = Vec::new();
        for record in &message.records {
            superseded.extend(self.merge(record, now, &mut changes));
        }
        if message.is_full {
            // The rest of the fleet already has these records; only this daemon's is new to it.
            self.pending.retain(|name, _| *name == self.own_record.daemon);
        }
        let mut reply = membership::GossipMessage { records: superseded, ..Default::default() };
        for digest in &message.digests {
            match self.compare(digest, now) {
                Outdated::Receiver if reply.requested.len() < RECORDS_MAX => {
                    reply.requested.push(digest.daemon.clone());
                }
                Outdated::Sender if reply.records.len() < RECORDS_MAX => {
                    reply.records.extend(self.record(&digest.daemon).cloned());
                }
                _ => {}
            }
        }
        for name in message.requested.iter().take(RECORDS_MAX) {
            reply.records.extend(self.record(name).cloned());
        }
        (reply, changes)
    }

    /// Schedules a record for gossip. The number of sends grows with the logarithm of the fleet
    /// size, as epidemic dissemination needs to reach every daemon.
    pub(super) fn mark_pending(&mut self, name: ids::DaemonName) {
        let doublings = usize::BITS - (self.peers.len() + 1).leading_zeros();
        self.pending.insert(name, SENDS_MIN + doublings);
    }

    /// Takes over a newer record. Returns the record of an earlier process of the daemon if that one
    /// has recorded departures, which the daemon may not know any more.
    fn merge(
        &mut self,
        record: &member::Record,
        now: time::Instant,
        changes: &mut Vec<membership::Change>,
    ) -> Option<member::Record> {
        if record.daemon == self.own_record.daemon {
            self.refute(record, now);
            return None;
        }
        let known = self.peers.get_mut(&record.daemon);
        let is_known = known.is_some();
        if let Some(peer) = known.filter(|peer| !record.is_newer_than(&peer.record.digest())) {
            peer.record_heartbeat(&record.digest(), now);
            return None;
        }
        if !is_known {
            self.quiet_ticks = 0;
        }
        let old = self.peers.get(&record.daemon).map(|peer| &peer.record);
        change::collect(old, record, changes);
        let peer = membership::Peer { record: record.clone(), last_seen: now, was_live: true };
        let replaced = self.peers.insert(record.daemon.clone(), peer);
        self.generation += 1;
        self.mark_pending(record.daemon.clone());
        let replaced = replaced.map(|peer| peer.record);
        replaced.filter(|old| old.incarnation < record.incarnation && !old.departed.is_empty())
    }

    /// Gives this daemon's record a higher version than `record`, which an earlier process of the
    /// daemon published and which still circulates, and takes over the departures in it.
    fn refute(&mut self, record: &member::Record, now: time::Instant) {
        if record.incarnation == self.own_record.incarnation
            && record.version > self.own_record.version
        {
            self.own_record.version = record.version;
            self.update_own_record(|_| ());
        } else if record.is_newer_than(&self.own_record.digest()) {
            self.own_record.incarnation = record.incarnation + 1;
            self.update_own_record(|_| ());
        }
        self.update_departures(|departures, _| departures.learn(&record.departed, now));
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

    /// Returns the digests of the next peers in rotation, at most `count`.
    fn next_digests(&mut self, count: usize) -> Vec<member::Digest> {
        let count = count.min(self.peers.len());
        let next = self.peers.values().cycle().skip(self.digest_cursor).take(count);
        let digests = next.map(|peer| peer.record.digest()).collect();
        self.digest_cursor = (self.digest_cursor + count) % self.peers.len().max(1);
        digests
    }

    /// Returns the next changed records to gossip, urgent ones first, except those in `listed`:
    /// urgent ones and this daemon's as records, and the digests of the others, so that a record is
    /// sent only to daemons that lack it.
    fn take_pending(
        &mut self,
        listed: &collections::HashSet<ids::DaemonName>,
    ) -> (Vec<member::Record>, Vec<member::Digest>) {
        let unlisted = self.pending.keys().filter(|name| !listed.contains(*name));
        let mut names: Vec<ids::DaemonName> = unlisted.cloned().collect();
        names.sort_by_key(|name| !self.record(name).is_some_and(member::Record::is_urgent));
        names.truncate(ANNOUNCED_MAX);
        for name in &names {
            let Some(sends_left) = self.pending.get_mut(name) else { continue };
            *sends_left -= 1;
            if *sends_left == 0 {
                self.pending.swap_remove(name);
            }
        }
        let known = names.iter().filter_map(|name| self.record(name));
        let is_sent = |record: &&member::Record| {
            record.is_urgent() || record.daemon == self.own_record.daemon
        };
        let (sent, announced): (Vec<_>, Vec<_>) = known.partition(is_sent);
        let digests = announced.into_iter().map(member::Record::digest).collect();
        (sent.into_iter().cloned().collect(), digests)
    }
}
