//! Tests of anti-entropy, liveness and departures in a small fleet of memberships that exchange
//! messages.

use std::net;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use super::*;

fn address(n: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 80))
}

fn index_of(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else { panic!("{address} is no address of a test") };
    usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3])
}

fn membership(n: usize) -> Membership {
    let (sidecar, control, admin) = (address(n), address(n), address(n));
    let addresses = member::Addresses { sidecar, control, admin };
    let name = format!("d{n}").as_str().into();
    Membership::new(member::Record::new(name, 1, "a".into(), addresses))
}

fn exchange(fleet: &mut [Membership], from: usize, to: usize, now: time::Instant) {
    exchange_as(fleet, from, to, RoundKind::Heartbeat, now);
}

/// Runs one exchange and returns the number of records sent.
fn exchange_as(
    fleet: &mut [Membership],
    from: usize,
    to: usize,
    kind: RoundKind,
    now: time::Instant,
) -> usize {
    let opening = fleet[from].opening_message(kind);
    let (reply, _) = fleet[to].respond(&opening, now);
    let (follow_up, _) = fleet[from].apply(&reply, now);
    let (rest, _) = fleet[to].respond(&follow_up, now);
    fleet[from].apply(&rest, now);
    [opening, reply, follow_up, rest].iter().map(|message| message.records.len()).sum()
}

/// Runs the rounds of one tick and returns the number of records sent. Daemons that start also
/// contact a random one from the registry.
fn tick(fleet: &mut [Membership], tick: u32, now: time::Instant, rng: &mut SmallRng) -> usize {
    let mut sent = 0;
    for from in 0..fleet.len() {
        let Some(round) = fleet[from].next_round(tick + from as u32) else { continue };
        let targets = fleet[from].gossip_targets(round, rng);
        let mut targets: Vec<usize> = targets.into_iter().map(index_of).collect();
        if round.kind == RoundKind::Startup {
            targets.push(rng.random_range(0..fleet.len()));
        }
        for to in targets.into_iter().filter(|&to| to != from) {
            sent += exchange_as(fleet, from, to, round.kind, now);
        }
    }
    sent
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

/// Time for which a test pauses a daemon: longer than any timeout.
const PAUSE: time::Duration = time::Duration::from_secs(130);

// Guards against a daemon that takes its own pause for the silence of the others.
#[test]
fn a_paused_daemon_keeps_the_daemons_that_it_knew() {
    let start = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..3).map(membership).collect();
    fleet[1].update_own_record(|own| own.upstreams = vec![upstream(false)]);
    gossip(&mut fleet, 3, start);
    fleet[0].tick(start);
    let resumed = start + PAUSE;
    fleet[0].tick(resumed);
    assert_eq!(fleet[0].expire(resumed), []);
    assert_eq!(fleet[0].candidates(resumed).len(), 1);
    // The pause does not extend the time that a daemon may be silent while this one runs.
    let mut now = resumed;
    while now < resumed + fleet[0].liveness_timeout() {
        fleet[0].tick(now);
        now += TICK_INTERVAL;
    }
    assert_eq!(fleet[0].candidates(now).len(), 0);
}

// Guards against applying messages that waited during the pause before the pause is noticed.
#[test]
fn a_paused_daemon_keeps_the_daemons_missing_in_the_first_message() {
    let start = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..3).map(membership).collect();
    gossip(&mut fleet, 3, start);
    fleet[0].tick(start);
    let resumed = start + PAUSE;
    let digests = vec![fleet[1].own_record().digest()];
    fleet[0].apply(&GossipMessage { digests, ..Default::default() }, resumed);
    assert_eq!(fleet[0].live_records(resumed).count(), 3);
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

// Guards against a restarted daemon that takes back a backend server that has left.
#[test_case(2, 1; "restart")]
#[test_case(0, 1; "restart after a step of the clock")]
#[test_case(2, 2; "two restarts")]
fn a_restarted_daemon_learns_the_departures_on_its_vm(incarnation: u64, restarts: usize) {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..3).map(membership).collect();
    let departure = member::Departure { instance: "i-1".into(), incarnation: 7 };
    fleet[0].update_departures(|departures, epoch| departures.record(departure, epoch, now));
    gossip(&mut fleet, 3, now);
    for restart in 0..restarts as u64 {
        let mut restarted = membership(0);
        restarted.own_record.incarnation = incarnation + restart;
        fleet[0] = restarted;
        exchange_as(&mut fleet, 0, 1, RoundKind::Startup, now);
        exchange(&mut fleet, 0, 2, now);
    }
    let departures = fleet[0].departures();
    assert!(departures.contains("i-1", 7) && !departures.contains("i-1", 8));
    assert!(!departures.contains("i-2", 7));
}

// Guards against a daemon that publishes an older version than it uses, as two tasks publish out of order.
#[test]
fn the_published_policy_version_does_not_decrease() {
    let mut daemon = membership(0);
    daemon.set_policy_version(6);
    daemon.set_policy_version(5);
    assert_eq!(daemon.own_record().policy, 6);
}

#[test]
fn gossip_messages_are_bounded() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..200).map(membership).collect();
    gossip(&mut fleet, 12, now);
    let opening = fleet[0].opening_message(RoundKind::Heartbeat);
    let heartbeats = 1 + exchange::DIGESTS_MAX;
    assert!((heartbeats..=heartbeats + 32).contains(&opening.digests.len()));
    assert!(opening.records.len() <= exchange::RECORDS_MAX);
    assert!(fleet.iter().all(|membership| membership.live_records(now).count() == 200));
}

#[test]
fn a_new_daemon_gets_the_full_state_and_spreads_only_its_own_record() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..200).map(membership).collect();
    gossip(&mut fleet, 12, now);
    fleet.push(membership(200));
    let opening = fleet[200].opening_message(RoundKind::Heartbeat);
    let (reply, _) = fleet[7].respond(&opening, now);
    fleet[200].apply(&reply, now);
    assert_eq!(fleet[200].live_records(now).count(), 201);
    let next = fleet[200].opening_message(RoundKind::Heartbeat);
    let gossiped: Vec<&str> = next.records.iter().map(|record| &*record.daemon).collect();
    assert_eq!(gossiped, ["d200"]);
    assert!(!next.requests_all);
}

/// Returns the names of the daemons that pass on confirmations to the one at `index` of a fleet in two
/// failure domains, up to the root, and whether it reads the source.
fn path_to_root(
    fleet: &[Membership],
    index: usize,
    suspects: &[ids::DaemonName],
) -> (Vec<String>, bool) {
    let now = time::Instant::now();
    let relay = fleet[index].relay(suspects, false, now);
    let is_reader = relay.is_reader;
    let mut path = Vec::new();
    let mut parent = relay.parent;
    while let Some(next) = parent {
        let found = fleet.iter().find(|m| m.own_record().daemon == next.daemon);
        path.push(next.daemon.to_string());
        parent = found.expect("a member").relay(suspects, false, now).parent;
    }
    (path, is_reader)
}

// Guards against daemons that ask in a circle, and against many that ask the same one.
#[test_case::test_case(0, &[], &[], true; "root")]
#[test_case::test_case(2, &[], &["d0"], true; "reader")]
#[test_case::test_case(8, &[], &["d0"], false; "other member of the first domain")]
#[test_case::test_case(1, &[], &["d0"], true; "first of the second domain")]
#[test_case::test_case(9, &[], &["d1", "d0"], false; "other member of the second domain")]
#[test_case::test_case(9, &["d1"], &["d3", "d0"], false; "suspected parent")]
#[test_case::test_case(7, &["d1", "d3"], &["d5", "d0"], true; "takes over from suspected readers")]
#[test_case::test_case(3, &["d0", "d2", "d4", "d6", "d8"], &["d1"], true; "suspected domain")]
fn confirmations_come_from_the_root(
    index: usize,
    suspects: &[&str],
    path: &[&str],
    is_reader: bool,
) {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..10).map(membership).collect();
    for (index, member) in fleet.iter_mut().enumerate() {
        let domain = ["a", "b"][index % 2];
        member.update_own_record(|own| own.domain = domain.into());
    }
    gossip(&mut fleet, 8, now);
    let suspects: Vec<ids::DaemonName> = suspects.iter().map(|name| (*name).into()).collect();
    let (found, reads) = path_to_root(&fleet, index, &suspects);
    assert_eq!((found, reads), (path.iter().map(|name| name.to_string()).collect(), is_reader));
}

#[test]
fn a_root_that_cannot_read_asks_another_daemon() {
    let now = time::Instant::now();
    let mut fleet: Vec<Membership> = (0..3).map(membership).collect();
    gossip(&mut fleet, 8, now);
    let parent = fleet[0].relay(&[], true, now).parent.expect("a parent");
    assert_eq!(&*parent.daemon, "d1");
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

// Pattern: all daemons of a fleet start at once, as after a power loss.
#[test_case(30, 8; "30 daemons")]
#[test_case(100, 10; "100 daemons")]
#[test_case(300, 12; "300 daemons")]
fn daemons_that_start_at_once_learn_of_each_other(size: usize, ticks_max: u32) {
    let (now, mut rng) = (time::Instant::now(), SmallRng::seed_from_u64(5));
    let mut fleet: Vec<Membership> = (0..size).map(membership).collect();
    let (mut ticks, mut sent) = (0, 0);
    while fleet.iter().any(|membership| membership.live_records(now).count() < size) {
        ticks += 1;
        sent += tick(&mut fleet, ticks, now, &mut rng);
        assert!(ticks <= ticks_max, "not converged after {ticks} ticks");
    }
    let per_daemon = sent as f64 / size as f64;
    assert!(per_daemon <= 2.0 * size as f64, "{per_daemon} records sent by each daemon");
}

// Pattern: one upstream changes in a fleet that has converged.
#[test_case(30; "30 daemons")]
#[test_case(300; "300 daemons")]
fn a_changed_record_is_sent_to_each_daemon_about_once(size: usize) {
    let (now, mut rng) = (time::Instant::now(), SmallRng::seed_from_u64(5));
    let mut fleet: Vec<Membership> = (0..size).map(membership).collect();
    let records: Vec<member::Record> = fleet.iter().map(|m| m.own_record().clone()).collect();
    let full = GossipMessage { records, ..Default::default() };
    for membership in &mut fleet {
        membership.apply(&full, now);
        membership.mark_synced();
        membership.startup_ticks = 0;
    }
    fleet[4].update_own_record(|own| own.upstreams = vec![upstream(false)]);
    let (mut ticks, mut sent) = (0, 0);
    while fleet.iter().any(|membership| membership.candidates(now).is_empty()) {
        ticks += 1;
        sent += tick(&mut fleet, ticks, now, &mut rng);
        assert!(ticks <= 200, "not converged after {ticks} ticks");
    }
    assert!(sent <= size * 3 / 2, "{sent} records sent to {size} daemons");
}
