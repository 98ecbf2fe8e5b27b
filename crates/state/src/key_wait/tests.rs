//! Tests of the decision whether a request with an unknown key waits.

use test_case::test_case;

use super::*;

const MS: time::Duration = time::Duration::from_millis(1);

fn lookup(version: u64, newest: u64, waited_ms: u32, left_ms: u32) -> Lookup {
    Lookup { version, newest, waited: MS * waited_ms, time_left: MS * left_ms }
}

// Guards against 401 for a key of a newer version, and against waits that cannot help.
#[test_case(&lookup(7, 7, 0, 900), Err(outcome::Rejection::UnknownKey); "no newer version")]
#[test_case(&lookup(8, 7, 0, 900), Err(outcome::Rejection::UnknownKey); "others are older")]
#[test_case(&lookup(7, 8, 0, 900), Ok(()); "newer version")]
#[test_case(&lookup(7, 8, 499, 900), Ok(()); "shortly before the end of the wait")]
#[test_case(&lookup(7, 8, 500, 900), Err(outcome::Rejection::PolicyBehind); "end of the wait")]
#[test_case(&lookup(7, 8, 10, 0), Err(outcome::Rejection::PolicyBehind); "deadline")]
#[test_case(&lookup(8, 8, 500, 0), Err(outcome::Rejection::UnknownKey); "unknown in the new version")]
fn a_request_waits_only_for_a_newer_version(
    lookup: &Lookup,
    expected: Result<(), outcome::Rejection>,
) {
    assert_eq!(lookup.check(), expected);
    assert_eq!(KeyWaits::default().start(lookup), expected);
}

// Guards against an unbounded number of waiting requests, and against slots that are not returned.
#[test]
fn at_most_64_requests_wait() {
    let mut waits = KeyWaits::default();
    let lookup = lookup(7, 8, 0, 900);
    (0..64).for_each(|_| waits.start(&lookup).expect("a free slot"));
    assert_eq!(waits.start(&lookup), Err(outcome::Rejection::PolicyBehind));
    assert_eq!(waits.waiting(), 64, "a rejected request takes no slot");
    waits.end();
    assert_eq!(waits.start(&lookup), Ok(()));
}
