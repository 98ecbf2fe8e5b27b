//! Tests of snapshots and of following the log, with an in-memory log.

use std::net;
use std::sync;

use lynxmast_protocol::control;
use lynxmast_state::member;
use lynxmast_state::policy::edit;
use lynxmast_state::router;

use super::*;
use crate::control_client;
use crate::history;
use crate::log_follower;
use crate::peer_sync;
use crate::platform_log::Log;

/// An in-memory log that is trimmed on request.
#[derive(Debug, Clone, Default)]
struct FakeLog {
    streams: sync::Arc<sync::Mutex<indexmap::IndexMap<String, Stream>>>,
}

#[derive(Debug, Default)]
struct Stream {
    first: ids::Offset,
    records: Vec<Vec<u8>>,
}

impl FakeLog {
    fn with<R>(&self, stream: &str, f: impl FnOnce(&mut Stream) -> R) -> R {
        let mut streams = self.streams.lock().expect("no thread panicked while holding the lock");
        f(streams.entry(stream.to_owned()).or_default())
    }

    fn trim(&self, stream: &str, first: ids::Offset) {
        self.with(stream, |stream| {
            stream.records.drain(..(first - stream.first) as usize);
            stream.first = first;
        });
    }
}

impl platform_log::Log for FakeLog {
    async fn append(&self, stream: &str, record: Bytes) -> platform_log::Append {
        self.with(stream, |stream| {
            stream.records.push(record.to_vec());
            platform_log::Append::Appended(stream.first + stream.records.len() as u64 - 1)
        })
    }

    async fn read(
        &self,
        stream: &str,
        from: ids::Offset,
    ) -> Result<platform_log::Read, platform_log::PlatformError> {
        self.with(stream, |stream| {
            let first = stream.first;
            if from < first {
                return Ok(platform_log::Read::Trimmed { first });
            }
            let records = stream.records.iter().skip((from - first) as usize).cloned().collect();
            let end = first + stream.records.len() as u64;
            Ok(platform_log::Read::Records { records, end })
        })
    }
}

type Shared = sync::Arc<shared_state::SharedState<clock::ManualClock>>;

fn shared_state(clock: &clock::ManualClock) -> Shared {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    let own = member::Record::new("d1".into(), 1, "a".into(), addresses);
    sync::Arc::new(shared_state::SharedState::new(own, router::Balance::LoadSeen, clock.clone()))
}

async fn publish(log: &FakeLog, number: u64, base: u64) {
    let text = format!("team = 't'\n[[service]]\nname = 's{number}'\n");
    let edit = {
        let (id, team) = (number.to_string(), "t".into());
        edit::Edit { id, team, base, text, signature: String::new() }
    };
    let record = rmp_serde::to_vec(&edit).expect("edits encode");
    log.append(api::POLICY_STREAM, Bytes::from(record)).await;
}

/// Reads the log once and returns the version of the active policy.
async fn follow(shared: &Shared, log: &FakeLog) -> ids::PolicyVersion {
    let sender = control::Sender { daemon: "d1".into(), secret: String::new() };
    let peers = peer_sync::PeerSync {
        shared: shared.clone(),
        client: sync::Arc::new(control_client::ControlClient::new(sender)),
        history: sync::Arc::new(history::History::default()),
    };
    let follower = log_follower::LogFollower {
        shared: shared.clone(),
        log: log.clone(),
        peers,
        wake: Default::default(),
        state: Default::default(),
    };
    follower.read_log().await;
    shared.policy().version
}

fn snapshot_writer(shared: &Shared, log: &FakeLog) -> SnapshotWriter<clock::ManualClock, FakeLog> {
    let schedule = Schedule {
        max_records: 3,
        max_age: time::Duration::from_secs(60),
        rank_delay: time::Duration::ZERO,
    };
    SnapshotWriter { shared: shared.clone(), log: log.clone(), schedule }
}

#[tokio::test]
async fn a_snapshot_replaces_trimmed_records() {
    let (log, clock) = (FakeLog::default(), clock::ManualClock::new());
    let writer = shared_state(&clock);
    for n in 0..5 {
        publish(&log, n, n).await;
    }
    assert_eq!(follow(&writer, &log).await, 5);
    assert!(snapshot_writer(&writer, &log).write().await);
    publish(&log, 5, 5).await;
    log.trim(api::POLICY_STREAM, 5);
    let reader = shared_state(&clock);
    assert_eq!(follow(&reader, &log).await, 6);
    assert!(reader.is_current());
    let daemons = [&writer, &reader];
    follow(&writer, &log).await;
    let [a, b] = daemons.map(|shared| shared.with_reducer(Clone::clone));
    assert_eq!(a, b, "loading a snapshot gives the same state as reading every record");
}

#[tokio::test]
async fn records_missing_after_the_snapshot_are_not_skipped() {
    let (log, clock) = (FakeLog::default(), clock::ManualClock::new());
    let writer = shared_state(&clock);
    publish(&log, 0, 0).await;
    follow(&writer, &log).await;
    assert!(snapshot_writer(&writer, &log).write().await);
    publish(&log, 1, 1).await;
    publish(&log, 2, 2).await;
    log.trim(api::POLICY_STREAM, 2);
    let reader = shared_state(&clock);
    assert_eq!(follow(&reader, &log).await, 0);
    assert!(!reader.is_current(), "a daemon that lacks records must not serve");
}

#[tokio::test]
async fn an_older_snapshot_does_not_replace_a_newer_state() {
    let (log, clock) = (FakeLog::default(), clock::ManualClock::new());
    let old = shared_state(&clock);
    publish(&log, 0, 0).await;
    follow(&old, &log).await;
    let newer = shared_state(&clock);
    publish(&log, 1, 1).await;
    publish(&log, 2, 2).await;
    assert_eq!(follow(&newer, &log).await, 3);
    assert!(snapshot_writer(&newer, &log).write().await);
    assert!(
        snapshot_writer(&old, &log).write().await,
        "a delayed writer appends an older snapshot"
    );
    let newest = newest(&log).await.expect("the log responds").expect("a snapshot");
    assert_eq!(newest.state.version, 3);
    let stale = old.with_reducer(Clone::clone);
    newer.update_policy(|reducer| *reducer = stale);
    assert_eq!(newer.policy().version, 3);
}

#[tokio::test]
async fn snapshots_are_due_by_records_and_by_age() {
    let (log, clock) = (FakeLog::default(), clock::ManualClock::new());
    let shared = shared_state(&clock);
    let writer = snapshot_writer(&shared, &log);
    assert!(!writer.is_due().await, "there is no state yet");
    publish(&log, 0, 0).await;
    follow(&shared, &log).await;
    assert!(writer.is_due().await, "there is no snapshot");
    assert!(writer.write().await);
    assert!(!writer.is_due().await);
    for n in 1..4 {
        publish(&log, n, n).await;
    }
    follow(&shared, &log).await;
    assert!(writer.is_due().await, "three records follow the snapshot");
    assert!(writer.write().await);
    clock.advance(time::Duration::from_secs(59));
    assert!(!writer.is_due().await);
    clock.advance(time::Duration::from_secs(1));
    assert!(writer.is_due().await, "the snapshot has reached its maximum age");
}
