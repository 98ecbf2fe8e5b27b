//! Policy snapshots in the log, appended well before retention trims the records that they replace.
//!
//! There is no lease or leader: a daemon waits for a time that depends on its rank, then checks
//! again whether a snapshot is due before it writes one. Two concurrent writers are harmless.

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

/// Writes snapshots when they are due.
#[derive(Debug)]
pub struct SnapshotWriter<C: clock::Clock, L: platform_log::Log> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// The platform's log.
    pub log: L,
    /// Conditions under which a snapshot is due.
    pub schedule: Schedule,
}

/// Conditions under which a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// Number of records after the newest snapshot at which a new one is due; bounds the records
    /// that a daemon has to read after loading a snapshot.
    pub max_records: ids::Offset,
    /// Age of the newest snapshot at which a new one is due; a fraction of the log's retention.
    pub max_age: time::Duration,
    /// Delay per rank before a daemon writes.
    pub rank_delay: time::Duration,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            max_records: 128,
            max_age: time::Duration::from_secs(2 * 3600),
            rank_delay: time::Duration::from_secs(5),
        }
    }
}

lynxmast_state::value! {
    /// A snapshot record in the log.
    pub struct Snapshot {
        /// Wall-clock time of writing, in microseconds since the Unix epoch.
        pub at_us: u64,
        /// State after applying all records of the policy stream before `state.next`.
        pub state: reducer::Reducer,
    }
}

/// Time between checks of whether a snapshot is due.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Daemons that may write snapshots; limits the number of daemons that poll the log for this.
const WRITERS_MAX: usize = 5;

impl<C: clock::Clock, L: platform_log::Log> SnapshotWriter<C, L> {
    /// Writes snapshots when they are due, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        while stop.run_until_cancelled(tokio::time::sleep(CHECK_INTERVAL)).await.is_some() {
            let rank = rank(&self.shared, api::SNAPSHOT_STREAM);
            if rank >= WRITERS_MAX || !self.is_due().await {
                continue;
            }
            let delay = tokio::time::sleep(self.schedule.rank_delay * rank as u32);
            if stop.run_until_cancelled(delay).await.is_some() && self.is_due().await {
                self.write().await;
            }
        }
    }

    /// Returns `true` if there is no snapshot, or if the newest one is too old or too many records
    /// have followed it. Returns `false` if there is nothing to snapshot or the log is unavailable.
    pub async fn is_due(&self) -> bool {
        let next = self.shared.with_reducer(|reducer| reducer.next);
        if next == 0 {
            return false;
        }
        let Ok(newest) = newest(&self.log).await else { return false };
        let Some(newest) = newest else { return true };
        let age = unix_micros(self.shared.clock.wall()).saturating_sub(newest.at_us);
        next.saturating_sub(newest.state.next) >= self.schedule.max_records
            || age >= self.schedule.max_age.as_micros() as u64
    }

    /// Appends a snapshot of this daemon's state and returns whether the log confirmed it. If the
    /// response is lost, the next check tries again.
    pub async fn write(&self) -> bool {
        let at_us = unix_micros(self.shared.clock.wall());
        let state = self.shared.with_reducer(Clone::clone);
        let Ok(record) = rmp_serde::to_vec(&Snapshot { at_us, state }) else { return false };
        let appended = self.log.append(api::SNAPSHOT_STREAM, Bytes::from(record)).await;
        matches!(appended, platform_log::Append::Appended(_))
    }
}

/// Returns the snapshot that covers the most records, or `None` if the stream has none.
///
/// # Errors
///
/// Fails when the log does not respond or its response is malformed.
pub async fn newest<L: platform_log::Log>(
    log: &L,
) -> Result<Option<Snapshot>, platform_log::PlatformError> {
    let (mut from, mut newest): (_, Option<Snapshot>) = (0, None);
    loop {
        let (records, end) = match log.read(api::SNAPSHOT_STREAM, from).await? {
            platform_log::Read::Trimmed { first } if first > from => {
                from = first;
                continue;
            }
            platform_log::Read::Trimmed { .. } => {
                return Err(platform_log::PlatformError::MalformedResponse);
            }
            platform_log::Read::Records { records, end } => (records, end),
        };
        from += records.len() as ids::Offset;
        let decoded = records.iter().filter_map(|record| rmp_serde::from_slice(record).ok());
        let coverage = |snapshot: &Snapshot| (snapshot.state.next, snapshot.at_us);
        newest = decoded.chain(newest).max_by_key(coverage);
        if records.is_empty() || from >= end {
            return Ok(newest);
        }
    }
}

/// Returns this daemon's rank for a task: its position among the live daemons, starting at 0, in
/// the order that rendezvous hashing with the task's name gives.
pub fn rank<C: clock::Clock>(shared: &shared_state::SharedState<C>, task: &str) -> usize {
    let membership = shared.membership();
    let weight = |name: &str| {
        let mut hasher = hash::DefaultHasher::new();
        (task, name).hash(&mut hasher);
        hasher.finish()
    };
    let own_weight = weight(&membership.own_record().daemon);
    membership
        .live_records(shared.now())
        .filter(|record| weight(&record.daemon) < own_weight)
        .count()
}

fn unix_micros(wall: time::SystemTime) -> u64 {
    wall.duration_since(time::UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

#[cfg(test)]
mod tests;
