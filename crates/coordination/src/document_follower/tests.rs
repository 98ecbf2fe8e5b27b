//! Tests of following a source of policy documents.

use std::net;

use lynxmast_state::clock;
use lynxmast_state::member;
use lynxmast_state::membership;
use lynxmast_state::router;

use super::*;

/// Source with at most one document; counts the calls.
#[derive(Debug, Clone, Default)]
struct CountingSource {
    is_empty: bool,
    rejects_waits: bool,
    /// Calls for the newest document.
    newest: sync::Arc<atomic::AtomicU32>,
    /// Calls that wait for an update.
    waits: sync::Arc<atomic::AtomicU32>,
}

impl document_source::DocumentSource for CountingSource {
    async fn newest(
        &mut self,
    ) -> Result<Option<document_source::Revision>, platform_log::PlatformError> {
        self.newest.fetch_add(1, atomic::Ordering::AcqRel);
        let revision = document_source::Revision { version: 3, document: Default::default() };
        Ok((!self.is_empty).then_some(revision))
    }

    async fn wait_for_update(
        &mut self,
        _: time::Duration,
    ) -> Result<Option<document_source::Revision>, platform_log::PlatformError> {
        self.waits.fetch_add(1, atomic::Ordering::AcqRel);
        if self.rejects_waits {
            return Err(platform_log::PlatformError::CallFailed);
        }
        std::future::pending().await
    }
}

fn record(daemon: &str) -> member::Record {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    member::Record::new(daemon.into(), 1, "a".into(), addresses)
}

fn shared_state() -> sync::Arc<shared_state::SharedState<clock::ManualClock>> {
    let own = record("d9");
    let clock = clock::ManualClock::new();
    sync::Arc::new(shared_state::SharedState::new(own, router::Balance::LoadSeen, clock))
}

/// Longest wait for an expected call.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Waits until `expected` calls have been made, for at most [`WAIT_TIMEOUT`]. Returns `true` if
/// exactly that many have been made.
async fn wait_for_calls(count: &atomic::AtomicU32, expected: u32) -> bool {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while time::Instant::now() < deadline && count.load(atomic::Ordering::Acquire) < expected {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    count.load(atomic::Ordering::Acquire) == expected
}

#[tokio::test]
async fn a_resumed_daemon_fetches_the_newest_document_immediately() {
    let (source, shared) = (CountingSource::default(), shared_state());
    let resumed = sync::Arc::new(tokio::sync::Notify::new());
    let follower = DocumentFollower {
        shared: shared.clone(),
        source: source.clone(),
        confirmations: confirmations::Confirmations::new(shared.clone()).into(),
        state: Default::default(),
        resumed: resumed.clone(),
    };
    let stop = CancellationToken::new();
    let running = tokio::spawn(follower.run(stop.clone()));
    assert!(wait_for_calls(&source.newest, 1).await, "the document is fetched at the start");
    assert_eq!(shared.policy().version, 3);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(
        wait_for_calls(&source.newest, 1).await,
        "it is not fetched again while nothing changes"
    );
    resumed.notify_one();
    assert!(wait_for_calls(&source.newest, 2).await, "it is fetched again after a resume");
    stop.cancel();
    running.await.expect("the follower ends without a panic");
}

/// Starts a follower of `source` and returns the number of its waits after twice the time between checks
/// of its role. `others` are the daemons of its domain that follow the source.
async fn count_waits(source: CountingSource, others: &[&str]) -> u32 {
    let shared = shared_state();
    let records = others.iter().map(|name| {
        let record = record(name);
        member::Record { follows_source: true, ..record }
    });
    let message = membership::GossipMessage { records: records.collect(), ..Default::default() };
    shared.membership().apply(&message, shared.now());
    let follower = DocumentFollower {
        shared: shared.clone(),
        source: source.clone(),
        confirmations: confirmations::Confirmations::new(shared).into(),
        state: Default::default(),
        resumed: Default::default(),
    };
    let stop = CancellationToken::new();
    let running = tokio::spawn(follower.run(stop.clone()));
    tokio::time::sleep(ROLE_CHECK_INTERVAL * 2).await;
    stop.cancel();
    running.await.expect("the follower ends without a panic");
    source.waits.load(atomic::Ordering::Acquire)
}

#[test_case::test_case(&[], 1; "alone")]
#[test_case::test_case(&["d1", "d2"], 1; "third of the domain")]
#[test_case::test_case(&["d1", "d2", "d3"], 0; "fourth of the domain")]
#[tokio::test]
async fn only_the_first_daemons_of_a_domain_wait_for_the_first_document(
    others: &[&str],
    expected: u32,
) {
    let source = CountingSource { is_empty: true, ..Default::default() };
    assert_eq!(count_waits(source, others).await, expected);
}

// Guards against calls without a pause to a source that rejects waits and responds to other calls.
#[tokio::test]
async fn rejected_waits_are_repeated_with_a_backoff() {
    let source = CountingSource { is_empty: true, rejects_waits: true, ..Default::default() };
    let waits = count_waits(source, &[]).await;
    assert!((1..=10).contains(&waits), "{waits} waits in one second");
}

/// Source whose reads all fail after `read_time`.
#[derive(Debug)]
struct FailingSource {
    clock: clock::ManualClock,
    read_time: time::Duration,
    /// Times of the reads.
    reads: sync::Arc<sync::Mutex<Vec<tokio::time::Instant>>>,
}

impl document_source::DocumentSource for FailingSource {
    async fn newest(
        &mut self,
    ) -> Result<Option<document_source::Revision>, platform_log::PlatformError> {
        self.reads.lock().expect("no thread panicked").push(tokio::time::Instant::now());
        tokio::time::sleep(self.read_time).await;
        self.clock.advance(self.read_time);
        Err(platform_log::PlatformError::CallFailed)
    }

    async fn wait_for_update(
        &mut self,
        _: time::Duration,
    ) -> Result<Option<document_source::Revision>, platform_log::PlatformError> {
        panic!("a daemon does not wait for news before its first read has succeeded")
    }
}

/// Time after an outage of the source from which new versions must again be in use in time.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(3);

// Guards against daemons whose backoff outlasts an outage of the source, because they trust others that
// may have been lost meanwhile to notice its end.
#[test_case::test_case(time::Duration::from_millis(5); "rejected")]
#[test_case::test_case(time::Duration::from_millis(1500); "without response")]
#[tokio::test(start_paused = true)]
async fn a_source_that_fails_is_read_again_within_its_recovery_time(read_time: time::Duration) {
    let shared = shared_state();
    let records = ["d1", "d2", "d3"].map(record);
    let message = membership::GossipMessage { records: records.into(), ..Default::default() };
    shared.membership().apply(&message, shared.now());
    let reads = sync::Arc::default();
    let follower = DocumentFollower {
        source: FailingSource {
            clock: shared.clock.clone(),
            read_time,
            reads: sync::Arc::clone(&reads),
        },
        confirmations: confirmations::Confirmations::new(shared.clone()).into(),
        shared,
        state: Default::default(),
        resumed: Default::default(),
    };
    let stop = CancellationToken::new();
    let running = tokio::spawn(follower.run(stop.clone()));
    tokio::time::sleep(RECOVERY_TIME * 20).await;
    stop.cancel();
    running.await.expect("the follower ends without a panic");
    let reads = reads.lock().expect("no thread panicked");
    let gaps: Vec<_> = reads.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let longest = gaps.iter().max().expect("several reads");
    assert!(*longest < RECOVERY_TIME, "{longest:?} between two reads");
    assert!(gaps.len() < 60, "{} reads in 60 s", gaps.len());
}
