//! Tests of the fleet's retry budget under the load patterns that need it most.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use rand::seq::SliceRandom;
use test_case::test_case;

use super::*;

const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Sidecars that an ingress asks for a retry.
const ASKED: usize = 8;

/// A service under load: the requests per second of the whole fleet, of which a fraction fails in
/// some seconds and is to be retried.
struct Load {
    upstreams: usize,
    rate: u32,
    failure_share: f64,
    /// Seconds in which requests fail.
    failing: std::ops::Range<u32>,
    /// Seconds at whose start all sidecars restart.
    restarts: &'static [u32],
    /// Need of the requests that fail.
    need: retry_need::RetryNeed,
}

const CALL: retry_need::RetryNeed =
    retry_need::RetryNeed { is_call: true, rank: 0, not_run: true, is_on_time: true, success: 1.0 };
const URGENT: retry_need::RetryNeed = retry_need::RetryNeed { is_call: false, ..CALL };
/// Need of a request that comes after all others.
const LAST: retry_need::RetryNeed = retry_need::RetryNeed {
    is_call: false,
    rank: 2,
    not_run: false,
    is_on_time: false,
    success: 0.0,
};

/// What a service was allowed and what it used.
struct Usage {
    /// First attempts and retries, by tenth of a second.
    ticks: Vec<(u32, u32)>,
    denied: u32,
}

const SECONDS: u32 = 30;
const TICKS_PER_SECOND: u32 = 10;

/// Plays 30 seconds of a load, each retry asking up to [`ASKED`] random upstreams.
fn play(load: &Load, fleet: &FleetBudget) -> Usage {
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let start = time::Instant::now();
    let mut budgets = vec![UpstreamBudget::new(start); load.upstreams];
    let mut order: Vec<usize> = (0..load.upstreams).collect();
    let mut usage = Usage { ticks: Vec::new(), denied: 0 };
    for tick in 0..SECONDS * TICKS_PER_SECOND {
        let now = start + time::Duration::from_millis(100) * tick;
        if tick % TICKS_PER_SECOND == 0 && load.restarts.contains(&(tick / TICKS_PER_SECOND)) {
            budgets.fill(UpstreamBudget::new(now));
        }
        let is_failing = load.failing.contains(&(tick / TICKS_PER_SECOND));
        let requests = load.rate / TICKS_PER_SECOND;
        let mut retries = 0;
        for _ in 0..requests {
            let first = rng.random_range(0..load.upstreams);
            budgets[first].record_first_attempt(fleet, 0.0, now);
            if !is_failing || !rng.random_bool(load.failure_share) {
                continue;
            }
            let (asked, _) = order.partial_shuffle(&mut rng, ASKED);
            let is_allowed =
                asked.iter().any(|&index| budgets[index].withdraw(fleet, &load.need, now));
            retries += u32::from(is_allowed);
            usage.denied += u32::from(!is_allowed);
        }
        usage.ticks.push((requests, retries));
    }
    usage
}

impl Usage {
    /// Returns the largest excess of the retries in any window over the bound for its requests.
    fn excess(&self, ratio: f64, reserve: f64) -> f64 {
        let length = (WINDOW.as_secs() as usize) * TICKS_PER_SECOND as usize;
        let window_excess = |ticks: &[(u32, u32)]| {
            let requests: u32 = ticks.iter().map(|(requests, _)| requests).sum();
            let retries: u32 = ticks.iter().map(|(_, retries)| retries).sum();
            f64::from(retries) - ratio * f64::from(requests) - reserve
        };
        self.ticks.windows(length).map(window_excess).fold(f64::MIN, f64::max)
    }

    fn retries(&self) -> u32 {
        self.ticks.iter().map(|(_, retries)| retries).sum()
    }
}

/// Retries per request, and retries beyond that in a window, that the users allow.
const RATIO: f64 = 0.2;
const SMALL_RESERVE: f64 = 60.0;
const LARGE_RESERVE: f64 = 430.0;
const SMALL: FleetBudget =
    FleetBudget { ratio: RATIO * 0.8, reserve: SMALL_RESERVE * 0.5, window: WINDOW, upstreams: 21 };
const LARGE: FleetBudget = FleetBudget {
    ratio: RATIO * 0.8,
    reserve: LARGE_RESERVE * 0.5,
    window: WINDOW,
    upstreams: 183,
};

#[test_case(&SMALL, 120, 1.0, &[]; "all requests fail")]
#[test_case(&SMALL, 120, 0.55, &[]; "half of the requests are shed")]
#[test_case(&SMALL, 120, 1.0, &[15]; "all sidecars restart while all requests fail")]
#[test_case(&SMALL, 120, 1.0, &[14, 19]; "all sidecars restart twice while all requests fail")]
#[test_case(&SMALL, 20, 1.0, &[]; "few requests, all of which fail")]
#[test_case(&LARGE, 1040, 1.0, &[15]; "all sidecars of a large fleet restart while all requests fail")]
fn the_bound_of_the_fleet_holds_in_every_window(
    fleet: &FleetBudget,
    rate: u32,
    failure_share: f64,
    restarts: &'static [u32],
) {
    let upstreams = fleet.upstreams;
    let load = Load { upstreams, rate, failure_share, failing: 10..25, restarts, need: CALL };
    let excess = play(&load, fleet).excess(RATIO, fleet.reserve * 2.0);
    assert!(excess <= 0.0, "{excess} retries too many");
}

#[test_case(&SMALL, 120, CALL; "small fleet")]
#[test_case(&LARGE, 1040, CALL; "large fleet, of which each daemon sees few requests")]
#[test_case(&SMALL, 120, URGENT; "small fleet, urgent requests")]
#[test_case(&LARGE, 1040, URGENT; "large fleet, urgent requests")]
#[test_case(&SMALL, 120, LAST; "small fleet, requests that come last")]
#[test_case(&LARGE, 1040, LAST; "large fleet, requests that come last")]
fn no_retry_is_denied_while_the_fleet_has_used_less_than_four_fifths(
    fleet: &FleetBudget,
    rate: u32,
    need: retry_need::RetryNeed,
) {
    // What fails needs four fifths of what the first attempts earn.
    let failure_share = fleet.ratio * 0.8;
    let upstreams = fleet.upstreams;
    let load = Load { upstreams, rate, failure_share, failing: 3..30, restarts: &[], need };
    let usage = play(&load, fleet);
    assert_eq!(usage.denied, 0, "of {}", usage.retries() + usage.denied);
}

#[test_case(&SMALL, 120, CALL; "small fleet")]
#[test_case(&LARGE, 1040, CALL; "large fleet")]
#[test_case(&SMALL, 120, URGENT; "small fleet, urgent requests")]
#[test_case(&LARGE, 1040, URGENT; "large fleet, urgent requests")]
fn a_burst_of_failures_can_use_what_all_upstreams_have_saved(
    fleet: &FleetBudget,
    rate: u32,
    need: retry_need::RetryNeed,
) {
    // Half of the requests fail in one second, as after the loss of many upstreams.
    let load = Load {
        upstreams: fleet.upstreams,
        rate,
        failure_share: 0.5,
        failing: 20..21,
        restarts: &[],
        need,
    };
    let saved = fleet.reserve * SAVED_FRACTION + fleet.ratio * f64::from(rate) * 2.5;
    let usage = play(&load, fleet);
    let used = f64::from(usage.retries());
    let needed = f64::from(usage.retries() + usage.denied);
    assert!(used >= (0.8 * saved).min(needed), "{used} of {needed}, {saved} saved");
}

#[test]
fn calls_made_by_retried_requests_draw_on_the_budget() {
    let fleet = FleetBudget { ratio: 0.2, reserve: 0.0, window: WINDOW, upstreams: 1 };
    let now = time::Instant::now();
    let mut budget = UpstreamBudget::new(now);
    let allowed = (0..100).filter(|_| {
        budget.record_first_attempt(&fleet, 0.2, now);
        budget.withdraw(&fleet, &CALL, now)
    });
    assert_eq!(allowed.count(), 1, "only the retry granted at first");
}

#[test]
fn a_sidecar_that_has_just_started_gets_no_part_of_the_reserve() {
    // It knows one of the upstreams that share the reserve.
    let fleet = FleetBudget { ratio: 0.0, reserve: 100.0, window: WINDOW, upstreams: 1 };
    let start = time::Instant::now();
    let mut budget = UpstreamBudget::new(start);
    let mut withdraw_all =
        |now| std::iter::from_fn(|| budget.withdraw(&fleet, &CALL, now).then_some(())).count();
    assert_eq!(withdraw_all(start + RESERVE_DELAY / 2), 1);
    assert!(withdraw_all(start + RESERVE_DELAY) > 1);
}

#[test]
fn the_reserve_refills_over_the_window() {
    // Few requests, all of which fail. The ratio alone allows a retry for one in five.
    let fleet = FleetBudget { ratio: 0.2, reserve: 10.0, window: WINDOW, upstreams: 1 };
    let start = time::Instant::now();
    let mut budget = UpstreamBudget::new(start);
    let retries = (0..40_u32).filter(|second| {
        let now = start + time::Duration::from_secs(1) * *second;
        budget.record_first_attempt(&fleet, 0.0, now);
        budget.withdraw(&fleet, &CALL, now)
    });
    let retries = retries.count();
    assert!((20..=28).contains(&retries), "{retries} of 40");
}

#[test]
fn a_refunded_retry_can_be_used_again() {
    let fleet = FleetBudget { ratio: 1.0, reserve: 0.0, window: WINDOW, upstreams: 1 };
    let now = time::Instant::now();
    let mut budget = UpstreamBudget::new(now);
    assert!(budget.withdraw(&fleet, &CALL, now));
    assert_eq!(budget.retries_left(), 0);
    budget.refund();
    assert_eq!(budget.retries_left(), 1);
    assert!(budget.withdraw(&fleet, &CALL, now) && !budget.withdraw(&fleet, &CALL, now));
}

/// Half of the arrivals of one upstream are rejected for 8 s, of two ranks and of calls, in random
/// order. Guards against retries that go to whoever asks first.
#[test]
fn half_of_the_arrivals_rejected_for_8_s_retries_go_to_calls_then_by_rank() {
    let kinds = [CALL, URGENT, LAST];
    let (mut asked, mut granted) = ([0_u32; 3], [0_u32; 3]);
    for seed in 0..8 {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let start = time::Instant::now();
        let mut budget = UpstreamBudget::new(start);
        for number in 0..2000_u32 {
            let now = start + time::Duration::from_millis(10) * number;
            budget.record_first_attempt(&SMALL, 0.0, now);
            if number < 1200 || !rng.random_bool(0.5) {
                continue;
            }
            // One in ten is a call.
            let kind = [0, 1, 1, 1, 1, 1, 2, 2, 2, 2][rng.random_range(0..10)];
            asked[kind] += 1;
            granted[kind] += u32::from(budget.withdraw(&SMALL, &kinds[kind], now));
        }
    }
    let [calls, urgent, last] = [0, 1, 2].map(|kind| granted[kind] as f64 / asked[kind] as f64);
    assert!(calls > 0.95, "{calls:.2} of the calls");
    assert!(urgent > 3.0 * last, "{urgent:.2} of the urgent, {last:.2} of the last");
}

/// Guards against an upstream that has just started and denies the first retry that it is asked for:
/// it has saved less than it could.
#[test_case(CALL; "call")]
#[test_case(URGENT; "urgent request")]
#[test_case(LAST; "request that comes last")]
fn the_first_retry_after_a_start_is_granted(need: retry_need::RetryNeed) {
    let start = time::Instant::now();
    let mut budget = UpstreamBudget::new(start);
    for number in 0..10_u32 {
        budget.record_first_attempt(&LARGE, 0.0, start + time::Duration::from_millis(10) * number);
    }
    assert!(budget.withdraw(&LARGE, &need, start + time::Duration::from_millis(100)));
}
