//! Tests of the requests that wait at an upstream.

use std::net;

use lynxmast_state::outcome;
use lynxmast_state::priority;
use lynxmast_state::running;

use super::*;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn upstream(slots: u32, now: time::Instant) -> sync::Arc<Upstream<clock::SystemClock>> {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1));
    let id = ids::UpstreamId { service: "checkout".into(), address };
    let limits =
        admission::Limits { slots, queue: 16, max_wait: SECOND, ramp: time::Duration::ZERO };
    let lease =
        lease::Lease { incarnation: 1, instance: None, sequence: 0, slots: None, renewed: now };
    sync::Arc::new(Upstream::new(id, limits, lease, clock::SystemClock))
}

fn arrival(risk: outlier::RiskTolerance, now: time::Instant) -> admission::Arrival {
    admission::Arrival {
        organisation: "public".into(),
        weight: 1,
        deadline: now + SECOND,
        priority: priority::Priority::default(),
        risk,
    }
}

// Pattern: an upstream with a full queue starts to fail its requests at once.
#[tokio::test]
async fn the_queue_of_an_upstream_that_becomes_suspected_is_not_run_there() {
    let now = time::Instant::now();
    let upstream = upstream(1, now);
    let running = upstream.admit(&arrival(outlier::RiskTolerance::Avoid, now), false, now).await;
    let running = running.expect("the slot is free");
    let queued = [outlier::RiskTolerance::Avoid, outlier::RiskTolerance::Accept].map(|risk| {
        let upstream = upstream.clone();
        tokio::spawn(async move { upstream.admit(&arrival(risk, now), false, now).await.map(drop) })
    });
    while upstream.load(now).queued < 2 {
        tokio::task::yield_now().await;
    }
    upstream.record_result(false);
    drop(running);
    let [avoiding, accepting] = queued;
    assert_eq!(avoiding.await.expect("no panic"), Err(outcome::Rejection::Suspected));
    assert_eq!(accepting.await.expect("no panic"), Ok(()));
}

/// Guards against calls that are attributed to a request that has already ended.
#[tokio::test]
async fn a_request_can_be_the_parent_of_calls_while_it_holds_its_slot() {
    let now = time::Instant::now();
    let deadline = now + SECOND;
    let upstream = upstream(1, now);
    let slot = upstream.admit(&arrival(outlier::RiskTolerance::Avoid, now), false, now).await;
    let request = running::Running {
        deadline,
        organisation: "a".into(),
        rank: 1,
        objective: None,
        route: None,
    };
    let slot = slot.expect("the slot is free").with_running(request.clone());
    let call = deadline + time::Duration::from_millis(2);
    let found = upstream.find_parent(call);
    assert_eq!(found, Some((time::Duration::from_millis(2), request)));
    drop(slot);
    assert_eq!(upstream.find_parent(call), None);
}
