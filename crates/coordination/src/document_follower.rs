//! Follows a source of complete policy documents. While the source is unavailable, a daemon fetches
//! the policy from other daemons.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::membership;
use lynxmast_state::shared_state;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::confirmations;
use crate::document_source;
use crate::log_follower;
use crate::peer_sync;
use crate::platform_log;

/// Keeps a daemon's policy up to date with the source of documents.
#[derive(Debug)]
pub struct DocumentFollower<C: clock::Clock, S: document_source::DocumentSource> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Source of policy documents.
    pub source: S,
    /// Confirmations of this daemon's policy.
    pub confirmations: sync::Arc<confirmations::Confirmations<C>>,
    /// State reported to operators.
    pub state: sync::Arc<log_follower::FollowerState>,
    /// Signals that the daemon was suspended, so that its state may be outdated; the newest
    /// document is then fetched immediately.
    pub resumed: sync::Arc<tokio::sync::Notify>,
}

/// Keeps a daemon's policy up to date with its peers.
#[derive(Debug)]
pub struct PeerFollower<C: clock::Clock> {
    /// Fetches the policy from other daemons.
    pub peers: peer_sync::PeerSync<C>,
    /// Wakes the follower when a request has shown that there is a newer version, or when the VM
    /// resumes after a suspension.
    pub wake: sync::Arc<tokio::sync::Notify>,
}

/// Time between checks for peers with a newer version. A check is local; it sends a message only if
/// such a peer is known.
const PEER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time between checks of whether this daemon has to follow the source.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest time after reading the first document in which a daemon waits for contact with its peers.
/// A daemon finds them within a few gossip rounds of 50 ms.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time between two checks for contact with the peers.
const CONTACT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time within which a wait that the source rejects fails; one that is lost takes longer.
const REJECTION_TIME_MAX: time::Duration = time::Duration::from_millis(300);

impl<C: clock::Clock, S: document_source::DocumentSource> DocumentFollower<C, S> {
    /// Follows the source until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut is_following = false;
        let mut has_responded = false;
        while !stop.is_cancelled() {
            let relay = self.shared.relay();
            if !self.must_follow(&relay, has_responded) {
                is_following = false;
                self.set_follows_source(false);
                let due = self.confirmations.until_read_due(&relay, false);
                let role_check = tokio::time::timeout(ROLE_CHECK_INTERVAL, due);
                match stop.run_until_cancelled(role_check).await {
                    Some(Ok(())) => self.log_overdue(&relay),
                    Some(Err(_)) => continue,
                    None => return,
                }
            }
            let (resumed, confirmations) = (self.resumed.clone(), self.confirmations.clone());
            let (was_following, started) = (is_following, self.shared.boot_time());
            let result = tokio::select! {
                result = self.update(is_following, &relay) => result,
                () = confirmations.until_read_due(&relay, true), if is_following => {
                    self.log_overdue(&relay);
                    is_following = false;
                    continue;
                }
                () = resumed.notified() => {
                    is_following = false;
                    continue;
                }
                () = stop.cancelled() => return,
            };
            is_following = result.is_ok();
            let is_first = result.is_ok() && !has_responded;
            has_responded |= result.is_ok();
            // A wait may fail although the source responds to a new call, which decides.
            if result.is_ok() || !was_following {
                self.set_follows_source(is_following && relay.is_reader);
                self.record_reachability(&result);
            }
            if result.is_ok() {
                if is_first {
                    // Only a few daemons need to wait for the next document; which ones is known
                    // once the membership has converged.
                    stop.run_until_cancelled(tokio::time::sleep(ROLE_CHECK_INTERVAL)).await;
                }
                continue;
            }
            // A new call is made at once, as others may rely on this daemon, unless the source rejects
            // waits.
            let now = self.shared.boot_time();
            let is_lost = now.saturating_duration_since(started) >= REJECTION_TIME_MAX;
            let is_restored = result == Err(platform_log::PlatformError::Restored);
            if was_following && (is_lost || is_restored) {
                continue;
            }
            let jitter = rand::rng().random_range(0.0..1.0);
            let backoff =
                self.shared.freshness().record_failure(relay.is_reader, jitter, started, now);
            stop.run_until_cancelled(tokio::time::sleep(backoff)).await;
        }
    }

    /// Returns `true` if this daemon has to follow the source itself: if its policy is not yet
    /// current and the source has not responded yet, or if it is among the first daemons of its failure
    /// domain. The remaining daemons fetch the policy from their peers and read the source only if these
    /// do not confirm it.
    fn must_follow(&self, relay: &membership::Relay, has_responded: bool) -> bool {
        relay.is_reader || !(self.shared.is_current() || has_responded)
    }

    /// Logs that the source is read because the newest confirmation of the policy is too old.
    fn log_overdue(&self, relay: &membership::Relay) {
        metrics::counter!("lynxmast_confirmations_overdue_total").increment(1);
        let age = self.shared.freshness().age(self.shared.boot_time()).unwrap_or_default();
        let peer = relay.parent.as_ref().map_or("", |parent| &*parent.daemon);
        log::debug!(event = "confirmation-overdue", age_ms = age.as_millis() as u64, peer; "");
    }

    /// Publishes in this daemon's membership record whether this daemon follows the source.
    fn set_follows_source(&self, follows: bool) {
        let mut membership = self.shared.membership();
        if membership.own_record().follows_source != follows {
            membership.update_own_record(|own| own.follows_source = follows);
        }
    }

    /// Fetches and applies a document: the next update while following, the newest one otherwise.
    async fn update(
        &mut self,
        is_following: bool,
        relay: &membership::Relay,
    ) -> Result<(), platform_log::PlatformError> {
        let sent = self.shared.boot_time();
        let (fetched, as_of) = if is_following {
            let wait = self.shared.freshness().wait(relay, sent);
            let fetched = self.source.wait_for_update(wait).await?;
            // A wait that ends without a document shows that there was none until then.
            let as_of = if fetched.is_none() { sent + wait } else { sent };
            (fetched, as_of)
        } else {
            (self.source.newest().await?, sent)
        };
        if let Some(fetched) = fetched {
            let document_source::Revision { version, document } = fetched;
            self.shared.update_policy(|reducer| {
                if version > reducer.version {
                    (reducer.version, reducer.next) = (version, version);
                    reducer.document = document;
                }
            });
        }
        self.confirmations.record_read(as_of);
        self.check_peers().await;
        Ok(())
    }

    /// Marks the policy as current once enough peers are known and none has a newer version; without
    /// them, after [`CONTACT_TIMEOUT`]. A source that was restored from an older copy may have
    /// returned a version with keys that have been withdrawn since.
    async fn check_peers(&mut self) {
        let started = tokio::time::Instant::now();
        while !self.shared.is_current() && self.shared.policy().version > 0 {
            let has_waited = started.elapsed() >= CONTACT_TIMEOUT;
            let (newest, live) = {
                let (membership, now) = (self.shared.membership(), self.shared.now());
                (membership.newest_policy(now), membership.live_records(now).count())
            };
            let is_newest = self.shared.policy().version >= newest;
            if is_newest && (live > peer_sync::PEERS_MIN || has_waited) {
                self.shared.mark_current();
            } else if has_waited {
                return;
            }
            tokio::time::sleep(CONTACT_CHECK_INTERVAL).await;
        }
    }

    fn record_reachability(&self, result: &Result<(), platform_log::PlatformError>) {
        let is_reachable = matches!(result, Ok(()) | Err(platform_log::PlatformError::Restored));
        let was_reachable =
            self.state.source_reachable.swap(is_reachable, atomic::Ordering::AcqRel);
        if was_reachable == is_reachable {
            return;
        }
        let kind = if is_reachable { event::Kind::LogBack } else { event::Kind::LogLost };
        match result {
            Ok(()) => log::info!(event = "store-back"; "{kind}"),
            Err(error) => log::warn!(event = "store-lost", reason:% = error; "{kind}"),
        }
        self.shared.record_event(kind);
    }
}

impl<C: clock::Clock> PeerFollower<C> {
    /// Follows the peers until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.peers.sync().await;
            tokio::select! {
                () = tokio::time::sleep(PEER_CHECK_INTERVAL) => {}
                () = self.wake.notified() => {}
                () = stop.cancelled() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
