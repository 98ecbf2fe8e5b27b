//! Tests of the selection of owners in fleets that lose daemons.

use test_case::test_case;

use super::*;
use crate::member;

fn record(n: usize) -> member::Record {
    let address = net::SocketAddr::from(([10, 0, 0, n as u8], 80));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    member::Record::new(format!("d{n}").as_str().into(), 1, "a".into(), addresses)
}

/// Returns the membership of daemon `own` in a fleet of `size` daemons.
fn membership(own: usize, size: usize, now: time::Instant) -> membership::Membership {
    let mut membership = membership::Membership::new(record(own));
    for n in (0..size).filter(|n| *n != own) {
        let peer = membership::Peer { record: record(n), last_seen: now, was_live: true };
        membership.peers.insert(peer.record.daemon.clone(), peer);
    }
    membership
}

/// Returns the order in which ten daemons own the quota of an organisation.
fn ranking(organisation: &str) -> Vec<usize> {
    let mut ranking: Vec<usize> = (0..10).collect();
    ranking.sort_by_key(|n| std::cmp::Reverse(weight(organisation, &format!("d{n}"))));
    ranking
}

#[test]
fn all_daemons_place_an_organisation_at_the_same_owner_and_spread_organisations() {
    let now = time::Instant::now();
    let mut owners = std::collections::HashSet::new();
    for n in 0..200 {
        let organisation = format!("o{n}");
        let placements = (0..10).map(|own| membership(own, 10, now).place(&organisation, now));
        let names: std::collections::HashSet<_> = placements.map(|placed| placed.owner).collect();
        assert_eq!(names.len(), 1, "{organisation}: {names:?}");
        owners.extend(names);
    }
    assert_eq!(owners.len(), 10);
}

// Guards against a successor that lends while the owner that it cannot hear still lends too.
#[test_case(1.0, 0, 0.0; "owner heard recently")]
#[test_case(4.0, 0, 0.0; "owner heard at the age that relayed heartbeats reach")]
#[test_case(4.5, 1, 0.0; "owner silent")]
#[test_case(6.0, 1, 0.0; "owner silent, within the delay of a takeover")]
#[test_case(8.0, 1, 1.95; "owner silent for longer")]
fn a_successor_counts_from_the_silence_of_the_owner(silence: f64, rank: usize, age: f64) {
    let start = time::Instant::now();
    let ranking = ranking("o");
    let now = start + time::Duration::from_secs_f64(silence);
    let mut membership = membership(ranking[1], 10, now);
    let name = format!("d{}", ranking[0]);
    membership.peers.get_mut(name.as_str()).expect("the owner is a peer").last_seen = start;
    let placed = membership.place("o", now);
    assert_eq!(*placed.owner, *format!("d{}", ranking[rank]));
    if rank == 1 {
        assert!((placed.position.age.as_secs_f64() - age).abs() < 0.02, "{placed:?}");
        assert!((placed.position.share - 0.9).abs() < 1e-9, "{placed:?}");
    }
}

#[test]
fn a_daemon_that_leaves_owns_nothing_and_does_not_lower_the_share() {
    let now = time::Instant::now();
    let ranking = ranking("o");
    let mut successor = membership(ranking[1], 10, now);
    let name = format!("d{}", ranking[0]);
    successor.peers.get_mut(name.as_str()).expect("the owner is a peer").record.leaving = true;
    let placed = successor.place("o", now);
    assert_eq!(placed.control, None);
    assert_eq!((placed.position.age, placed.position.share), (time::Duration::ZERO, 1.0));
    let mut leaving = membership(ranking[0], 10, now);
    leaving.update_own_record(|own| own.leaving = true);
    assert_eq!(*leaving.place("o", now).owner, *format!("d{}", ranking[1]));
}

#[test]
fn a_daemon_alone_has_its_part_of_the_quota() {
    let start = time::Instant::now();
    let mut alone = membership(0, 78, start);
    let placed = alone.place("o", start + time::Duration::from_secs(30));
    assert_eq!(placed.control, None);
    assert!((placed.position.share - 1.0 / 78.0).abs() < 1e-9, "{placed:?}");
}
