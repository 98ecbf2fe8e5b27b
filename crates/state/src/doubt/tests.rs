//! Tests of the belief about an upstream.

use test_case::test_case;

use super::*;

fn check(results: &[bool], rest: time::Duration, expected: bool) {
    let now = time::Instant::now();
    let mut doubt = Doubt::new(now);
    results.iter().for_each(|&worked| doubt.record(worked, now));
    assert_eq!(doubt.is_serious(now + rest), expected, "{doubt:?}");
}

#[test_case(&[], 0, false; "nothing is known")]
#[test_case(&[false], 0, true; "one failure")]
#[test_case(&[false, true], 0, true; "a failure and a success")]
#[test_case(&[false, true, true, true], 0, false; "three successes clear one failure")]
#[test_case(&[false, false, false, true], 0, true; "a success among failures")]
#[test_case(&[false, false], 10, false; "old failures")]
fn results_make_and_clear_doubt(results: &[bool], rest_s: u64, expected: bool) {
    check(results, time::Duration::from_secs(rest_s), expected);
}

#[test]
fn a_long_run_of_failures_is_cleared_by_few_successes() {
    let mut results = vec![false; 100];
    results.extend([true; 8]);
    check(&results, time::Duration::ZERO, false);
}

#[test]
fn probes_slow_down_while_they_fail_and_follow_on_success() {
    let start = time::Instant::now();
    let mut doubt = Doubt::new(start);
    let mut probes = 0;
    for step in 0..100 {
        let now = start + time::Duration::from_millis(30) * step;
        if doubt.admit(Risk::Probe, now) {
            probes += 1;
            doubt.record(false, now);
        }
    }
    assert!((4..=5).contains(&probes), "{probes} failed probes in 3 s");
    let now = start + time::Duration::from_secs(3) + PROBE_PAUSE_MAX;
    for _ in 0..20 {
        assert!(doubt.admit(Risk::Probe, now));
        doubt.record(true, now);
    }
    assert!(doubt.admit(Risk::Avoid, now));
}
