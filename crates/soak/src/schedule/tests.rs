//! Tests of the schedule.

use super::*;

#[test]
fn a_seed_always_draws_the_same_faults() {
    let span = time::Duration::from_secs(30);
    let faults = draw(7, span, 8);
    assert_eq!(faults, draw(7, span, 8));
    assert_ne!(faults, draw(8, span, 8));
    assert!(faults.iter().all(|fault| fault.at + fault.lasts <= span && fault.daemon < 8));
}

#[test]
fn every_kind_comes_and_some_overlap() {
    let faults: Vec<Fault> =
        (0..20).flat_map(|seed| draw(seed, time::Duration::from_secs(30), 8)).collect();
    assert!(KINDS.iter().all(|kind| faults.iter().any(|fault| fault.kind == *kind)));
    let overlap = faults.windows(2).filter(|pair| pair[1].at < pair[0].at + pair[0].lasts).count();
    assert!(overlap > faults.len() / 2, "{overlap} of {}", faults.len());
}
