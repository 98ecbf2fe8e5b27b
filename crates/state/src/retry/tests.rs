//! Tests of the conditions for a retry and of the retry budget.

use test_case::test_case;

use super::*;
use crate::outcome::Failure;
use crate::outcome::Rejection;

fn check(
    end: AttemptEnd,
    idempotent: bool,
    change: impl FnOnce(&mut RetryContext),
    expected: bool,
) {
    let remaining = time::Duration::from_secs(1);
    let mut context = RetryContext {
        end,
        idempotent,
        replayable: true,
        attempts: 1,
        attempts_max: ATTEMPTS_MAX,
        remaining,
    };
    change(&mut context);
    assert_eq!(should_retry(&context), expected);
}

#[test_case(AttemptEnd::NotRun(Rejection::QueueFull), false, true; "a rejection proves that the request was not run")]
#[test_case(AttemptEnd::NotRun(Rejection::Draining), false, true; "another upstream may accept what a draining one rejects")]
#[test_case(AttemptEnd::NotRun(Rejection::RateLimited), true, false; "a rate limit applies at every upstream")]
#[test_case(AttemptEnd::NotRun(Rejection::DeadlineBeforeRun), true, false; "the deadline has passed at every upstream")]
#[test_case(AttemptEnd::MayHaveRun(Failure::ConnectionLost), true, true; "an idempotent request may be run twice")]
#[test_case(AttemptEnd::MayHaveRun(Failure::ConnectionLost), false, false; "a request that is not idempotent may have been run")]
#[test_case(AttemptEnd::MayHaveRun(Failure::CallerGone), true, false; "no retry after the caller has gone")]
fn a_retry_must_be_safe_and_useful(end: AttemptEnd, idempotent: bool, expected: bool) {
    check(end, idempotent, |_| (), expected);
}

#[test]
fn a_retry_needs_a_replayable_body_time_and_attempts() {
    let end = AttemptEnd::NotRun(Rejection::QueueFull);
    check(end, true, |context| context.replayable = false, false);
    check(end, true, |context| context.attempts = ATTEMPTS_MAX, false);
    check(end, true, |context| context.remaining = time::Duration::from_millis(1), false);
}

#[test]
fn the_budget_limits_retries_to_a_fraction_of_first_attempts() {
    let mut budget = Budget::default();
    let retries = (0..10_000).filter(|_| {
        budget.deposit(0.1);
        budget.withdraw()
    });
    let retries = retries.count();
    assert!((1000..=1010).contains(&retries), "{retries}");
}

#[test]
fn a_fleet_budget_holds_when_every_request_fails() {
    // Every request fails for ten seconds, after ten seconds without failures.
    let fleet = FleetBudget {
        ratio: 0.16,
        reserve: 36.0,
        window: time::Duration::from_secs(10),
        daemons: 27,
    };
    let start = time::Instant::now();
    let mut budgets = vec![Budget::default(); fleet.daemons];
    let (mut first_attempts, mut retries) = (0.0, 0);
    for round in 0..200_u32 {
        let now = start + time::Duration::from_millis(100) * round;
        for budget in &mut budgets {
            budget.deposit_fleet(&fleet, 0.0, now);
            if round >= 100 {
                first_attempts += 1.0;
                retries += (0..3).filter(|_| budget.withdraw()).count();
            }
        }
    }
    let retries = retries as f64;
    assert!(retries <= 0.2 * first_attempts + 60.0, "{retries} retries of {first_attempts}");
    assert!(retries >= 0.15 * first_attempts, "{retries} retries of {first_attempts}");
}

#[test]
fn calls_made_by_retried_requests_draw_on_the_fleet_budget() {
    let fleet =
        FleetBudget { ratio: 0.2, reserve: 1.0, window: time::Duration::from_secs(10), daemons: 1 };
    let now = time::Instant::now();
    let mut budget = Budget::default();
    budget.deposit_fleet(&fleet, 0.0, now);
    while budget.withdraw() {}
    let allowed = (0..100).filter(|_| {
        budget.deposit_fleet(&fleet, 0.2, now);
        budget.withdraw()
    });
    assert_eq!(allowed.count(), 0);
}

#[test]
fn a_restarted_fleet_stays_within_the_window_budget() {
    // The daemons spend all reserves, then restart, and every request fails again.
    let fleet = FleetBudget {
        ratio: 0.16,
        reserve: 36.0,
        window: time::Duration::from_secs(10),
        daemons: 27,
    };
    let start = time::Instant::now();
    let (mut first_attempts, mut retries) = (0.0, 0);
    for half in 0..2_u32 {
        let mut budgets = vec![Budget::default(); fleet.daemons];
        for round in 0..50 {
            let now = start + time::Duration::from_millis(100) * (50 * half + round);
            for budget in &mut budgets {
                budget.deposit_fleet(&fleet, 0.0, now);
                first_attempts += 1.0;
                retries += (0..3).filter(|_| budget.withdraw()).count();
            }
        }
    }
    assert!(retries as f64 <= 0.2 * first_attempts + 60.0, "{retries} retries of {first_attempts}");
}

#[test]
fn the_reserve_refills_over_the_window() {
    // Few requests, all of which fail. The ratio alone allows a retry for one in five.
    let window = time::Duration::from_secs(10);
    let fleet = FleetBudget { ratio: 0.2, reserve: 10.0, window, daemons: 1 };
    let start = time::Instant::now();
    let mut budget = Budget::default();
    let retries = (0..40_u32).filter(|second| {
        budget.deposit_fleet(&fleet, 0.0, start + time::Duration::from_secs(1) * *second);
        budget.withdraw()
    });
    let retries = retries.count();
    assert!((20..=28).contains(&retries), "{retries} of 40");
}
