//! Requests that crash the upstreams that run them: which requests are suspected, when copies of
//! them are rejected, and how daemons exchange these suspicions.
//!
//! A request is suspected when it was running at the crash of an upstream. Two such crashes
//! quarantine it: its copies are rejected everywhere until [`QUARANTINE_DURATION`] after the latest
//! crash, and then let in one at a time.
//!
//! A run that ends with a response is evidence for the request, but a single one proves little: some
//! requests crash only a part of their runs. A request is not quarantined while the daemons have
//! counted [`RESPONSES_PER_CRASH`] responses for each crash, and is cleared of all crashes known so far
//! by [`CLEARING_RESPONSES`]. Beside a request that gets no response at all, a crash of both counts
//! only against that one. A server error is no evidence, as the upstream may have failed before it
//! ran the request.
//!
//! The records only grow until they are forgotten, so daemons may merge them in any order and more
//! than once.

mod record;

use std::collections;
use std::net;
use std::time;

use indexmap::IndexMap;

use crate::fingerprint;
use crate::ids;

value! {
    /// A request that was running when upstreams crashed.
    pub struct Suspect {
        /// The request and all its copies.
        pub fingerprint: fingerprint::Fingerprint,
        /// Crashes of distinct starts of upstreams.
        pub crashes: Vec<Crash>,
        /// Number of times that responses have cleared the request.
        #[serde(default)]
        pub generation: u32,
        /// Responses since the request was last cleared; larger numbers are rounded down.
        #[serde(default)]
        pub responses: Vec<ResponseCount>,
    }

    /// Responses to a suspected request that one daemon has received.
    #[derive(Copy, Eq)]
    pub struct ResponseCount {
        /// The daemon.
        pub reporter: ReporterId,
        /// Number of responses.
        pub count: u32,
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

/// Identifies the daemon that counts responses; random for each start.
pub type ReporterId = u64;

/// Suspected requests, as known to one daemon.
#[derive(Debug)]
pub struct Quarantine {
    reporter: ReporterId,
    suspects: IndexMap<fingerprint::Fingerprint, record::Record>,
    /// Requests that got a response within [`RESPONSE_MEMORY`], oldest first.
    responses: collections::VecDeque<(fingerprint::Fingerprint, time::Instant)>,
    /// Hash of `suspects`; `None` after a change.
    digest: Option<u64>,
    /// First suspect of the next page that is sent to a daemon with other suspects.
    page_cursor: usize,
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
/// Number of responses for each crash that keep a request out of quarantine.
pub const RESPONSES_PER_CRASH: u32 = 4;
/// Maximum number of crashes held of one request.
const CRASHES_MAX: usize = 8;
/// Number of responses that clear a request of all crashes: enough for as many as are held.
pub const CLEARING_RESPONSES: u32 = CRASHES_MAX as u32 * RESPONSES_PER_CRASH;
/// Time for which a response also counts for crashes that become known later. Covers frequent
/// requests, of which several copies run at any time.
const RESPONSE_MEMORY: time::Duration = time::Duration::from_secs(2);
const RESPONSES_MAX: usize = 512;
const SUSPECTS_MAX: usize = 1024;
/// Maximum number of changed records, and of records for a daemon with another digest, in a
/// message.
const PAGE_SIZE: usize = 32;

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(rand::random())
    }
}

impl Quarantine {
    /// Returns a quarantine without suspects. `reporter` identifies the start of this daemon.
    pub fn new(reporter: ReporterId) -> Self {
        Self {
            reporter,
            suspects: IndexMap::new(),
            responses: collections::VecDeque::new(),
            digest: None,
            page_cursor: 0,
        }
    }

    /// Returns whether any request with this head hash is suspected.
    pub fn is_suspected_head(&self, head: u64) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|(request, record)| request.head == head && record.is_suspected())
    }

    /// Returns whether a copy of a request may be sent to an upstream. After the quarantine, this
    /// counts as a trial, and the next copy has to wait.
    pub fn admit(&mut self, request: &fingerprint::Fingerprint, now: time::Instant) -> bool {
        if !self.is_quarantined(request) {
            return true;
        }
        self.suspects.get_mut(request).is_none_or(|record| record.admit_trial(now))
    }

    /// Returns whether copies of a request are rejected. A crash under a request that no upstream has
    /// responded to is explained by it, and does not count against requests with responses.
    fn is_quarantined(&self, request: &fingerprint::Fingerprint) -> bool {
        let Some(record) = self.suspects.get(request) else { return false };
        record.is_fatal()
            || record.is_quarantined(|crash| {
                self.suspects.values().any(|other| other.is_fatal() && other.has_crash(crash))
            })
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
        let crash = Crash { address, incarnation, age_ms: 0, is_cleared: false };
        let (generation, responses) = (0, Vec::new());
        let crashes = vec![crash];
        self.merge_suspect(&Suspect { fingerprint: request, crashes, generation, responses }, now)
    }

    /// Records that an upstream ran a request and responded, other than with a server error. Returns
    /// whether this clears the request of crashes or ends its quarantine.
    pub fn record_response(
        &mut self,
        request: fingerprint::Fingerprint,
        now: time::Instant,
    ) -> bool {
        if self.responses.len() == RESPONSES_MAX {
            self.responses.pop_front();
        }
        self.responses.push_back((request, now));
        let was_quarantined = self.is_quarantined(&request);
        let Some(record) = self.suspects.get_mut(&request) else { return false };
        if !record.is_suspected() {
            return false;
        }
        let is_counted = record.count_responses(self.reporter, 1);
        let is_cleared = record.clear_if_proved();
        if is_counted || is_cleared {
            self.digest = None;
        }
        is_cleared || (was_quarantined && !self.is_quarantined(&request))
    }

    /// Merges the suspicions of another daemon. Returns the requests that this quarantines.
    pub fn merge(
        &mut self,
        update: &SuspectUpdate,
        now: time::Instant,
    ) -> Vec<fingerprint::Fingerprint> {
        let suspects = update.suspects.iter();
        let quarantined = suspects.filter(|suspect| self.merge_suspect(suspect, now));
        quarantined.map(|suspect| suspect.fingerprint).collect()
    }

    /// Returns whether changed records are still to be sent.
    pub fn has_pending(&self) -> bool {
        self.suspects.values().any(|record| record.sends_left() > 0)
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
        let quarantined = self.suspects.iter().filter(|(request, record)| {
            self.is_quarantined(request) && record.age(now) < QUARANTINE_DURATION
        });
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
        let recent = self.recent_responses(&suspect.fingerprint, now);
        let was_quarantined = self.is_quarantined(&suspect.fingerprint);
        let record = self.suspects.entry(suspect.fingerprint).or_default();
        let is_merged = record.merge(suspect, now);
        let is_counted = record.is_uncounted() && record.count_responses(self.reporter, recent);
        let is_cleared = record.clear_if_proved();
        if is_merged || is_counted || is_cleared {
            self.digest = None;
        }
        self.is_quarantined(&suspect.fingerprint) && !was_quarantined
    }

    /// Returns the number of responses to a request within [`RESPONSE_MEMORY`].
    fn recent_responses(&mut self, request: &fingerprint::Fingerprint, now: time::Instant) -> u32 {
        let is_recent = |at: time::Instant| now.saturating_duration_since(at) < RESPONSE_MEMORY;
        while self.responses.front().is_some_and(|(_, at)| !is_recent(*at)) {
            self.responses.pop_front();
        }
        self.responses.iter().filter(|(recent, _)| recent == request).count() as u32
    }

    /// Makes room for another suspect. The one with the oldest latest crash is forgotten, and those
    /// that are not quarantined first, so that many different requests do not displace a dangerous
    /// one.
    fn make_room(&mut self, now: time::Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let suspects = self.suspects.iter().enumerate();
        let oldest = suspects.max_by_key(|(_, (_, r))| (!r.is_quarantined(|_| false), r.age(now)));
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.suspects.swap_remove_index(index);
        }
    }

    fn take_pending(&mut self, now: time::Instant) -> Vec<Suspect> {
        let pending = self.suspects.iter_mut().filter(|(_, record)| record.sends_left() > 0);
        pending.take(PAGE_SIZE).map(|(id, record)| record.send(*id, now)).collect()
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
        let digest = suspects.fold(0, |all, (id, record)| all ^ record.digest(id));
        self.digest = Some(digest);
        digest
    }
}

#[cfg(test)]
mod tests;
