//! What a daemon knows about one suspected request.

use std::hash::Hash;
use std::hash::Hasher;
use std::net;
use std::time;

use indexmap::IndexMap;
use siphasher::sip;

use crate::fingerprint;
use crate::ids;
use crate::quarantine;

/// Crashes under one request and the responses to it.
#[derive(Debug, Default)]
pub(super) struct Record {
    crashes: IndexMap<CrashKey, CrashState>,
    /// Number of times that responses have cleared the request.
    generation: u32,
    /// Responses of this generation by daemon.
    responses: IndexMap<quarantine::ReporterId, u32>,
    /// Responses of this generation that the own daemon got; `None` before they are counted.
    own_responses: Option<u32>,
    /// Number of messages in which the record is still to be sent.
    sends_left: u32,
    /// When the last copy was let in after the quarantine.
    last_trial: Option<time::Instant>,
}

/// Start of an upstream that crashed.
pub(super) type CrashKey = (net::SocketAddr, ids::Incarnation);

#[derive(Debug, Clone, Copy)]
struct CrashState {
    at: time::Instant,
    is_cleared: bool,
}

/// Number of responses up to which every single one is told to other daemons; a larger number is
/// rounded down to a power of two.
const EXACT_RESPONSES_MAX: u32 = 8;
/// Number of messages in which each daemon sends a changed record, enough for an epidemic to reach
/// every daemon; daemons that it misses are found by their digest.
const SENDS: u32 = 8;

impl Record {
    /// Returns whether there are crashes of which the request is not cleared.
    pub(super) fn is_suspected(&self) -> bool {
        self.suspicious_crashes().next().is_some()
    }

    /// Returns whether upstreams have crashed under the request and none has responded to it.
    pub(super) fn is_fatal(&self) -> bool {
        self.responses.is_empty() && self.suspicious_crashes().count() >= quarantine::CRASHES_MIN
    }

    /// Returns whether so many upstreams have crashed under the request, and so few have responded to
    /// it, that it is quarantined. Crashes of which `is_explained` holds do not count.
    pub(super) fn is_quarantined(&self, is_explained: impl Fn(&CrashKey) -> bool) -> bool {
        if self.suspicious_crashes().count() < quarantine::CRASHES_MIN {
            return false;
        }
        let crashes = self.suspicious_crashes().filter(|crash| !is_explained(crash)).count();
        crashes >= quarantine::CRASHES_MIN
            && self.responses() < crashes as u32 * quarantine::RESPONSES_PER_CRASH
    }

    /// Returns whether the request was running at a crash.
    pub(super) fn has_crash(&self, crash: &CrashKey) -> bool {
        self.crashes.contains_key(crash)
    }

    fn responses(&self) -> u32 {
        self.responses.values().sum()
    }

    fn suspicious_crashes(&self) -> impl Iterator<Item = &CrashKey> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared).map(|(key, _)| key)
    }

    /// Returns the time since the latest crash.
    pub(super) fn age(&self, now: time::Instant) -> time::Duration {
        let latest = self.crashes.values().map(|crash| crash.at).max();
        latest.map_or(time::Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns whether a copy of a quarantined request may be sent to an upstream. After the
    /// quarantine, this counts as a trial, and the next copy has to wait.
    pub(super) fn admit_trial(&mut self, now: time::Instant) -> bool {
        let is_over = self.age(now) >= quarantine::QUARANTINE_DURATION;
        let on_trial = self
            .last_trial
            .is_some_and(|at| now.saturating_duration_since(at) < quarantine::TRIAL_INTERVAL);
        let is_admitted = is_over && !on_trial;
        if is_admitted {
            self.last_trial = Some(now);
        }
        is_admitted
    }

    /// Merges what another daemon knows. Returns whether anything is new.
    pub(super) fn merge(&mut self, suspect: &quarantine::Suspect, now: time::Instant) -> bool {
        let mut is_changed = false;
        if suspect.generation > self.generation {
            self.start_generation(suspect.generation);
            is_changed = true;
        }
        for crash in suspect.crashes.iter().take(quarantine::CRASHES_MAX) {
            let age = time::Duration::from_millis(crash.age_ms);
            is_changed |= self.merge_crash(crash, now.checked_sub(age).unwrap_or(now));
        }
        if suspect.generation == self.generation {
            // More are never held, as so many clear the request.
            for responses in suspect.responses.iter().take(quarantine::CLEARING_RESPONSES as usize)
            {
                is_changed |= self.merge_responses(*responses);
            }
        }
        if is_changed {
            self.sends_left = SENDS;
        }
        is_changed
    }

    /// Returns whether the own daemon's responses before the first crash of this generation are
    /// still to be counted.
    pub(super) fn is_uncounted(&self) -> bool {
        self.is_suspected() && self.own_responses.is_none()
    }

    /// Counts responses that the own daemon got. Returns whether other daemons are told.
    pub(super) fn count_responses(&mut self, reporter: quarantine::ReporterId, count: u32) -> bool {
        let own = self.own_responses.unwrap_or(0).saturating_add(count);
        self.own_responses = Some(own);
        let count = if own <= EXACT_RESPONSES_MAX { own } else { 1 << own.ilog2() };
        let is_changed = self.merge_responses(quarantine::ResponseCount { reporter, count });
        if is_changed {
            self.sends_left = SENDS;
        }
        is_changed
    }

    /// Clears the request of all crashes known so far if there were enough responses. Returns
    /// whether it did.
    pub(super) fn clear_if_proved(&mut self) -> bool {
        if !self.is_suspected() || self.responses() < quarantine::CLEARING_RESPONSES {
            return false;
        }
        self.crashes.values_mut().for_each(|crash| crash.is_cleared = true);
        self.start_generation(self.generation + 1);
        self.sends_left = SENDS;
        true
    }

    fn start_generation(&mut self, generation: u32) {
        self.generation = generation;
        self.responses.clear();
        self.own_responses = None;
    }

    /// Adds a crash or what is new about it. Returns whether anything is.
    fn merge_crash(&mut self, crash: &quarantine::Crash, at: time::Instant) -> bool {
        let key = (crash.address, crash.incarnation);
        if let Some(known) = self.crashes.get_mut(&key) {
            // Ages are measured when they are sent, so the earliest time is the most accurate.
            known.at = known.at.min(at);
            return crash.is_cleared && !std::mem::replace(&mut known.is_cleared, true);
        }
        if self.crashes.len() >= quarantine::CRASHES_MAX {
            let oldest = self.crashes.iter().min_by_key(|(_, state)| state.at);
            let Some((oldest, _)) = oldest.filter(|(_, state)| state.at < at) else { return false };
            let oldest = *oldest;
            self.crashes.swap_remove(&oldest);
        }
        self.crashes.insert(key, CrashState { at, is_cleared: crash.is_cleared });
        true
    }

    /// Raises the count of one daemon. Returns whether this changes anything.
    fn merge_responses(&mut self, received: quarantine::ResponseCount) -> bool {
        let count = received.count.min(quarantine::CLEARING_RESPONSES);
        let known = self.responses.get(&received.reporter).copied().unwrap_or(0);
        if count > known {
            self.responses.insert(received.reporter, count);
        }
        count > known
    }

    /// Returns the number of messages in which the record is still to be sent.
    pub(super) fn sends_left(&self) -> u32 {
        self.sends_left
    }

    /// Returns the record for one of the messages in which it is still to be sent.
    pub(super) fn send(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        now: time::Instant,
    ) -> quarantine::Suspect {
        self.sends_left = self.sends_left.saturating_sub(1);
        self.to_suspect(fingerprint, now)
    }

    pub(super) fn to_suspect(
        &self,
        fingerprint: fingerprint::Fingerprint,
        now: time::Instant,
    ) -> quarantine::Suspect {
        let crashes =
            self.crashes.iter().map(|((address, incarnation), state)| quarantine::Crash {
                address: *address,
                incarnation: *incarnation,
                age_ms: now.saturating_duration_since(state.at).as_millis() as u64,
                is_cleared: state.is_cleared,
            });
        let responses = self.responses.iter();
        let responses = responses.map(|(reporter, count)| quarantine::ResponseCount {
            reporter: *reporter,
            count: *count,
        });
        quarantine::Suspect {
            fingerprint,
            crashes: crashes.collect(),
            generation: self.generation,
            responses: responses.collect(),
        }
    }

    /// Returns a hash of what daemons exchange, independent of its order.
    pub(super) fn digest(&self, fingerprint: &fingerprint::Fingerprint) -> u64 {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(key, state)| hash(&(fingerprint, key, state.is_cleared)));
        let responses = self.responses.iter();
        let responses = responses.map(|entry| hash(&(fingerprint, self.generation, entry)));
        crashes.chain(responses).fold(0, |all, one| all ^ one)
    }
}

/// Returns a hash that is the same in every process.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = sip::SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
