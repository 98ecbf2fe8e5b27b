//! The daemons of a soak with their backend servers, relays and log service.

use std::net;
use std::path;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use lynxmast_protocol::log as api;
use lynxmast_testing::backend;
use lynxmast_testing::fleet as sections;
use lynxmast_testing::log_stand_in;
use lynxmast_testing::relay;

use crate::Plan;
use crate::load;
use crate::process;
use crate::schedule;

/// Daemons and what they need.
pub struct Fleet {
    log: log_stand_in::LogStandIn,
    nodes: Vec<Node>,
    /// Backend servers that crashed; their runs count.
    crashed: Vec<backend::Backend>,
    edits: u64,
}

/// A daemon with what is beside it and before it.
struct Node {
    process: process::Process,
    backend: backend::Backend,
    gate: relay::Relay,
    control: relay::Relay,
    starts: u64,
}

/// Host of all requests.
pub const HOST: &str = "soak.example";
/// Path of requests that may be run twice.
pub const REPEATABLE: &str = "/read";
/// Path of requests that must not.
pub const ONCE: &str = "/buy";
/// Deadline of both.
pub const DEADLINE: time::Duration = time::Duration::from_secs(2);

/// Time that a request runs: long enough that some are being run whenever a fault comes.
const WORK: time::Duration = time::Duration::from_millis(40);
const SERVICE: &str = "shop";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const START_MAX: time::Duration = time::Duration::from_secs(20);
const STEP: time::Duration = time::Duration::from_millis(100);
const HELD_UP: time::Duration = time::Duration::from_millis(80);
static RUNS: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// A section of the policy; edits differ in a limit that no request of the soak comes near.
fn section(edit: u64) -> String {
    format!(
        "team = 'soak'\n[[service]]\nname = '{SERVICE}'\nramp = '0s'\nqueue = {}\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{REPEATABLE}'\nidempotent = true\n\
         deadline = '2s'\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{ONCE}'\ndeadline = '2s'\n",
        100 + edit % 100
    )
}

impl Fleet {
    /// Starts the log service, the daemons and a backend server beside each, and waits until every
    /// entry serves.
    ///
    /// # Errors
    ///
    /// Says what did not start.
    pub async fn start(plan: &Plan) -> Result<Self, String> {
        let log = log_stand_in::LogStandIn::start(0).await;
        sections::publish(&log, &section(0), 0).await;
        let mut nodes: Vec<Node> = Vec::new();
        let mut taken = Default::default();
        let run = RUNS.fetch_add(1, atomic::Ordering::Relaxed);
        for number in 0..plan.processes {
            let peers: Vec<String> =
                nodes.iter().take(3).map(|node| node.control.address.to_string()).collect();
            let name = format!("lynxmast-soak-{}-{run}-{number}.toml", std::process::id());
            let file = std::env::temp_dir().join(name);
            let ports = process::Ports::choose(&mut taken)
                .map_err(|error| format!("ports of daemon {number}: {error}"))?;
            let node = Node::start(plan, file, number, log.address, &peers, ports).await;
            nodes.push(node.map_err(|error| format!("daemon {number}: {error}"))?);
        }
        let fleet = Self { log, nodes, crashed: Vec::new(), edits: 0 };
        for node in &fleet.nodes {
            node.backend.keep_announcing(node.process.ports.beside);
        }
        fleet.await_service().await?;
        Ok(fleet)
    }

    async fn await_service(&self) -> Result<(), String> {
        let until = time::Instant::now() + START_MAX;
        while load::probe(&self.entries()).await.iter().any(|share| *share < 1.0) {
            if time::Instant::now() > until {
                return Err("the fleet does not serve after its start".to_owned());
            }
            tokio::time::sleep(STEP).await;
        }
        Ok(())
    }

    /// Returns the entries.
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        self.nodes.iter().map(|node| node.process.ports.entry).collect()
    }

    /// Returns the addresses for operators.
    pub fn admins(&self) -> Vec<net::SocketAddr> {
        self.nodes.iter().map(|node| node.process.ports.admin).collect()
    }

    /// Plays faults at their times, each until its end; they overlap as they come.
    pub async fn play(&mut self, faults: &[schedule::Fault]) {
        let begins = faults.iter().map(|fault| (fault.at, true, *fault));
        let ends = faults.iter().map(|fault| (fault.at + fault.lasts, false, *fault));
        let mut steps: Vec<(time::Duration, bool, schedule::Fault)> = begins.chain(ends).collect();
        steps.sort_by_key(|(at, ..)| *at);
        let started = time::Instant::now();
        for (at, begins, fault) in steps {
            tokio::time::sleep(at.saturating_sub(started.elapsed())).await;
            if begins { self.begin(&fault).await } else { self.end(&fault).await }
        }
    }

    async fn begin(&mut self, fault: &schedule::Fault) {
        use schedule::Kind::*;
        let node = &mut self.nodes[fault.daemon];
        match fault.kind {
            Kill => node.process.kill(),
            Terminate => node.process.signal(process::Signal::Terminate),
            Freeze => node.process.signal(process::Signal::Stop),
            HangUp => node.process.signal(process::Signal::HangUp),
            CutForward => node.relays().for_each(|relay| relay.drop_bytes(true, false)),
            CutBackward => node.relays().for_each(|relay| relay.drop_bytes(false, true)),
            Delay => node.relays().for_each(|relay| relay.delay(HELD_UP)),
            Silence => node.relays().for_each(relay::Relay::silence_open),
            Close => node.relays().for_each(relay::Relay::close_open),
            LogDown => self.log.set_faults(log_faults(|faults| faults.is_down = true)),
            LogLoses => self.log.set_faults(log_faults(|faults| faults.loses_answers = true)),
            LogSlow => self.log.set_faults(log_faults(|faults| faults.delay = 10 * HELD_UP)),
            Gray => node.backend.change(|behaviour| behaviour.errors = 0.5),
            Mute => node.backend.change(|behaviour| behaviour.silence = 1.0),
            Cuts => node.backend.change(|behaviour| behaviour.cuts = 0.3),
            Crash => node.backend.crash(),
            Policy => self.publish().await,
        }
    }

    async fn end(&mut self, fault: &schedule::Fault) {
        use schedule::Kind::*;
        match fault.kind {
            Kill | Terminate => self.restart(fault.daemon).await,
            Freeze => self.nodes[fault.daemon].process.signal(process::Signal::Continue),
            CutForward | CutBackward => {
                self.nodes[fault.daemon].relays().for_each(|relay| relay.drop_bytes(false, false));
            }
            Delay => {
                self.nodes[fault.daemon].relays().for_each(|relay| relay.delay(Default::default()));
            }
            LogDown | LogLoses | LogSlow => self.log.set_faults(Default::default()),
            Gray | Mute | Cuts => {
                self.nodes[fault.daemon].backend.change(|behaviour| *behaviour = sound());
            }
            Crash => self.replace_backend(fault.daemon).await,
            HangUp | Silence | Close | Policy => {}
        }
    }

    /// Starts a daemon again once its process has ended; a fault that came meanwhile may have
    /// stopped it, so that it is let go on first.
    async fn restart(&mut self, daemon: usize) {
        let process = &mut self.nodes[daemon].process;
        process.signal(process::Signal::Continue);
        if process.is_running() {
            process.signal(process::Signal::Terminate);
            if !process.await_end().await {
                process.kill();
            }
        }
        if let Err(error) = process.start_again() {
            eprintln!("daemon {daemon} is not started again: {error}");
        }
    }

    async fn replace_backend(&mut self, daemon: usize) {
        let node = &mut self.nodes[daemon];
        node.starts += 1;
        node.backend.crash();
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let fresh = backend::Backend::start_at(SERVICE, sound(), any, node.starts).await;
        fresh.keep_announcing(node.process.ports.beside);
        self.crashed.push(std::mem::replace(&mut node.backend, fresh));
    }

    async fn publish(&mut self) {
        self.edits += 1;
        let base = self.log.end(api::POLICY_STREAM);
        sections::try_publish(&self.log, &section(self.edits), base).await;
    }

    /// Ends all faults.
    pub async fn heal(&mut self) {
        self.log.set_faults(Default::default());
        for daemon in 0..self.nodes.len() {
            let node = &mut self.nodes[daemon];
            node.process.signal(process::Signal::Continue);
            node.relays().for_each(|relay| {
                relay.drop_bytes(false, false);
                relay.delay(Default::default());
            });
            if let Err(error) = node.process.start_again() {
                eprintln!("daemon {daemon} is not started again: {error}");
            }
        }
    }

    /// Returns the runs of each tag over all backend servers.
    pub fn runs(&self) -> IndexMap<String, u32> {
        let mut all = IndexMap::new();
        let backends = self.nodes.iter().map(|node| &node.backend).chain(&self.crashed);
        for backend in backends {
            for path in [REPEATABLE, ONCE] {
                for (tag, runs) in backend.runs_by_tag(path) {
                    *all.entry(tag).or_default() += runs;
                }
            }
        }
        all
    }

    /// Shuts all daemons down; names those that do not end by themselves.
    pub async fn stop(mut self) -> Vec<String> {
        for node in &mut self.nodes {
            node.process.signal(process::Signal::Terminate);
        }
        let mut broken = Vec::new();
        for (daemon, node) in self.nodes.iter_mut().enumerate() {
            if !node.process.await_end().await {
                broken.push(format!("daemon {daemon} does not end after a termination"));
            }
        }
        broken
    }
}

impl Node {
    async fn start(
        plan: &Plan,
        file: path::PathBuf,
        number: usize,
        log: net::SocketAddr,
        peers: &[String],
        ports: process::Ports,
    ) -> std::io::Result<Self> {
        let gate = relay::Relay::start(ports.gate).await;
        let control = relay::Relay::start(ports.control).await;
        let domain = DOMAINS[number % DOMAINS.len()];
        let text = format!(
            "name = 'd{number}'\ndomain = '{domain}'\nsecret = 'a-secret-for-soaks'\nlog = '{log}'\n\
             peers = {peers:?}\n[listen]\nentry = '{}'\ngate = '{}'\ncontrol = '{}'\nbeside = '{}'\n\
             admin = '{}'\n[advertise]\ngate = '{}'\ncontrol = '{}'\n[limits]\nshutdown = '4s'\n",
            ports.entry,
            ports.gate,
            ports.control,
            ports.beside,
            ports.admin,
            gate.address,
            control.address,
        );
        let log_file =
            plan.logs.as_ref().map(|dir| dir.join(format!("{}-{number}.log", plan.seed)));
        let process = process::Process::start(&plan.daemon, file, &text, ports, log_file)?;
        let backend = backend::Backend::start(SERVICE, sound()).await;
        Ok(Self { process, backend, gate, control, starts: 1 })
    }

    fn relays(&self) -> impl Iterator<Item = &relay::Relay> {
        [&self.gate, &self.control].into_iter()
    }
}

/// Behaviour of a backend server without faults.
fn sound() -> backend::Behaviour {
    backend::Behaviour { time: WORK, ..backend::Behaviour::default() }
}

fn log_faults(change: impl FnOnce(&mut log_stand_in::Faults)) -> log_stand_in::Faults {
    let mut faults = log_stand_in::Faults::default();
    change(&mut faults);
    faults
}
