//! Tests of the plan of one domain, without requests.

use test_case::test_case;

use super::*;

fn load(domain: &str, demand: f64, slots: u32, age_s: u64) -> DomainLoad {
    DomainLoad {
        domain: domain.into(),
        demand,
        slots,
        occupied: 0,
        upstreams: slots.div_ceil(10),
        service_time: time::Duration::from_millis(100),
        round_trip: time::Duration::from_millis(8),
        age: time::Duration::from_secs(age_s),
    }
}

/// Returns a plan of domain `a` after ten updates with these loads, all requests in one class.
fn plan(loads: &[DomainLoad], class: Class, transfer: f64) -> Plan {
    let mut classes = [ClassLoad::default(); CLASSES];
    classes[class as usize] = ClassLoad { share: 1.0, transfer };
    let mut plan = Plan::default();
    for _ in 0..10 {
        plan.update("a", loads, &classes, time::Duration::from_secs(1));
    }
    plan
}

// The slots of domain `a` serve 400 requests per second.
#[test_case(200.0, 40, 0, 0.0, 0.0..=0.0; "room in the own domain")]
#[test_case(800.0, 80, 0, 0.0, 0.4..=0.6; "twice the capacity, room elsewhere")]
#[test_case(800.0, 0, 0, 0.0, 0.0..=0.0; "no upstream elsewhere")]
#[test_case(800.0, 80, 6, 0.0, 0.0..=0.0; "report of the other domain too old")]
#[test_case(380.0, 80, 0, 60.0, 0.0..=0.0; "transfer costs more than the wait")]
fn requests_leave_a_domain_with_too_few_slots(
    demand: f64,
    other_slots: u32,
    other_age: u64,
    transfer: f64,
    expected: std::ops::RangeInclusive<f64>,
) {
    let loads = [load("a", demand, 40, 0), load("b", 10.0, other_slots, other_age)];
    let leaving = plan(&loads, Class::Large, transfer).leaving(Class::Large);
    assert!(expected.contains(&leaving), "{leaving}");
}

// Guards against large transfers while small requests could leave instead.
#[test]
fn small_urgent_requests_leave_first() {
    let loads = [load("a", 500.0, 40, 0), load("b", 10.0, 80, 0)];
    let classes = [ClassLoad { share: 0.25, transfer: 0.0 }; CLASSES];
    let mut plan = Plan::default();
    for _ in 0..10 {
        plan.update("a", &loads, &classes, time::Duration::from_secs(1));
    }
    assert!(plan.leaving(Class::SmallUrgent) > 0.9, "{plan:?}");
    assert!(plan.leaving(Class::Large) < 0.1, "{plan:?}");
}

// Guards against all ingresses shifting at once on old reports.
#[test]
fn the_step_of_a_plan_is_smaller_with_older_reports() {
    let first_step = |age| {
        let loads = [load("a", 800.0, 40, age), load("b", 10.0, 80, age)];
        let classes = [ClassLoad { share: 0.25, transfer: 0.0 }; CLASSES];
        let mut plan = Plan::default();
        plan.update("a", &loads, &classes, time::Duration::from_secs(1));
        plan.fraction_to("b")
    };
    let steps = [0, 2, 4].map(first_step);
    assert!(steps[0] > steps[1] && steps[1] > steps[2] && steps[2] > 0.0, "{steps:?}");
}
