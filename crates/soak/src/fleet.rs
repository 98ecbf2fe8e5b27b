//! Fleet under test: daemon processes with their backend servers, fault proxies and a log service.

use std::collections;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use lynxmast_protocol::log as api;
use lynxmast_testing::backend;
use lynxmast_testing::crashing_requests;
use lynxmast_testing::fake_log;
use lynxmast_testing::fault_proxy;
use lynxmast_testing::fleet as testing_fleet;

use crate::Plan;
use crate::invariants;
use crate::load;
use crate::policy;
use crate::process;
use crate::schedule;

/// Running fleet.
pub struct Fleet {
    log: fake_log::FakeLog,
    nodes: Vec<Node>,
    /// Crashed backend servers, kept because their runs still count.
    crashed: Vec<backend::Backend>,
    /// Behaviour of a backend server without faults.
    healthy: backend::Behaviour,
    /// Number of the newest edit; each edit replaces the key of the previous one.
    edits: sync::Arc<atomic::AtomicU64>,
    /// Violations found while faults were injected.
    violations: Vec<String>,
}

/// Daemon with its local backend server and the fault proxies in front of its ports.
struct Node {
    process: process::Process,
    backend: backend::Backend,
    sidecar_proxy: fault_proxy::FaultProxy,
    control_proxy: fault_proxy::FaultProxy,
    incarnation: u64,
    /// Whether the backend server has named a limit since the start of the fault that set it.
    is_limited: bool,
}

/// Time that a backend server takes for a request: long enough that some requests are running when
/// a fault begins.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(40);
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time from a crash that a request has caused to the start of another backend server.
const CRASH_DOWNTIME: time::Duration = time::Duration::from_secs(1);
/// Limit in requests per second that a backend server names.
const LIMIT: f64 = 5.0;
const LIMIT_TEXT: &str = "5";
/// Time after which every daemon knows a limit.
const LIMIT_NOTICE_TIME: time::Duration = time::Duration::from_secs(1);
/// Requests above one and a half times the limit that are tolerated, including those of a sidecar
/// that restarts.
const LIMIT_EXCESS_MAX: f64 = 10.0;
/// Time after its publication within which every connected daemon must refuse a withdrawn key.
const WITHDRAWAL_TIME: time::Duration = time::Duration::from_millis(2500);
const PROXY_DELAY: time::Duration = time::Duration::from_millis(80);
static FLEETS_STARTED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

impl Fleet {
    /// Starts the log service, the daemons and a local backend server of each daemon, and waits
    /// until every ingress serves.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon does not start or the fleet does not serve within 20 s.
    pub async fn start(plan: &Plan) -> Result<Self, String> {
        let log = fake_log::FakeLog::start(0).await;
        testing_fleet::publish(&log, &policy::section(0), 0).await;
        let mut nodes: Vec<Node> = Vec::new();
        let mut reserved = Default::default();
        let fleet_id = FLEETS_STARTED.fetch_add(1, atomic::Ordering::Relaxed);
        for index in 0..plan.processes {
            let peers: Vec<String> =
                nodes.iter().take(3).map(|node| node.control_proxy.address.to_string()).collect();
            let name = format!("lynxmast-soak-{}-{fleet_id}-{index}.toml", std::process::id());
            let settings_file = std::env::temp_dir().join(name);
            let ports = process::Ports::choose(&mut reserved)
                .map_err(|error| format!("cannot reserve ports for daemon {index}: {error}"))?;
            let node = Node::start(plan, settings_file, index, log.address, &peers, ports).await;
            nodes.push(node.map_err(|error| format!("cannot start daemon {index}: {error}"))?);
        }
        let (crashed, violations) = (Vec::new(), Vec::new());
        let healthy = healthy_behaviour(plan.seed);
        let fleet = Self { log, nodes, crashed, healthy, edits: Default::default(), violations };
        for node in &fleet.nodes {
            node.backend.keep_announcing(node.process.ports.local);
        }
        fleet.await_ready().await?;
        Ok(fleet)
    }

    async fn await_ready(&self) -> Result<(), String> {
        let until = time::Instant::now() + START_TIMEOUT;
        while load::probe(&self.ingress_addresses()).await.iter().any(|rate| *rate < 1.0) {
            if time::Instant::now() > until {
                return Err(
                    "the fleet does not serve all requests within 20 s of its start".to_owned()
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the ingress addresses of the daemons.
    pub fn ingress_addresses(&self) -> Vec<net::SocketAddr> {
        self.nodes.iter().map(|node| node.process.ports.ingress).collect()
    }

    /// Returns the admin addresses of the daemons.
    pub fn admin_addresses(&self) -> Vec<net::SocketAddr> {
        self.nodes.iter().map(|node| node.process.ports.admin).collect()
    }

    /// Begins and ends faults at their scheduled times; faults may overlap.
    pub async fn inject(&mut self, faults: &[schedule::Fault]) {
        let starts = faults.iter().map(|fault| (fault.start, true, *fault));
        let ends = faults.iter().map(|fault| (fault.start + fault.length, false, *fault));
        let mut transitions: Vec<(time::Duration, bool, schedule::Fault)> =
            starts.chain(ends).collect();
        transitions.sort_by_key(|(offset, ..)| *offset);
        let mut transitions = collections::VecDeque::from(transitions);
        let started = time::Instant::now();
        while let Some((offset, is_start, fault)) = transitions.front().copied() {
            let timeout = offset.saturating_sub(started.elapsed());
            if let Some(daemon) = self.await_crash(timeout).await {
                self.nodes[daemon].backend.crash();
                let kind = schedule::Kind::BackendCrash;
                let (start, length) = (started.elapsed(), CRASH_DOWNTIME);
                let crash = schedule::Fault { start, length, daemon, kind };
                let end = start + length;
                let index = transitions.partition_point(|(offset, ..)| *offset <= end);
                transitions.insert(index, (end, false, crash));
                continue;
            }
            transitions.pop_front();
            if is_start { self.begin_fault(&fault).await } else { self.end_fault(&fault).await }
        }
    }

    /// Waits until a request crashes a backend server, and returns the index of its daemon; `None`
    /// after `timeout`.
    async fn await_crash(&self, timeout: time::Duration) -> Option<usize> {
        let crashes = self.nodes.iter().map(|node| Box::pin(node.backend.crashed()));
        let first = tokio::time::timeout(timeout, futures::future::select_all(crashes)).await;
        first.ok().map(|((), daemon, _)| daemon)
    }

    /// Sends a request that crashes backend servers to each ingress. Returns a violation if one of
    /// them is run.
    pub async fn probe_quarantine(&self) -> Vec<String> {
        for ingress in self.ingress_addresses() {
            load::send_crashing_request(ingress).await;
        }
        let crashed = self.await_crash(POLL_INTERVAL).await;
        let violation =
            |daemon| format!("a request crashed the backend server of daemon {daemon} once more");
        crashed.map(violation).into_iter().collect()
    }

    async fn begin_fault(&mut self, fault: &schedule::Fault) {
        use schedule::Kind::*;
        let node = &mut self.nodes[fault.daemon];
        match fault.kind {
            Kill => node.process.kill(),
            Terminate => node.process.signal(process::Signal::Terminate),
            Suspend => node.process.signal(process::Signal::Stop),
            ReloadSettings => node.process.signal(process::Signal::HangUp),
            DropForward => node.proxies().for_each(|proxy| proxy.drop_bytes(true, false)),
            DropBackward => node.proxies().for_each(|proxy| proxy.drop_bytes(false, true)),
            Delay => node.proxies().for_each(|proxy| proxy.set_delay(PROXY_DELAY)),
            Blackhole => node.proxies().for_each(fault_proxy::FaultProxy::blackhole_connections),
            CloseConnections => node.proxies().for_each(fault_proxy::FaultProxy::close_connections),
            LogDown => self.log.set_faults(log_faults(|f| f.is_down = true)),
            LogLosesResponses => self.log.set_faults(log_faults(|f| f.loses_responses = true)),
            LogSlow => self.log.set_faults(log_faults(|f| f.delay = 10 * PROXY_DELAY)),
            BackendErrors => node.backend.reconfigure(|b| b.error_rate = 0.5),
            BackendHang => node.backend.reconfigure(|b| b.hang_rate = 1.0),
            BackendTruncation => node.backend.reconfigure(|b| b.truncation_rate = 0.3),
            BackendCrash => node.backend.crash(),
            BackendLimit => {
                node.backend.reconfigure(|b| b.limit = Some(LIMIT_TEXT));
                node.is_limited = true;
            }
            BackendLeaving => node.backend.reconfigure(|b| b.is_leaving = true),
            PolicyEdit => self.publish_edit().await,
        }
    }

    async fn end_fault(&mut self, fault: &schedule::Fault) {
        use schedule::Kind::*;
        match fault.kind {
            Kill | Terminate => self.restart(fault.daemon).await,
            Suspend => self.nodes[fault.daemon].process.signal(process::Signal::Continue),
            DropForward | DropBackward => {
                self.nodes[fault.daemon].proxies().for_each(|proxy| proxy.drop_bytes(false, false));
            }
            Delay => {
                self.nodes[fault.daemon]
                    .proxies()
                    .for_each(|proxy| proxy.set_delay(Default::default()));
            }
            LogDown | LogLosesResponses | LogSlow => self.log.set_faults(Default::default()),
            BackendErrors | BackendHang | BackendTruncation => {
                let node = &mut self.nodes[fault.daemon];
                node.backend.reconfigure(|behaviour| *behaviour = self.healthy.clone());
                node.is_limited = false;
            }
            BackendLimit => self.end_limit(fault),
            BackendCrash | BackendLeaving => self.replace_backend(fault.daemon).await,
            ReloadSettings | Blackhole | CloseConnections | PolicyEdit => {}
        }
    }

    /// Ends the limit of a backend server, and records a violation if it got too many requests.
    fn end_limit(&mut self, fault: &schedule::Fault) {
        let node = &mut self.nodes[fault.daemon];
        // The end of another fault may have replaced the backend server or reset its behaviour.
        if !std::mem::take(&mut node.is_limited) {
            return;
        }
        let backend = &node.backend;
        backend.reconfigure(|behaviour| behaviour.limit = None);
        let counted = fault.length.saturating_sub(LIMIT_NOTICE_TIME);
        let from = time::Instant::now() - counted;
        let count = backend.arrivals().iter().filter(|at| **at >= from).count();
        let allowed = 1.5 * LIMIT * counted.as_secs_f64() + LIMIT_EXCESS_MAX;
        if count as f64 > allowed {
            let (daemon, limit) = (fault.daemon, LIMIT_TEXT);
            self.violations.push(format!(
                "the backend server of daemon {daemon} got {count} requests in {counted:?} at a \
                 limit of {limit} a second"
            ));
        }
    }

    /// Restarts a daemon once its old process has exited. The old process is resumed first, as an
    /// overlapping fault may have suspended it, and is killed if it does not exit after SIGTERM.
    async fn restart(&mut self, daemon: usize) {
        let process = &mut self.nodes[daemon].process;
        process.signal(process::Signal::Continue);
        if process.is_running() {
            process.signal(process::Signal::Terminate);
            if !process.wait_for_exit().await {
                process.kill();
            }
        }
        if let Err(error) = process.ensure_running() {
            eprintln!("daemon {daemon} cannot be restarted: {error}");
        }
    }

    /// Replaces the local backend server of a daemon by a new one with the next incarnation number
    /// and another address. The old one is kept for its run counts.
    async fn replace_backend(&mut self, daemon: usize) {
        let node = &mut self.nodes[daemon];
        node.incarnation += 1;
        node.is_limited = false;
        node.backend.crash();
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let healthy = self.healthy.clone();
        let replacement =
            backend::Backend::start_at(policy::SERVICE, healthy, any_port, node.incarnation).await;
        replacement.keep_announcing(node.process.ports.local);
        self.crashed.push(std::mem::replace(&mut node.backend, replacement));
    }

    async fn publish_edit(&mut self) {
        let base = self.log.end(api::POLICY_STREAM);
        self.publish_edit_on(base).await;
    }

    /// Publishes the next edit, based on version `base`, and returns its number.
    async fn publish_edit_on(&self, base: u64) -> u64 {
        let edit = self.edits.fetch_add(1, atomic::Ordering::AcqRel) + 1;
        testing_fleet::try_publish(&self.log, &policy::section(edit), base).await;
        edit
    }

    /// Returns the number of the newest edit, which increases while edits are published.
    pub fn edits(&self) -> sync::Arc<atomic::AtomicU64> {
        self.edits.clone()
    }

    /// Replaces the key of the organisation without any fault. Returns a violation for each ingress
    /// that accepts an earlier key or rejects the new one after [`WITHDRAWAL_TIME`].
    pub async fn probe_withdrawal(&self) -> Vec<String> {
        // The newest record of the log may be a duplicate, so that its end is not always a version.
        let base = invariants::newest_version(&self.admin_addresses()).await;
        let edit = self.publish_edit_on(base).await;
        tokio::time::sleep(WITHDRAWAL_TIME).await;
        let mut violations = Vec::new();
        for (index, ingress) in self.ingress_addresses().into_iter().enumerate() {
            for withdrawn in 0..edit {
                let status = load::send_keyed_request(ingress, withdrawn).await.status;
                if status != 401 {
                    violations.push(format!(
                        "ingress {index}: status {status} under the withdrawn key of edit \
                         {withdrawn} of {edit}"
                    ));
                }
            }
            let status = load::send_keyed_request(ingress, edit).await.status;
            if status == 401 {
                violations.push(format!("ingress {index}: the key of edit {edit} is rejected"));
            }
        }
        violations
    }

    /// Ends the faults of the log service, the proxies and the daemon processes.
    pub async fn clear_faults(&mut self) {
        self.log.set_faults(Default::default());
        for daemon in 0..self.nodes.len() {
            let node = &mut self.nodes[daemon];
            node.process.signal(process::Signal::Continue);
            node.proxies().for_each(|proxy| {
                proxy.drop_bytes(false, false);
                proxy.set_delay(Default::default());
            });
            if let Err(error) = node.process.ensure_running() {
                eprintln!("daemon {daemon} cannot be restarted: {error}");
            }
        }
    }

    /// Returns the number of runs of each request over all backend servers, by tag.
    pub fn runs_by_tag(&self) -> IndexMap<String, u32> {
        let mut all = IndexMap::new();
        let backends = self.nodes.iter().map(|node| &node.backend).chain(&self.crashed);
        for backend in backends {
            for path in [policy::IDEMPOTENT_PATH, policy::NON_IDEMPOTENT_PATH, policy::KEYED_PATH] {
                for (tag, runs) in backend.runs_by_tag(path) {
                    *all.entry(tag).or_default() += runs;
                }
            }
        }
        all
    }

    /// Terminates all daemons. Returns the violations found so far, and one for each daemon that does
    /// not exit.
    pub async fn shut_down(mut self) -> Vec<String> {
        for node in &mut self.nodes {
            node.process.signal(process::Signal::Terminate);
        }
        let mut violations = std::mem::take(&mut self.violations);
        for (daemon, node) in self.nodes.iter_mut().enumerate() {
            if !node.process.wait_for_exit().await {
                violations.push(format!("daemon {daemon} does not exit within 8 s of SIGTERM"));
            }
        }
        violations
    }
}

impl Node {
    async fn start(
        plan: &Plan,
        settings_file: path::PathBuf,
        index: usize,
        log: net::SocketAddr,
        peers: &[String],
        ports: process::Ports,
    ) -> std::io::Result<Self> {
        let sidecar_proxy = fault_proxy::FaultProxy::start(ports.sidecar).await;
        let control_proxy = fault_proxy::FaultProxy::start(ports.control).await;
        let domain = DOMAINS[index % DOMAINS.len()];
        let settings = format!(
            "name = 'd{index}'\ndomain = '{domain}'\nsecret = 'a-secret-for-soaks'\nlog = '{log}'\n\
             peers = {peers:?}\n[listen]\nentry = '{}'\ngate = '{}'\ncontrol = '{}'\nbeside = '{}'\n\
             admin = '{}'\n[advertise]\ngate = '{}'\ncontrol = '{}'\n[limits]\nshutdown = '4s'\n",
            ports.ingress,
            ports.sidecar,
            ports.control,
            ports.local,
            ports.admin,
            sidecar_proxy.address,
            control_proxy.address,
        );
        let log_file = plan.logs.as_ref().map(|dir| dir.join(format!("{}-{index}.log", plan.seed)));
        let process =
            process::Process::start(&plan.daemon, settings_file, &settings, ports, log_file)?;
        let backend = backend::Backend::start(policy::SERVICE, healthy_behaviour(plan.seed)).await;
        Ok(Self {
            process,
            backend,
            sidecar_proxy,
            control_proxy,
            incarnation: 1,
            is_limited: false,
        })
    }

    fn proxies(&self) -> impl Iterator<Item = &fault_proxy::FaultProxy> {
        [&self.sidecar_proxy, &self.control_proxy].into_iter()
    }
}

/// Returns the behaviour of a backend server without faults. The crashing request crashes every run
/// for an even seed, half of the runs for an odd one.
fn healthy_behaviour(seed: u64) -> backend::Behaviour {
    let trigger = crashing_requests::Trigger::Path(policy::CRASHING_PATH);
    let crash_rate = if seed.is_multiple_of(2) { 1.0 } else { 0.5 };
    let crash_on = Some(crashing_requests::CrashingRequests::new(trigger, crash_rate));
    backend::Behaviour { service_time: SERVICE_TIME, crash_on, ..backend::Behaviour::default() }
}

fn log_faults(change: impl FnOnce(&mut fake_log::Faults)) -> fake_log::Faults {
    let mut faults = fake_log::Faults::default();
    change(&mut faults);
    faults
}
