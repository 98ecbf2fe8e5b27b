//! Tests of the failure probability and of probing.

use test_case::test_case;

use super::*;

fn check(results: &[bool], idle: time::Duration, expected: bool) {
    let now = time::Instant::now();
    let mut detector = Detector::new(now);
    results.iter().for_each(|&succeeded| detector.record(succeeded, now));
    assert_eq!(detector.is_suspected(now + idle), expected, "{detector:?}");
}

#[test_case(&[], 0, false; "no results")]
#[test_case(&[false], 0, true; "one failure")]
#[test_case(&[false, true], 0, true; "a failure and a success")]
#[test_case(&[false, true, true, true], 0, false; "three successes clear one failure")]
#[test_case(&[false, false, false, true], 0, true; "a success among failures")]
#[test_case(&[false, false], 10, false; "old failures decay")]
fn results_raise_and_clear_suspicion(results: &[bool], idle_s: u64, expected: bool) {
    check(results, time::Duration::from_secs(idle_s), expected);
}

#[test]
fn few_successes_clear_a_long_run_of_failures() {
    let mut results = vec![false; 100];
    results.extend([true; 8]);
    check(&results, time::Duration::ZERO, false);
}

#[test]
fn failed_probes_back_off_and_a_success_resets_the_interval() {
    let start = time::Instant::now();
    let mut detector = Detector::new(start);
    let mut probes = 0;
    for step in 0..100 {
        let now = start + time::Duration::from_millis(30) * step;
        if detector.admit(RiskTolerance::Probe, now) {
            probes += 1;
            detector.record(false, now);
        }
    }
    assert!((4..=5).contains(&probes), "{probes} failed probes in 3 s");
    let now = start + time::Duration::from_secs(3) + PROBE_INTERVAL_MAX;
    for _ in 0..20 {
        assert!(detector.admit(RiskTolerance::Probe, now));
        detector.record(true, now);
    }
    assert!(detector.admit(RiskTolerance::Avoid, now));
}
