//! Follows the policy log: a few daemons read it, and the others fetch the policy from them.

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

use crate::peer_sync;
use crate::platform_log;
use crate::snapshots;

/// Keeps one daemon's policy up to date with the log.
#[derive(Debug)]
pub struct LogFollower<C: clock::Clock, L: platform_log::Log> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Fetches the policy from other daemons.
    pub peers: peer_sync::PeerSync<C>,
    /// The platform's log.
    pub log: L,
    /// Wakes the follower when a request has shown that there is a newer version, or when the VM
    /// resumes after a suspension.
    pub wake: sync::Arc<tokio::sync::Notify>,
    /// State reported to operators.
    pub state: sync::Arc<FollowerState>,
}

/// State of a follower that is reported to operators.
#[derive(Debug, Default)]
pub struct FollowerState {
    /// Whether the last call to the source of the policy (log or store) succeeded.
    pub source_reachable: atomic::AtomicBool,
}

/// Time between checks for a newer version.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Daemons that read the log at every poll, on behalf of all others.
const READERS: usize = 5;
/// Polls after which a daemon that is not a reader reads the log itself.
const POLLS_PER_READ: u32 = 60;

impl<C: clock::Clock, L: platform_log::Log> LogFollower<C, L> {
    /// Follows the log until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut polls = rand::rng().random_range(0..POLLS_PER_READ);
        while !stop.is_cancelled() {
            polls = polls.wrapping_add(1);
            self.peers.sync().await;
            let is_current = self.shared.is_current();
            let is_reader = snapshots::rank(&self.shared, api::POLICY_STREAM) < READERS;
            if is_reader || !is_current || polls.is_multiple_of(POLLS_PER_READ) {
                self.read_log().await;
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = self.wake.notified() => {}
                () = stop.cancelled() => {}
            }
        }
    }

    /// Reads and applies all records after the current state, and marks the policy as current once
    /// the end of the log is reached.
    pub(crate) async fn read_log(&self) {
        loop {
            let from = self.shared.with_reducer(|reducer| reducer.next);
            let read = self.log.read(api::POLICY_STREAM, from).await;
            self.record_reachability(read.is_ok());
            match read {
                Ok(platform_log::Read::Records { records, end }) => {
                    let count = records.len() as ids::Offset;
                    for (offset, record) in (from..).zip(records) {
                        self.apply_encoded(offset, &record);
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

    /// Loads the newest snapshot. Returns `true` if the records from offset `first` on can be
    /// applied to the resulting state.
    ///
    /// A snapshot never lowers the version. A snapshot that ends before `first`, the oldest record
    /// kept, is ignored, since it would leave a gap; a peer may still have the missing records.
    async fn load_snapshot(&self, first: ids::Offset) -> bool {
        let Ok(Some(newest)) = snapshots::newest(&self.log).await else { return false };
        if newest.state.next < first {
            log::warn!(
                first, covered = newest.state.next;
                "policy records between the snapshot and the log's oldest record are missing"
            );
            return false;
        }
        self.shared.update_policy(|reducer| *reducer = newest.state);
        self.shared.with_reducer(|reducer| reducer.next) >= first
    }

    fn record_reachability(&self, is_reachable: bool) {
        let was_reachable =
            self.state.source_reachable.swap(is_reachable, atomic::Ordering::AcqRel);
        if was_reachable != is_reachable {
            let kind = if is_reachable { event::Kind::LogBack } else { event::Kind::LogLost };
            log::info!(event = kind.as_str(); "{kind}");
            self.shared.record_event(kind);
        }
    }

    fn apply_encoded(&self, offset: ids::Offset, record: &[u8]) {
        match rmp_serde::from_slice::<edit::Edit>(record) {
            Ok(edit) => self.peers.apply(offset, edit),
            Err(error) => {
                log::warn!(offset; "skipped malformed policy record: {error}");
                self.shared.update_policy(|reducer| reducer.skip(offset));
            }
        }
    }
}
