//! Tests of following a source of policy documents.

use std::net;

use lynxmast_state::clock;
use lynxmast_state::member;
use lynxmast_state::router;

use super::*;

/// Source with a single document; counts the calls for the newest document.
#[derive(Debug, Clone, Default)]
struct CountingSource(sync::Arc<atomic::AtomicU32>);

impl document_source::DocumentSource for CountingSource {
    async fn newest(
        &mut self,
    ) -> Result<Option<document_source::Revision>, platform_log::PlatformError> {
        self.0.fetch_add(1, atomic::Ordering::AcqRel);
        let document = Default::default();
        Ok(Some(document_source::Revision { version: 3, document }))
    }

    async fn wait_for_update(
        &mut self,
        _: time::Duration,
    ) -> Result<Option<document_source::Revision>, platform_log::PlatformError> {
        std::future::pending().await
    }
}

fn shared_state() -> sync::Arc<shared_state::SharedState<clock::ManualClock>> {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    let own = member::Record::new("d1".into(), 1, "a".into(), addresses);
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
        state: Default::default(),
        resumed: resumed.clone(),
    };
    let stop = CancellationToken::new();
    let running = tokio::spawn(follower.run(stop.clone()));
    assert!(wait_for_calls(&source.0, 1).await, "the document is fetched at the start");
    assert_eq!(shared.policy().version, 3);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(wait_for_calls(&source.0, 1).await, "it is not fetched again while nothing changes");
    resumed.notify_one();
    assert!(wait_for_calls(&source.0, 2).await, "it is fetched again after a resume");
    stop.cancel();
    running.await.expect("the follower ends without a panic");
}
