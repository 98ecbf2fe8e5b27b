//! Tests that each broken promise is noticed.

use lynxmast_testing::caller;
use test_case::test_case;

use super::*;

fn seen(once: bool, outcome: &str, status: u16, is_own: bool, took_s: u64) -> load::Seen {
    let got = caller::Got {
        tag: "tag-1".into(),
        status,
        outcome: outcome.into(),
        reason: String::new(),
        body: Bytes::new(),
        is_whole: true,
        is_own,
        took: time::Duration::from_secs(took_s),
    };
    load::Seen { once, got }
}

#[test_case(&seen(true, "answered", 200, true, 1), 1, 0; "served")]
#[test_case(&seen(true, "answered", 200, true, 1), 2, 1; "run twice")]
#[test_case(&seen(false, "answered", 200, true, 1), 2, 0; "repeated as it may be")]
#[test_case(&seen(true, "not-run", 503, false, 1), 0, 0; "refused")]
#[test_case(&seen(false, "not-run", 503, false, 1), 1, 1; "a false refusal")]
#[test_case(&seen(true, "may-have-run", 502, false, 1), 1, 0; "unknown outcome")]
#[test_case(&seen(false, "answered", 200, false, 1), 1, 1; "a foreign answer")]
#[test_case(&seen(false, "answered", 200, true, 1), 0, 1; "an answer from nowhere")]
#[test_case(&seen(false, "not-run", 503, false, 60), 0, 1; "held too long")]
fn broken_promises_are_noticed(seen: &load::Seen, ran: u32, expected: usize) {
    let runs = IndexMap::from([("tag-1".to_owned(), ran)]);
    assert_eq!(check(std::slice::from_ref(seen), &runs).len(), expected);
}

#[test]
fn an_entry_that_does_not_recover_is_noticed() {
    assert_eq!(check_recovery(&[1.0, 0.95, 0.5]).len(), 1);
}
