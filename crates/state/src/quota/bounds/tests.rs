//! Tests of the owner's bucket against the bounds of a quota.

use test_case::test_case;

use super::*;

/// Guards against a bucket that admits more than the bounds, or never holds a whole token.
#[test_case(0.0, 0.0, 1.0; "no tolerance, burst of one")]
#[test_case(0.0, 0.0, 60.0; "no tolerance")]
#[test_case(0.1, 20.0, 1.0; "default tolerance, burst of one")]
#[test_case(0.1, 20.0, 89.0; "default tolerance")]
fn a_window_stays_within_the_bounds(excess: f64, slack: f64, burst: f64) {
    let bounds = Bounds { excess, slack, ..Bounds::default() };
    for rate in [0.2, 1.0, 22.0, 400.0] {
        let limit = quota::Limit { rate, burst };
        let window = bounds.capacity(&limit) + rate * bounds.window.as_secs_f64();
        assert!(window <= bounds.runs_max(&limit) + 1e-9, "{rate}: {window}");
        assert!(window >= rate * 5.0 + burst - 1e-9, "{rate}: {window}");
        assert!(bounds.capacity(&limit) >= 1.0, "{rate}");
    }
}
