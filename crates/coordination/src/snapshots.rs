//! Snapshots of the policy in the log, appended in good time before retention trims the records
//! that they stand for. There is no lease: daemons wait in the order of their rank and look again
//! before they write; two writers are harmless.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync;
use std::time;

use bytes::Bytes;
use lynxmast_protocol::log as api;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::policy::reducer;
use lynxmast_state::shared_state;
use tokio_util::sync::CancellationToken;

use crate::platform_log;

/// Reads and writes snapshots.
#[derive(Debug)]
pub struct Snapshots<C: clock::Clock, L: platform_log::Log> {
    /// Shared tables.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// The platform's log.
    pub log: L,
    /// When a snapshot is due.
    pub due: Due,
}

/// When a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Due {
    /// Records that a daemon may have to read after the newest snapshot.
    pub records: ids::Offset,
    /// Age of the newest snapshot; a fraction of the log's retention.
    pub age: time::Duration,
    /// Wait of each rank before it writes.
    pub step: time::Duration,
}

impl Default for Due {
    fn default() -> Self {
        Self {
            records: 128,
            age: time::Duration::from_secs(2 * 3600),
            step: time::Duration::from_secs(5),
        }
    }
}

lynxmast_state::value! {
    /// A snapshot as it stands in the log.
    pub struct Snapshot {
        /// Microseconds of wall-clock time since the epoch at which it was written.
        pub at_us: u64,
        /// State after a prefix of the policy stream.
        pub state: reducer::Reducer,
    }
}

/// Time between looks at the snapshot stream.
const LOOK_EVERY: time::Duration = time::Duration::from_secs(10);
/// Daemons that may write snapshots; a bounded number asks the log.
const WRITERS: usize = 5;

impl<C: clock::Clock, L: platform_log::Log> Snapshots<C, L> {
    /// Writes snapshots when they are due, until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        while stop.run_until_cancelled(tokio::time::sleep(LOOK_EVERY)).await.is_some() {
            let rank = rank(&self.shared, api::SNAPSHOT_STREAM);
            if rank >= WRITERS || !self.is_due().await {
                continue;
            }
            let turn = tokio::time::sleep(self.due.step * rank as u32);
            if stop.run_until_cancelled(turn).await.is_some() && self.is_due().await {
                self.write().await;
            }
        }
    }

    /// Tells whether the newest snapshot is too old or covers too little; `false` while the log
    /// does not answer.
    pub async fn is_due(&self) -> bool {
        let next = self.shared.with_reducer(|reducer| reducer.next);
        if next == 0 {
            return false;
        }
        let Ok(newest) = newest(&self.log).await else { return false };
        let Some(newest) = newest else { return true };
        let age = micros(self.shared.clock.wall()).saturating_sub(newest.at_us);
        next.saturating_sub(newest.state.next) >= self.due.records
            || age >= self.due.age.as_micros() as u64
    }

    /// Appends the state of this daemon; a lost answer is repeated by the next look.
    pub async fn write(&self) -> bool {
        let at_us = micros(self.shared.clock.wall());
        let state = self.shared.with_reducer(Clone::clone);
        let Ok(record) = rmp_serde::to_vec(&Snapshot { at_us, state }) else { return false };
        let appended = self.log.append(api::SNAPSHOT_STREAM, Bytes::from(record)).await;
        matches!(appended, platform_log::Append::At(_))
    }
}

/// Returns the snapshot that covers most, or `None` if the stream holds none.
///
/// # Errors
///
/// Fails when the log does not answer.
pub async fn newest<L: platform_log::Log>(
    log: &L,
) -> Result<Option<Snapshot>, platform_log::Unavailable> {
    let (mut from, mut newest): (_, Option<Snapshot>) = (0, None);
    loop {
        let (records, end) = match log.read(api::SNAPSHOT_STREAM, from).await? {
            platform_log::Read::Trimmed { first } if first > from => {
                from = first;
                continue;
            }
            platform_log::Read::Trimmed { .. } => return Err(platform_log::Unavailable::BadAnswer),
            platform_log::Read::Records { records, end } => (records, end),
        };
        from += records.len() as ids::Offset;
        let read = records.iter().filter_map(|record| rmp_serde::from_slice(record).ok());
        let covers = |snapshot: &Snapshot| (snapshot.state.next, snapshot.at_us);
        newest = read.chain(newest).max_by_key(covers);
        if records.is_empty() || from >= end {
            return Ok(newest);
        }
    }
}

/// Returns the place of this daemon among live ones by rendezvous hash of a task's name.
pub fn rank<C: clock::Clock>(shared: &shared_state::SharedState<C>, task: &str) -> usize {
    let members = shared.membership();
    let weight = |name: &str| {
        let mut hasher = hash::DefaultHasher::new();
        (task, name).hash(&mut hasher);
        hasher.finish()
    };
    let own = weight(&members.own().daemon);
    members.live_records(shared.now()).filter(|record| weight(&record.daemon) < own).count()
}

fn micros(wall: time::SystemTime) -> u64 {
    wall.duration_since(time::UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

#[cfg(test)]
mod tests;
