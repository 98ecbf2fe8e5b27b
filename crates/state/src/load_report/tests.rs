//! Tests of load reports: what they add up to, how they age and how they spread.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use super::*;

fn service_load(demand: u16, slots: u16) -> ServiceLoad {
    let service = tag("s");
    let upstreams = u8::from(slots > 0);
    ServiceLoad { service, demand, slots, in_use: 2, queued: 1, upstreams, service_time: 200 }
}

fn names(count: usize) -> Vec<(ids::DaemonName, ids::DomainName)> {
    let name = |n: usize| (format!("d{n}").as_str().into(), ["a", "b"][n % 2].into());
    (0..count).map(name).collect()
}

fn loads(
    reports: &LoadReports,
    names: &[(ids::DaemonName, ids::DomainName)],
    now: time::Instant,
) -> Vec<spillover::DomainLoad> {
    let daemons = names.iter().map(|(daemon, domain)| (daemon, domain));
    reports.domain_loads(daemons, "a", now).remove(&tag("s")).unwrap_or_default()
}

/// Returns the reports that daemon 0 holds after each of the daemons numbered `known` has sent its own.
fn received(known: std::ops::Range<usize>, now: time::Instant) -> LoadReports {
    let mut reports = LoadReports::default();
    reports.set_own("d0", 7, vec![service_load(50, 10)], now);
    for n in known {
        let mut other = LoadReports::default();
        other.set_own(&format!("d{n}"), 7, vec![service_load(50, 10)], now);
        reports.merge(&other.update(now), now);
    }
    reports
}

// Guards against capacity that is underestimated where reports are missing, and against decisions from
// a few of them.
#[test_case(4, 1..4, &[("a", 10.0, 20), ("b", 10.0, 20)]; "all reports")]
#[test_case(8, 1..6, &[("a", 20.0, 40), ("b", 20.0, 40)]; "most reports count for all")]
#[test_case(8, 1..3, &[("a", 20.0, 40)]; "too few reports of a domain")]
#[test_case(4, 1..1, &[("a", 10.0, 20)]; "only the own report")]
fn reports_add_up_to_the_load_of_a_domain(
    daemons: usize,
    known: std::ops::Range<usize>,
    expected: &[(&str, f64, u32)],
) {
    let now = time::Instant::now();
    let loads = loads(&received(known, now), &names(daemons), now);
    let found: Vec<_> = loads.iter().map(|l| (&*l.domain, l.demand, l.slots)).collect();
    assert_eq!(found, expected);
    assert!(loads.iter().all(|load| load.service_time == time::Duration::from_millis(200)));
}

// Guards against decisions from the reports of daemons that have stopped.
#[test]
fn reports_that_stop_are_dropped_after_5_s() {
    let now = time::Instant::now();
    let mut reports = received(1..4, now);
    let later = now + spillover::REPORT_AGE_MAX + AGE_UNIT;
    assert!(loads(&reports, &names(4), later).is_empty());
    assert!(reports.update(later).is_empty());
    assert!(reports.others.is_empty());
}

// Guards against a report that daemons return to each other for ever as if it were new.
#[test]
fn a_report_ages_over_relays_and_does_not_replace_itself() {
    let start = time::Instant::now();
    let mut fleet: Vec<LoadReports> = (0..3).map(|_| LoadReports::default()).collect();
    let mut origin = LoadReports::default();
    origin.set_own("d9", 7, vec![service_load(50, 10)], start);
    fleet[0].merge(&origin.update(start), start);
    for step in 1..200 {
        let now = start + time::Duration::from_millis(40) * step;
        let sent = fleet[step as usize % 3].update(now);
        fleet[(step as usize + 1) % 3].merge(&sent, now);
    }
    let end = start + time::Duration::from_secs(8);
    assert!(fleet.iter_mut().all(|reports| reports.update(end).is_empty()));
}

/// Ticks of 50 ms between two exchanges that a daemon opens.
const TICKS: u32 = 10;

// Guards against reports that are too old to be used when they arrive. Each of 75 daemons exchanges with
// one other twice a second, three times out of four within its failure domain.
#[test]
fn reports_of_75_daemons_in_four_domains_are_about_2_s_old() {
    let start = time::Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut fleet: Vec<LoadReports> = (0..75).map(|_| LoadReports::default()).collect();
    let mut now = start;
    for tick in 0..400 {
        now = start + time::Duration::from_millis(50) * tick;
        for n in (0..75).filter(|n| (*n as u32 + tick).is_multiple_of(TICKS)) {
            fleet[n].set_own(&format!("d{n}"), tick, vec![service_load(50, 11)], now);
            let is_same = rng.random_bool(0.75);
            let other = loop {
                let other = rng.random_range(0..75);
                if other != n && (!is_same || other % 4 == n % 4) {
                    break other;
                }
            };
            let opening = fleet[n].update(now);
            fleet[other].merge(&opening, now);
            let reply = fleet[other].update(now);
            fleet[n].merge(&reply, now);
        }
    }
    let known = fleet.iter().flat_map(|reports| reports.others.values());
    let mut ages: Vec<time::Duration> =
        known.map(|known| known.age(now)).filter(|age| *age <= spillover::REPORT_AGE_MAX).collect();
    ages.sort();
    println!("{} of {} reports, median {:?}", ages.len(), 75 * 74, ages[ages.len() / 2]);
    assert!(ages.len() > 75 * 74 * 8 / 10, "{} fresh reports", ages.len());
    assert!(ages[ages.len() / 2] < time::Duration::from_millis(2500), "{:?}", ages[ages.len() / 2]);
}

// Guards against the daemons' own time counting as latency of the network.
#[test]
fn the_round_trip_is_that_beyond_the_own_domain() {
    let now = time::Instant::now();
    let mut reports = LoadReports::default();
    for (domain, ms) in [("a", 20), ("b", 28), ("c", 15)] {
        reports.record_round_trip(&domain.into(), time::Duration::from_millis(ms), now);
    }
    let found = ["a", "b", "c", "d"].map(|domain| reports.round_trip("a", domain).as_millis());
    assert_eq!(found, [0, 8, 0, 0]);
}
