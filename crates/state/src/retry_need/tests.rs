//! Tests of the order of retries.

use test_case::test_case;

use super::*;

/// Guards against an order in which a condition of less weight outweighs the one before it.
#[test]
fn rank_decides_first_then_whether_it_ran_then_time_then_chance() {
    let best = RetryNeed::default();
    let calls_last =
        RetryNeed { is_call: true, rank: 9, not_run: false, is_on_time: false, success: 0.0 };
    let ordered = [
        calls_last,
        best,
        RetryNeed { success: 0.0, ..best },
        RetryNeed { is_on_time: false, ..best },
        RetryNeed { not_run: false, ..best },
        RetryNeed { not_run: false, is_on_time: false, success: 0.0, ..best },
        RetryNeed { rank: 1, ..best },
        RetryNeed { rank: 2, ..best },
    ];
    for pair in ordered.windows(2) {
        assert!(pair[0].reserved() < pair[1].reserved(), "{pair:?}");
    }
}

/// Guards against requests for which even a full budget has no retry.
#[test_case(u32::MAX)]
#[test_case(0)]
fn a_full_budget_covers_every_request(rank: u32) {
    let need = RetryNeed { is_call: false, rank, not_run: false, is_on_time: false, success: 0.0 };
    assert!(need.reserved() < 0.6);
}
