//! The membership table of many daemons exchanging messages in one process, without sockets.

use std::time;

use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::membership;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::report;

const SIZES: [usize; 4] = [10, 50, 200, 710];
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];
/// Upstreams beside each daemon: 7,800 beside 710.
const UPSTREAMS: u16 = 11;
/// Simulated time given to a figure.
const LIMIT: time::Duration = time::Duration::from_secs(60);
/// Simulated time over which traffic and liveness are watched.
const WATCH: time::Duration = time::Duration::from_secs(60);

/// Daemons that exchange messages on a shared clock.
struct Fleet {
    tables: Vec<membership::Membership>,
    now: time::Instant,
    tick: u32,
    loss: f64,
    /// Whether the second half hears the first but is not heard by it.
    one_way: bool,
    rng: SmallRng,
    bytes: u64,
}

impl Fleet {
    /// Returns daemons that know each other, each with its upstreams.
    fn new(size: usize, loss: f64, seed: u64) -> Self {
        let now = time::Instant::now();
        let mut tables: Vec<membership::Membership> =
            (0..size).map(|n| membership::Membership::new(record(n, UPSTREAMS))).collect();
        let records: Vec<member::Record> = tables.iter().map(|t| t.own().clone()).collect();
        let everyone = membership::GossipMessage { records, ..Default::default() };
        for table in &mut tables {
            table.apply(&everyone, now);
            table.mark_synced();
        }
        let rng = SmallRng::seed_from_u64(seed);
        Self { tables, now, tick: 0, loss, one_way: false, rng, bytes: 0 }
    }

    /// Lets one tick of the exchange loop pass on every daemon.
    fn step(&mut self) {
        self.now += membership::TICK_INTERVAL;
        self.tick += 1;
        for index in 0..self.tables.len() {
            // Daemons do not beat in step.
            let tick = self.tick + index as u32;
            if tick.is_multiple_of(membership::TICKS_PER_HEARTBEAT) {
                self.tables[index].heartbeat();
            }
            let fanout = self.tables[index].fanout(tick);
            let others = (0..self.tables.len()).filter(|&other| other != index);
            for partner in others.choose_multiple(&mut self.rng, fanout) {
                self.exchange(index, partner);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let opening = self.tables[from].opening_message();
        self.bytes += size(&opening);
        if self.is_lost(from, to) {
            return;
        }
        let (reply, _) = self.tables[to].respond(&opening, self.now);
        self.bytes += size(&reply);
        if self.is_lost(to, from) {
            return;
        }
        let (rest, _) = self.tables[from].apply(&reply, self.now);
        if !rest.records.is_empty() {
            self.bytes += size(&rest);
            self.tables[to].apply(&rest, self.now);
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let half = self.tables.len() / 2;
        let blocked = self.one_way && from < half && to >= half;
        blocked || self.rng.random_bool(self.loss)
    }

    /// Steps until `holds` for every daemon and returns the simulated time, or the limit.
    fn until(&mut self, holds: impl Fn(&membership::Membership, time::Instant) -> bool) -> f64 {
        let start = self.now;
        while self.now - start < LIMIT {
            self.step();
            if self.tables.iter().all(|table| holds(table, self.now)) {
                break;
            }
        }
        (self.now - start).as_secs_f64()
    }
}

fn size(message: &membership::GossipMessage) -> u64 {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}

fn record(n: usize, upstreams: u16) -> member::Record {
    let address =
        |port: u16| std::net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], port));
    let upstream = |index: u16| member::Upstream {
        id: ids::UpstreamId {
            service: format!("service-{}", (n + usize::from(index)) % 370).as_str().into(),
            address: address(9000 + index),
        },
        slots: 4,
        incarnation: 1,
        draining: false,
    };
    let (gate, control, admin) = (address(1), address(2), address(3));
    let addresses = member::Addresses { sidecar: gate, control, admin };
    let name = format!("daemon-{n}").as_str().into();
    let domain = ["a", "b", "c", "d", "e", "f"][n % 6].into();
    let upstreams = (0..upstreams).map(upstream).collect();
    member::Record { upstreams, ..member::Record::new(name, 1, domain, addresses) }
}

/// Measures departures, catching up, traffic and false silence from 10 to 710 daemons.
pub fn measure(seed: u64, _span: time::Duration) {
    for size in SIZES {
        for loss in LOSSES {
            let name = format!("membership.{size}.loss-{:.0}", loss * 100.0);
            departure(&format!("{name}.departure"), Fleet::new(size, loss, seed));
            quiet(&name, Fleet::new(size, loss, seed + 1));
        }
        let mut one_way = Fleet::new(size, 0.0, seed + 2);
        one_way.one_way = true;
        departure(&format!("membership.{size}.one-way.departure"), one_way);
        catch_up(&format!("membership.{size}.catch-up"), Fleet::new(size, 0.0, seed + 3));
        baseline(size);
    }
}

/// Time until all know that an upstream drains, on the side that can be heard.
fn departure(name: &str, mut fleet: Fleet) {
    let serving = fleet.tables[0].candidates(fleet.now).len();
    let last = fleet.tables.len() - 1;
    fleet.tables[last].update_own(|own| own.upstreams[0].draining = true);
    let started = time::Instant::now();
    let took = fleet.until(|table, now| table.candidates(now).len() < serving);
    report::line(name, took, "s");
    let ticks = took / membership::TICK_INTERVAL.as_secs_f64();
    let cost = started.elapsed().as_secs_f64() / ticks / fleet.tables.len() as f64;
    report::line(&format!("{name}.processor"), cost * 1e6, "us/daemon/tick");
}

/// Traffic without news, and daemons wrongly taken for silent.
fn quiet(name: &str, mut fleet: Fleet) {
    let start = fleet.now;
    fleet.bytes = 0;
    let (mut silent, mut looks) = (0, 0);
    while fleet.now - start < WATCH {
        fleet.step();
        if fleet.tick.is_multiple_of(20) {
            let size = fleet.tables.len();
            silent += size - fleet.tables[0].live_records(fleet.now).count();
            looks += size;
        }
    }
    let rate = fleet.bytes as f64 / WATCH.as_secs_f64() / fleet.tables.len() as f64;
    report::line(&format!("{name}.sent"), rate / 1000.0, "KB/s/daemon");
    report::line(
        &format!("{name}.wrongly-silent"),
        f64::from(silent as u32) / looks as f64 * 100.0,
        "percent",
    );
}

/// Time until a daemon that starts with nothing knows everyone.
fn catch_up(name: &str, mut fleet: Fleet) {
    let size = fleet.tables.len();
    let mut fresh = record(0, UPSTREAMS);
    fresh.incarnation = 2;
    fleet.tables[0] = membership::Membership::new(fresh);
    let took = fleet.until(|table, now| table.live_records(now).count() == size);
    report::line(name, took, "s");
}

/// What exchanging the full state in every round would send.
fn baseline(size: usize) {
    let records = (0..size).map(|n| record(n, UPSTREAMS)).collect();
    let full = membership::GossipMessage { records, ..Default::default() };
    let bytes = self::size(&full) as f64;
    report::line(&format!("membership.{size}.full-state"), bytes / 1000.0, "KB/message");
}
