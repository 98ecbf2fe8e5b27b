//! Tests of the heartbeats that are accepted soon after a start.

use test_case::test_case;

use super::*;

const DELAY_MAX: time::Duration = time::Duration::from_secs(6);
const STARTED_MS: u64 = 1_000_000;

// Guards against a late heartbeat that is accepted, and against a backend server that waits although it
// cannot have departed.
#[test_case(STARTED_MS - 60_000, 0, 6000; "started long before, at the start")]
#[test_case(STARTED_MS - 60_000, 2500, 3500; "started long before, later")]
#[test_case(STARTED_MS - 60_000, 6000, 0; "started long before, after the longest delay")]
#[test_case(STARTED_MS - 1001, 0, 6000; "started just before")]
#[test_case(STARTED_MS - 1000, 0, 0; "started together with the daemon")]
#[test_case(STARTED_MS + 10, 0, 0; "started later")]
#[test_case(0, 0, 6000; "unknown start")]
fn a_heartbeat_waits_while_its_sender_may_have_departed(
    incarnation: u64,
    elapsed_ms: u64,
    expected_ms: u64,
) {
    let started = time::Instant::now();
    let wall = time::UNIX_EPOCH + time::Duration::from_millis(STARTED_MS);
    let history = History::new(started, wall, DELAY_MAX);
    let now = started + time::Duration::from_millis(elapsed_ms);
    assert_eq!(history.wait(incarnation, now), time::Duration::from_millis(expected_ms));
    assert_eq!(history.is_over(now), elapsed_ms >= DELAY_MAX.as_millis() as u64);
}
