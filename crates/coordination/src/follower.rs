//! Follows the policy: a few daemons read the log, the others learn from them.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::log as api;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::policy::edit;
use lynxmast_state::shared_state;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::peer_policy;
use crate::platform_log;
use crate::snapshots;

/// Keeps one daemon's policy current.
#[derive(Debug)]
pub struct Follower<C: clock::Clock, L: platform_log::Log> {
    /// Shared tables.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// What other daemons know of the policy.
    pub peers: peer_policy::PeerPolicy<C>,
    /// The platform's log.
    pub log: L,
    /// Wakes the follower when a request showed that there is a newer version.
    pub wake: sync::Arc<tokio::sync::Notify>,
    /// State told to operators.
    pub state: sync::Arc<FollowerState>,
}

/// What operators are told of the follower.
#[derive(Debug, Default)]
pub struct FollowerState {
    /// Whether the log answered when last asked.
    pub log_answers: atomic::AtomicBool,
}

/// Time between looks for a newer version.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(500);
/// Daemons that read the log for all.
const READERS: usize = 5;
/// Looks after which a daemon that is no reader asks the log itself.
const LOOKS_PER_READ: u32 = 60;

impl<C: clock::Clock, L: platform_log::Log> Follower<C, L> {
    /// Runs until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut looks = rand::rng().random_range(0..LOOKS_PER_READ);
        while !stop.is_cancelled() {
            looks = looks.wrapping_add(1);
            self.peers.learn().await;
            let is_current = self.shared.is_current();
            let is_reader = snapshots::rank(&self.shared, api::POLICY_STREAM) < READERS;
            if is_reader || !is_current || looks.is_multiple_of(LOOKS_PER_READ) {
                self.read_log().await;
            }
            tokio::select! {
                () = tokio::time::sleep(LOOK_EVERY) => {}
                () = self.wake.notified() => {}
                () = stop.cancelled() => {}
            }
        }
    }

    pub(crate) async fn read_log(&self) {
        loop {
            let from = self.shared.with_reducer(|reducer| reducer.next);
            let read = self.log.read(api::POLICY_STREAM, from).await;
            self.note_log(read.is_ok());
            match read {
                Ok(platform_log::Read::Records { records, end }) => {
                    let count = records.len() as ids::Offset;
                    for (offset, record) in (from..).zip(records) {
                        self.apply_bytes(offset, &record);
                    }
                    if from + count >= end || count == 0 {
                        self.shared.mark_current();
                        return;
                    }
                }
                Ok(platform_log::Read::Trimmed { first }) => {
                    if !self.load_snapshot(first).await {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    /// Takes the newest snapshot; tells whether reading can go on from there.
    ///
    /// A snapshot never lowers the version, and one that leaves a gap to the oldest record kept
    /// is no use: a peer may still have what is missing.
    async fn load_snapshot(&self, first: ids::Offset) -> bool {
        let Ok(Some(newest)) = snapshots::newest(&self.log).await else { return false };
        if newest.state.next < first {
            log::warn!(first, covered = newest.state.next; "policy records are missing in the log");
            return false;
        }
        self.shared.update_policy(|reducer| *reducer = newest.state);
        self.shared.with_reducer(|reducer| reducer.next) >= first
    }

    fn note_log(&self, answers: bool) {
        let before = self.state.log_answers.swap(answers, atomic::Ordering::AcqRel);
        if before != answers {
            let kind = if answers { event::Kind::LogBack } else { event::Kind::LogLost };
            log::info!(event = kind.as_str(); "{kind}");
            self.shared.record_event(kind);
        }
    }

    fn apply_bytes(&self, offset: ids::Offset, record: &[u8]) {
        match rmp_serde::from_slice::<edit::Edit>(record) {
            Ok(edit) => self.peers.apply(offset, edit),
            Err(error) => {
                log::warn!(offset; "unreadable policy record passed over: {error}");
                self.shared.update_policy(|reducer| reducer.skip(offset));
            }
        }
    }
}
