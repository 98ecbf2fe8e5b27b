//! Tests of recognising calls by the deadline that they share with their parent.

use lynxmast_state::clock::Clock;
use test_case::test_case;

use super::*;

fn upstream(clock: &clock::ManualClock) -> sync::Arc<Upstream<clock::ManualClock>> {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let id = ids::UpstreamId { service: "shop".into(), address };
    let (queue, max_wait, ramp) = (0, time::Duration::ZERO, time::Duration::ZERO);
    let limits = admission::Limits { slots: 8, queue, max_wait, ramp };
    let lease =
        Lease { incarnation: 1, instance: None, sequence: 1, slots: None, renewed: clock.now() };
    sync::Arc::new(Upstream::new(id, limits, lease, clock.clone()))
}

fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

#[test_case(1000, true, true; "the same deadline")]
#[test_case(997, true, true; "told in milliseconds")]
#[test_case(1010, true, true; "read late")]
#[test_case(900, true, false; "an earlier deadline")]
#[test_case(1100, true, false; "a later deadline")]
#[test_case(1000, false, false; "nothing is being run")]
fn a_call_has_the_deadline_of_its_parent(deadline: u64, runs: bool, expected: bool) {
    let clock = clock::ManualClock::new();
    let (upstream, start) = (upstream(&clock), clock.now());
    let mut slot = upstream.slot(admission::Class::Fair, start);
    slot.start_run(start + ms(1000), true);
    let slot = runs.then_some(slot);
    assert_eq!(upstream.note_call(start + ms(deadline), &"media".into()), expected);
    drop(slot);
    assert!(!upstream.note_call(start + ms(1000), &"media".into()), "the run has ended");
}

#[test]
fn calls_are_told_for_each_run_that_may_be_repeated() {
    let clock = clock::ManualClock::new();
    let (upstream, start) = (upstream(&clock), clock.now());
    for run in 0..4 {
        let deadline = start + ms(1000 + 100 * run);
        let mut slot = upstream.slot(admission::Class::Fair, start);
        slot.start_run(deadline, true);
        assert!(upstream.note_call(deadline, &"media".into()));
        assert!(upstream.note_call(deadline, &"media".into()));
        let mut once = upstream.slot(admission::Class::Fair, start);
        once.start_run(deadline + ms(50), false);
        assert!(upstream.note_call(deadline + ms(50), &"media".into()));
    }
    let per_run = upstream.calls_per_run(start).expect("enough runs");
    assert_eq!(per_run.to_string(), "media=2.0");
}
