//! Tests of the schedule of waiting daemons.

use super::*;

/// Returns the ends of the waits of all readers between `from` and `to`, in order, if each waits
/// again as soon as its wait ends and its clock is ahead by `skew` times its position.
fn ends_of_waits(readers: usize, skew: time::Duration, from: u64, to: u64) -> Vec<u64> {
    let mut ends = Vec::new();
    for position in 0..readers {
        let turn = ReadTurn { position, readers };
        let ahead = skew * position as u32;
        // The readers start to wait at different times.
        let mut now = time::Duration::from_millis(137 * position as u64);
        while now.as_millis() < u128::from(to) {
            now += turn.wait(time::UNIX_EPOCH + now + ahead);
            ends.push(now.as_millis() as u64);
        }
    }
    ends.retain(|end| (from..to).contains(end));
    ends.sort_unstable();
    ends
}

#[test_case::test_case(1, 0; "one reader")]
#[test_case::test_case(3, 0; "three readers")]
#[test_case::test_case(9, 0; "nine readers")]
#[test_case::test_case(9, 40; "nine readers whose clocks differ")]
#[test_case::test_case(18, 0; "eighteen readers")]
fn some_wait_ends_in_every_interval(readers: usize, skew_ms: u64) {
    let skew = time::Duration::from_millis(skew_ms);
    let ends = ends_of_waits(readers, skew, 30_000, 90_000);
    let longest = ends.windows(2).map(|pair| pair[1] - pair[0]).max().expect("several ends");
    let interval = INTERVAL.as_millis() as u64;
    assert!(longest <= interval + readers as u64 * skew_ms, "{longest} ms between two ends");
    assert!(ends.len() <= 61, "{} ends in 60 s", ends.len());
}

#[test]
fn no_wait_exceeds_the_maximum() {
    let turn = ReadTurn { position: 99, readers: 100 };
    assert_eq!(turn.wait(time::UNIX_EPOCH), WAIT_MAX);
}
