//! Tests of an attempt and its hedge that end in any order.

use lynxmast_state::outcome;
use test_case::test_case;

use super::*;

const OK: AttemptResult<u16> = Ok(200);
const ERROR: AttemptResult<u16> = Ok(500);
const LOST: AttemptResult<u16> =
    Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost));
const FULL: AttemptResult<u16> = Err(retry::AttemptEnd::NotRun(outcome::Rejection::QueueFull));

/// Ends with `result` after `turns` turns of the scheduler.
async fn attempt(result: AttemptResult<u16>, turns: usize) -> AttemptResult<u16> {
    for _ in 0..turns {
        tokio::task::yield_now().await;
    }
    result
}

async fn check(
    primary: (AttemptResult<u16>, usize),
    hedge: (AttemptResult<u16>, usize),
) -> Outcome<u16> {
    let primary = attempt(primary.0, primary.1);
    let hedge = attempt(hedge.0, hedge.1);
    first_success(primary, hedge, |status| *status < 500).await
}

// Guards against ending an attempt that runs because the other one got an error, and starting a third.
#[test_case((ERROR, 0), (OK, 5), OK; "error before the hedge succeeds")]
#[test_case((OK, 5), (ERROR, 0), OK; "hedge gets an error first")]
#[test_case((ERROR, 0), (ERROR, 5), ERROR; "two errors")]
#[test_case((ERROR, 0), (LOST, 5), ERROR; "error, then the hedge is lost")]
#[test_case((LOST, 5), (ERROR, 0), ERROR; "hedge gets an error, then the first is lost")]
#[test_case((ERROR, 0), (FULL, 5), ERROR; "error, hedge not run")]
#[test_case((OK, 5), (FULL, 0), OK; "hedge not run")]
#[test_case((FULL, 0), (OK, 5), OK; "only the hedge is run")]
#[test_case((LOST, 0), (FULL, 5), LOST; "lost, hedge not run")]
#[test_case((FULL, 5), (LOST, 0), LOST; "hedge lost, first not run")]
#[test_case((FULL, 0), (FULL, 5), FULL; "neither is run")]
#[test_case((OK, 0), (OK, 5), OK; "success before the hedge ends")]
#[tokio::test]
async fn the_first_success_is_used(
    primary: (AttemptResult<u16>, usize),
    hedge: (AttemptResult<u16>, usize),
    result: AttemptResult<u16>,
) {
    assert_eq!(check(primary, hedge).await.result, result);
}

// Guards against a retry beyond the route's attempts because a hedge was not counted.
#[test_case((ERROR, 0), (ERROR, 5), None; "response")]
#[test_case((ERROR, 0), (LOST, 5), LOST.err(); "lost")]
#[test_case((ERROR, 0), (FULL, 5), FULL.err(); "not run")]
#[test_case((OK, 0), (FULL, 5), None; "not ended")]
#[tokio::test]
async fn the_end_of_the_hedge_is_known(
    primary: (AttemptResult<u16>, usize),
    hedge: (AttemptResult<u16>, usize),
    end: Option<retry::AttemptEnd>,
) {
    assert_eq!(check(primary, hedge).await.hedge_end, end);
}
