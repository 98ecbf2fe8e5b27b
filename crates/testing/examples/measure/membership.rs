//! Simulation of the membership gossip of many daemons in one process, without sockets.

use std::net;
use std::time;

use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::membership;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::report;

const SIZES: [usize; 6] = [10, 27, 50, 100, 235, 710];
const LOSS_RATES: [f64; 3] = [0.0, 0.1, 0.3];
/// Upstreams of each daemon: about 7,800 with 710 daemons.
const UPSTREAMS_PER_DAEMON: u16 = 11;
/// Number of daemons whose addresses share the first three bytes.
const DAEMONS_PER_SUBNET: usize = 250;
/// Longest simulated time to wait for convergence.
const CONVERGENCE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Simulated time during which idle traffic and liveness are measured.
const IDLE_DURATION: time::Duration = time::Duration::from_secs(60);

/// Daemons that exchange gossip messages on a shared simulated clock.
struct Simulation {
    daemons: Vec<membership::Membership>,
    now: time::Instant,
    tick: u32,
    loss_rate: f64,
    /// Whether messages from the first half of the daemons to the second half are lost.
    one_way: bool,
    rng: SmallRng,
    bytes: u64,
}

impl Simulation {
    /// Returns daemons that all have the records of all daemons and their upstreams.
    fn new(size: usize, loss_rate: f64, seed: u64) -> Self {
        let now = time::Instant::now();
        let mut daemons: Vec<membership::Membership> = (0..size)
            .map(|n| membership::Membership::new(record(n, UPSTREAMS_PER_DAEMON)))
            .collect();
        let records: Vec<member::Record> =
            daemons.iter().map(|daemon| daemon.own_record().clone()).collect();
        let all_records = membership::GossipMessage { records, ..Default::default() };
        for daemon in &mut daemons {
            daemon.apply(&all_records, now);
            daemon.mark_synced();
        }
        let rng = SmallRng::seed_from_u64(seed);
        Self { daemons, now, tick: 0, loss_rate, one_way: false, rng, bytes: 0 }
    }

    /// Advances the clock by one tick of the gossip loop and runs it on every daemon.
    fn step(&mut self) {
        self.now += membership::TICK_INTERVAL;
        self.tick += 1;
        for index in 0..self.daemons.len() {
            // The offset spreads the heartbeats of the daemons over different ticks.
            let tick = self.tick + index as u32;
            if tick.is_multiple_of(membership::TICKS_PER_HEARTBEAT) {
                self.daemons[index].heartbeat();
            }
            let Some(round) = self.daemons[index].next_round(tick) else { continue };
            let mut peers: Vec<usize> = self.daemons[index]
                .gossip_targets(round, &mut self.rng)
                .into_iter()
                .map(index_of)
                .collect();
            let is_startup = round.kind == membership::RoundKind::Startup;
            if peers.len() < round.fanout || is_startup {
                // A daemon that starts also contacts a random one from the registry.
                let others = (0..self.daemons.len()).filter(|&other| other != index);
                peers.extend(others.choose(&mut self.rng));
            }
            for peer in peers {
                self.run_exchange(index, peer, round.kind);
            }
        }
    }

    fn run_exchange(&mut self, from: usize, to: usize, kind: membership::RoundKind) {
        let opening = self.daemons[from].opening_message(kind);
        self.bytes += size(&opening);
        if self.is_lost(from, to) {
            return;
        }
        let (reply, _) = self.daemons[to].respond(&opening, self.now);
        self.bytes += size(&reply);
        if self.is_lost(to, from) {
            return;
        }
        let (follow_up, _) = self.daemons[from].apply(&reply, self.now);
        if !follow_up.is_empty() {
            self.bytes += size(&follow_up);
            let (rest, _) = self.daemons[to].respond(&follow_up, self.now);
            self.bytes += size(&rest);
            self.daemons[from].apply(&rest, self.now);
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let half = self.daemons.len() / 2;
        let blocked = self.one_way && from < half && to >= half;
        blocked || self.rng.random_bool(self.loss_rate)
    }

    /// Steps until `converged` holds for every daemon and returns the simulated time in seconds, at
    /// most the timeout.
    fn step_until(
        &mut self,
        converged: impl Fn(&membership::Membership, time::Instant) -> bool,
    ) -> f64 {
        let start = self.now;
        while self.now - start < CONVERGENCE_TIMEOUT {
            self.step();
            if self.daemons.iter().all(|daemon| converged(daemon, self.now)) {
                break;
            }
        }
        (self.now - start).as_secs_f64()
    }
}

/// Returns the index of the daemon with this control address; see [`record`].
fn index_of(address: net::SocketAddr) -> usize {
    match address.ip() {
        net::IpAddr::V4(ip) => {
            usize::from(ip.octets()[2]) * DAEMONS_PER_SUBNET + usize::from(ip.octets()[3])
        }
        net::IpAddr::V6(_) => 0,
    }
}

fn size(message: &membership::GossipMessage) -> u64 {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}

fn record(n: usize, upstreams: u16) -> member::Record {
    let (subnet, host) = (n / DAEMONS_PER_SUBNET, n % DAEMONS_PER_SUBNET);
    let address = |port: u16| net::SocketAddr::from(([10, 0, subnet as u8, host as u8], port));
    let upstream = |index: u16| member::Upstream {
        id: ids::UpstreamId {
            service: format!("service-{}", (n + usize::from(index)) % 370).as_str().into(),
            address: address(9000 + index),
        },
        slots: 4,
        incarnation: 1,
        draining: false,
    };
    let (sidecar, control, admin) = (address(1), address(2), address(3));
    let addresses = member::Addresses { sidecar, control, admin };
    let name = format!("daemon-{n}").as_str().into();
    let domain = ["a", "b", "c", "d", "e", "f"][n % 6].into();
    let upstreams = (0..upstreams).map(upstream).collect();
    member::Record { upstreams, ..member::Record::new(name, 1, domain, addresses) }
}

/// Measures the propagation of departures, the catch-up of a restarted daemon, idle traffic and
/// false failure detections, for 10 to 710 daemons.
pub fn measure(seed: u64, _duration: time::Duration) {
    for size in SIZES {
        for loss_rate in LOSS_RATES {
            let name = format!("membership.{size}.loss-{:.0}", loss_rate * 100.0);
            measure_departure(&format!("{name}.departure"), Simulation::new(size, loss_rate, seed));
            measure_idle(&name, Simulation::new(size, loss_rate, seed + 1));
        }
        let mut one_way = Simulation::new(size, 0.0, seed + 2);
        one_way.one_way = true;
        measure_departure(&format!("membership.{size}.one-way.departure"), one_way);
        measure_catch_up(
            &format!("membership.{size}.catch-up"),
            Simulation::new(size, 0.0, seed + 3),
        );
        measure_cold_start(&format!("membership.{size}.cold-start"), size, seed + 4);
        measure_full_state(size);
    }
}

/// Measures the time until every daemon has learned that an upstream of the last daemon is
/// draining. With one-way loss, the last daemon is in the half whose messages arrive.
fn measure_departure(name: &str, mut simulation: Simulation) {
    let serving = simulation.daemons[0].candidates(simulation.now).len();
    let last = simulation.daemons.len() - 1;
    simulation.daemons[last].update_own_record(|own| own.upstreams[0].draining = true);
    let started = time::Instant::now();
    let elapsed = simulation.step_until(|daemon, now| daemon.candidates(now).len() < serving);
    report::figure(name, elapsed, "s");
    let ticks = elapsed / membership::TICK_INTERVAL.as_secs_f64();
    let cpu_cost = started.elapsed().as_secs_f64() / ticks / simulation.daemons.len() as f64;
    report::figure(&format!("{name}.processor"), cpu_cost * 1e6, "us/daemon/tick");
}

/// Measures the traffic without membership changes, and the fraction of live daemons wrongly
/// considered dead.
fn measure_idle(name: &str, mut simulation: Simulation) {
    let start = simulation.now;
    simulation.bytes = 0;
    let (mut missing, mut samples) = (0, 0);
    while simulation.now - start < IDLE_DURATION {
        simulation.step();
        if simulation.tick.is_multiple_of(20) {
            let size = simulation.daemons.len();
            missing += size - simulation.daemons[0].live_records(simulation.now).count();
            samples += size;
        }
    }
    let rate =
        simulation.bytes as f64 / IDLE_DURATION.as_secs_f64() / simulation.daemons.len() as f64;
    report::figure(&format!("{name}.sent"), rate / 1000.0, "KB/s/daemon");
    report::figure(
        &format!("{name}.wrongly-silent"),
        f64::from(missing as u32) / samples as f64 * 100.0,
        "percent",
    );
}

/// Measures the time until all daemons know each other after they have all started at once, and the
/// bytes that each has sent by then.
fn measure_cold_start(name: &str, size: usize, seed: u64) {
    let mut simulation = Simulation::new(size, 0.0, seed);
    simulation.daemons =
        (0..size).map(|n| membership::Membership::new(record(n, UPSTREAMS_PER_DAEMON))).collect();
    let elapsed = simulation.step_until(|daemon, now| daemon.live_records(now).count() == size);
    report::figure(name, elapsed, "s");
    let sent = simulation.bytes as f64 / size as f64 / 1000.0;
    report::figure(&format!("{name}.sent"), sent, "KB/daemon");
}

/// Measures the time until a restarted daemon without any records has those of all live daemons.
fn measure_catch_up(name: &str, mut simulation: Simulation) {
    let size = simulation.daemons.len();
    let mut restarted = record(0, UPSTREAMS_PER_DAEMON);
    restarted.incarnation = 2;
    simulation.daemons[0] = membership::Membership::new(restarted);
    let elapsed = simulation.step_until(|daemon, now| daemon.live_records(now).count() == size);
    report::figure(name, elapsed, "s");
}

/// Reports the size of a message with the full state, for comparison with the incremental exchange.
fn measure_full_state(size: usize) {
    let records = (0..size).map(|n| record(n, UPSTREAMS_PER_DAEMON)).collect();
    let full = membership::GossipMessage { records, ..Default::default() };
    let bytes = self::size(&full) as f64;
    report::figure(&format!("membership.{size}.full-state"), bytes / 1000.0, "KB/message");
}
