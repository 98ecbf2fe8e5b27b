//! Tests of parents whose calls are rejected, in simulated time.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use test_case::test_case;

use super::*;

const FAULT: std::ops::Range<f64> = 5.0..13.5;
/// Time from the start of a parent to the end of its call.
const CALL_S: f64 = 0.2;

/// What became of the parents of one rank that arrived in the fault.
#[derive(Debug, Default, Clone, Copy)]
struct Fate {
    arrived: u32,
    not_started: u32,
    /// Started, and failed as their call was rejected.
    failed: u32,
}

struct Played {
    /// By rank: 0 and 3.
    fates: [Fate; 2],
    /// Seconds after the fault at which the last parent was not started.
    recovered: f64,
}

/// Sends 40 parents a second for 20 s, of which `urgent` are of rank 0 and the others of rank 3. The
/// service that they call runs `served` of the calls of all parents in the fault, and rejects what
/// exceeds that.
fn play(urgent: f64, served: f64, seed: u64) -> Played {
    let start = time::Instant::now();
    let at = |seconds: f64| start + time::Duration::from_secs_f64(seconds);
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut parents = ParentAdmission::default();
    let service: ids::ServiceName = "files".into();
    let mut played = Played { fates: Default::default(), recovered: 0.0 };
    let mut calls: std::collections::VecDeque<(f64, usize, bool, HeldBack)> = Default::default();
    // Calls that the service can take at once. Its queues hold those of a quarter of a second.
    let mut room: f64 = 1.0;
    let (mut now, mut previous) = (0.0_f64, 0.0_f64);
    while now < 20.0 {
        now += -(1.0 - rng.random::<f64>()).ln() / 40.0;
        room = (room + (now - previous) * 40.0 * served).min(10.0);
        previous = now;
        while let Some((end, index, in_fault, held_back)) =
            calls.pop_front_if(|(end, ..)| *end <= now)
        {
            let is_rejected = FAULT.contains(&end) && room < 1.0;
            room = if is_rejected { room } else { (room - 1.0).max(0.0) };
            parents.record_call_end(&service, held_back, is_rejected, at(end));
            played.fates[index].failed += u32::from(is_rejected && in_fault);
        }
        let index = usize::from(!rng.random_bool(urgent));
        let is_started = parents.admit(index as RouteKey, [0, 3][index], at(now));
        let in_fault = FAULT.contains(&now);
        let fate = &mut played.fates[index];
        fate.arrived += u32::from(in_fault);
        fate.not_started += u32::from(in_fault && !is_started);
        if is_started {
            parents.record_start(index as RouteKey, at(now));
            let held_back = parents.record_call(index as RouteKey, &service, at(now));
            calls.push_back((now + CALL_S, index, in_fault, held_back));
        } else if now > FAULT.end {
            played.recovered = now - FAULT.end;
        }
    }
    played
}

/// Guards against parents that run for a call that is then rejected, and against parents that are
/// rejected although their calls would have been served.
#[test_case(0.5, 0.5; "half of the calls rejected for 8.5 s")]
#[test_case(0.5, 0.7; "three in ten of the calls rejected for 8.5 s")]
#[test_case(0.2, 0.5; "half of the calls rejected for 8.5 s, few urgent parents")]
fn parents_whose_calls_would_be_rejected_are_not_started(urgent: f64, served: f64) {
    for seed in 0..5 {
        let played = play(urgent, served, seed);
        let [first, last] = played.fates;
        let arrived = f64::from(first.arrived + last.arrived);
        let failed = f64::from(first.failed + last.failed) / arrived;
        let not_started = f64::from(first.not_started + last.not_started) / arrived;
        let (missing, all) = (1.0 - served, played.fates);
        assert!(failed < 0.5 * missing, "{all:?}");
        assert!(not_started <= missing + 0.03, "{all:?}");
        let share = |fate: Fate| {
            f64::from(fate.arrived - fate.not_started - fate.failed) / f64::from(fate.arrived)
        };
        let total = 1.0 - failed - not_started;
        assert!(share(first) > share(last) && share(last) > 0.25 * total, "{all:?}");
        assert!(played.recovered < 1.0, "{}", played.recovered);
    }
}

/// Guards against requests that are rejected for the calls of other routes.
#[test]
fn a_route_that_makes_no_calls_is_always_started() {
    let now = time::Instant::now();
    let mut parents = ParentAdmission::default();
    for _ in 0..20 {
        parents.record_start(1, now);
        let held_back = parents.record_call(1, &"files".into(), now);
        parents.record_call_end(&"files".into(), held_back, true, now);
    }
    assert!((0..50).all(|_| parents.admit(2, 9, now)));
    assert!(!(0..50).all(|_| parents.admit(1, 0, now)));
}

/// Guards against state that grows with the routes and services of a fleet.
#[test]
fn many_routes_and_services_are_forgotten_again() {
    let now = time::Instant::now();
    let mut parents = ParentAdmission::default();
    for number in 0..1000_u64 {
        parents.admit(number, 0, now);
        parents.record_start(number, now);
        let service = number.to_string().as_str().into();
        parents.record_call(number, &service, now);
        parents.record_call(999, &service, now);
        parents.record_call_end(&service, 0.0, true, now);
    }
    assert!(parents.routes.len() <= ROUTES_MAX && parents.services.len() <= SERVICES_MAX);
    assert!(parents.routes.values().all(|route| route.calls.len() <= SERVICES_MAX));
}
