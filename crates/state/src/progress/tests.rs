//! Tests of the search for an upstream, without network.

use test_case::test_case;

use super::*;
use crate::outcome::Failure;
use crate::outcome::Rejection;

fn address(index: u32) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::from(0x0a00_0000 + index), 80))
}

/// Sends a request to a sidecar after the other until it is run or no further sidecar may be asked.
/// `decide` gives the rejection of an upstream, or `None` if it runs the request; the second
/// argument states whether the request tolerates a suspected upstream. Returns whether the request
/// was run, and the number of sidecars asked.
fn search(upstreams: u32, decide: impl Fn(u32, bool) -> Option<Rejection>) -> (bool, u32) {
    let mut progress = Progress::default();
    loop {
        let untried = (0..upstreams).find(|index| !progress.tried().contains(&address(*index)));
        let Some(index) = untried.filter(|_| progress.may_contact()) else {
            if progress.retry_suspected() {
                continue;
            }
            return (false, progress.contacted());
        };
        progress.record_contact(address(index));
        match decide(index, progress.ignores_suspicion()) {
            None => return (true, progress.contacted()),
            Some(rejection) => {
                progress.record_end(address(index), retry::AttemptEnd::NotRun(rejection));
            }
        }
    }
}

// Pattern: a fault makes most upstreams of a large service suspected at the same time.
#[test_case(3, 4; "all three upstreams")]
#[test_case(6, 7; "all six upstreams")]
#[test_case(32, 7; "all upstreams that an ingress uses")]
fn a_request_runs_although_all_upstreams_are_suspected(upstreams: u32, asked: u32) {
    let decide = |_, tolerates: bool| (!tolerates).then_some(Rejection::Suspected);
    assert_eq!(search(upstreams, decide), (true, asked));
}

// Pattern: a few upstreams are gray, which the ingress does not know yet.
#[test]
fn a_request_avoids_a_few_suspected_upstreams() {
    let decide = |index, _| (index < 4).then_some(Rejection::Suspected);
    assert_eq!(search(32, decide), (true, 5));
}

// Pattern: a burst fills the queues of all upstreams.
#[test]
fn a_request_that_all_queues_reject_is_rejected_after_a_bounded_search() {
    assert_eq!(search(32, |_, _| Some(Rejection::QueueFull)), (false, CONTACTED_MAX));
}

#[test]
fn many_denied_retries_end_the_search() {
    let mut progress = Progress::default();
    for index in 0..DENIALS_MAX {
        assert!(!progress.is_denied());
        progress.record_contact(address(index));
        progress.record_end(address(index), retry::AttemptEnd::NotRun(Rejection::OverBudget));
    }
    assert!(progress.is_denied() && progress.over_budget);
    assert_eq!(progress.attempts, 0);
}

#[test_case(None, false, true; "no upstream was known")]
#[test_case(Some(retry::AttemptEnd::NotRun(Rejection::Unreachable)), false, true; "the only upstream is unreachable")]
#[test_case(Some(retry::AttemptEnd::NotRun(Rejection::Suspected)), false, true; "the only upstream is suspected")]
#[test_case(Some(retry::AttemptEnd::NotRun(Rejection::QueueFull)), false, false; "the only upstream is overloaded")]
#[test_case(Some(retry::AttemptEnd::MayHaveRun(Failure::Shed)), true, true; "the only upstream failed an idempotent request")]
#[test_case(Some(retry::AttemptEnd::MayHaveRun(Failure::Shed)), false, false; "the only upstream failed another request")]
fn a_request_waits_for_unknown_upstreams_if_they_may_serve_it(
    end: Option<retry::AttemptEnd>,
    idempotent: bool,
    expected: bool,
) {
    let mut progress = Progress::default();
    if let Some(end) = end {
        progress.record_end(address(0), end);
    }
    assert_eq!(progress.could_succeed_elsewhere(idempotent), expected);
}

#[test]
fn an_attempt_that_may_have_run_is_remembered_after_a_rejection() {
    let mut progress = Progress::default();
    let lost = retry::AttemptEnd::MayHaveRun(Failure::ConnectionLost);
    progress.record_end(address(0), lost);
    progress.record_end(address(1), retry::AttemptEnd::NotRun(Rejection::QueueFull));
    assert_eq!((progress.may_have_run, progress.attempts), (Some(lost), 1));
}

#[test_case(Some(retry::AttemptEnd::NotRun(Rejection::OverBudget)), 0; "denied")]
#[test_case(Some(retry::AttemptEnd::NotRun(Rejection::Shed)), 1; "shed by the backend server")]
#[test_case(Some(retry::AttemptEnd::MayHaveRun(Failure::Deadline)), 1; "without a response")]
#[test_case(None, 1; "with a response")]
fn a_hedge_counts_if_it_reached_a_backend_server(end: Option<retry::AttemptEnd>, attempts: u32) {
    let mut progress = Progress::default();
    progress.record_hedge(end);
    assert_eq!(progress.attempts, attempts);
}
