//! Tests of how long responses are held.

use test_case::test_case;

use super::*;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Guards against a first byte that is delayed by more than a quarter of what the caller allows, on
/// links of 17 Mbit/s (2.1 MB/s) and slower.
#[test_case(64 * 1024, None, Some(millis(0)), Plan::Hold; "small after its objective")]
#[test_case(90_000, None, Some(SECOND), Plan::HoldFor(millis(250)); "speed not known")]
#[test_case(90_000, None, None, Plan::HoldFor(SECOND); "no objective")]
#[test_case(90_000, None, Some(millis(0)), Plan::HoldFor(SECOND); "objective missed")]
#[test_case(90_000, Some(2_100_000), Some(SECOND), Plan::HoldFor(millis(250)); "average size")]
#[test_case(540_000, Some(2_100_000), Some(SECOND), Plan::Stream; "largest at 17 Mbit per s")]
#[test_case(540_000, Some(2_100_000), Some(SECOND * 2), Plan::HoldFor(millis(500)); "largest and patient")]
#[test_case(90_000, Some(210_000), Some(SECOND), Plan::Stream; "ten at a time on the link")]
fn large_responses_are_held_for_a_quarter_of_the_time_left(
    size: u64,
    bytes_per_second: Option<u64>,
    objective_left: Option<time::Duration>,
    expected: Plan,
) {
    let now = time::Instant::now();
    let mut speed = Speed::default();
    if let Some(bytes) = bytes_per_second {
        speed.record(bytes, SECOND, now);
    }
    assert_eq!(speed.plan(size, objective_left, SECOND * 4, now), expected);
}

/// Guards against holding beyond the deadline.
#[test]
fn nothing_large_is_held_after_the_deadline() {
    let now = time::Instant::now();
    let plan = Speed::default().plan(90_000, Some(SECOND), time::Duration::ZERO, now);
    assert_eq!(plan, Plan::Stream);
}

/// Guards against a slow moment after which no response is ever held again.
#[test]
fn a_slow_measurement_expires() {
    let now = time::Instant::now();
    let mut speed = Speed::default();
    speed.record(100_000, SECOND * 10, now);
    assert_eq!(speed.plan(90_000, Some(SECOND), SECOND, now), Plan::Stream);
    let later = now + MEASUREMENT_AGE_MAX + millis(1);
    assert_eq!(speed.plan(90_000, Some(SECOND), SECOND, later), Plan::HoldFor(millis(250)));
}

/// Guards against one slow response that decides for all that follow it.
#[test]
fn one_slow_response_counts_a_quarter() {
    let now = time::Instant::now();
    let mut speed = Speed::default();
    speed.record(1_000_000, SECOND, now);
    speed.record(1_000_000, SECOND * 3, now);
    assert_eq!(speed.current(now), Some(1.5e-6));
}
