//! Tests of following a source of documents.

use std::net;

use lynxmast_state::clock;
use lynxmast_state::member;
use lynxmast_state::router;

use super::*;

/// Counts the questions for the newest document and never has another one.
#[derive(Debug, Clone, Default)]
struct Source(sync::Arc<atomic::AtomicU32>);

impl document_source::DocumentSource for Source {
    async fn newest(
        &mut self,
    ) -> Result<Option<document_source::Versioned>, platform_log::Unavailable> {
        self.0.fetch_add(1, atomic::Ordering::AcqRel);
        let document = Default::default();
        Ok(Some(document_source::Versioned { version: 3, document }))
    }

    async fn wait(
        &mut self,
    ) -> Result<Option<document_source::Versioned>, platform_log::Unavailable> {
        std::future::pending().await
    }
}

fn shared() -> sync::Arc<shared_state::SharedState<clock::ManualClock>> {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    let own = member::Record::new("d1".into(), 1, "a".into(), addresses);
    let clock = clock::ManualClock::new();
    sync::Arc::new(shared_state::SharedState::new(own, router::Balance::LoadSeen, clock))
}

/// Longest wait for a question that is due.
const SOON: time::Duration = time::Duration::from_secs(2);

async fn reaches(count: &atomic::AtomicU32, wanted: u32) -> bool {
    let until = time::Instant::now() + SOON;
    while time::Instant::now() < until && count.load(atomic::Ordering::Acquire) < wanted {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    count.load(atomic::Ordering::Acquire) == wanted
}

#[tokio::test]
async fn a_daemon_that_was_suspended_asks_for_the_newest_document_at_once() {
    let (source, shared) = (Source::default(), shared());
    let resumed = sync::Arc::new(tokio::sync::Notify::new());
    let follower = DocumentFollower {
        shared: shared.clone(),
        source: source.clone(),
        state: Default::default(),
        resumed: resumed.clone(),
    };
    let stop = CancellationToken::new();
    let running = tokio::spawn(follower.run(stop.clone()));
    assert!(reaches(&source.0, 1).await, "it asks when it starts");
    assert_eq!(shared.view().version, 3);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(reaches(&source.0, 1).await, "it waits while nothing changes");
    resumed.notify_one();
    assert!(reaches(&source.0, 2).await, "it asks again");
    stop.cancel();
    running.await.expect("it ends");
}
