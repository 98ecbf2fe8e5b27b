//! Tests of the record of departed backend servers.

use super::*;

#[test]
fn departures_cover_earlier_incarnations_but_not_later_ones() {
    let mut departed = Departed::default();
    departed.record(&"i-1".into(), 7);
    departed.record(&"i-1".into(), 5);
    assert!(departed.contains("i-1", 7));
    assert!(!departed.contains("i-1", 8));
    assert!(!departed.contains("i-2", 1));
}

#[test]
fn departed_instances_are_bounded() {
    let mut departed = Departed::default();
    for number in 0..10 * INSTANCES_MAX {
        departed.record(&format!("i-{number}").into(), 1);
    }
    assert_eq!(departed.incarnations.len(), INSTANCES_MAX);
}
