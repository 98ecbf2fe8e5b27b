//! Tests of the order under pressure and of the counts.

use test_case::test_case;

use super::*;

const MIB: usize = 1024 * 1024;
const LIMIT: usize = 8 * MIB;

/// Guards against a kind that displaces one that comes later in the order under pressure.
#[test_case(0, [true, true, true], true; "empty")]
#[test_case(4 * MIB, [true, true, false], true; "reading ahead stops first")]
#[test_case(6 * MIB, [true, false, false], true; "then responses are streamed")]
#[test_case(7 * MIB + 1, [true, false, false], false; "then large requests are rejected")]
#[test_case(8 * MIB, [false, false, false], false; "last, bodies are not kept")]
fn pressure_is_relieved_in_order(held: usize, expected: [bool; 3], admits: bool) {
    let mut budget = ByteBudget::new(LIMIT);
    budget.hold(Kind::Replay, held);
    let kinds = Kind::ALL.map(|kind| budget.clone().try_hold(kind, 1));
    assert_eq!((kinds, budget.admits_request(LARGE_BODY + 1)), (expected, admits));
    assert!(budget.admits_request(LARGE_BODY), "small requests are not rejected for memory");
}

/// Guards against one large response that takes the room of all others.
#[test_case(MIB, true; "an eighth")]
#[test_case(MIB + 1, false; "more than an eighth")]
fn one_response_takes_at_most_an_eighth(size: usize, expected: bool) {
    assert_eq!(ByteBudget::new(LIMIT).try_hold(Kind::Response, size), expected);
}

/// Guards against 200 slow callers of 90 kB each that hold 18 MB of a VM's 160 MB.
#[test]
fn two_hundred_slow_callers_of_large_responses_stay_below_the_limit() {
    let held = HeldBytes::new(default_limit(Some(160)));
    let guards: Vec<_> = (0..200).filter_map(|_| held.try_hold(Kind::Response, 90_000)).collect();
    assert_eq!(guards.len(), 87);
    assert!(held.with(|budget| budget.total()) <= held.with(|budget| budget.limit()));
    drop(guards);
    assert_eq!(held.with(|budget| budget.total()), 0);
}

/// Guards against bytes that stay counted after their guard is dropped, or are returned twice.
#[test]
fn a_guard_returns_exactly_what_it_holds() {
    let held = HeldBytes::new(LIMIT);
    let mut guard = held.empty(Kind::Replay);
    let other = held.try_hold(Kind::Replay, 5);
    assert!(guard.try_grow(10));
    assert!(!guard.try_grow(LIMIT));
    guard.grow(LIMIT);
    guard.shrink(3);
    assert_eq!(held.with(|budget| budget.held(Kind::Replay)), LIMIT + 12);
    guard.clear();
    guard.shrink(1);
    drop(guard);
    assert_eq!(held.with(|budget| budget.total()), 5);
    drop(other);
    assert_eq!(held.with(|budget| budget.total()), 0);
}

/// Guards against a lowered limit that lets more be held, or an overflow of the sum.
#[test]
fn a_lowered_limit_holds_for_what_is_new() {
    let mut budget = ByteBudget::new(LIMIT);
    assert!(budget.try_hold(Kind::Replay, 5 * MIB));
    budget.set_limit(4 * MIB);
    assert!(!budget.try_hold(Kind::Replay, 1));
    assert!(!budget.try_hold(Kind::Replay, usize::MAX));
    budget.release(Kind::Replay, 5 * MIB);
    assert!(budget.try_hold(Kind::Replay, 4 * MIB));
}
