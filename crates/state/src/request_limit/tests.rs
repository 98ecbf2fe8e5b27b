//! Tests of changed, low and missing limits, and of the report of the remaining room.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use test_case::test_case;

use super::*;

/// Starts as many requests as possible for 20 s, polled every 100 ms, and returns the largest number
/// in a window of 4 s and the total. `limits` holds the times in milliseconds at which limits are
/// named.
fn run(limits: &[(u64, Option<f64>)]) -> (usize, usize) {
    let start = Instant::now();
    let mut limiter = RequestLimiter::default();
    let mut started: Vec<u64> = Vec::new();
    for at in (0..20_000).step_by(100) {
        let now = start + Duration::from_millis(at);
        for (_, limit) in limits.iter().filter(|(named, _)| *named == at) {
            limiter.set_limit(*limit, now);
        }
        // Four slots without a limit.
        for _ in 0..4 {
            if limiter.wait(1, now).is_zero() {
                limiter.charge(now);
                started.push(at);
            }
        }
    }
    let last_change = limits.last().map_or(0, |(at, _)| *at);
    let counted: Vec<u64> = started.into_iter().filter(|at| *at >= last_change).collect();
    let in_window =
        |&from: &u64| counted.iter().filter(|at| (from..from + 4_000).contains(at)).count();
    (counted.iter().map(in_window).max().unwrap_or(0), counted.len())
}

#[test_case(&[], 160, 800; "no limit")]
#[test_case(&[(0, Some(1.0))], 5, 19; "one a second")]
#[test_case(&[(0, Some(3.3))], 14, 65; "more than one a second")]
#[test_case(&[(0, Some(10.0))], 42, 198; "as fast as the poll")]
#[test_case(&[(0, Some(0.5))], 2, 9; "less than one a second")]
#[test_case(&[(0, Some(0.0))], 1, 3; "zero")]
#[test_case(&[(0, Some(5.0)), (10_000, Some(1.0))], 5, 10; "lowered")]
#[test_case(&[(0, Some(1.0)), (10_000, Some(5.0))], 21, 50; "raised")]
#[test_case(&[(0, Some(1.0)), (10_000, None)], 160, 400; "no longer named")]
fn a_limit_is_kept_and_used(limits: &[(u64, Option<f64>)], window: usize, total: usize) {
    let (most, all) = run(limits);
    assert!(most <= window, "{most} in a window");
    assert!((total - total / 10..=total + 1).contains(&all), "{all} in total");
}

#[test_case("2.5/1000", Some(Room { rate: 2.5, wait: Duration::from_millis(1) }); "valid")]
#[test_case("2.5", None; "no wait")]
#[test_case("NaN/1", None; "no number")]
#[test_case("inf/1", None; "infinite")]
#[test_case("0/1", None; "zero rate")]
#[test_case("-1/1", None; "negative rate")]
#[test_case("1/-1", None; "negative wait")]
fn room_is_parsed(text: &str, expected: Option<Room>) {
    assert_eq!(text.parse().ok(), expected);
}

proptest! {
    #[test]
    fn limits_never_panic_and_waits_are_finite(
        limits in proptest::collection::vec(proptest::option::of(0.0..1e308), 1..10),
        steps_ms in proptest::collection::vec(0_u64..10_000, 1..10),
    ) {
        let mut now = Instant::now();
        let mut limiter = RequestLimiter::default();
        for (limit, step) in limits.into_iter().zip(steps_ms) {
            now += Duration::from_millis(step);
            limiter.set_limit(limit, now);
            limiter.charge(now);
            prop_assert!(limiter.wait(3, now) <= Duration::from_secs(60));
        }
    }
}
