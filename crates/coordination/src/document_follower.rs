//! Follows a source of complete policy documents. While the source is unavailable, a daemon fetches
//! the policy from other daemons.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::shared_state;
use rand::Rng;
use tokio_util::sync::CancellationToken;

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
/// Daemons per failure domain that follow the source. The number is limited because calls to the
/// source are charged.
const FOLLOWERS: usize = 3;
/// Other daemons of the failure domain that must reach the source before this one may stop
/// following it.
const REACHABLE_FOLLOWERS_MIN: usize = 2;
/// Time between checks of whether this daemon has to follow the source.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest time after reading the first document in which a daemon waits for contact with its peers.
/// A daemon finds them within a few gossip rounds of 50 ms.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time between two checks for contact with the peers.
const CONTACT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Backoff after the first failed call; doubles with each further one up to [`BACKOFF_MAX`].
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(200);
/// Longest backoff after a failed call. It is shorter than the time in which a configuration
/// must become active, so that the recovery of the source is noticed in time.
const BACKOFF_MAX: time::Duration = time::Duration::from_millis(1500);

impl<C: clock::Clock, S: document_source::DocumentSource> DocumentFollower<C, S> {
    /// Follows the source until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut backoff = BACKOFF_MIN;
        let mut is_following = false;
        let mut has_responded = false;
        while !stop.is_cancelled() {
            if !self.must_follow(has_responded) {
                is_following = false;
                self.set_follows_source(false);
                stop.run_until_cancelled(tokio::time::sleep(ROLE_CHECK_INTERVAL)).await;
                continue;
            }
            let resumed = self.resumed.clone();
            let was_following = is_following;
            let result = tokio::select! {
                result = self.update(is_following) => result,
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
                self.set_follows_source(is_following && self.must_follow(has_responded));
                self.record_reachability(&result);
            }
            if result.is_ok() {
                backoff = BACKOFF_MIN;
                if is_first {
                    // Only a few daemons need to wait for the next document; which ones is known
                    // once the membership has converged.
                    stop.run_until_cancelled(tokio::time::sleep(ROLE_CHECK_INTERVAL)).await;
                }
                continue;
            }
            if was_following && result == Err(platform_log::PlatformError::Restored) {
                continue;
            }
            let jittered = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
            stop.run_until_cancelled(tokio::time::sleep(jittered)).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Returns `true` if this daemon has to follow the source itself: if its policy is not yet
    /// current and the source has not responded yet, if it is among the first daemons of its failure
    /// domain by name, or if too few others there reach the source. The remaining daemons fetch the
    /// policy from their peers.
    fn must_follow(&self, has_responded: bool) -> bool {
        if !self.shared.is_current() && !has_responded {
            return true;
        }
        let followers = self.shared.membership().domain_followers(self.shared.now());
        followers.preceding < FOLLOWERS || followers.following < REACHABLE_FOLLOWERS_MIN
    }

    /// Publishes in this daemon's membership record whether this daemon follows the source.
    fn set_follows_source(&self, follows: bool) {
        let mut membership = self.shared.membership();
        if membership.own_record().follows_source != follows {
            membership.update_own_record(|own| own.follows_source = follows);
        }
    }

    /// Fetches and applies a document: the next update while following, the newest one otherwise.
    async fn update(&mut self, is_following: bool) -> Result<(), platform_log::PlatformError> {
        let fetched = if is_following {
            let turn = self.shared.membership().read_turn(FOLLOWERS, self.shared.now());
            self.source.wait_for_update(turn.wait(self.shared.clock.wall())).await?
        } else {
            self.source.newest().await?
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
        self.confirm_policy().await;
        Ok(())
    }

    /// Marks the policy as current once enough peers are known and none has a newer version; without
    /// them, after [`CONTACT_TIMEOUT`]. A source that was restored from an older copy may have
    /// returned a version with keys that have been withdrawn since.
    async fn confirm_policy(&mut self) {
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
