//! Tests of the fault schedule.

use super::*;

#[test]
fn a_seed_always_generates_the_same_faults() {
    let duration = time::Duration::from_secs(30);
    let faults = generate(7, duration, 8);
    assert_eq!(faults, generate(7, duration, 8));
    assert_ne!(faults, generate(8, duration, 8));
    assert!(faults.iter().all(|fault| fault.start + fault.length <= duration && fault.daemon < 8));
}

#[test]
fn every_kind_occurs_and_most_faults_overlap() {
    let faults: Vec<Fault> =
        (0..20).flat_map(|seed| generate(seed, time::Duration::from_secs(30), 8)).collect();
    assert!(KINDS.iter().all(|kind| faults.iter().any(|fault| fault.kind == *kind)));
    let overlapping =
        faults.windows(2).filter(|pair| pair[1].start < pair[0].start + pair[0].length).count();
    assert!(overlapping > faults.len() / 2, "{overlapping} of {}", faults.len());
}
