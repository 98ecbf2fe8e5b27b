//! Follows a source of whole documents; other daemons stand in while it does not answer.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::shared_state;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::document_source;
use crate::follower;
use crate::peer_policy;
use crate::platform_log;

/// Keeps a daemon's policy at the newest document.
#[derive(Debug)]
pub struct DocumentFollower<C: clock::Clock, S: document_source::DocumentSource> {
    /// Shared tables.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Where documents are published.
    pub source: S,
    /// Whether the source answers.
    pub state: sync::Arc<follower::FollowerState>,
    /// Tells that what was heard before may be old; the newest document is asked for at once.
    pub resumed: sync::Arc<tokio::sync::Notify>,
}

/// Keeps a daemon's policy at what its peers know.
#[derive(Debug)]
pub struct PeerFollower<C: clock::Clock> {
    /// What other daemons know.
    pub peers: peer_policy::PeerPolicy<C>,
    /// Asks to look now.
    pub wake: sync::Arc<tokio::sync::Notify>,
}

/// Time between looks at what peers know; asking a peer is needed only if one is ahead.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(100);
/// Daemons of a failure domain that follow the source; calls to it are priced.
const FOLLOWERS: usize = 3;
/// Daemons of a failure domain whose answers from the source are enough for the others there.
const FOLLOWERS_MIN: usize = 2;
/// Time between looks at whether this daemon has to follow.
const NEEDED_EVERY: time::Duration = time::Duration::from_millis(500);
/// Pause after the first failure of the source; doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: time::Duration = time::Duration::from_millis(200);
/// Longest pause between calls to a source that fails; below the time in which a configuration
/// has to be in force, so that a source that is back is noticed in time.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(1500);

impl<C: clock::Clock, S: document_source::DocumentSource> DocumentFollower<C, S> {
    /// Follows until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut pause = PAUSE_MIN;
        let mut is_following = false;
        while !stop.is_cancelled() {
            if !self.is_needed() {
                is_following = false;
                self.tell(false);
                stop.run_until_cancelled(tokio::time::sleep(NEEDED_EVERY)).await;
                continue;
            }
            let resumed = self.resumed.clone();
            let step = tokio::select! {
                step = self.step(is_following) => step,
                () = resumed.notified() => {
                    is_following = false;
                    continue;
                }
                () = stop.cancelled() => return,
            };
            is_following = step.is_ok();
            self.tell(is_following && self.is_needed());
            self.note(&step);
            if step.is_ok() {
                pause = PAUSE_MIN;
                continue;
            }
            let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.0));
            stop.run_until_cancelled(tokio::time::sleep(jittered)).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// Tells whether this daemon has to follow the source itself: until it has a policy, as one of
    /// the first of its failure domain, or while too few others there can. The rest learn from them.
    fn is_needed(&self) -> bool {
        if !self.shared.is_current() {
            return true;
        }
        let followers = self.shared.membership().domain_followers(self.shared.now());
        followers.preceding < FOLLOWERS || followers.following < FOLLOWERS_MIN
    }

    /// Tells the other daemons whether this one follows the source.
    fn tell(&self, follows: bool) {
        let mut members = self.shared.membership();
        if members.own().follows_source != follows {
            members.update_own(|own| own.follows_source = follows);
        }
    }

    async fn step(&mut self, is_following: bool) -> Result<(), platform_log::Unavailable> {
        let found =
            if is_following { self.source.wait().await? } else { self.source.newest().await? };
        if let Some(found) = found {
            let document_source::Versioned { version, document } = found;
            self.shared.update_policy(|reducer| {
                if version > reducer.version {
                    (reducer.version, reducer.next) = (version, version);
                    reducer.document = document;
                }
            });
        }
        if self.shared.view().version > 0 {
            self.shared.mark_current();
        }
        Ok(())
    }

    fn note(&self, step: &Result<(), platform_log::Unavailable>) {
        let answers = step.is_ok();
        let before = self.state.log_answers.swap(answers, atomic::Ordering::AcqRel);
        if before == answers {
            return;
        }
        let kind = if answers { event::Kind::LogBack } else { event::Kind::LogLost };
        match step {
            Ok(()) => log::info!(event = "store-back"; "{kind}"),
            Err(error) => log::warn!(event = "store-lost", reason:% = error; "{kind}"),
        }
        self.shared.record_event(kind);
    }
}

impl<C: clock::Clock> PeerFollower<C> {
    /// Follows until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.peers.learn().await;
            tokio::select! {
                () = tokio::time::sleep(LOOK_EVERY) => {}
                () = self.wake.notified() => {}
                () = stop.cancelled() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
