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
