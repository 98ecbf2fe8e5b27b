//! Tests of retry budgets over several services: storms of failures in which repeated requests make
//! their calls again.

use std::collections;

use super::*;

/// Requests of callers a second and daemon, for the service that calls and the one that is called.
#[derive(Debug, Clone, Copy)]
struct Load {
    parents: f64,
    calls: f64,
    callers: f64,
}

const DAEMONS: usize = 100;
const RATIO: f64 = 0.2;
const SLACK: u32 = 200;
const WINDOW: time::Duration = time::Duration::from_secs(10);
const STEP: time::Duration = time::Duration::from_millis(100);

/// Arrivals beyond the first of each request, and requests of callers, at both services in each
/// step of a time in which every attempt fails.
fn storm(load: Load, used: f64, reserve: u32) -> Vec<[(f64, f64); 2]> {
    let bound = retry::Shared { ratio: RATIO * used, reserve, window: WINDOW, daemons: DAEMONS };
    let shared = |_: &str| Some(bound);
    let (parent, called): (ids::ServiceName, ids::ServiceName) = ("shop".into(), "media".into());
    let heard = calls::PerRun(vec![(called.clone(), load.calls)]);
    let mut daemons: Vec<Table> = (0..DAEMONS).map(|_| Table::default()).collect();
    let start = time::Instant::now();
    let per_step = STEP.as_secs_f64();
    let mut steps = Vec::new();
    for step in 0..400_u32 {
        let now = start + STEP * step;
        let is_failing = step >= 100;
        let mut seen = [(0.0, 0.0); 2];
        for table in &mut daemons {
            table.of(&parent).hear_calls(&heard, now);
            for (index, (service, rate)) in
                [(&parent, load.parents), (&called, load.callers)].into_iter().enumerate()
            {
                // Whole requests, spread evenly over the steps.
                let count = |at: u32| (f64::from(at) * rate * per_step).floor();
                let firsts = count(step + 1) - count(step);
                for _ in 0..firsts as u32 {
                    table.of(service).budget.deposit_shared(&bound, now);
                }
                seen[index].1 += firsts;
                let wanted = if is_failing { firsts as u32 * 3 } else { 0 };
                let paid = (0..wanted).filter(|_| table.withdraw(service, &shared, now)).count();
                seen[index].0 += paid as f64;
                if index == 0 {
                    seen[1].0 += paid as f64 * load.calls;
                }
            }
        }
        steps.push(seen);
    }
    steps
}

/// Checks that no window has more arrivals than the bound, and that the worst one uses much of it.
fn check(load: Load, used: f64, reserve: u32) {
    let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    let steps = storm(load, used, reserve);
    for service in 0..2 {
        let sums = steps.windows(window).map(|window| {
            let again: f64 = window.iter().map(|seen| seen[service].0).sum();
            let firsts: f64 = window.iter().map(|seen| seen[service].1).sum();
            (again, RATIO * firsts + f64::from(SLACK))
        });
        for (again, allowed) in sums {
            assert!(again <= allowed, "{again} of {allowed} at service {service}");
        }
    }
}

#[test]
fn a_storm_at_a_service_that_calls_another_keeps_both_bounds() {
    check(Load { parents: 4.0, calls: 1.4, callers: 1.0 }, 0.75, 120);
    check(Load { parents: 10.0, calls: 3.0, callers: 3.0 }, 0.75, 120);
    check(Load { parents: 1.0, calls: 0.0, callers: 8.0 }, 0.75, 120);
}

#[test]
fn a_storm_may_use_most_of_what_is_allowed() {
    let steps = storm(Load { parents: 4.0, calls: 0.0, callers: 1.0 }, 0.75, 120);
    let last = &steps[300..];
    let again: f64 = last.iter().map(|seen| seen[0].0).sum();
    let firsts: f64 = last.iter().map(|seen| seen[0].1).sum();
    let allowed = RATIO * firsts + f64::from(SLACK);
    assert!(again >= 0.6 * allowed, "{again} of {allowed}");
}

#[test]
fn a_retry_is_charged_with_the_calls_that_it_makes_again() {
    let bound = retry::Shared { ratio: 0.2, reserve: 20, window: WINDOW, daemons: 1 };
    let shared = |_: &str| Some(bound);
    let (parent, called): (ids::ServiceName, ids::ServiceName) = ("shop".into(), "media".into());
    let now = time::Instant::now();
    let mut table = Table::default();
    table.of(&parent).hear_calls(&calls::PerRun(vec![(called.clone(), 2.0)]), now);
    for _ in 0..100 {
        table.of(&parent).budget.deposit_shared(&bound, now);
    }
    let paid = (0..20).filter(|_| table.withdraw(&parent, &shared, now)).count();
    // Two thirds of the half of the reserve that can be saved up, at two calls a retry.
    assert_eq!(paid, 3);
    assert!(!table.withdraw(&called, &shared, now), "the called service has spent its own");
    assert!(table.of(&parent).budget.covers(1.0), "the parent's own budget was not the limit");
}

#[test]
fn a_service_that_no_longer_calls_is_no_longer_charged() {
    let bound = retry::Shared { ratio: 0.2, reserve: 2, window: WINDOW, daemons: 1 };
    let shared = |_: &str| Some(bound);
    let (parent, called): (ids::ServiceName, ids::ServiceName) = ("shop".into(), "media".into());
    let start = time::Instant::now();
    let mut table = Table::default();
    table.of(&parent).hear_calls(&calls::PerRun(vec![(called.clone(), 5.0)]), start);
    let mut names = collections::BTreeMap::new();
    for second in 0..100 {
        let now = start + time::Duration::from_secs(second);
        table.of(&parent).hear_calls(&calls::PerRun::default(), now);
        let costs = table.costs(&parent, &shared, now);
        names.extend(costs.iter().map(|(name, cost)| (name.to_string(), *cost)));
    }
    assert!(names["media"] < 0.1, "{names:?}");
}
