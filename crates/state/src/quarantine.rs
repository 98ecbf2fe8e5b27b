//! Requests that crash the upstreams that run them: which requests are suspected, when copies of
//! them are rejected, and how daemons exchange these suspicions.
//!
//! A request is suspected when it was running at the crash of an upstream. Two such crashes
//! quarantine it: its copies are rejected everywhere until [`QUARANTINE_DURATION`] after the latest
//! crash, and then let in one at a time. A request that gets a response has not crashed its upstream,
//! so a response clears it of all crashes known by then. The records only grow until they are
//! forgotten, so daemons may merge them in any order and more than once.

use std::collections;
use std::hash::Hash;
use std::hash::Hasher;
use std::net;
use std::time;

use indexmap::IndexMap;
use siphasher::sip;

use crate::fingerprint;
use crate::ids;

value! {
    /// A request that was running when upstreams crashed.
    pub struct Suspect {
        /// The request and all its copies.
        pub fingerprint: fingerprint::Fingerprint,
        /// Crashes of distinct starts of upstreams.
        pub crashes: Vec<Crash>,
    }

    /// Crash of an upstream under a suspected request.
    #[derive(Copy, Eq)]
    pub struct Crash {
        /// Address of the upstream.
        pub address: net::SocketAddr,
        /// Incarnation of the upstream that crashed.
        pub incarnation: ids::Incarnation,
        /// Milliseconds since the crash was found.
        pub age_ms: u64,
        /// Whether a response to the request has shown that it did not cause the crash.
        pub is_cleared: bool,
    }

    /// Suspicions that one daemon sends to another.
    #[derive(Default)]
    pub struct SuspectUpdate {
        /// Hash of all suspicions of the sender.
        pub digest: u64,
        /// Suspicions that the receiver may lack.
        pub suspects: Vec<Suspect>,
    }
}

/// Suspected requests, as known to one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<fingerprint::Fingerprint, Record>,
    /// Requests that got a response within [`SURVIVAL_MEMORY`], oldest first.
    survivors: collections::VecDeque<(fingerprint::Fingerprint, time::Instant)>,
    /// Hash of `suspects`; `None` after a change.
    digest: Option<u64>,
    /// First suspect of the next page that is sent to a daemon with other suspects.
    page_cursor: usize,
}

#[derive(Debug, Default)]
struct Record {
    crashes: IndexMap<CrashKey, CrashState>,
    /// Number of messages in which the record is still to be sent.
    sends_left: u32,
    /// When the last copy was let in after the quarantine.
    last_trial: Option<time::Instant>,
}

type CrashKey = (net::SocketAddr, ids::Incarnation);

#[derive(Debug, Clone, Copy)]
struct CrashState {
    at: time::Instant,
    is_cleared: bool,
}

/// Number of crashed upstreams from which on a request is quarantined. A single one is often
/// unrelated to the requests that were running.
pub const CRASHES_MIN: usize = 2;
/// Time from the latest crash under a request until a copy of it is let in again.
pub const QUARANTINE_DURATION: time::Duration = time::Duration::from_secs(300);
/// Time between copies that are let in after the quarantine; a crash takes less to become known.
const TRIAL_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time from the latest crash under a request until the request is forgotten.
const SUSPECT_MEMORY: time::Duration = time::Duration::from_secs(600);
/// Time for which a response also clears a request of crashes that become known later. Covers
/// frequent requests, of which several copies run at any time.
const SURVIVAL_MEMORY: time::Duration = time::Duration::from_secs(2);
const SURVIVORS_MAX: usize = 512;
const SUSPECTS_MAX: usize = 1024;
/// Maximum number of crashes held of one request.
const CRASHES_MAX: usize = 8;
/// Number of messages in which each daemon sends a changed record, enough for an epidemic to reach
/// every daemon; daemons that it misses are found by their digest.
const SENDS: u32 = 8;
/// Maximum number of changed records, and of records for a daemon with another digest, in a
/// message.
const PAGE_SIZE: usize = 32;

impl Quarantine {
    /// Returns whether any request with this head hash is suspected.
    pub fn is_suspected_head(&self, head: u64) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|(request, record)| request.head == head && record.is_suspected())
    }

    /// Returns whether a copy of a request may be sent to an upstream. After the quarantine, this
    /// counts as a trial, and the next copy has to wait.
    pub fn admit(&mut self, request: &fingerprint::Fingerprint, now: time::Instant) -> bool {
        let Some(record) = self.suspects.get_mut(request) else { return true };
        if !record.is_repeated() {
            return true;
        }
        let is_over = record.age(now) >= QUARANTINE_DURATION;
        let on_trial =
            record.last_trial.is_some_and(|at| now.saturating_duration_since(at) < TRIAL_INTERVAL);
        let is_admitted = is_over && !on_trial;
        if is_admitted {
            record.last_trial = Some(now);
        }
        is_admitted
    }

    /// Records that an upstream crashed while it ran a request. Returns whether this quarantines
    /// the request.
    pub fn record_crash(
        &mut self,
        request: fingerprint::Fingerprint,
        address: net::SocketAddr,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> bool {
        if self.survived_recently(&request, now) {
            return false;
        }
        let crash = Crash { address, incarnation, age_ms: 0, is_cleared: false };
        self.merge_suspect(&Suspect { fingerprint: request, crashes: vec![crash] }, now)
    }

    /// Records that a request got a response. Returns whether this clears it of crashes.
    pub fn record_survival(
        &mut self,
        request: fingerprint::Fingerprint,
        now: time::Instant,
    ) -> bool {
        if self.survivors.len() == SURVIVORS_MAX {
            self.survivors.pop_front();
        }
        self.survivors.push_back((request, now));
        self.clear(&request)
    }

    /// Merges the suspicions of another daemon. Returns the requests that this quarantines.
    pub fn merge(
        &mut self,
        update: &SuspectUpdate,
        now: time::Instant,
    ) -> Vec<fingerprint::Fingerprint> {
        let mut quarantined = Vec::new();
        for suspect in &update.suspects {
            let is_new = self.merge_suspect(suspect, now);
            if self.survived_recently(&suspect.fingerprint, now) {
                self.clear(&suspect.fingerprint);
            } else if is_new {
                quarantined.push(suspect.fingerprint);
            }
        }
        quarantined
    }

    /// Returns whether changed records are still to be sent.
    pub fn has_pending(&self) -> bool {
        self.suspects.values().any(|record| record.sends_left > 0)
    }

    /// Returns the suspicions for the first message of an exchange.
    pub fn opening_update(&mut self, now: time::Instant) -> SuspectUpdate {
        let suspects = self.take_pending(now);
        SuspectUpdate { digest: self.digest(), suspects }
    }

    /// Returns the suspicions for a daemon that has sent `received`; all if `is_full` is set.
    pub fn reply(
        &mut self,
        received: &SuspectUpdate,
        is_full: bool,
        now: time::Instant,
    ) -> SuspectUpdate {
        let digest = self.digest();
        let suspects = if is_full {
            self.suspects.iter().map(|(id, record)| record.to_suspect(*id, now)).collect()
        } else if received.digest != digest {
            self.next_page(now)
        } else {
            Vec::new()
        };
        SuspectUpdate { digest, suspects }
    }

    /// Forgets requests whose latest crash is long ago.
    pub fn expire(&mut self, now: time::Instant) {
        let before = self.suspects.len();
        self.suspects.retain(|_, record| record.age(now) < SUSPECT_MEMORY);
        if self.suspects.len() != before {
            self.digest = None;
        }
    }

    /// Returns the numbers of suspected and of quarantined requests; the latter are included in the
    /// former.
    pub fn counts(&self, now: time::Instant) -> (usize, usize) {
        let suspected = self.suspects.values().filter(|record| record.is_suspected());
        let quarantined = self
            .suspects
            .values()
            .filter(|record| record.is_repeated() && record.age(now) < QUARANTINE_DURATION);
        (suspected.count(), quarantined.count())
    }

    /// Merges one suspect. Returns whether this quarantines it.
    fn merge_suspect(&mut self, suspect: &Suspect, now: time::Instant) -> bool {
        let age = |crash: &Crash| time::Duration::from_millis(crash.age_ms);
        if suspect.crashes.iter().all(|crash| age(crash) >= SUSPECT_MEMORY) {
            return false;
        }
        if !self.suspects.contains_key(&suspect.fingerprint) {
            self.make_room(now);
        }
        let record = self.suspects.entry(suspect.fingerprint).or_default();
        let was_repeated = record.is_repeated();
        let mut is_changed = false;
        for crash in suspect.crashes.iter().take(CRASHES_MAX) {
            let at = now.checked_sub(age(crash)).unwrap_or(now);
            is_changed |= record.merge_crash(crash, at);
        }
        if is_changed {
            record.sends_left = SENDS;
            self.digest = None;
        }
        record.is_repeated() && !was_repeated
    }

    /// Clears a request of all crashes known so far. Returns whether there were any.
    fn clear(&mut self, request: &fingerprint::Fingerprint) -> bool {
        let Some(record) = self.suspects.get_mut(request) else { return false };
        if !record.is_suspected() {
            return false;
        }
        record.crashes.values_mut().for_each(|crash| crash.is_cleared = true);
        record.sends_left = SENDS;
        self.digest = None;
        true
    }

    fn survived_recently(
        &mut self,
        request: &fingerprint::Fingerprint,
        now: time::Instant,
    ) -> bool {
        let is_recent = |at: time::Instant| now.saturating_duration_since(at) < SURVIVAL_MEMORY;
        while self.survivors.front().is_some_and(|(_, at)| !is_recent(*at)) {
            self.survivors.pop_front();
        }
        self.survivors.iter().any(|(survivor, _)| survivor == request)
    }

    /// Makes room for another suspect. The one with the oldest latest crash is forgotten, and those
    /// with a single crash first, so that many different requests do not displace a dangerous one.
    fn make_room(&mut self, now: time::Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let suspects = self.suspects.iter().enumerate();
        let oldest = suspects.max_by_key(|(_, (_, r))| (!r.is_repeated(), r.age(now)));
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.suspects.swap_remove_index(index);
        }
    }

    fn take_pending(&mut self, now: time::Instant) -> Vec<Suspect> {
        let pending = self.suspects.iter_mut().filter(|(_, record)| record.sends_left > 0);
        let sent = pending.take(PAGE_SIZE).map(|(id, record)| {
            record.sends_left -= 1;
            record.to_suspect(*id, now)
        });
        sent.collect()
    }

    fn next_page(&mut self, now: time::Instant) -> Vec<Suspect> {
        let count = self.suspects.len();
        let page = self.suspects.iter().cycle().skip(self.page_cursor).take(count.min(PAGE_SIZE));
        let page = page.map(|(id, record)| record.to_suspect(*id, now)).collect();
        self.page_cursor = (self.page_cursor + PAGE_SIZE) % count.max(1);
        page
    }

    fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let suspects = self.suspects.iter();
        let hashes = suspects.flat_map(|(fingerprint, record)| {
            let crashes = record.crashes.iter();
            crashes.map(move |(key, state)| hash(&(fingerprint, key, state.is_cleared)))
        });
        let digest = hashes.fold(0, |all, one| all ^ one);
        self.digest = Some(digest);
        digest
    }
}

impl Record {
    fn is_suspected(&self) -> bool {
        self.crashes.values().any(|crash| !crash.is_cleared)
    }

    /// Returns whether enough upstreams have crashed under the request for a quarantine.
    fn is_repeated(&self) -> bool {
        self.crashes.values().filter(|crash| !crash.is_cleared).count() >= CRASHES_MIN
    }

    /// Returns the time since the latest crash.
    fn age(&self, now: time::Instant) -> time::Duration {
        let latest = self.crashes.values().map(|crash| crash.at).max();
        latest.map_or(time::Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Adds a crash or what is new about it. Returns whether anything is.
    fn merge_crash(&mut self, crash: &Crash, at: time::Instant) -> bool {
        let key = (crash.address, crash.incarnation);
        if let Some(known) = self.crashes.get_mut(&key) {
            // Ages are measured when they are sent, so the earliest time is the most accurate.
            known.at = known.at.min(at);
            return crash.is_cleared && !std::mem::replace(&mut known.is_cleared, true);
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self.crashes.iter().min_by_key(|(_, state)| state.at);
            let Some((oldest, _)) = oldest.filter(|(_, state)| state.at < at) else { return false };
            let oldest = *oldest;
            self.crashes.swap_remove(&oldest);
        }
        self.crashes.insert(key, CrashState { at, is_cleared: crash.is_cleared });
        true
    }

    fn to_suspect(&self, fingerprint: fingerprint::Fingerprint, now: time::Instant) -> Suspect {
        let crashes = self.crashes.iter().map(|((address, incarnation), state)| Crash {
            address: *address,
            incarnation: *incarnation,
            age_ms: now.saturating_duration_since(state.at).as_millis() as u64,
            is_cleared: state.is_cleared,
        });
        Suspect { fingerprint, crashes: crashes.collect() }
    }
}

/// Returns a hash that is the same in every process.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = sip::SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
