//! All orders of reports, gossip, lookups, writes, kills, restarts and restores up to a length.

use std::collections;
use std::hash;

use test_case::test_case;

use super::*;

/// A write to the registry.
#[derive(Debug, Clone)]
struct Write {
    held: lookup::Held,
    registration: lookup::Held,
    revision: u64,
    is_executed: bool,
}

/// One daemon, a peer with a record of it, and the registry.
#[derive(Debug, Clone)]
struct World {
    departures: Departures,
    /// Newest epoch known to the daemon.
    known: ids::SourceEpoch,
    has_joined: bool,
    /// Departures in the peer's record.
    peer: Vec<member::Departure>,
    registration: Option<lookup::Held>,
    /// Highest revision that the registry has executed.
    revision: u64,
    epoch: ids::SourceEpoch,
    /// Older copy of the registry.
    copy: Option<lookup::Held>,
    /// Write whose response the daemon awaits.
    write: Option<Write>,
    /// Write whose response nobody awaits any more.
    late_write: Option<Write>,
    revisions: u64,
    /// Acknowledged backend servers, and whether this process has acknowledged them.
    acknowledged: collections::BTreeMap<&'static str, bool>,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Report(&'static str),
    GossipToPeer,
    GossipFromPeer,
    LookUp,
    Write,
    Execute,
    ExecuteLate,
    Respond,
    LoseResponse,
    Restart,
    Copy,
    Restore,
    HearOfRestore,
    Expire,
}

const SERVERS: [&str; 2] = ["i-1", "i-2"];
/// Steps of one backend server, without restores.
const PLAIN: [Step; 11] = [
    Step::Report(SERVERS[0]),
    Step::GossipToPeer,
    Step::GossipFromPeer,
    Step::LookUp,
    Step::Write,
    Step::Execute,
    Step::ExecuteLate,
    Step::Respond,
    Step::LoseResponse,
    Step::Restart,
    Step::Expire,
];
const FURTHER: [Step; 4] =
    [Step::Report(SERVERS[1]), Step::Copy, Step::Restore, Step::HearOfRestore];
/// Incarnation of the backend servers, which have started long before the daemon.
const INCARNATION: ids::Incarnation = 7;

impl World {
    fn new(now: time::Instant) -> Self {
        Self {
            departures: departures(now),
            known: 0,
            has_joined: false,
            peer: Vec::new(),
            registration: None,
            revision: 0,
            epoch: EPOCH_FIRST,
            copy: None,
            write: None,
            late_write: None,
            revisions: 0,
            acknowledged: Default::default(),
        }
    }

    /// Returns the world after a step; `None` if the step is impossible.
    fn after(&self, step: Step, now: time::Instant) -> Option<Self> {
        let mut next = self.clone();
        match step {
            Step::Report(server) => {
                next.departures.record(departure(server, INCARNATION), self.known, now);
            }
            Step::GossipToPeer => next.peer = self.departures.published().to_vec(),
            Step::GossipFromPeer => next.departures.learn(&self.peer, now),
            Step::LookUp => {
                let found = self.registration.clone();
                let found = found.map_or(lookup::Lookup::Absent, lookup::Lookup::Found);
                next.departures.learn_registered(&found, self.epoch, now);
                next.known = self.epoch;
                next.has_joined = true;
            }
            Step::Write => {
                if !self.has_joined || self.write.is_some() {
                    return None;
                }
                let held = next.departures.begin_write(self.known);
                let epoch = next.departures.registration_epoch(held.epoch);
                let registration = lookup::Held { epoch, ..held.clone() };
                next.revisions += 1;
                let revision = next.revisions;
                next.write = Some(Write { held, registration, revision, is_executed: false });
            }
            Step::Execute => {
                let write = next.write.as_mut().filter(|write| !write.is_executed)?;
                write.is_executed = true;
                let write = write.clone();
                next.execute(write);
            }
            Step::ExecuteLate => {
                let write = next.late_write.take()?;
                next.execute(write);
            }
            Step::Respond => {
                let write = next.write.take().filter(|write| write.is_executed)?;
                next.known = self.epoch;
                next.departures.confirm_write(write.held, self.epoch);
            }
            Step::LoseResponse => next.late_write = Some(next.write.take()?),
            Step::Restart => {
                next.departures = departures(now);
                next.known = 0;
                next.has_joined = false;
                next.late_write = next.write.take().or(next.late_write);
                next.acknowledged.values_mut().for_each(|is_own| *is_own = false);
            }
            Step::Copy => next.copy = self.registration.clone(),
            Step::Restore => {
                next.registration = self.copy.clone();
                next.revision = 0;
                next.epoch += 1;
            }
            Step::HearOfRestore => next.known = self.epoch,
            Step::Expire => {
                next.departures.expire(now + DELAY_MAX);
                // The heartbeats that were sent before this process started have arrived.
                next.acknowledged.retain(|_, is_own| *is_own);
            }
        }
        for server in SERVERS {
            if next.departures.is_stored(server, INCARNATION, next.known) {
                next.acknowledged.insert(server, true);
            }
        }
        Some(next)
    }

    fn execute(&mut self, write: Write) {
        if write.revision > self.revision {
            self.revision = write.revision;
            self.registration = Some(write.registration);
        }
    }

    /// Returns whether a late heartbeat of a backend server is accepted that has departed.
    fn is_violated(&self, now: time::Instant) -> bool {
        let is_accepted = |server: &&str| {
            !self.departures.contains(server, INCARNATION)
                && self.departures.wait(INCARNATION, now).is_zero()
        };
        self.acknowledged.keys().any(is_accepted)
    }
}

/// Explores all orders of `length` of these steps. Returns the number of different states.
fn explore(steps: &[Step], length: usize) -> usize {
    let now = time::Instant::now();
    let mut seen = collections::HashSet::new();
    let mut worlds = vec![(World::new(now), Vec::new())];
    for _ in 0..length {
        let mut reached = Vec::new();
        for (world, path) in &worlds {
            for &step in steps {
                let Some(next) = world.after(step, now) else { continue };
                if !seen.insert(fingerprint(&next)) {
                    continue;
                }
                let path: Vec<Step> = path.iter().copied().chain([step]).collect();
                assert!(!next.is_violated(now), "a late heartbeat is accepted after {path:?}");
                reached.push((next, path));
            }
        }
        worlds = reached;
    }
    seen.len()
}

fn fingerprint(world: &World) -> u64 {
    hash::BuildHasher::hash_one(
        &hash::BuildHasherDefault::<hash::DefaultHasher>::new(),
        format!("{world:?}"),
    )
}

// Guards against an order of events in which a daemon acknowledges a departure that its next process does
// not know.
#[test_case(&PLAIN, 14; "one server without restores")]
#[test_case(&[&PLAIN[..], &FURTHER].concat(), 10; "two servers with restores")]
fn an_acknowledged_departure_binds_every_later_process(steps: &[Step], length: usize) {
    println!("{} states", explore(steps, length));
}

#[test_case(&PLAIN, 20; "one server without restores")]
#[test_case(&[&PLAIN[..], &FURTHER].concat(), 13; "two servers with restores")]
#[ignore = "run by hand: takes minutes"]
fn an_acknowledged_departure_binds_every_later_process_in_longer_orders(
    steps: &[Step],
    length: usize,
) {
    println!("{} states", explore(steps, length));
}
