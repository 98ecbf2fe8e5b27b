//! Tests of what a process knows of departures, and of what it may acknowledge.

mod exploration;

use super::*;

const DELAY_MAX: time::Duration = time::Duration::from_secs(6);

fn departures(now: time::Instant) -> Departures {
    let wall = time::UNIX_EPOCH + time::Duration::from_secs(1000);
    Departures::new(Some(history::History::new(now, wall, DELAY_MAX)))
}

fn departure(instance: &str, incarnation: ids::Incarnation) -> member::Departure {
    member::Departure { instance: instance.into(), incarnation }
}

fn numbered(numbers: std::ops::Range<usize>) -> Vec<member::Departure> {
    numbers.map(|number| departure(&format!("i-{number}"), 1)).collect()
}

fn store(departures: &mut Departures) {
    let written = departures.begin_write(1);
    assert!(departures.confirm_write(written, 1));
}

#[test]
fn departures_cover_earlier_incarnations_but_not_later_ones() {
    let now = time::Instant::now();
    let mut departures = departures(now);
    departures.record(departure("i-1", 7), 1, now);
    departures.record(departure("i-1", 5), 1, now);
    assert!(departures.contains("i-1", 7) && !departures.contains("i-1", 8));
    assert!(!departures.contains("i-2", 1));
    store(&mut departures);
    assert!(departures.is_stored("i-1", 5, 1) && !departures.is_stored("i-1", 8, 1));
}

// Guards against records and registrations that grow with every departure.
#[test]
fn departures_are_bounded() {
    let start = time::Instant::now();
    let mut departures = departures(start);
    for (index, departure) in numbered(0..10 * ENTRIES_MAX).into_iter().enumerate() {
        departures.record(departure, 1, start + RETENTION * index as u32);
        departures.record(self::departure("i-0", 1), 1, start + RETENTION * index as u32);
        assert!(departures.published().len() <= PUBLISHED_MIN + 1);
    }
    assert_eq!(departures.entries.len(), ENTRIES_MAX);
    assert!(departures.contains("i-0", 1) && !departures.contains("i-1", 1));
}

// Guards against an acknowledged departure that is dropped since many others left at the same time.
#[test]
fn departures_of_many_servers_that_leave_together_are_kept_or_not_acknowledged() {
    let now = time::Instant::now();
    let mut departures = departures(now);
    let all = numbered(0..ENTRIES_MAX + 10);
    for departure in &all {
        departures.record(departure.clone(), 1, now);
    }
    store(&mut departures);
    let stored = all.iter().filter(|known| departures.is_stored(&known.instance, 1, 1));
    assert_eq!(stored.count(), ENTRIES_MAX);
    let mut next = self::departures(now);
    let held = lookup::Held { departed: departures.published().to_vec(), epoch: 1 };
    next.learn_registered(&lookup::Lookup::Found(held), 1, now);
    let is_kept = |known: &&member::Departure| next.contains(&known.instance, 1);
    assert_eq!(all.iter().filter(is_kept).count(), ENTRIES_MAX);
}

// Guards against the record of a peer, with departures of long ago, that displaces newer ones.
#[test]
fn the_older_record_of_a_peer_displaces_no_departure() {
    let start = time::Instant::now();
    let mut departures = departures(start);
    for departure in numbered(0..PUBLISHED_MIN) {
        departures.record(departure, 1, start);
    }
    store(&mut departures);
    let later = start + RETENTION;
    departures.learn(&numbered(100..100 + PUBLISHED_MIN), later);
    departures.record(departure("i-new", 1), 1, later);
    let published = departures.published();
    let kept = numbered(1..PUBLISHED_MIN);
    assert!(kept.iter().all(|known| published.contains(known)), "{published:?}");
    assert!(!departures.is_stored("i-100", 1, 1) && departures.has_unstored());
}

// Guards against an acknowledgement that rests on a departure that a later registration does not have.
#[test]
fn a_departure_that_is_no_longer_published_is_not_stored() {
    let start = time::Instant::now();
    let mut departures = departures(start);
    departures.record(departure("i-old", 1), 1, start);
    store(&mut departures);
    let later = start + RETENTION;
    for departure in numbered(0..PUBLISHED_MIN) {
        departures.record(departure, 1, later);
    }
    assert!(departures.is_stored("i-old", 1, 1));
    let _lost = departures.begin_write(1);
    assert!(!departures.is_stored("i-old", 1, 1), "the write may be executed without a response");
    departures.record(departure("i-old", 1), 1, later);
    store(&mut departures);
    assert!(departures.is_stored("i-old", 1, 1));
}
