//! Tests of which requests are quarantined, and of the exchange between daemons.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use test_case::test_case;

use super::*;

const REQUEST: fingerprint::Fingerprint = fingerprint::Fingerprint { head: 1, body: 2 };

fn address(host: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, host], 80))
}

/// Event in the life of a request, at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// An upstream (host, incarnation) crashes while it runs the request.
    Crash(u8, u64),
    /// The request gets this number of responses.
    Responses(u32),
}

/// Applies events and returns whether a copy is admitted at `at_ms`.
fn is_admitted(events: &[(u64, Event)], at_ms: u64) -> bool {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for (at, event) in events {
        let now = start + Duration::from_millis(*at);
        match event {
            Event::Crash(host, incarnation) => {
                quarantine.record_crash(REQUEST, address(*host), *incarnation, now);
            }
            Event::Responses(count) => {
                (0..*count).for_each(|_| {
                    quarantine.record_response(REQUEST, now);
                });
            }
        }
    }
    quarantine.admit(&REQUEST, start + Duration::from_millis(at_ms))
}

use Event::{Crash as Crashed, Responses};
#[test_case(&[], 0, true; "no crash")]
#[test_case(&[(0, Crashed(1, 1))], 1, true; "one crash")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(1, 1))], 9, true; "one crash reported twice")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(2, 1))], 9, false; "two upstreams")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(1, 2))], 9, false; "two starts of one upstream")]
#[test_case(&[(0, Crashed(1, 1)), (5, Responses(8)), (3_000, Crashed(2, 1))], 3_100, true; "responses between crashes")]
#[test_case(&[(0, Crashed(1, 1)), (5, Responses(1)), (3_000, Crashed(2, 1))], 3_100, false; "one response between crashes")]
#[test_case(&[(0, Responses(8)), (10, Crashed(1, 1)), (20, Crashed(2, 1))], 30, true; "frequent request beside simultaneous crashes")]
#[test_case(&[(0, Responses(1)), (10, Crashed(1, 1)), (20, Crashed(2, 1))], 30, false; "one response before the crashes")]
#[test_case(&[(0, Responses(64)), (2_100, Crashed(1, 1)), (2_200, Crashed(2, 1))], 2_300, false; "responses long before the crashes")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(2, 1)), (6, Responses(8))], 9, true; "responses after the crashes")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(2, 1)), (6, Responses(7))], 9, false; "too few responses after the crashes")]
#[test_case(&[(0, Crashed(1, 1)), (1, Responses(4)), (2, Crashed(2, 1)), (3, Responses(4)), (4, Crashed(3, 1))], 9, false; "a third of the runs crash")]
#[test_case(&[(0, Responses(24)), (1, Crashed(1, 1)), (2, Crashed(2, 1)), (3, Crashed(3, 1)), (4, Crashed(4, 1))], 9, true; "frequent request while most of a service crashes")]
#[test_case(&[(0, Responses(64)), (1, Crashed(1, 1)), (2_100, Crashed(2, 1)), (2_200, Crashed(3, 1))], 2_300, false; "crashes begin after the request was cleared")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(2, 1))], 300_000, false; "before the end of the quarantine")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(2, 1))], 300_006, true; "trial after the quarantine")]
#[test_case(&[(0, Crashed(1, 1)), (5, Crashed(2, 1)), (300_010, Crashed(3, 1))], 300_020, false; "crash of a trial")]
fn a_request_is_quarantined_after_two_crashes(events: &[(u64, Event)], at_ms: u64, expected: bool) {
    assert_eq!(is_admitted(events, at_ms), expected);
}

#[test]
fn copies_are_let_in_one_at_a_time_after_the_quarantine() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(REQUEST, address(1), 1, start);
    quarantine.record_crash(REQUEST, address(2), 1, start);
    let later = start + QUARANTINE_DURATION;
    assert!(quarantine.admit(&REQUEST, later));
    assert!(!quarantine.admit(&REQUEST, later + Duration::from_secs(1)));
    assert!(quarantine.admit(&REQUEST, later + TRIAL_INTERVAL));
}

// Guards against rejecting a request that ran beside a crashing one at each crash, most of a service
// being down, so that only a few of its copies got a response.
#[test_case(0, false; "without a response")]
#[test_case(1, true; "with a response")]
fn crashes_under_a_request_without_responses_do_not_count_for_others(count: u32, expected: bool) {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let bystander = fingerprint::Fingerprint { head: 3, body: 2 };
    (0..count).for_each(|_| {
        quarantine.record_response(bystander, now);
    });
    for host in 1..6 {
        quarantine.record_crash(REQUEST, address(host), 1, now);
        quarantine.record_crash(bystander, address(host), 1, now);
    }
    assert!(!quarantine.admit(&REQUEST, now));
    assert_eq!(quarantine.admit(&bystander, now), expected);
    // Crashes without the other request count.
    quarantine.record_crash(bystander, address(6), 1, now);
    quarantine.record_crash(bystander, address(7), 1, now);
    assert!(!quarantine.admit(&bystander, now));
}

#[test]
fn other_bodies_and_heads_are_not_affected() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(REQUEST, address(1), 1, now);
    quarantine.record_crash(REQUEST, address(2), 1, now);
    let other_body = fingerprint::Fingerprint { body: 3, ..REQUEST };
    assert!(quarantine.admit(&other_body, now));
    assert!(quarantine.is_suspected_head(REQUEST.head));
    assert!(!quarantine.is_suspected_head(9));
}

#[test]
fn many_different_requests_do_not_displace_a_quarantined_one() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(REQUEST, address(1), 1, now);
    quarantine.record_crash(REQUEST, address(2), 1, now);
    for head in 0..3 * SUSPECTS_MAX as u64 {
        let flood = fingerprint::Fingerprint { head: 100 + head, body: 0 };
        quarantine.record_crash(flood, address(3), 1, now);
    }
    assert_eq!(quarantine.counts(now), (SUSPECTS_MAX, 1));
    assert!(!quarantine.admit(&REQUEST, now));
}

// Guards against a frequent request that is rejected because each daemon gets only a few responses.
#[test]
fn responses_of_several_daemons_count_together() {
    let now = Instant::now();
    let mut daemons: Vec<Quarantine> = (0..8).map(Quarantine::new).collect();
    for daemon in &mut daemons {
        daemon.record_response(REQUEST, now);
    }
    daemons[0].record_crash(REQUEST, address(1), 1, now);
    daemons[1].record_crash(REQUEST, address(2), 1, now);
    let (first, others) = daemons.split_first_mut().expect("eight daemons");
    // The suspicion reaches all, then their counts reach the first, then its decision reaches all.
    for _ in 0..3 {
        others.iter_mut().for_each(|other| exchange(other, first, now));
    }
    assert!(daemons.iter_mut().all(|daemon| daemon.admit(&REQUEST, now)));
}

#[test_case(31, 31; "too few to clear it")]
#[test_case(32, 0; "enough to clear it")]
fn a_record_holds_the_counts_of_a_bounded_number_of_daemons(reporters: u64, expected: usize) {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(0);
    for reporter in 1..=reporters {
        let responses = vec![ResponseCount { reporter, count: 1 }];
        let crash = Crash { address: address(1), incarnation: 1, age_ms: 0, is_cleared: false };
        let (fingerprint, crashes) = (REQUEST, vec![crash]);
        let suspect = Suspect { fingerprint, crashes, generation: 0, responses };
        quarantine.merge(&SuspectUpdate { digest: 0, suspects: vec![suspect] }, now);
    }
    let update = quarantine.reply(&SuspectUpdate::default(), true, now);
    assert_eq!(update.suspects[0].responses.len(), expected);
}

#[test]
fn suspects_are_forgotten_and_not_learned_again() {
    let start = Instant::now();
    let (mut quarantine, mut late) = (Quarantine::default(), Quarantine::default());
    quarantine.record_crash(REQUEST, address(1), 1, start);
    let later = start + SUSPECT_MEMORY;
    let update = quarantine.opening_update(later);
    late.merge(&update, later);
    quarantine.expire(later);
    assert_eq!((quarantine.counts(later), late.counts(later)), ((0, 0), (0, 0)));
    assert_eq!(quarantine.digest(), late.digest());
}

/// Exchanges one message each way.
fn exchange(from: &mut Quarantine, to: &mut Quarantine, now: Instant) {
    let opening = from.opening_update(now);
    to.merge(&opening, now);
    let reply = to.reply(&opening, false, now);
    from.merge(&reply, now);
}

#[test]
fn a_daemon_that_missed_all_messages_catches_up_by_the_digest() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    for number in 0..100 {
        let request = fingerprint::Fingerprint { head: number, body: 0 };
        a.record_crash(request, address(1), 1, now);
        a.record_crash(request, address(2), 1, now);
    }
    // All of them are sent to a daemon that does not receive them.
    while a.has_pending() {
        a.opening_update(now);
    }
    for _ in 0..4 {
        exchange(&mut b, &mut a, now);
    }
    assert_eq!(b.counts(now), (100, 100));
    assert_eq!(a.digest(), b.digest());
}

proptest! {
    #[test]
    fn daemons_agree_in_whatever_order_they_merge(
        steps in proptest::collection::vec((0_usize..3, 0_u64..4, 1_u8..4, any::<bool>()), 1..30),
        order in proptest::collection::vec((0_usize..3, 0_usize..3), 0..20),
    ) {
        let now = Instant::now();
        let mut daemons = [Quarantine::default(), Quarantine::default(), Quarantine::default()];
        for (daemon, head, host, survives) in steps {
            let request = fingerprint::Fingerprint { head, body: 0 };
            if survives {
                (0..CLEARING_RESPONSES).for_each(|_| {
                    daemons[daemon].record_response(request, now);
                });
            } else {
                daemons[daemon].record_crash(request, address(host), 1, now);
            }
        }
        // A daemon that learns of a suspicion adds the responses that it got, so that the others
        // need a second circle.
        let circle = [(0, 1), (1, 2), (2, 0)];
        let rounds = order.into_iter().chain(circle.repeat(3));
        for (from, to) in rounds.filter(|(from, to)| from != to) {
            let full = daemons[from].reply(&SuspectUpdate::default(), true, now);
            daemons[to].merge(&full, now);
        }
        let digests: Vec<u64> = daemons.iter_mut().map(Quarantine::digest).collect();
        prop_assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
    }
}
