//! Freshness of the policy: until when a daemon knows that no newer version existed, and when it must
//! read the policy's source itself because nobody has told it more recently.
//!
//! A daemon reads the source or asks the daemon before it in a tree ([`crate::membership::Relay`]).
//! Silence proves nothing: a peer, a connection or a pending read that says nothing may have been lost.
//! What counts is the age of the newest confirmation.

use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::membership;
use crate::membership::relay;

/// Newest confirmation of one daemon's policy and the peers that have failed to supply newer ones.
///
/// Times must also advance while the VM is suspended.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Newest time at which the source is known to have had no newer version than this daemon.
    confirmed: Option<time::Instant>,
    /// When a peer last supplied a newer confirmation.
    relayed: Option<time::Instant>,
    /// Peer that is asked, and since when it has not supplied a newer confirmation.
    asked: Option<(ids::DaemonName, time::Instant)>,
    /// Peers that are not asked, and until when.
    suspects: IndexMap<ids::DaemonName, time::Instant>,
    /// Failed reads since the last successful one.
    failures: u32,
    /// Time before which a failed read is not repeated.
    retry: Option<time::Instant>,
}

/// Time between confirmations by the daemons that read the source for others; half the time in which a
/// new version must be in use.
pub const INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Age of the newest confirmation from which a daemon that others confirm reads the source itself, after
/// the delay of its place in the tree. With that delay and a read, it stays below the time in which a
/// new version must be in use.
const AGE_MAX: time::Duration = time::Duration::from_millis(1300);
/// Time after a peer's last newer confirmation for which this daemon counts on the next one.
const RELAY_TIMEOUT: time::Duration = AGE_MAX.saturating_add(relay::DELAY_MAX);
/// Time without a newer confirmation from a peer after which another one is asked, provided that the
/// source did respond.
const PATIENCE: time::Duration = time::Duration::from_millis(1100);
/// Time for which a peer that failed is not asked.
const SUSPICION: time::Duration = time::Duration::from_secs(5);
/// Time for which a daemon that cannot read the source waits for one peer, see
/// [`Freshness::ask_timeout`].
const SEARCH_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Failed reads in a row for which a daemon looks for another peer. With more, the source is away and
/// nobody can confirm the policy.
const SEARCH_FAILURES: u32 = 3;
/// Wait for news at the source by a daemon that others confirm.
const WAIT_MAX: time::Duration = time::Duration::from_secs(29);
/// Shortest wait for news at the source.
const WAIT_MIN: time::Duration = time::Duration::from_millis(50);
/// Time between the first failed read and the next one; doubles with each further one.
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(200);
/// Longest time between the reads of a daemon that reads for others, while they fail.
const READER_BACKOFF_MAX: time::Duration = time::Duration::from_millis(1500);
/// Longest time between the reads of the other daemons, while they fail. New versions must again be in
/// use in time from 3 s after an outage of the source, whoever was lost meanwhile.
const BACKOFF_MAX: time::Duration = time::Duration::from_millis(2700);

impl Freshness {
    /// Returns the age of the newest confirmation; `None` if there has been none.
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed))
    }

    /// Records a read of the source by this daemon that succeeded, after which its policy is as new as
    /// the source was at `as_of`. The peer that was asked meanwhile is suspected and returned if it has
    /// been of no help for long.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::freshness;
    /// use std::time::{Duration, Instant};
    ///
    /// let mut freshness = freshness::Freshness::default();
    /// let sent = Instant::now();
    /// freshness.record_read(sent, sent + Duration::from_millis(5));
    /// assert_eq!(freshness.age(sent + Duration::from_secs(1)), Some(Duration::from_secs(1)));
    /// ```
    pub fn record_read(
        &mut self,
        as_of: time::Instant,
        now: time::Instant,
    ) -> Option<ids::DaemonName> {
        self.confirmed = self.confirmed.max(Some(as_of));
        (self.failures, self.retry) = (0, None);
        let is_useless = |since: time::Instant| now.saturating_duration_since(since) >= PATIENCE;
        let (peer, _) = self.asked.take_if(|(_, since)| is_useless(*since))?;
        self.suspect(peer.clone(), now);
        Some(peer)
    }

    /// Records that a read which was sent at `sent` has failed, and returns the time until the next one.
    /// The backoff includes the time that the read took, as a source that responds again does not respond
    /// to reads from before. `jitter` between 0 and 1 keeps daemons from repeating failed reads at the
    /// same time.
    pub fn record_failure(
        &mut self,
        is_reader: bool,
        jitter: f64,
        sent: time::Instant,
        now: time::Instant,
    ) -> time::Duration {
        let longest = if is_reader { READER_BACKOFF_MAX } else { BACKOFF_MAX };
        let doubled = BACKOFF_MIN.saturating_mul(1 << self.failures.min(8));
        // Daemons whose reads began to fail together spread over the longest backoff once, and then keep
        // their distances.
        let share_min = match doubled {
            _ if doubled < longest => 0.5,
            _ if doubled < longest * 2 => 0.0,
            _ => 1.0,
        };
        let share = share_min + (1.0 - share_min) * jitter.clamp(0.0, 1.0);
        let backoff = doubled.min(longest).mul_f64(share);
        self.failures = self.failures.saturating_add(1);
        let retry = (sent + backoff).max(now + BACKOFF_MIN / 2);
        self.retry = Some(retry);
        retry.saturating_duration_since(now)
    }

    /// Records that `peer` is being asked.
    pub fn ask(&mut self, peer: &ids::DaemonName, now: time::Instant) {
        if self.asked.as_ref().is_none_or(|(asked, _)| asked != peer) {
            self.asked = Some((peer.clone(), now));
        }
    }

    /// Records that `peer` has confirmed this daemon's policy as of `as_of`. Returns whether that is
    /// newer than what was known.
    pub fn confirm(
        &mut self,
        peer: &ids::DaemonName,
        as_of: time::Instant,
        now: time::Instant,
    ) -> bool {
        if self.confirmed.is_some_and(|confirmed| confirmed >= as_of) {
            return false;
        }
        self.confirmed = Some(as_of);
        // A confirmation that is too old by now does not relieve this daemon of its reads.
        if now.saturating_duration_since(as_of) < AGE_MAX {
            self.relayed = Some(now);
            self.asked = Some((peer.clone(), now));
        }
        true
    }

    /// Asks another peer than `peer` for a while.
    pub fn suspect(&mut self, peer: ids::DaemonName, now: time::Instant) {
        self.asked.take_if(|(asked, _)| *asked == peer);
        self.suspects.insert(peer, now + SUSPICION);
    }

    /// Returns the peers that are not asked at present.
    pub fn suspects(&mut self, now: time::Instant) -> Vec<ids::DaemonName> {
        self.suspects.retain(|_, until| *until > now);
        self.suspects.keys().cloned().collect()
    }

    /// Returns the time for which this daemon waits for the peer that it asks, before it asks another
    /// one. While its own reads have begun to fail, it looks for a peer that can confirm its policy at
    /// once.
    pub fn ask_timeout(&self) -> Option<time::Duration> {
        (1..=SEARCH_FAILURES).contains(&self.failures).then_some(SEARCH_TIMEOUT)
    }

    /// Returns whether the last read of the source failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the time at which this daemon must read the source. `is_waiting` tells that a read which
    /// waits for news is pending; it is then given up. Returns `None` if the policy was never confirmed,
    /// so that a read is due in any case.
    pub fn read_due(
        &self,
        relay: &membership::Relay,
        is_waiting: bool,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let is_trusted = is_waiting || self.is_relayed(now);
        let age = if is_trusted { AGE_MAX } else { INTERVAL };
        self.confirmed.map(|confirmed| confirmed + age + relay.delay).max(self.retry)
    }

    /// Returns how long this daemon should wait for news at the source: until the next confirmation is
    /// due at the root of the tree, and for long elsewhere, as others confirm the policy. A long wait is
    /// given up if they do not, see [`Freshness::read_due`].
    pub fn wait(&self, relay: &membership::Relay, now: time::Instant) -> time::Duration {
        if relay.parent.is_some() {
            return WAIT_MAX;
        }
        INTERVAL.saturating_sub(self.age(now).unwrap_or(INTERVAL)).max(WAIT_MIN)
    }

    /// Returns whether peers keep confirming this daemon's policy.
    fn is_relayed(&self, now: time::Instant) -> bool {
        self.relayed.is_some_and(|relayed| now.saturating_duration_since(relayed) < RELAY_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
