//! Tests of quotas over simulated fleets, each named after its load.

use std::time;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use rand::Rng;
use test_case::test_case;

use super::simulation;
use super::simulation::Planted;
use crate::ids;
use crate::quota;
use crate::quota::bounds;
use crate::quota::message;
use crate::quota::owner;
use crate::quota::spender;

const WINDOW_MS: u64 = 5000;
const DAEMONS: usize = 78;
/// Network between the failure domains of the first customer, with delays of busy VMs.
const NETWORK: simulation::Network = simulation::Network { latency_ms: 2, jitter_ms: 6, loss: 0.0 };
/// Time after the start of the fleet at which loads begin.
const STARTED_MS: u64 = 10_000;

/// Where the callers of an organisation send their requests.
#[derive(Debug, Clone, Copy)]
enum Callers {
    OneDaemon,
    Spread,
    /// At the daemons of one of three failure domains, in the next one after each second.
    MovingDomains,
}

impl Callers {
    fn daemon(self, elapsed_ms: u64, rng: &mut impl Rng) -> usize {
        match self {
            Callers::OneDaemon => 5,
            Callers::Spread => rng.random_range(0..DAEMONS),
            Callers::MovingDomains => {
                let domain = (elapsed_ms / 1000) as usize % 3;
                domain * DAEMONS / 3 + rng.random_range(0..DAEMONS / 3)
            }
        }
    }
}

fn limit(rate: f64) -> quota::Limit {
    quota::Limit { rate, burst: rate }
}

/// Runs a fleet to `until_ms`, with random arrivals of each load: organisation, callers, requests
/// per second, and the range of milliseconds in which they are sent.
fn run(
    fleet: &mut simulation::Fleet,
    loads: &[(&str, Callers, f64, std::ops::Range<u64>)],
    until_ms: u64,
) {
    while fleet.now_ms < until_ms {
        fleet.step();
        for (organisation, callers, rate, range) in loads {
            if !range.contains(&fleet.now_ms) {
                continue;
            }
            let mut expected = rate * simulation::STEP_MS as f64 / 1000.0;
            while expected > 0.0 {
                if fleet.rng.random_bool(expected.min(1.0)) {
                    let daemon = callers.daemon(fleet.now_ms - range.start, &mut fleet.rng);
                    fleet.request(daemon, organisation, 1);
                }
                expected -= 1.0;
            }
        }
    }
}

fn check_bound(fleet: &simulation::Fleet, organisation: &str, limit: &quota::Limit) {
    let busiest = fleet.busiest_window(organisation, WINDOW_MS);
    let allowed = bounds::Bounds::default().runs_max(limit);
    assert!(busiest as f64 <= allowed, "{organisation}: {busiest} in a window, allowed {allowed}");
}

#[test_case(Callers::OneDaemon, 3.0; "three times the quota at one daemon")]
#[test_case(Callers::OneDaemon, 8.0; "eight times the quota at one daemon")]
#[test_case(Callers::Spread, 3.0; "three times the quota spread evenly")]
#[test_case(Callers::Spread, 8.0; "eight times the quota spread evenly")]
#[test_case(Callers::MovingDomains, 3.0; "three times the quota moving between domains")]
#[test_case(Callers::MovingDomains, 8.0; "eight times the quota moving between domains")]
fn a_hot_organisation_gets_its_quota_and_no_more(callers: Callers, times: f64) {
    for rate in [8.0, 96.0] {
        let limit = limit(rate);
        let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 1);
        fleet.set_limit("hot", limit);
        let end_ms = STARTED_MS + 9000;
        run(&mut fleet, &[("hot", callers, rate * times, STARTED_MS..end_ms)], end_ms);
        check_bound(&fleet, "hot", &limit);
        let admitted = simulation::Fleet::count(&fleet.admitted, "hot", STARTED_MS..end_ms);
        let within = rate * 9.0 + limit.burst;
        assert!(admitted as f64 >= 0.99 * within, "{admitted} of {within} within the quota");
    }
}

#[test_case(Callers::OneDaemon; "at one daemon")]
#[test_case(Callers::Spread; "spread evenly")]
#[test_case(Callers::MovingDomains; "moving between domains")]
fn at_six_tenths_of_the_quota_nothing_is_rejected_ten_seconds_after_the_start(callers: Callers) {
    let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 2);
    let names: Vec<String> = (0..74).map(|n| format!("o{n}")).collect();
    let mut loads = Vec::new();
    for (n, name) in names.iter().enumerate() {
        // 1 to 60 requests/s, most of them small.
        let usual = 60.0 / (1.0 + n as f64).min(60.0);
        fleet.set_limit(name, limit(1.6 * usual));
        loads.push((name.as_str(), callers, 0.6 * 1.6 * usual, STARTED_MS..STARTED_MS + 15_000));
    }
    run(&mut fleet, &loads, STARTED_MS + 15_200);
    let admitted: usize = fleet.admitted.values().map(Vec::len).sum();
    let rejected: usize = fleet.rejected.values().map(Vec::len).sum();
    assert_eq!(rejected, 0, "{admitted} admitted, rejected: {:?}", fleet.rejected);
}

#[test]
fn two_organisations_at_eight_times_at_once_take_nothing_from_the_others() {
    let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 3);
    let end_ms = STARTED_MS + 8000;
    let mut loads = Vec::new();
    for name in ["hot-1", "hot-2"] {
        fleet.set_limit(name, limit(40.0));
        loads.push((name, Callers::Spread, 320.0, STARTED_MS..end_ms));
    }
    for name in ["a", "b", "c"] {
        fleet.set_limit(name, limit(16.0));
        loads.push((name, Callers::Spread, 9.6, STARTED_MS..end_ms));
    }
    run(&mut fleet, &loads, end_ms);
    for name in ["hot-1", "hot-2"] {
        check_bound(&fleet, name, &limit(40.0));
        let admitted = simulation::Fleet::count(&fleet.admitted, name, STARTED_MS..end_ms);
        assert!(admitted >= 356, "{name}: {admitted} of 360 within the quota");
    }
    for name in ["a", "b", "c"] {
        assert_eq!(simulation::Fleet::count(&fleet.rejected, name, 0..end_ms), 0, "{name}");
    }
}

#[test_case(1.0; "one request per second")]
#[test_case(2.0; "two requests per second")]
fn a_small_organisation_over_78_daemons_is_not_rejected(rate: f64) {
    for seed in 0..5 {
        let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, seed);
        fleet.set_limit("small", limit(1.6 * rate));
        let end_ms = STARTED_MS + 40_000;
        run(&mut fleet, &[("small", Callers::Spread, rate, STARTED_MS..end_ms)], end_ms + 200);
        assert_eq!(simulation::Fleet::count(&fleet.rejected, "small", 0..u64::MAX), 0);
    }
}

#[test]
fn a_lowered_limit_holds_one_window_after_it_is_in_force_at_eight_times_the_load() {
    let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 4);
    fleet.set_limit("hot", limit(96.0));
    let (lowered_ms, end_ms) = (STARTED_MS + 4000, STARTED_MS + 16_000);
    run(&mut fleet, &[("hot", Callers::Spread, 768.0, STARTED_MS..lowered_ms)], lowered_ms);
    let lowered = limit(4.0);
    fleet.set_limit("hot", lowered);
    run(&mut fleet, &[("hot", Callers::Spread, 768.0, lowered_ms..end_ms)], end_ms);
    fleet.admitted.values_mut().for_each(|times| times.retain(|at| *at > lowered_ms));
    check_bound(&fleet, "hot", &lowered);
}

// Guards against callers that all come back at the moment at which there is room for one of them.
#[test]
fn rejected_callers_at_eight_times_the_quota_are_told_different_times() {
    let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 5);
    fleet.set_limit("hot", limit(96.0));
    let end_ms = STARTED_MS + 6000;
    run(&mut fleet, &[("hot", Callers::Spread, 768.0, STARTED_MS..end_ms)], end_ms);
    let rooms = &fleet.rooms;
    assert!(rooms.iter().all(|room| !room.is_zero() && room.as_secs() <= 11));
    for second in 0..8 {
        let within = rooms.iter().filter(|room| room.as_secs() == second).count();
        assert!(within * 4 < rooms.len(), "{within} of {} after {second} s", rooms.len());
    }
}

#[test]
fn an_owner_that_is_killed_and_restarted_serves_its_organisations_again_within_five_seconds() {
    let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 6);
    fleet.set_limit("o", limit(16.0));
    let (killed_ms, end_ms) = (STARTED_MS + 2000, STARTED_MS + 20_000);
    let load = |until| [("o", Callers::Spread, 9.6, STARTED_MS..until)];
    run(&mut fleet, &load(end_ms), killed_ms);
    let owner = fleet.owner_of("o");
    fleet.kill(owner);
    run(&mut fleet, &load(end_ms), killed_ms + 1000);
    fleet.restart(owner);
    run(&mut fleet, &load(end_ms), end_ms);
    let late = simulation::Fleet::count(&fleet.rejected, "o", killed_ms + 5000..end_ms);
    assert_eq!(late, 0, "{:?}", fleet.rejected);
}

// One organisation at eight times its quota and 20 others at six tenths of theirs; 47 daemons are
// killed for 1.5 s, and eight others are in another partition for 15 s.
#[test]
fn the_bound_holds_at_eight_times_with_sixty_percent_killed_and_a_tenth_partitioned() {
    let mut fleet = simulation::Fleet::new(DAEMONS, NETWORK, Planted::None, 7);
    let end_ms = STARTED_MS + 30_000;
    fleet.set_limit("hot", limit(96.0));
    let mut loads = vec![("hot", Callers::Spread, 768.0, STARTED_MS..end_ms)];
    let names: Vec<String> = (0..20).map(|n| format!("o{n}")).collect();
    for name in &names {
        fleet.set_limit(name, limit(16.0));
        loads.push((name, Callers::Spread, 9.6, STARTED_MS..end_ms));
    }
    run(&mut fleet, &loads, STARTED_MS + 2000);
    (70..78).for_each(|daemon| fleet.set_part(daemon, 1));
    run(&mut fleet, &loads, STARTED_MS + 3000);
    (0..47).for_each(|daemon| fleet.kill(daemon));
    run(&mut fleet, &loads, STARTED_MS + 4500);
    (0..47).for_each(|daemon| fleet.restart(daemon));
    run(&mut fleet, &loads, STARTED_MS + 17_000);
    (70..78).for_each(|daemon| fleet.set_part(daemon, 0));
    run(&mut fleet, &loads, end_ms);
    check_bound(&fleet, "hot", &limit(96.0));
    let count = |times, range: std::ops::Range<u64>| -> usize {
        names.iter().map(|name| simulation::Fleet::count(times, name, range.clone())).sum()
    };
    // Five seconds after the partition has ended, all organisations have their quota again.
    assert_eq!(count(&fleet.rejected, end_ms - 8000..end_ms), 0);
}

/// Returns the number of requests that an ingress admits at `later_ms`, of eight, after an ask at 0 ms
/// and a response with four tokens that arrives at `arrived_ms`.
fn check_tokens(arrived_ms: u64, later_ms: u64) -> usize {
    let start = time::Instant::now();
    let at = |ms| start + time::Duration::from_millis(ms);
    let organisation: ids::OrganisationName = "o".into();
    let mut spender = spender::Spender::default();
    let limit = limit(10.0);
    spender.admit(&organisation, &limit, start, start);
    let asks = spender.asks(start);
    let grant =
        message::Grant { organisation: organisation.clone(), tokens: 4, seq: 1, wait_ms: 0 };
    spender.apply(&asks, &[grant], start, at(arrived_ms));
    let later = at(later_ms);
    let decisions = (0..8).map(|_| spender.admit(&organisation, &limit, later, later));
    decisions.filter(|decision| *decision == spender::Decision::Admit).count()
}

// Guards against an ingress that was paused, or whose VM was suspended, and spends tokens that the
// owner has lent to others since.
#[test_case(10, 20, 4; "tokens in time")]
#[test_case(10, 501, 0; "tokens expired since")]
#[test_case(600, 610, 0; "response read after the tokens expired")]
#[test_case(490, 495, 4; "response read just in time")]
fn tokens_expire_with_the_ask(arrived_ms: u64, later_ms: u64, admitted: usize) {
    assert_eq!(check_tokens(arrived_ms, later_ms), admitted);
}

/// Returns the tokens that a settled owner lends to ingress `b`, of 100 wanted and 10 in the bucket,
/// after ingress `a` got 10 and has reported in a second ask, after 10 ms, to hold `held` of them.
fn check_loan(knows_grant: bool, held: u32) -> u32 {
    let start = time::Instant::now();
    let at = |ms| start + time::Duration::from_millis(ms);
    let bounds = bounds::Bounds { window: time::Duration::from_secs(5), excess: 0.0, slack: 0.0 };
    let limit = quota::Limit { rate: 1000.0, burst: 10.0 };
    let mut owner = owner::Owner::new(bounds, 1, start);
    (0..20).for_each(|n| owner.tick(at(n * 1000)));
    let position =
        owner::Position { age: time::Duration::MAX, share: 1.0, silence: time::Duration::ZERO };
    let ask = |held, seq, wanted| message::Ask {
        organisation: "o".into(),
        held,
        seq,
        wanted,
        advance: 0,
    };
    let granted = owner.lend(&"a".into(), &ask(0, 0, 10), &limit, position, at(20_000));
    assert_eq!(granted.tokens, 10);
    let seq = if knows_grant { granted.seq } else { 0 };
    owner.lend(&"a".into(), &ask(held, seq, 0), &limit, position, at(20_010));
    owner.lend(&"b".into(), &ask(0, 0, 100), &limit, position, at(20_030)).tokens
}

// Guards against an owner that regards tokens as spent that are on their way to the ingress.
#[test_case(true, 0, 10; "all were spent")]
#[test_case(true, 4, 6; "some were spent")]
#[test_case(false, 0, 0; "the grant has not arrived")]
fn lent_tokens_take_up_room_until_the_ingress_reports_them(
    knows_grant: bool,
    held: u32,
    lent: u32,
) {
    assert_eq!(check_loan(knows_grant, held), lent);
}

/// A fault that is injected into a fleet.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill { down_ms: u64 },
    Pause { duration_ms: u64 },
    Partition { duration_ms: u64 },
}

/// A random history of a small fleet: its size, network, load and faults.
#[derive(Debug, Clone)]
struct History {
    daemons: usize,
    network: simulation::Network,
    rate: f64,
    times: f64,
    faults: Vec<(u64, usize, Fault)>,
    seed: u64,
}

fn histories() -> impl Strategy<Value = History> {
    let fault = prop_oneof![
        (0_u64..6000).prop_map(|down_ms| Fault::Kill { down_ms }),
        (100_u64..12_000).prop_map(|duration_ms| Fault::Pause { duration_ms }),
        (500_u64..25_000).prop_map(|duration_ms| Fault::Partition { duration_ms }),
    ];
    let faults = proptest::collection::vec((2000_u64..28_000, 0_usize..6, fault), 0..10);
    let network =
        (1_u64..20, 0_u64..120, 0.0_f64..0.3).prop_map(|(latency_ms, jitter_ms, loss)| {
            simulation::Network { latency_ms, jitter_ms, loss }
        });
    (3_usize..=6, network, 1.0_f64..60.0, 1.0_f64..10.0, faults, any::<u64>()).prop_map(
        |(daemons, network, rate, times, faults, seed)| History {
            daemons,
            network,
            rate,
            times,
            faults,
            seed,
        },
    )
}

/// Plays a history and returns the largest number of requests in a window, as a fraction of what the
/// bound allows.
fn play(history: &History, planted: Planted) -> f64 {
    let History { daemons, network, rate, times, faults, seed } = history.clone();
    let mut fleet = simulation::Fleet::new(daemons, network, planted, seed);
    let limit = limit(rate);
    fleet.set_limit("o", limit);
    let mut events: Vec<(u64, usize, Option<Fault>)> = Vec::new();
    for (at, daemon, fault) in faults {
        events.push((at, daemon % daemons, Some(fault)));
        let end = match fault {
            Fault::Kill { down_ms } => at + down_ms,
            Fault::Partition { duration_ms } => at + duration_ms,
            Fault::Pause { .. } => continue,
        };
        events.push((end, daemon % daemons, None));
    }
    events.sort_by_key(|event| event.0);
    let mut events = events.into_iter().peekable();
    while fleet.now_ms < 40_000 {
        fleet.step();
        let now_ms = fleet.now_ms;
        while let Some((_, daemon, fault)) = events.next_if(|event| event.0 <= now_ms) {
            match fault {
                Some(Fault::Kill { .. }) => fleet.kill(daemon),
                Some(Fault::Pause { duration_ms }) => fleet.pause(daemon, duration_ms),
                Some(Fault::Partition { .. }) => fleet.set_part(daemon, 1),
                None => {
                    fleet.set_part(daemon, 0);
                    fleet.restart(daemon);
                }
            }
        }
        let expected = rate * times * simulation::STEP_MS as f64 / 1000.0;
        let count = expected as usize + usize::from(fleet.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let daemon = fleet.rng.random_range(0..daemons);
            fleet.request(daemon, "o", 1);
        }
    }
    fleet.busiest_window("o", WINDOW_MS) as f64 / bounds::Bounds::default().runs_max(&limit)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn the_bound_holds_over_kills_pauses_losses_and_partitions(history in histories()) {
        let used = play(&history, Planted::None);
        prop_assert!(used <= 1.0, "{} of the bound", used);
    }
}

// Guards against a test of the bound that passes whatever the daemons do.
#[test_case(Planted::FullBucket; "a restarted owner has a full bucket")]
#[test_case(Planted::FullShare; "a part of the fleet lends the whole rate")]
fn planted_errors_are_detected(planted: Planted) {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut worst = 0.0_f64;
    for _ in 0..400 {
        let history = histories().new_tree(&mut runner).expect("a history").current();
        worst = worst.max(play(&history, planted));
        if worst > 1.0 {
            return;
        }
    }
    panic!("the planted error was not detected: {worst} of the bound");
}

#[test]
fn a_bounded_number_of_organisations_is_counted_by_name() {
    let now = time::Instant::now();
    let mut spender = spender::Spender::default();
    for n in 0..1000 {
        let name = format!("o{n}").as_str().into();
        for _ in 0..=n % 7 {
            spender.admit(&name, &limit(1.0), now, now);
        }
        if n < 500 {
            let late = now + spender::WAIT_MAX;
            spender.admit(&name, &limit(1.0), now, late);
        }
    }
    let counts = spender.counts();
    let names = counts.iter().filter(|count| count.organisation.is_some()).count();
    assert!((1..=20).contains(&names), "{names}");
    assert_eq!(counts.iter().map(|count| count.rejected).sum::<u64>(), 500);
}
