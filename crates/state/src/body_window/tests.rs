//! Tests of the bytes in flight to a backend server.

use super::*;

const LIMIT: u64 = 4;

/// Guards against ten large uploads at once to a server that can hold four of them.
#[test]
fn ten_large_uploads_at_once_are_in_flight_four_at_a_time() {
    let mut window = BodyWindow::default();
    let entries: Vec<_> = (0..10).map(|ticket| window.enter(1, LIMIT, ticket)).collect();
    let count = |entry| entries.iter().filter(|e| **e == entry).count();
    assert_eq!([Entry::Granted, Entry::Waiting, Entry::Full].map(count), [4, 4, 2]);
    let mut served = 4;
    while window.in_flight() > 0 {
        served += window.release(1, LIMIT).len();
        assert!(window.in_flight() <= LIMIT);
    }
    assert_eq!(served, 8);
}

/// Guards against a request that can never be served because it exceeds the limit alone.
#[test]
fn a_body_larger_than_the_limit_is_let_in_alone() {
    let mut window = BodyWindow::default();
    assert_eq!(window.enter(1, LIMIT, 'a'), Entry::Granted);
    assert_eq!(window.enter(9, LIMIT, 'b'), Entry::Waiting);
    assert_eq!(window.release(1, LIMIT), [(9, 'b')]);
    assert_eq!(window.enter(1, LIMIT, 'c'), Entry::Waiting);
}

/// Guards against a large request that waits for ever while small ones pass it.
#[test]
fn small_requests_do_not_pass_a_large_one() {
    let mut window = BodyWindow::default();
    assert_eq!(window.enter(3, LIMIT, 'a'), Entry::Granted);
    assert_eq!(window.enter(3, LIMIT, 'b'), Entry::Waiting);
    assert_eq!(window.enter(1, LIMIT, 'c'), Entry::Waiting);
    assert_eq!(window.release(3, LIMIT), [(3, 'b'), (1, 'c')]);
}

/// Guards against bytes of callers that have left and keep others from waiting.
#[test]
fn requests_whose_callers_have_left_do_not_wait() {
    let mut window = BodyWindow::default();
    for ticket in ['a', 'b', 'c'] {
        window.enter(2, LIMIT, ticket);
    }
    window.retain(|ticket| *ticket != 'c');
    assert_eq!(window.enter(4, LIMIT, 'd'), Entry::Waiting);
    assert_eq!(window.release(2, LIMIT), []);
    assert_eq!(window.release(2, LIMIT), [(4, 'd')]);
}
