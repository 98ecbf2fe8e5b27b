//! Small model of a fleet for the tests of routing between failure domains: queues at upstreams,
//! ingresses with their routers, reports that arrive late.

use std::cmp;
use std::collections;
use std::net;
use std::time::Duration;
use std::time::Instant;

use lynxmast_state::ids;
use lynxmast_state::load;
use lynxmast_state::router;
use lynxmast_state::spillover;
use lynxmast_state::spillover::ClassLoad;
use lynxmast_state::spillover::DomainLoad;
use lynxmast_state::spillover::Plan;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How the requests that leave a domain are determined.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Design {
    /// No plan: a constant surcharge on other domains.
    Surcharge,
    /// Own domain until its slots are full, then the excess leaves.
    UntilFull,
    /// In proportion to the slots of the domains.
    Proportional,
    /// Excess over 80% of the slots by the occupied slots, with half of each change made.
    Occupancy,
    /// The plan of `spillover`.
    ExpectedTime,
}

/// Load and faults of one run.
pub struct Scenario {
    pub upstreams: [usize; 4],
    /// Service times of the domains' first and last upstreams, relative to the mean.
    pub speeds: [(f64, f64); 4],
    /// Part of the whole capacity that is demanded.
    pub utilisation: f64,
    /// Swing of the demand of each domain, as a fraction, with a period of 15 s.
    pub swing: f64,
    /// Part of the demand of each domain.
    pub demand: [f64; 4],
    /// Bytes of the small and of the large half of the responses.
    pub sizes: [u64; 2],
    pub transfer_cost: f64,
    pub seconds: u64,
    /// Whether an ingress of domain `.0` can reach one of domain `.1` at a second.
    pub reaches: fn(usize, usize, u64) -> bool,
    /// Number of upstreams of a domain in service and the open slots of each, at a second.
    pub in_service: fn(usize, usize, u64) -> (usize, u32),
    /// Whether reports of domain `.1` arrive at domain `.0` at a second.
    pub reports: fn(usize, usize, u64) -> bool,
    /// Extra latency of a crossing in milliseconds at a second.
    pub extra_latency_ms: fn(u64) -> u64,
    /// Age of the reports in seconds.
    pub report_age: usize,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub times: Vec<f64>,
    pub met: usize,
    pub bytes_crossed: u64,
    pub crossed: usize,
    pub failed: usize,
    /// Mean response time per upstream.
    pub by_upstream: Vec<(f64, usize)>,
    pub busy: Vec<f64>,
    /// Fraction of the requests of each domain that left it, by second.
    pub left: Vec<Vec<f64>>,
}

pub const SLOTS: u32 = 11;
const INGRESSES: usize = 75;
pub const SERVICE_TIME: f64 = 0.3;
const OBJECTIVE: f64 = 0.9;
const LATENCY: f64 = 0.0039;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

struct Server {
    domain: usize,
    number: usize,
    factor: f64,
    busy: u32,
    slots: u32,
    queue: collections::VecDeque<Request>,
    id: ids::UpstreamId,
    busy_time: f64,
}

#[derive(Clone, Copy)]
struct Request {
    ingress: usize,
    arrived: f64,
    service: f64,
}

enum Event {
    Arrival { ingress: usize },
    Enter { server: usize, request: Request },
    Done { server: usize, request: Request },
    Reply { server: usize, request: Request, load: load::Load },
    Update { ingress: usize },
    Second(u64),
}

struct Timed(f64, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

struct Model<'a> {
    scenario: &'a Scenario,
    design: Design,
    start: Instant,
    rng: SmallRng,
    servers: Vec<Server>,
    routers: Vec<router::Router>,
    events: collections::BinaryHeap<Timed>,
    sequence: u64,
    /// Loads of the domains by second.
    history: Vec<Vec<DomainLoad>>,
    demand: [f64; 4],
    arrived: [f64; 4],
    left: [f64; 4],
    outcome: Outcome,
}

impl Outcome {
    pub fn quantile(&self, quantile: f64) -> f64 {
        let mut times = self.times.clone();
        times.sort_by(f64::total_cmp);
        times.get((times.len() as f64 * quantile) as usize).copied().unwrap_or(f64::INFINITY)
    }

    pub fn met_share(&self) -> f64 {
        self.met as f64 / (self.times.len() + self.failed).max(1) as f64
    }

    /// Busiest over mean of the time that upstreams are busy, per slot.
    pub fn busiest_over_mean(&self) -> f64 {
        let mean = self.busy.iter().sum::<f64>() / self.busy.len() as f64;
        self.busy.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Highest mean response time of an upstream over that of all requests.
    pub fn slowest_over_mean(&self) -> f64 {
        let sum: f64 = self.by_upstream.iter().map(|(sum, _)| sum).sum();
        let count: usize = self.by_upstream.iter().map(|(_, count)| count).sum();
        let means = self.by_upstream.iter().map(|(sum, n)| sum / (*n).max(1) as f64);
        means.fold(0.0, f64::max) / (sum / count as f64)
    }

    /// Number of times that the fraction that leaves a domain turned by more than `swing`, after
    /// `from` seconds.
    pub fn turns(&self, swing: f64, from: usize) -> usize {
        (0..4)
            .map(|domain| {
                let mut series = self.left.iter().skip(from).map(|left| left[domain]);
                let Some(first) = series.next() else { return 0 };
                let (mut low, mut high, mut rising, mut turns) = (first, first, None, 0);
                for value in series {
                    (low, high) = (low.min(value), high.max(value));
                    if value > low + swing && rising != Some(true) {
                        turns += usize::from(rising.is_some());
                        (rising, high) = (Some(true), value);
                    } else if value < high - swing && rising != Some(false) {
                        turns += usize::from(rising.is_some());
                        (rising, low) = (Some(false), value);
                    }
                    if rising == Some(true) {
                        low = high;
                    } else if rising == Some(false) {
                        high = low;
                    }
                }
                turns
            })
            .sum()
    }

    /// Mean fraction that left a domain in these seconds.
    pub fn mean_left(&self, domain: usize, seconds: std::ops::Range<usize>) -> f64 {
        let count = seconds.len() as f64;
        self.left[seconds].iter().map(|left| left[domain]).sum::<f64>() / count
    }
}

/// Plays a scenario with one design.
pub fn run(scenario: &Scenario, design: Design, seed: u64) -> Outcome {
    let mut model = Model::new(scenario, design, seed);
    model.play();
    model.outcome.busy = model.servers.iter().map(|server| server.busy_time).collect();
    model.outcome
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, design: Design, seed: u64) -> Self {
        let mut servers = Vec::new();
        for domain in 0..4 {
            let (fast, slow) = scenario.speeds[domain];
            for number in 0..scenario.upstreams[domain] {
                let part = number as f64 / (scenario.upstreams[domain] - 1).max(1) as f64;
                let port = servers.len() as u16 + 1;
                let address = net::SocketAddr::from(([10, 0, 0, 1], port));
                servers.push(Server {
                    domain,
                    number,
                    factor: fast + (slow - fast) * part,
                    busy: 0,
                    slots: SLOTS,
                    queue: Default::default(),
                    id: ids::UpstreamId { service: "s".into(), address },
                    busy_time: 0.0,
                });
            }
        }
        let routers = (0..INGRESSES).map(|ingress| {
            let name = format!("i{ingress}").as_str().into();
            router::Router::new(name, NAMES[ingress % 4].into(), router::Balance::LoadSeen)
        });
        let outcome = Outcome { by_upstream: vec![(0.0, 0); servers.len()], ..Default::default() };
        Self {
            scenario,
            design,
            start: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            routers: routers.collect(),
            servers,
            events: Default::default(),
            sequence: 0,
            history: Vec::new(),
            demand: [0.0; 4],
            arrived: [0.0; 4],
            left: [0.0; 4],
            outcome,
        }
    }

    fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds)
    }

    fn push(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Timed(at, self.sequence, event));
    }

    /// Returns the requests per second of one ingress.
    fn rate(&self, ingress: usize, at: f64) -> f64 {
        let domain = ingress % 4;
        let capacity: f64 =
            self.servers.iter().map(|s| f64::from(SLOTS) / (SERVICE_TIME * s.factor)).sum();
        let phase = at / 15.0 + domain as f64 / 4.0;
        let swing = 1.0 + self.scenario.swing * (phase * std::f64::consts::TAU).sin();
        let ingresses = (INGRESSES + 3 - domain) / 4;
        capacity * self.scenario.utilisation * self.scenario.demand[domain] * swing
            / ingresses as f64
    }

    fn play(&mut self) {
        for ingress in 0..INGRESSES {
            let (first, phase) = (self.rng.random::<f64>() * 0.1, self.rng.random::<f64>());
            self.push(first, Event::Arrival { ingress });
            self.push(phase, Event::Update { ingress });
        }
        self.push(0.0, Event::Second(0));
        let end = self.scenario.seconds as f64;
        while let Some(Timed(now, _, event)) = self.events.pop() {
            match event {
                Event::Arrival { ingress } if now < end => self.arrive(ingress, now),
                Event::Update { ingress } if now < end => self.update(ingress, now),
                Event::Second(second) if second < self.scenario.seconds => self.second(second),
                Event::Enter { server, request } => {
                    self.servers[server].queue.push_back(request);
                    self.start_queued(server, now);
                }
                Event::Done { server, request } => self.finish(server, request, now),
                Event::Reply { server, request, load } => {
                    self.reply(server, request, load, now);
                }
                _ => {}
            }
        }
    }

    /// Applies the faults of a second, and adds up the load reports.
    fn second(&mut self, second: u64) {
        let previous_slots: Vec<u32> = self.servers.iter().map(|server| server.slots).collect();
        for server in &mut self.servers {
            let total = self.scenario.upstreams[server.domain];
            let (count, slots) = (self.scenario.in_service)(server.domain, total, second);
            server.slots = if server.number < count { slots } else { 0 };
        }
        if second == 0
            || self
                .servers
                .iter()
                .zip(&previous_slots)
                .any(|(s, old)| (s.slots == 0) != (*old == 0))
        {
            for router in &mut self.routers {
                let serving = self.servers.iter().filter(|server| server.slots > 0);
                router.sync(serving.map(candidate).collect());
            }
        }
        for domain in 0..4 {
            // A moving average with a half-life of half a second.
            self.demand[domain] = self.demand[domain] * 0.25 + self.arrived[domain] * 0.75;
        }
        let loads = (0..4).map(|domain| {
            let servers = || self.servers.iter().filter(|s| s.domain == domain && s.slots > 0);
            let upstreams = servers().count() as u32;
            let factor = servers().map(|s| s.factor).sum::<f64>() / f64::from(upstreams.max(1));
            DomainLoad {
                domain: NAMES[domain].into(),
                demand: self.demand[domain],
                slots: servers().map(|server| server.slots).sum(),
                occupied: servers().map(|s| s.busy + s.queue.len() as u32).sum(),
                upstreams,
                service_time: Duration::from_secs_f64(SERVICE_TIME * factor),
                round_trip: Duration::ZERO,
                age: Duration::from_secs(self.scenario.report_age as u64),
            }
        });
        let loads = loads.collect();
        self.history.push(loads);
        let fraction = |domain: usize| self.left[domain] / self.arrived[domain].max(1.0);
        self.outcome.left.push((0..4).map(fraction).collect());
        (self.arrived, self.left) = ([0.0; 4], [0.0; 4]);
        self.push(second as f64 + 1.0, Event::Second(second + 1));
    }

    /// Updates the plan of an ingress once per second.
    fn update(&mut self, ingress: usize, now: f64) {
        self.push(now + 1.0, Event::Update { ingress });
        let (second, domain) = (now as usize, ingress % 4);
        let mut loads = Vec::new();
        let crossing =
            2.0 * LATENCY + (self.scenario.extra_latency_ms)(second as u64) as f64 / 1000.0;
        for other in 0..4 {
            // The latest report that arrived, with its age.
            let sent = (0..second.saturating_sub(self.scenario.report_age) + 1).rev();
            let mut sent = sent.filter(|&at| (self.scenario.reports)(domain, other, at as u64));
            let Some(at) = sent.next() else { continue };
            let mut load = self.history[at][other].clone();
            load.age = Duration::from_secs_f64(now - at as f64);
            if other != domain {
                load.round_trip = Duration::from_secs_f64(crossing);
            }
            loads.push(load);
        }
        let transfer = self.scenario.sizes.map(|size| size as f64 * self.scenario.transfer_cost);
        let mut classes = [ClassLoad::default(); spillover::CLASSES];
        for (size, transfer) in self.scenario.sizes.into_iter().zip(transfer) {
            let objective = Some(Duration::from_secs_f64(OBJECTIVE));
            let class = &mut classes[spillover::Class::of(size, objective) as usize];
            *class = ClassLoad { share: class.share + 0.5, transfer };
        }
        let fresh: Vec<DomainLoad> =
            loads.iter().filter(|load| load.age <= spillover::REPORT_AGE_MAX).cloned().collect();
        let name = NAMES[domain];
        let elapsed = Duration::from_secs(1);
        self.routers[ingress].change_plan("s", |plan| match self.design {
            Design::Surcharge => {}
            Design::UntilFull => *plan = by_occupancy(name, &fresh, 1.0, None, &classes),
            Design::Occupancy => {
                *plan = by_occupancy(name, &fresh, 0.8, Some(plan.targets()), &classes);
            }
            Design::Proportional => *plan = proportional(name, &fresh, &classes),
            Design::ExpectedTime => {
                plan.update(name, &loads, &classes, elapsed);
            }
        });
    }

    fn arrive(&mut self, ingress: usize, now: f64) {
        let rate = self.rate(ingress, now);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.push(now + gap, Event::Arrival { ingress });
        let domain = ingress % 4;
        self.arrived[domain] += 1.0;
        let size = self.scenario.sizes[usize::from(self.rng.random_bool(0.5))];
        let service = SERVICE_TIME * self.rng.random_range(0.5..1.5);
        let request = Request { ingress, arrived: now, service };
        let mut tried: Vec<net::SocketAddr> = Vec::new();
        let mut sent = now;
        while tried.len() < 8 {
            let criteria = router::Criteria {
                service: "s",
                floor: 0,
                floor_share: 0.0,
                may_probe: false,
                use_avoided: false,
                body_size: 0,
                response_size: size,
                transfer_cost: self.scenario.transfer_cost,
                objective: Some(Duration::from_secs_f64(OBJECTIVE)),
                tried: &tried,
                now: self.at(now),
            };
            let Some(picked) = self.routers[ingress].pick(&criteria, &mut self.rng) else { break };
            let found = self.servers.iter().position(|server| server.id == picked.id);
            let server = found.expect("a known upstream");
            let other = self.servers[server].domain;
            let extra = (self.scenario.extra_latency_ms)(now as u64) as f64 / 2000.0;
            let latency = if other == domain { 0.0002 } else { LATENCY + extra };
            if (self.scenario.reaches)(domain, other, now as u64) {
                self.outcome.crossed += usize::from(other != domain);
                self.left[domain] += f64::from(u8::from(other != domain));
                if other != domain {
                    self.outcome.bytes_crossed += size;
                }
                return self.push(sent + latency, Event::Enter { server, request });
            }
            let at = self.at(now);
            let unavailable = router::AttemptResult::Unavailable;
            self.routers[ingress].record_result(&picked.id, unavailable, at);
            tried.push(picked.id.address);
            sent += 0.05;
        }
        self.outcome.failed += 1;
    }

    fn start_queued(&mut self, number: usize, now: f64) {
        loop {
            let server = &mut self.servers[number];
            if server.busy >= server.slots.max(1) {
                return;
            }
            let Some(request) = server.queue.pop_front() else { return };
            server.busy += 1;
            let service = request.service * server.factor;
            server.busy_time += service;
            self.push(now + service, Event::Done { server: number, request });
        }
    }

    fn finish(&mut self, number: usize, request: Request, now: f64) {
        self.servers[number].busy -= 1;
        self.start_queued(number, now);
        let server = &self.servers[number];
        let load = load::Load {
            in_use: server.busy,
            queued: server.queue.len() as u32,
            slots: server.slots,
        };
        let extra = (self.scenario.extra_latency_ms)(now as u64) as f64 / 2000.0;
        let crosses = server.domain != request.ingress % 4;
        let latency = if crosses { LATENCY + extra } else { 0.0002 };
        self.push(now + latency, Event::Reply { server: number, request, load });
    }

    fn reply(&mut self, number: usize, request: Request, load: load::Load, now: f64) {
        let at = self.at(now);
        let server = &self.servers[number];
        let elapsed = Duration::from_secs_f64(request.service * server.factor);
        let responded = router::AttemptResult::Responded { elapsed, is_error: false };
        let router = &mut self.routers[request.ingress];
        router.record_load(&server.id, load, at);
        router.record_result(&server.id, responded, at);
        let time = now - request.arrived;
        self.outcome.times.push(time);
        self.outcome.met += usize::from(time <= OBJECTIVE);
        let (sum, count) = &mut self.outcome.by_upstream[number];
        (*sum, *count) = (*sum + time, *count + 1);
    }
}

fn candidate(server: &Server) -> router::Candidate {
    router::Candidate {
        id: server.id.clone(),
        daemon: format!("d{}", server.id.address.port()).as_str().into(),
        sidecar: server.id.address,
        domain: NAMES[server.domain].into(),
        slots: SLOTS,
        incarnation: 1,
        daemon_incarnation: 1,
    }
}

/// Sends the excess over a part of the slots to the domains with room. With `current`, half of the
/// change is made.
fn by_occupancy(
    own: &str,
    loads: &[DomainLoad],
    part: f64,
    current: Option<&[(ids::DomainName, f64)]>,
    classes: &[ClassLoad; spillover::CLASSES],
) -> Plan {
    let Some(own) = loads.iter().find(|load| &*load.domain == own) else { return Plan::default() };
    let room =
        |load: &DomainLoad| (f64::from(load.slots) * part - f64::from(load.occupied)).max(0.0);
    let others = || loads.iter().filter(|load| load.domain != own.domain);
    let total: f64 = others().map(room).sum();
    let excess = (f64::from(own.occupied) - f64::from(own.slots) * part).max(0.0);
    // The requests in service are those that stayed: what leaves already is added.
    let leaving = excess / f64::from(own.occupied.max(1));
    let targets = others().map(|load| {
        let wanted = if total > 0.0 { leaving * room(load) / total } else { 0.0 };
        let known = current.and_then(|c| c.iter().find(|(name, _)| *name == load.domain));
        let known = known.map(|(_, fraction)| *fraction);
        let next = known.map_or(wanted, |known| known + (wanted - known) / 2.0);
        (load.domain.clone(), next)
    });
    Plan::new(targets.collect(), classes)
}

/// Keeps requests in proportion to the slots of the own domain, given that a quarter of the ingresses
/// is in each domain, and spreads the rest over the domains with more slots than ingresses.
fn proportional(
    own: &str,
    loads: &[DomainLoad],
    classes: &[ClassLoad; spillover::CLASSES],
) -> Plan {
    let slots: f64 = loads.iter().map(|load| f64::from(load.slots)).sum();
    let share = |load: &DomainLoad| f64::from(load.slots) / slots.max(1.0) * loads.len() as f64;
    let Some(kept) = loads.iter().find(|load| &*load.domain == own).map(share) else {
        return Plan::default();
    };
    let others = || loads.iter().filter(|load| &*load.domain != own);
    let surplus = |load: &DomainLoad| (share(load) - 1.0).max(0.0);
    let total: f64 = others().map(surplus).sum();
    let leaving = (1.0 - kept).max(0.0);
    let targets = others()
        .filter(|_| total > 0.0)
        .map(|load| (load.domain.clone(), leaving * surplus(load) / total));
    Plan::new(targets.collect(), classes)
}
