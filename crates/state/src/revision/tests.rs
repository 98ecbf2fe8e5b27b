//! Tests of revisions.

use super::*;

fn wall(ms: u64) -> time::SystemTime {
    time::UNIX_EPOCH + time::Duration::from_millis(ms)
}

/// Guards against a process that never gets ahead of an earlier one, after the wall clock was set back.
#[test]
fn conflicts_lead_beyond_the_revisions_of_an_earlier_process() {
    let (day, mut revisions) = (86_400_000, Revisions::default());
    let used = revisions.next(wall(2 * day));
    let mut later = Revisions::default();
    let mut conflicts = 0;
    while later.next(wall(day)) <= used {
        later.skip();
        conflicts += 1;
    }
    assert!(conflicts <= 17, "{conflicts} conflicts");
}

#[test]
fn revisions_rise_when_the_wall_clock_is_set_back() {
    let mut revisions = Revisions::default();
    let first = revisions.next(wall(5000));
    assert!(revisions.next(wall(1000)) > first);
}
