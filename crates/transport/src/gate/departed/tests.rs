//! Tests of the memory of departed backend servers.

use super::*;

#[test]
fn a_departed_start_stays_departed_and_a_newer_one_does_not() {
    let mut departed = Departed::default();
    departed.note(&"i-1".into(), 7);
    departed.note(&"i-1".into(), 5);
    assert!(departed.covers("i-1", 7));
    assert!(!departed.covers("i-1", 8));
    assert!(!departed.covers("i-2", 1));
}

#[test]
fn memory_is_bounded() {
    let mut departed = Departed::default();
    for number in 0..10 * REMEMBERED_MAX {
        departed.note(&format!("i-{number}").into(), 1);
    }
    assert_eq!(departed.incarnations.len(), REMEMBERED_MAX);
}
