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

// Guards against a configuration that is late because the time of day steps on a third of the readers.
#[test_case::test_case(true, 2; "ahead by two seconds")]
#[test_case::test_case(false, 2; "back by two seconds")]
#[test_case::test_case(true, 3600; "ahead by an hour")]
#[test_case::test_case(false, 3600; "back by an hour")]
fn some_wait_ends_in_time_when_clocks_step(ahead: bool, step_s: u64) {
    let step = time::Duration::from_secs(step_s);
    let mut ends = Vec::new();
    for position in 0..9 {
        let turn = ReadTurn { position, readers: 9 };
        let mut now = time::Duration::from_secs(7200);
        while now.as_secs() < 7320 {
            let is_stepped = position % 3 == 0 && (7240..7280).contains(&now.as_secs());
            let shown = match is_stepped {
                true if ahead => now + step,
                true => now - step,
                false => now,
            };
            now += turn.wait(time::UNIX_EPOCH + shown);
            ends.push(now.as_millis() as u64);
        }
    }
    ends.sort_unstable();
    let longest = ends.windows(2).map(|pair| pair[1] - pair[0]).max().expect("several ends");
    // Twice the interval is the time in which a configuration must become active.
    assert!(longest <= 2 * INTERVAL.as_millis() as u64, "{longest} ms between two ends");
    assert!(ends.len() <= 140, "{} ends in 120 s", ends.len());
}

#[test]
fn no_wait_exceeds_the_maximum() {
    let turn = ReadTurn { position: 99, readers: 100 };
    assert_eq!(turn.wait(time::UNIX_EPOCH), WAIT_MAX);
}
