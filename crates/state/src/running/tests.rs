//! Tests of recognising calls by their deadlines.

use test_case::test_case;

use super::*;

fn running(name: &str, deadline: time::Instant) -> Running {
    Running { deadline, organisation: name.into(), rank: 0, objective: None, route: None }
}

/// Guards against calls that are missed for rounding or transfer times, and against taking every
/// request of a busy VM for a call.
#[test_case(-6, false; "expires well before the parent")]
#[test_case(-5, true; "rounded down twice on the way")]
#[test_case(0, true; "expires with the parent")]
#[test_case(20, true; "read late on a busy machine")]
#[test_case(21, false; "expires well after the parent")]
fn a_call_is_recognised_by_its_deadline(offset_ms: i64, expected: bool) {
    let start = time::Instant::now();
    let parent = start + time::Duration::from_secs(4);
    let offset = time::Duration::from_millis(offset_ms.unsigned_abs());
    let call = if offset_ms < 0 { parent - offset } else { parent + offset };
    let mut requests = RunningRequests::default();
    requests.start(running("a", parent));
    assert_eq!(requests.find_parent(call).is_some(), expected);
}

/// Guards against a call that is counted towards another request's organisation while nine requests
/// with deadlines 12 ms apart are running.
#[test]
fn nine_running_requests_the_closest_one_is_the_parent() {
    let start = time::Instant::now();
    let mut requests = RunningRequests::default();
    let at = |n: u64| start + time::Duration::from_millis(1000 + 12 * n);
    for n in 0..9 {
        requests.start(running(&n.to_string(), at(n)));
    }
    let found = requests.find_parent(at(4) + time::Duration::from_millis(2));
    assert_eq!(found.map(|parent| &*parent.organisation), Some("4"));
}

/// Guards against more chance matches than the design note states: 9 running requests, deadlines
/// spread over 4 s, unrelated requests with deadlines at random.
#[test]
fn unrelated_requests_beside_nine_running_ones_seldom_match() {
    use rand::Rng;
    use rand::SeedableRng;
    let mut rng = rand::rngs::SmallRng::seed_from_u64(11);
    let start = time::Instant::now();
    let mut matches = 0;
    for _ in 0..2000 {
        let mut random = || start + time::Duration::from_secs_f64(rng.random_range(1.0..5.0));
        let mut requests = RunningRequests::default();
        for _ in 0..9 {
            requests.start(running("a", random()));
        }
        matches += u32::from(requests.find_parent(random()).is_some());
    }
    assert!((60..=160).contains(&matches), "{matches} of 2000");
}
