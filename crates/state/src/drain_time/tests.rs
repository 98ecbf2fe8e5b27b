//! Tests of callers that come back when they are told to, in simulated time.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use test_case::test_case;

use super::*;

const SLOTS: u32 = 10;
const RUN_S: f64 = 0.2;
const QUEUE: u32 = 10;
const OVERLOAD_S: f64 = 10.0;
/// Time that was told before, whatever the load.
const FIXED_S: f64 = 1.5;

/// Sends `load` times what a service of 50 requests/s can run for 10 s, then 0.6 times for 20 s. All
/// callers that are rejected come back after the time that they are told, with a jitter of 30%.
/// Returns the rejections per request, and the mean time from the first arrival to the start, in
/// seconds.
fn play(load: f64, adapts: bool, seed: u64) -> (f64, f64) {
    let start = time::Instant::now();
    let at = |seconds: f64| start + time::Duration::from_secs_f64(seconds);
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut drain = DrainTime::default();
    // Time and first arrival of each caller that comes.
    let mut arrivals: Vec<(f64, f64)> = Vec::new();
    let mut now = 0.0;
    while now < OVERLOAD_S + 20.0 {
        let share = if now < OVERLOAD_S { load } else { 0.6 };
        now += -(1.0 - rng.random::<f64>()).ln() * RUN_S / (f64::from(SLOTS) * share);
        arrivals.push((now, now));
    }
    let requests = arrivals.len() as f64;
    let (mut rejections, mut waits) = (0.0, 0.0);
    // Ends of the requests that each slot runs or is going to run, from the queue.
    let mut slots = vec![0.0_f64; SLOTS as usize];
    arrivals.sort_by(|a, b| b.0.total_cmp(&a.0));
    while let Some((now, first)) = arrivals.pop() {
        let free = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("there are slots");
        let wait = (*free - now).max(0.0);
        let queued = (wait * f64::from(SLOTS) / RUN_S) as u32;
        if queued < QUEUE {
            *free = now + wait + RUN_S;
            waits += now + wait - first;
            drain.record_served(time::Duration::from_secs_f64(RUN_S), at(now));
            continue;
        }
        rejections += 1.0;
        drain.record_rejected(at(now));
        drain.record_queue(load::Load { in_use: SLOTS, queued, slots: SLOTS }, at(now));
        let told = drain.retry_after(at(now)).map_or(FIXED_S, |after| after.as_secs_f64());
        let after = if adapts { told } else { FIXED_S } * rng.random_range(0.7..1.3);
        let index = arrivals.partition_point(|(at, _)| *at > now + after);
        arrivals.insert(index, (now + after, first));
    }
    (rejections / requests, waits / requests)
}

/// Guards against callers that are told to come back while there is still no capacity, and against
/// capacity that is unused since they come back late.
#[test_case(1.1, 1.02; "a service at 110 percent for 10 s")]
#[test_case(1.7, 0.8; "a service at 170 percent for 10 s")]
#[test_case(3.0, 0.5; "a service at 300 percent for 10 s")]
fn callers_come_back_when_there_is_capacity(load: f64, fraction_max: f64) {
    let mean = |adapts| {
        let sums = (0..5).map(|seed| play(load, adapts, seed));
        let (rejections, wait) = sums.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        (rejections / 5.0, wait / 5.0)
    };
    let ((rejections, wait), (rejections_fixed, wait_fixed)) = (mean(true), mean(false));
    let rejections_max = rejections_fixed * fraction_max;
    assert!(rejections <= rejections_max, "{rejections:.2}, {rejections_fixed:.2}");
    assert!(wait <= wait_fixed * 1.02, "{wait:.2} s, {wait_fixed:.2} s");
}

#[test_case(0, 1500; "hardly any rejections")]
#[test_case(100_000, 6000; "nearly everything is rejected")]
fn the_time_is_bounded(rejections: u32, expected_ms: u128) {
    let now = time::Instant::now();
    let mut drain = DrainTime::default();
    (0..10).for_each(|_| drain.record_served(time::Duration::from_millis(200), now));
    (0..rejections).for_each(|_| drain.record_rejected(now));
    assert_eq!(drain.retry_after(now).map(|after| after.as_millis()), Some(expected_ms));
}
