//! Tests of the learned response sizes.

use super::*;

// Guards against state that grows with the number of routes.
#[test]
fn the_least_recently_recorded_routes_are_dropped() {
    let mut sizes = ResponseSizes::default();
    let now = time::Instant::now();
    for route in 0..10_000 {
        sizes.record(route, 100, now);
        sizes.record(0, 500, now);
        assert!(sizes.recent.len() + sizes.earlier.len() <= 2 * ROUTES_MAX);
    }
    assert!(sizes.expected(0) > 490, "a route in use is kept: {}", sizes.expected(0));
    assert_eq!(sizes.expected(9_999), 100);
    assert_eq!(sizes.expected(1), 0);
}

// Guards against a cost that stays at the size that a route had before a release.
#[test]
fn the_expected_size_follows_a_change_within_minutes() {
    let mut sizes = ResponseSizes::default();
    let start = time::Instant::now();
    for second in 0..600 {
        let size = if second < 300 { 540_000 } else { 2_000 };
        sizes.record(1, size, start + time::Duration::from_secs(second));
    }
    assert!(sizes.expected(1) < 30_000, "{}", sizes.expected(1));
}
