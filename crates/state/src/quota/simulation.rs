//! A fleet without a network: daemons with their memberships, owners and ingresses, which exchange
//! messages with delays, losses and partitions.

use std::collections;
use std::net;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::ids;
use crate::member;
use crate::membership;
use crate::quota;
use crate::quota::bounds;
use crate::quota::message;
use crate::quota::owner;
use crate::quota::spender;

/// Length of a step of the simulation in milliseconds.
pub const STEP_MS: u64 = 4;
/// Longest time in milliseconds after which daemons hear of a heartbeat, which others relay.
const HEARTBEAT_DELAY_MAX_MS: u64 = 1000;
const HEARTBEAT_INTERVAL_MS: u64 = 1000;
/// Time before the start of a simulation that can be represented.
const PAST: time::Duration = time::Duration::from_secs(3600);

/// Error planted in the simulated daemons, which the test of the bound has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Planted {
    None,
    /// A restarted owner lends at once, from a full bucket.
    FullBucket,
    /// An owner that hears only a part of the fleet lends the whole rate.
    FullShare,
}

/// Conditions on the network between daemons.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Shortest one-way latency in milliseconds.
    pub latency_ms: u64,
    /// Longest additional latency in milliseconds.
    pub jitter_ms: u64,
    /// Probability that a message is lost, 0 to 1.
    pub loss: f64,
}

#[derive(Debug)]
struct Daemon {
    spender: spender::Spender,
    owner: owner::Owner,
    membership: membership::Membership,
    incarnation: u64,
    is_running: bool,
    paused_until: u64,
    /// Part of the fleet that the daemon is in.
    part: usize,
    waiting: Vec<(ids::OrganisationName, time::Instant)>,
    busy: collections::HashSet<net::SocketAddr>,
}

#[derive(Debug)]
enum Message {
    Asks {
        from: usize,
        to: usize,
        incarnation: u64,
        asks: Vec<message::Ask>,
        sent: u64,
    },
    Grants {
        to: usize,
        incarnation: u64,
        owner: usize,
        exchange: u64,
        grants: Vec<message::Grant>,
    },
    /// The asks of an exchange have had no response in time.
    Timeout {
        to: usize,
        incarnation: u64,
        owner: usize,
        exchange: u64,
    },
    Heartbeat {
        to: usize,
        record: Box<member::Record>,
        part: usize,
    },
}

/// A simulated fleet.
#[derive(Debug)]
pub struct Fleet {
    start: time::Instant,
    /// Milliseconds since the start.
    pub now_ms: u64,
    daemons: Vec<Daemon>,
    messages: collections::BTreeMap<(u64, u64), Message>,
    message_count: u64,
    /// Asks that are on their way, by the number of their first message.
    exchanges: collections::HashMap<u64, (Vec<message::Ask>, time::Instant)>,
    network: Network,
    planted: Planted,
    limits: collections::HashMap<ids::OrganisationName, quota::Limit>,
    /// Times in milliseconds of the requests that were admitted, by organisation.
    pub admitted: collections::HashMap<ids::OrganisationName, Vec<u64>>,
    /// Times in milliseconds of the requests that were rejected, by organisation.
    pub rejected: collections::HashMap<ids::OrganisationName, Vec<u64>>,
    /// `Retry-After` of the rejections.
    pub rooms: Vec<time::Duration>,
    /// Number of messages with asks that were sent.
    pub asks_sent: u64,
    pub rng: SmallRng,
}

fn name(daemon: usize) -> ids::DaemonName {
    format!("d{daemon}").as_str().into()
}

fn address(daemon: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, daemon as u8], 80))
}

fn record(daemon: usize, incarnation: u64) -> member::Record {
    let address = address(daemon);
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    member::Record::new(name(daemon), incarnation, "a".into(), addresses)
}

impl Fleet {
    pub fn new(size: usize, network: Network, planted: Planted, seed: u64) -> Self {
        let start = time::Instant::now() + PAST;
        let daemons = (0..size).map(|n| Daemon::new(n, size, 1, planted, start)).collect();
        Self {
            start,
            now_ms: 0,
            daemons,
            messages: Default::default(),
            message_count: 0,
            exchanges: Default::default(),
            network,
            planted,
            limits: Default::default(),
            admitted: Default::default(),
            rejected: Default::default(),
            rooms: Vec::new(),
            asks_sent: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn set_limit(&mut self, organisation: &str, limit: quota::Limit) {
        self.limits.insert(organisation.into(), limit);
    }

    fn now(&self) -> time::Instant {
        self.start + time::Duration::from_millis(self.now_ms)
    }

    /// Kills a daemon, with everything that it holds in memory.
    pub fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].is_running = false;
        let waiting = std::mem::take(&mut self.daemons[daemon].waiting);
        for (organisation, _) in waiting {
            self.rejected.entry(organisation).or_default().push(self.now_ms);
        }
    }

    pub fn restart(&mut self, daemon: usize) {
        if self.daemons[daemon].is_running {
            return;
        }
        let (incarnation, part) = (self.now_ms + 2, self.daemons[daemon].part);
        let size = self.daemons.len();
        let mut restarted = Daemon::new(daemon, size, incarnation, self.planted, self.now());
        restarted.part = part;
        self.daemons[daemon] = restarted;
    }

    /// Pauses a daemon for a time; it receives nothing meanwhile.
    pub fn pause(&mut self, daemon: usize, duration_ms: u64) {
        let daemon = &mut self.daemons[daemon];
        daemon.paused_until = daemon.paused_until.max(self.now_ms + duration_ms);
    }

    /// Moves a daemon to another part of the fleet. Messages between parts are lost.
    pub fn set_part(&mut self, daemon: usize, part: usize) {
        self.daemons[daemon].part = part;
    }

    fn is_active(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.is_running && daemon.paused_until <= self.now_ms
    }

    /// Sends requests of an organisation to a daemon. While the daemon does not run, they are lost.
    pub fn request(&mut self, daemon: usize, organisation: &str, count: usize) {
        if !self.is_active(daemon) {
            return;
        }
        let arrived = self.now();
        for _ in 0..count {
            self.decide(daemon, organisation.into(), arrived);
        }
        self.send_asks(daemon);
    }

    fn decide(&mut self, daemon: usize, organisation: ids::OrganisationName, at: time::Instant) {
        let now = self.now();
        let Some(limit) = self.limits.get(&organisation).copied() else { return };
        let ingress = &mut self.daemons[daemon];
        match ingress.spender.admit(&organisation, &limit, at, now) {
            spender::Decision::Admit => {
                self.admitted.entry(organisation).or_default().push(self.now_ms);
            }
            spender::Decision::Wait(_) => ingress.waiting.push((organisation, at)),
            spender::Decision::Reject(refusal) => {
                self.rooms.push(refusal.room);
                self.rejected.entry(organisation).or_default().push(self.now_ms);
            }
        }
    }

    /// Decides about waiting requests again, after a grant or at the end of their wait.
    fn decide_waiting(&mut self, daemon: usize, is_granted: bool) {
        let now = self.now();
        let waiting = std::mem::take(&mut self.daemons[daemon].waiting);
        for (organisation, arrived) in waiting {
            if is_granted || arrived + spender::WAIT_MAX <= now {
                self.decide(daemon, organisation, arrived);
            } else {
                self.daemons[daemon].waiting.push((organisation, arrived));
            }
        }
    }

    /// Does what `QuotaBorrower::send_asks` does.
    fn send_asks(&mut self, daemon: usize) {
        let now = self.now();
        let asks = self.daemons[daemon].spender.asks(now);
        let mut by_owner: collections::BTreeMap<Option<net::SocketAddr>, Vec<message::Ask>> =
            Default::default();
        for ask in asks {
            let owner = self.daemons[daemon].membership.place(&ask.organisation, now).control;
            by_owner.entry(owner).or_default().push(ask);
        }
        for (owner, asks) in by_owner {
            let Some(address) = owner else {
                let grants = self.lend(daemon, daemon, &asks);
                self.daemons[daemon].spender.apply(&asks, &grants, now, now);
                self.decide_waiting(daemon, true);
                self.send_asks(daemon);
                continue;
            };
            if !self.daemons[daemon].busy.insert(address) {
                self.daemons[daemon].spender.postpone(&asks);
                continue;
            }
            let to = usize::from(match address.ip() {
                net::IpAddr::V4(ip) => ip.octets()[3],
                net::IpAddr::V6(_) => panic!("{address} is no address of the simulation"),
            });
            let incarnation = self.daemons[daemon].incarnation;
            let exchange = self.message_count;
            self.exchanges.insert(exchange, (asks.clone(), now));
            self.asks_sent += 1;
            let timeout_ms = spender::ASK_TIMEOUT.as_millis() as u64;
            let timeout = Message::Timeout { to: daemon, incarnation, owner: to, exchange };
            self.send_after(timeout_ms, timeout);
            let message = Message::Asks { from: daemon, to, incarnation, asks, sent: exchange };
            self.send(daemon, to, message);
        }
    }

    /// Sends a message over the network, unless it is lost.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = self.rng.random_bool(self.network.loss);
        if is_lost || self.daemons[from].part != self.daemons[to].part {
            return;
        }
        let jitter_ms = self.rng.random_range(0..=self.network.jitter_ms);
        self.send_after(self.network.latency_ms + jitter_ms, message);
    }

    fn send_after(&mut self, delay_ms: u64, message: Message) {
        self.messages.insert((self.now_ms + delay_ms, self.message_count), message);
        self.message_count += 1;
    }

    /// Does what `SharedState::lend` does.
    fn lend(&mut self, owner: usize, ingress: usize, asks: &[message::Ask]) -> Vec<message::Grant> {
        let (now, owner) = (self.now(), &mut self.daemons[owner]);
        let mut grants = Vec::new();
        for ask in asks {
            let Some(limit) = self.limits.get(&ask.organisation) else { continue };
            let placement = owner.membership.place(&ask.organisation, now);
            if placement.control.is_none() {
                let mut position = placement.position;
                if self.planted == Planted::FullShare {
                    position.share = 1.0;
                }
                grants.push(owner.owner.lend(&name(ingress), ask, limit, position, now));
            }
        }
        grants
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Asks { from, to, incarnation, asks, sent } => {
                let is_current = self.daemons[from].incarnation == incarnation;
                // A connection of a process that was killed is closed; what it sent may be read.
                if self.is_active(to) && (is_current || self.rng.random_bool(0.5)) {
                    let grants = self.lend(to, from, &asks);
                    let reply = Message::Grants {
                        to: from,
                        incarnation,
                        owner: to,
                        exchange: sent,
                        grants,
                    };
                    self.send(to, from, reply);
                }
            }
            Message::Grants { to, incarnation, owner, exchange, grants } => {
                self.end_exchange(to, incarnation, owner, exchange, &grants);
            }
            Message::Timeout { to, incarnation, owner, exchange } => {
                self.end_exchange(to, incarnation, owner, exchange, &[]);
            }
            Message::Heartbeat { to, record, part } => {
                let now = self.now();
                if self.is_active(to) && self.daemons[to].part == part {
                    self.daemons[to].membership.hear(&record, now);
                }
            }
        }
    }

    fn end_exchange(
        &mut self,
        daemon: usize,
        incarnation: u64,
        owner: usize,
        exchange: u64,
        grants: &[message::Grant],
    ) {
        if !self.daemons[daemon].is_running || self.daemons[daemon].incarnation != incarnation {
            return;
        }
        let Some((asks, sent)) = self.exchanges.remove(&exchange) else { return };
        let now = self.now();
        self.daemons[daemon].busy.remove(&address(owner));
        self.daemons[daemon].spender.apply(&asks, grants, sent, now);
        self.decide_waiting(daemon, true);
        self.send_asks(daemon);
    }

    /// Advances the fleet by one step.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(entry) = self.messages.first_entry() {
            let at = entry.key().0;
            if at > self.now_ms {
                break;
            }
            let message = entry.remove();
            let paused_until = match &message {
                Message::Asks { to, .. } | Message::Grants { to, .. } => {
                    self.daemons[*to].paused_until
                }
                Message::Timeout { to, .. } => self.daemons[*to].paused_until,
                Message::Heartbeat { .. } => 0,
            };
            // A paused process reads the message when it resumes.
            if paused_until > self.now_ms {
                self.send_after(paused_until - self.now_ms, message);
            } else {
                self.deliver(message);
            }
        }
        let now = self.now();
        for daemon in 0..self.daemons.len() {
            if self.is_active(daemon) {
                self.daemons[daemon].membership.tick(now);
                self.daemons[daemon].owner.tick(now);
                if !self.daemons[daemon].waiting.is_empty() {
                    self.decide_waiting(daemon, false);
                }
                self.send_asks(daemon);
                if (self.now_ms / STEP_MS + daemon as u64 * 7)
                    .is_multiple_of(HEARTBEAT_INTERVAL_MS / STEP_MS)
                {
                    self.send_heartbeats(daemon);
                }
            }
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let part = self.daemons[from].part;
        let record = record(from, self.daemons[from].incarnation);
        for to in (0..self.daemons.len()).filter(|&to| to != from) {
            let delay_ms = self.rng.random_range(1..=HEARTBEAT_DELAY_MAX_MS);
            self.send_after(
                delay_ms,
                Message::Heartbeat { to, record: Box::new(record.clone()), part },
            );
        }
    }

    /// Returns the largest number of requests of an organisation that were admitted in any window.
    pub fn busiest_window(&self, organisation: &str, window_ms: u64) -> usize {
        let Some(times) = self.admitted.get(organisation) else { return 0 };
        let mut first = 0;
        let mut busiest = 0;
        for (last, &at) in times.iter().enumerate() {
            while times[first] + window_ms <= at {
                first += 1;
            }
            busiest = busiest.max(last + 1 - first);
        }
        busiest
    }

    /// Returns the number of times of an organisation in `times` within a range of milliseconds.
    pub fn count(
        times: &collections::HashMap<ids::OrganisationName, Vec<u64>>,
        organisation: &str,
        range: std::ops::Range<u64>,
    ) -> usize {
        let times = times.get(organisation).map_or(&[][..], Vec::as_slice);
        times.iter().filter(|at| range.contains(at)).count()
    }

    /// Returns the daemon that owns the quota of an organisation in the view of the first daemon.
    pub fn owner_of(&mut self, organisation: &str) -> usize {
        let now = self.now();
        let placed = self.daemons[0].membership.place(organisation, now);
        (0..self.daemons.len()).find(|&n| name(n) == placed.owner).unwrap_or_default()
    }
}

impl Daemon {
    fn new(
        daemon: usize,
        size: usize,
        incarnation: u64,
        planted: Planted,
        now: time::Instant,
    ) -> Self {
        let mut membership = membership::Membership::new(record(daemon, incarnation));
        for peer in (0..size).filter(|&peer| peer != daemon) {
            membership.hear(&record(peer, 1), now);
        }
        // A start in the past counts as settled.
        let started = if planted == Planted::FullBucket { now - PAST } else { now };
        let mut owner = owner::Owner::new(bounds::Bounds::default(), incarnation, started);
        owner.forget_ticks(now);
        Self {
            spender: Default::default(),
            owner,
            membership,
            incarnation,
            is_running: true,
            paused_until: 0,
            part: 0,
            waiting: Vec::new(),
            busy: Default::default(),
        }
    }
}
