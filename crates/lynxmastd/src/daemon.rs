//! A daemon as a whole: opens its ports, runs its tasks, shuts down without cutting requests.

use std::net;
use std::sync;
use std::time;

use displaydoc::Display;
use lynxmast_coordination::control_client;
use lynxmast_coordination::control_server;
use lynxmast_coordination::directory;
use lynxmast_coordination::document_follower;
use lynxmast_coordination::follower;
use lynxmast_coordination::gossip;
use lynxmast_coordination::history;
use lynxmast_coordination::peer_policy;
use lynxmast_coordination::platform_log;
use lynxmast_coordination::snapshots;
use lynxmast_coordination::usage;
use lynxmast_protocol::control;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::policy::service;
use lynxmast_state::suspension;
use lynxmast_state::tables;
use lynxmast_transport::announcement_server;
use lynxmast_transport::ingress;
use lynxmast_transport::server;
use lynxmast_transport::sidecar;
use lynxmast_transport::sidecar_server;
use metrics_exporter_prometheus as prometheus;
use tokio::net as tcp;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admin;
use crate::platform;
use crate::settings;

/// A running daemon.
pub struct Daemon<C: clock::Clock> {
    /// Addresses that it listens on.
    pub listen: settings::Listen,
    /// Shared tables.
    pub tables: sync::Arc<tables::Tables<C>>,
    /// Gate to the upstreams beside it.
    pub gate: sync::Arc<sidecar::Sidecar<C>>,
    limits: settings::Limits,
    entry_stop: CancellationToken,
    stop: CancellationToken,
    entry_tasks: TaskTracker,
    tasks: TaskTracker,
    /// Tells that the VM was suspended: what was heard before is old.
    resumed: sync::Arc<tokio::sync::Notify>,
}

/// Why a daemon does not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {1} ({0}): {2}
    Listen(&'static str, net::SocketAddr, std::io::Error),
}

impl std::error::Error for StartError {}

/// How a shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// Nothing was in flight any more.
    Complete,
    /// The limit passed with requests in flight.
    Cut {
        /// Requests that were being run at the gate.
        in_flight: u32,
    },
}

/// Time that a departure takes to reach nearly every entry; until then the gate still runs what
/// they send.
const DEPARTURE_SPREAD: time::Duration = time::Duration::from_millis(1500);
/// Time that callers get to see that the daemon is not ready before its entry closes: readiness is
/// asked once a second, and two misses count.
const NOT_READY_NOTICE: time::Duration = time::Duration::from_millis(2500);
/// Part of the time for a shutdown that requests in flight get; the rest is for the process to end
/// before it is killed.
const SHUTDOWN_SHARE: f64 = 0.9;
const TICK: time::Duration = time::Duration::from_millis(100);
const SHUTDOWN_STEP: time::Duration = time::Duration::from_millis(20);
const INNER_CONNECTIONS_MAX: usize = 100_000;

impl<C: clock::Clock> Daemon<C> {
    /// Opens all ports and starts to serve.
    ///
    /// # Errors
    ///
    /// Names the port that cannot be opened; none is left open then.
    pub async fn start<L: platform_log::Log>(
        settings: settings::Settings,
        log: L,
        clock: C,
        metrics: Option<prometheus::PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let Parts { daemon, ports } =
            Parts::open(&settings, clock, sidecar::BackendOptions::default()).await?;
        let state = daemon.start_log_coordination(&settings, log, ports.control);
        daemon
            .serve(ports.beside, announcement_server::AnnouncementServer::new(daemon.gate.clone()));
        daemon.serve_admin(ports.admin, ports.metrics, state, metrics);
        daemon.serve_requests(settings, ports.entry, ports.gate);
        Ok(daemon)
    }

    /// Opens all ports and starts to serve on a platform.
    ///
    /// # Errors
    ///
    /// Names the port that cannot be opened; none is left open then.
    pub async fn start_on<P: platform::Platform<C>>(
        settings: settings::Settings,
        platform: P,
        clock: C,
        metrics: Option<prometheus::PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let speech = sidecar::BackendOptions {
            header_scheme: platform.dialect(),
            heartbeat_interval: settings.heartbeat,
        };
        let Parts { daemon, ports } = Parts::open(&settings, clock, speech).await?;
        let state = daemon.start_store_coordination(&settings, &platform, ports.control);
        daemon.serve(ports.beside, platform.beside(daemon.gate.clone()));
        daemon.serve_admin(ports.admin, ports.metrics, state, metrics);
        daemon.serve_requests(settings, ports.entry, ports.gate);
        Ok(daemon)
    }

    fn serve_admin(
        &self,
        port: server::Server,
        metrics_port: Option<server::Server>,
        follower: sync::Arc<follower::FollowerState>,
        metrics: Option<prometheus::PrometheusHandle>,
    ) {
        let (tables, gate) = (self.tables.clone(), self.gate.clone());
        let admin = sync::Arc::new(admin::Admin { tables, gate, follower, metrics });
        for port in std::iter::once(port).chain(metrics_port) {
            self.tasks.spawn(port.run(admin.clone(), self.stop.clone()));
        }
    }

    fn serve_requests(
        &self,
        settings: settings::Settings,
        entry_port: server::Server,
        gate_port: server::Server,
    ) {
        let (tables, gate) = (self.tables.clone(), self.gate.clone());
        let secret = settings.secret.clone();
        let gate_server = sidecar_server::SidecarServer::new(gate.clone(), tables.clone(), secret);
        self.serve(gate_port, gate_server);
        let identity = ingress::Identity {
            secret: settings.secret,
            service: settings.service,
            header_scheme: gate.header_scheme(),
        };
        let entry = sync::Arc::new(ingress::Ingress::new(tables.clone(), gate, identity));
        let serving = entry_port.run(entry.clone(), self.entry_stop.clone());
        self.entry_tasks.spawn(serving);
        self.tick(entry);
        tables.event(event::Kind::Started);
        log::info!(
            event = "started",
            daemon = &*settings.name,
            entry:% = self.listen.entry,
            gate:% = self.listen.gate;
            ""
        );
    }

    fn start_log_coordination<L: platform_log::Log>(
        &self,
        settings: &settings::Settings,
        log: L,
        control_port: tcp::TcpListener,
    ) -> sync::Arc<follower::FollowerState> {
        let state = sync::Arc::new(follower::FollowerState::default());
        let seeds = sync::Mutex::new(settings.peers.clone());
        let peers = self.start_membership(settings, seeds.into(), control_port);
        let tables = &self.tables;
        let snapshots = snapshots::Snapshots {
            tables: tables.clone(),
            log: log.clone(),
            due: snapshots::Due::default(),
        };
        self.tasks.spawn(snapshots.run(self.stop.clone()));
        let reporter = usage::Reporter { tables: tables.clone(), client: peers.client.clone() };
        self.tasks.spawn(reporter.run(self.stop.clone()));
        let follower = follower::Follower {
            tables: tables.clone(),
            peers,
            log,
            wake: self.gate.policy_refresh.clone(),
            state: state.clone(),
        };
        self.tasks.spawn(follower.run(self.stop.clone()));
        state
    }

    fn start_store_coordination<P: platform::Platform<C>>(
        &self,
        settings: &settings::Settings,
        platform: &P,
        control_port: tcp::TcpListener,
    ) -> sync::Arc<follower::FollowerState> {
        let state = sync::Arc::new(follower::FollowerState::default());
        let seeds = directory::Seeds::default();
        let peers = self.start_membership(settings, seeds.clone(), control_port);
        let tables = &self.tables;
        let contact = directory::FirstContact {
            tables: tables.clone(),
            directory: platform.directory(),
            seeds,
        };
        self.tasks.spawn(contact.run(self.stop.clone()));
        let wake = self.gate.policy_refresh.clone();
        let follower = document_follower::PeerFollower { peers, wake };
        self.tasks.spawn(follower.run(self.stop.clone()));
        let follower = document_follower::DocumentFollower {
            tables: tables.clone(),
            source: platform.documents(),
            state: state.clone(),
            resumed: self.resumed.clone(),
        };
        self.tasks.spawn(follower.run(self.stop.clone()));
        state
    }

    /// Starts the exchange of membership and returns access to what peers know of the policy.
    fn start_membership(
        &self,
        settings: &settings::Settings,
        seeds: directory::Seeds,
        control_port: tcp::TcpListener,
    ) -> peer_policy::PeerPolicy<C> {
        let daemon = settings.name.clone();
        let sender = control::Sender { daemon, secret: settings.secret.clone() };
        let client = sync::Arc::new(control_client::ControlClient::new(sender));
        let history = sync::Arc::new(history::History::default());
        let tables = &self.tables;
        let server = control_server::ControlServer {
            tables: tables.clone(),
            history: history.clone(),
            secret: settings.secret.clone(),
        };
        self.tasks.spawn(server.run(control_port, self.stop.clone()));
        let gossip = gossip::Gossip { tables: tables.clone(), client: client.clone(), seeds };
        self.tasks.spawn(gossip.run(self.stop.clone()));
        peer_policy::PeerPolicy { tables: tables.clone(), client, history }
    }

    fn serve<H: server::Handler>(&self, server: server::Server, handler: H) {
        self.tasks.spawn(server.run(sync::Arc::new(handler), self.stop.clone()));
    }

    /// Does regularly what neither requests nor messages start.
    fn tick(&self, entry: sync::Arc<ingress::Ingress<C>>) {
        let (gate, stop) = (self.gate.clone(), self.stop.clone());
        let (tables, resumed) = (self.tables.clone(), self.resumed.clone());
        let (name, address) = (self.name(), self.listen.gate);
        let mut suspension = suspension::Suspension::new(&tables.clock);
        self.tasks.spawn(async move {
            while stop.run_until_cancelled(tokio::time::sleep(TICK)).await.is_some() {
                if let Some(gap) = suspension.notice(&tables.clock) {
                    let suspended_ms = gap.as_millis() as u64;
                    log::info!(event = "resumed", daemon = &*name, gate:% = address, suspended_ms; "");
                    tables.event(event::Kind::Resumed { suspended_ms });
                    gate.resume();
                    resumed.notify_one();
                }
                gate.tick();
                entry.tick();
            }
        });
    }

    /// Shuts down: tells the fleet, lets callers see that the daemon is not ready, refuses new work,
    /// and waits for what is in flight until the limit of the settings.
    pub async fn shutdown(&self) -> Shutdown {
        log::info!(event = "stopping", daemon = &*self.name(), gate:% = self.listen.gate; "");
        self.tables.event(event::Kind::ShutdownStarted);
        self.gate.announce_shutdown();
        self.tables.members().update_own(|own| own.leaving = true);
        let limit = self.limits.shutdown.mul_f64(SHUTDOWN_SHARE);
        let finished = tokio::time::timeout(limit, self.finish_requests()).await;
        let in_flight = self.gate.in_flight();
        self.tables.event(event::Kind::Stopped);
        log::info!(
            event = "stopped",
            daemon = &*self.name(),
            gate:% = self.listen.gate,
            in_flight;
            ""
        );
        self.stop.cancel();
        self.entry_stop.cancel();
        match finished {
            Ok(()) => Shutdown::Complete,
            Err(_) => Shutdown::Cut { in_flight },
        }
    }

    async fn finish_requests(&self) {
        let gate = async {
            // Until every entry has heard, work that comes is run, as it could wait nowhere else.
            tokio::time::sleep(DEPARTURE_SPREAD).await;
            self.gate.close();
        };
        let entry = async {
            tokio::time::sleep(NOT_READY_NOTICE).await;
            self.entry_stop.cancel();
            self.entry_tasks.close();
            self.entry_tasks.wait().await;
        };
        tokio::join!(gate, entry);
        while self.gate.in_flight() > 0 {
            tokio::time::sleep(SHUTDOWN_STEP).await;
        }
    }

    /// Puts what the settings state of services into force for the policy that is.
    pub fn revise_services(&self, revised: &service::Service) {
        self.tables.revise_policy(|document| {
            let sections = document.sections.values_mut();
            for service in sections.flat_map(|section| &mut section.service) {
                service.retry_ratio = revised.retry_ratio;
                service.retry_reserve = revised.retry_reserve;
                service.retry_window = revised.retry_window;
                service.floor_share = revised.floor_share;
            }
        });
    }

    fn name(&self) -> ids::DaemonName {
        self.tables.members().own().daemon.clone()
    }

    /// Ends everything at once, without telling anyone.
    pub fn kill(&self) {
        self.entry_stop.cancel();
        self.stop.cancel();
    }
}

/// A daemon that does not serve yet, with its opened ports.
struct Parts<C: clock::Clock> {
    daemon: Daemon<C>,
    ports: Ports,
}

impl<C: clock::Clock> Parts<C> {
    async fn open(
        settings: &settings::Settings,
        clock: C,
        speech: sidecar::BackendOptions,
    ) -> Result<Self, StartError> {
        let ports = Ports::open(settings).await?;
        let own = own_record(settings, &ports.listen, &clock);
        let tables = sync::Arc::new(tables::Tables::new(own, settings.limits.balance, clock));
        let daemon = Daemon {
            listen: ports.listen.clone(),
            tables: tables.clone(),
            gate: sync::Arc::new(sidecar::Sidecar::new(tables, speech)),
            limits: settings.limits.clone(),
            entry_stop: CancellationToken::new(),
            stop: CancellationToken::new(),
            entry_tasks: TaskTracker::new(),
            tasks: TaskTracker::new(),
            resumed: Default::default(),
        };
        Ok(Self { daemon, ports })
    }
}

/// Opened ports of a daemon.
struct Ports {
    listen: settings::Listen,
    entry: server::Server,
    gate: server::Server,
    beside: server::Server,
    admin: server::Server,
    metrics: Option<server::Server>,
    control: tcp::TcpListener,
}

impl Ports {
    async fn open(settings: &settings::Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        let inner = INNER_CONNECTIONS_MAX;
        let entry = open("entry", listen.entry, settings.limits.connections).await?;
        let gate = open("gate", listen.gate, inner).await?;
        let beside = open("beside", listen.beside, inner).await?;
        let admin = open("admin", listen.admin, inner).await?;
        let metrics = open_metrics(listen.metrics, inner).await;
        let failed = |error| StartError::Listen("control", listen.control, error);
        let control = control_server::bind(listen.control).await.map_err(failed)?;
        let bound = settings::Listen {
            entry: entry.address().unwrap_or(listen.entry),
            gate: gate.address().unwrap_or(listen.gate),
            beside: beside.address().unwrap_or(listen.beside),
            admin: admin.address().unwrap_or(listen.admin),
            control: control.local_addr().unwrap_or(listen.control),
            metrics: metrics.as_ref().and_then(|port| port.address().ok()),
        };
        Ok(Self { listen: bound, entry, gate, beside, admin, metrics, control })
    }
}

async fn open(
    name: &'static str,
    address: net::SocketAddr,
    connections: usize,
) -> Result<server::Server, StartError> {
    let opened = server::Server::bind(address, connections).await;
    opened.map_err(|error| StartError::Listen(name, address, error))
}

/// Opens the further port for metrics, if one is set. Requests do not depend on it, so that a
/// daemon serves without it where something else has the port.
async fn open_metrics(
    address: Option<net::SocketAddr>,
    connections: usize,
) -> Option<server::Server> {
    let opened = server::Server::bind(address?, connections).await;
    let failed = |error: &std::io::Error| {
        log::warn!(event = "metrics", address:? = address, reason:% = error; "port not opened");
    };
    opened.inspect_err(failed).ok()
}

fn own_record<C: clock::Clock>(
    settings: &settings::Settings,
    listen: &settings::Listen,
    clock: &C,
) -> member::Record {
    let since_epoch = clock.wall().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let addresses = member::Addresses {
        gate: settings.advertise.gate.unwrap_or(listen.gate),
        control: settings.advertise.control.unwrap_or(listen.control),
        admin: settings.advertise.admin.unwrap_or(listen.admin),
    };
    let incarnation = since_epoch.as_millis() as u64;
    member::Record::new(settings.name.clone(), incarnation, settings.domain.clone(), addresses)
}
