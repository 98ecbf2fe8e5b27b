//! Tests of anti-entropy, liveness and departures in a small fleet of memberships that exchange
//! messages.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

fn address(n: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, n as u8], 80))
}

fn membership(n: usize) -> Membership {
    let (sidecar, control, admin) = (address(n), address(n), address(n));
    let addresses = member::Addresses { sidecar, control, admin };
    let name = format!("d{n}").as_str().into();
    Membership::new(member::Record::new(name, 1, "a".into(), addresses))
}

fn exchange(fleet: &mut [Membership], from: usize, to: usize, now: time::Instant) {
    let opening = fleet[from].opening_message();
    let (reply, _) = fleet[to].respond(&opening, now);
    let (rest, _) = fleet[from].apply(&reply, now);
    fleet[to].apply(&rest, now);
}

/// Runs `rounds` in which each daemon gossips with the next one and with a random one.
fn gossip(fleet: &mut [Membership], rounds: usize, now: time::Instant) {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..rounds {
        for from in 0..fleet.len() {
            let random = rng.random_range(0..fleet.len());
            for to in [(from + 1) % fleet.len(), random] {
                if to != from {
                    exchange(fleet, from, to, now);
                }
            }
        }
    }
}

fn upstream(draining: bool) -> member::Upstream {
    let id = ids::UpstreamId { service: "s".into(), address: address(200) };
    member::Upstream { id, slots: 4, incarnation: 1, draining }
}

#[test]
fn every_daemon_learns_of_every_other() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..30).map(membership).collect();
    gossip(&mut fleet, 6, now);
    assert!(fleet.iter().all(|membership| membership.live_records(now).count() == 30));
}

#[test]
fn a_departure_reaches_every_daemon() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..30).map(membership).collect();
    fleet[4].update_own_record(|own| own.upstreams = vec![upstream(false)]);
    gossip(&mut fleet, 6, now);
    assert!(fleet.iter().all(|membership| membership.candidates(now).len() == 1));
    fleet[4].update_own_record(|own| own.upstreams = vec![upstream(true)]);
    assert!(fleet[4].has_urgent_update());
    gossip(&mut fleet, 3, now);
    assert!(fleet.iter().all(|membership| membership.candidates(now).is_empty()));
}

#[test]
fn a_silent_daemon_loses_liveness_and_is_removed() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..3).map(membership).collect();
    gossip(&mut fleet, 3, now);
    let later = now + fleet[0].liveness_timeout();
    fleet[1].heartbeat();
    exchange(&mut fleet, 0, 1, later);
    let live: Vec<&str> = fleet[0].live_records(later).map(|record| &*record.daemon).collect();
    assert_eq!(live, ["d0", "d1"]);
    let gone = fleet[0].expire(now + REMOVAL_TIMEOUT);
    assert_eq!(gone, [Change::DaemonGone("d2".into())]);
}

#[test]
fn a_restarted_daemon_overrides_its_old_records() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..2).map(membership).collect();
    fleet[0].update_own_record(|own| own.upstreams = vec![upstream(false)]);
    exchange(&mut fleet, 0, 1, now);
    // The daemon restarts under the same name, with a lower incarnation after a step of the clock.
    let mut restarted = membership(0);
    restarted.own_record.incarnation = 0;
    fleet[0] = restarted;
    exchange(&mut fleet, 0, 1, now);
    exchange(&mut fleet, 0, 1, now);
    assert!(fleet[0].own_record().incarnation > 1);
    assert!(fleet[1].candidates(now).is_empty(), "the old record is superseded");
}

#[test]
fn gossip_messages_are_bounded() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..200).map(membership).collect();
    gossip(&mut fleet, 12, now);
    let opening = fleet[0].opening_message();
    assert_eq!(opening.digests.len(), DIGESTS_MAX);
    assert!(opening.records.len() <= RECORDS_MAX);
    assert!(fleet.iter().all(|membership| membership.live_records(now).count() == 200));
}

#[test]
fn a_new_daemon_gets_the_full_state_and_spreads_only_its_own_record() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..200).map(membership).collect();
    gossip(&mut fleet, 12, now);
    fleet.push(membership(200));
    let opening = fleet[200].opening_message();
    let (reply, _) = fleet[7].respond(&opening, now);
    fleet[200].apply(&reply, now);
    assert_eq!(fleet[200].live_records(now).count(), 201);
    let next = fleet[200].opening_message();
    let gossiped: Vec<&str> = next.records.iter().map(|record| &*record.daemon).collect();
    assert_eq!(gossiped, ["d200"]);
    assert!(!next.requests_all);
}

// Guards against turns that count daemons which stop reading soon, and then last far too long.
#[test]
fn turns_count_only_the_daemons_that_keep_reading() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..9).map(membership).collect();
    fleet.iter_mut().for_each(|m| m.update_own_record(|own| own.follows_source = true));
    gossip(&mut fleet, 4, now);
    let turn = |position| read_turn::ReadTurn { position, readers: 3 };
    assert_eq!(fleet[1].read_turn(3, now), turn(1));
    // A daemon that still reads takes a turn, although the others do not count it.
    assert_eq!(fleet[8].read_turn(3, now), read_turn::ReadTurn { position: 3, readers: 4 });
    fleet[0].update_own_record(|own| own.follows_source = false);
    gossip(&mut fleet, 4, now);
    assert_eq!(fleet[1].read_turn(3, now), read_turn::ReadTurn { position: 0, readers: 2 });
}

#[test]
fn a_source_epoch_spreads_and_never_decreases() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..30).map(membership).collect();
    gossip(&mut fleet, 4, now);
    fleet[3].advance_source_epoch(7);
    fleet[3].advance_source_epoch(6);
    for _ in 0..4 {
        gossip(&mut fleet, 1, now);
        for membership in &mut fleet {
            let newest = membership.source_epoch();
            membership.advance_source_epoch(newest);
        }
    }
    assert!(fleet.iter().all(|membership| membership.source_epoch() == 7));
}
