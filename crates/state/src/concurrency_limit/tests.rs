//! Tests of loads under which a backend server rejects requests, in simulated time.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use test_case::test_case;

use super::*;

const SLOTS: u32 = 11;
const MEAN_S: f64 = 0.19;
/// Time in which a backend server states that it does not run a request.
const REJECTION_S: f64 = 0.002;
const FAULT: std::ops::Range<f64> = 12.0..20.0;

/// Fault of a backend server from 12 to 20 s.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// It runs this many requests at a time and rejects others.
    Capacity(u32),
    /// It rejects this fraction of its arrivals.
    Random(f64),
}

/// Result of a run, by what was started in the fault.
#[derive(Debug, Default)]
struct Usage {
    started: u32,
    rejected: u32,
    ran: u32,
    /// Seconds after the fault from which all slots may be used.
    recovered: f64,
}

/// Sends requests at `load` times what the slots can run, of which up to 8 wait, for 25 s.
/// Without `adapts`, the limit has no effect.
fn play(fault: Fault, load: f64, adapts: bool, seed: u64) -> Usage {
    let start = time::Instant::now();
    let at = |seconds: f64| start + time::Duration::from_secs_f64(seconds);
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut limit = ConcurrencyLimit::default();
    let (mut usage, mut waiting) = (Usage::default(), 0_u32);
    // End and start of each request, whether it is run, and the number running when it was sent.
    let mut running: Vec<(f64, f64, bool, u32)> = Vec::new();
    let mut next = 0.0;
    for now in (0..25_000).map(|ms| f64::from(ms) * 0.001) {
        for (_, sent, is_run, beside) in running.extract_if(.., |(end, ..)| *end <= now) {
            limit.record(!is_run, beside, SLOTS, at(sent), at(now));
        }
        while next <= now {
            next += -(1.0 - rng.random::<f64>()).ln() * MEAN_S / (load * f64::from(SLOTS));
            waiting = (waiting + 1).min(8);
        }
        let slots = if adapts { limit.slots(SLOTS, at(now)) } else { SLOTS };
        while waiting > 0 && (running.len() as u32) < slots {
            waiting -= 1;
            let in_use = running.iter().filter(|(_, _, is_run, _)| *is_run).count() as u32;
            let is_run = !FAULT.contains(&now)
                || match fault {
                    Fault::Capacity(capacity) => in_use < capacity,
                    Fault::Random(rate) => !rng.random_bool(rate),
                };
            let time = if is_run { MEAN_S * rng.random_range(0.8..1.2) } else { REJECTION_S };
            running.push((now + time, now, is_run, running.len() as u32 + 1));
            if FAULT.contains(&now) {
                usage.started += 1;
                usage.rejected += u32::from(!is_run);
                usage.ran += u32::from(is_run);
            }
        }
        if now > FAULT.end && slots < SLOTS {
            usage.recovered = now - FAULT.end;
        }
    }
    usage
}

/// Guards against retries that are spent on a server that has no capacity, against slots that stay
/// empty meanwhile, and against a limit that outlasts the overload.
#[test_case(5, 1.1; "half of the capacity for 8 s at 110 percent")]
#[test_case(5, 1.7; "half of the capacity for 8 s at 170 percent")]
#[test_case(8, 1.1; "three quarters of the capacity for 8 s at 110 percent")]
#[test_case(1, 1.1; "one slot for 8 s at 110 percent")]
fn a_server_without_capacity_gets_what_it_can_run(capacity: u32, load: f64) {
    for seed in 0..5 {
        let usage = play(Fault::Capacity(capacity), load, true, seed);
        let unlimited = play(Fault::Capacity(capacity), load, false, seed);
        let possible = f64::from(capacity) * 8.0 / MEAN_S;
        assert!(f64::from(usage.ran) > 0.9 * possible, "{usage:?}, {possible:.0} possible");
        // One rejection in 0.4 s is needed, or the limit could not end within a second; allowed is
        // one in 0.25 s, and what arrives before the limit may fall. With a capacity of 5 and more
        // that is less than the retries that the budget allows, one for five requests in 10 s.
        let arriving = load * f64::from(SLOTS) / MEAN_S * JUDGED_AFTER.as_secs_f64();
        let rejected_max = 8.0 / 0.25 + arriving;
        let most = f64::from(unlimited.rejected) / 5.0;
        assert!(f64::from(usage.rejected) < rejected_max.min(most), "{usage:?} {unlimited:?}");
        assert!(usage.recovered < 1.0, "{usage:?}");
    }
}

/// Guards against a server that rejects at random and is then hardly used: the half that it runs
/// would be lost too.
#[test_case(0.5, 0.8; "half of the arrivals rejected for 8 s")]
#[test_case(0.3, 0.8; "three in ten of the arrivals rejected for 8 s")]
#[test_case(0.5, 1.7; "half of the arrivals rejected for 8 s at 170 percent")]
fn a_server_that_rejects_at_random_keeps_its_slots(rate: f64, load: f64) {
    for seed in 0..5 {
        let usage = play(Fault::Random(rate), load, true, seed);
        let unlimited = play(Fault::Random(rate), load, false, seed);
        assert!(f64::from(usage.ran) > 0.9 * f64::from(unlimited.ran), "{usage:?} {unlimited:?}");
        assert!(usage.recovered < 1.0, "{usage:?}");
    }
}

/// Guards against a limit for a server that has nothing but a few rejections.
#[test]
fn without_rejections_there_is_no_limit() {
    let now = time::Instant::now();
    let mut limit = ConcurrencyLimit::default();
    (1..=SLOTS).for_each(|running| limit.record(false, running, SLOTS, now, now));
    limit.record(true, 3, SLOTS, now, now);
    assert_eq!(limit.slots(SLOTS, now), SLOTS);
    assert_eq!(limit.cause(SLOTS, now), Cause::None);
}
