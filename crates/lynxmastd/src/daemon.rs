//! Lifecycle of a daemon: opening ports, starting tasks, graceful shutdown.

use std::net;
use std::sync;
use std::time;

use displaydoc::Display;
use lynxmast_coordination::confirmation_relay;
use lynxmast_coordination::confirmations;
use lynxmast_coordination::control_client;
use lynxmast_coordination::control_server;
use lynxmast_coordination::discovery;
use lynxmast_coordination::document_follower;
use lynxmast_coordination::gossip;
use lynxmast_coordination::history;
use lynxmast_coordination::log_follower;
use lynxmast_coordination::peer_sync;
use lynxmast_coordination::platform_log;
use lynxmast_coordination::quota_borrower;
use lynxmast_coordination::restore_monitor;
use lynxmast_coordination::snapshots;
use lynxmast_protocol::control;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::policy::service;
use lynxmast_state::shared_state;
use lynxmast_state::suspension;
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
    /// Addresses that the daemon listens on.
    pub listen: settings::Listen,
    /// State shared by the tasks of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Sidecar, which admits and forwards requests to the local upstreams.
    pub sidecar: sync::Arc<sidecar::Sidecar<C>>,
    limits: settings::Limits,
    /// Cancelled when the ingress must stop accepting requests.
    ingress_stop: CancellationToken,
    /// Cancelled when all other tasks must end.
    stop: CancellationToken,
    ingress_tasks: TaskTracker,
    tasks: TaskTracker,
    /// Notified when the VM resumes after a suspension, as the policy may then be outdated.
    resumed: sync::Arc<tokio::sync::Notify>,
    /// Service of the local backend server, from the settings.
    local_service: sync::Arc<sync::RwLock<ids::ServiceName>>,
    /// Confirmations of the policy.
    confirmations: sync::Arc<confirmations::Confirmations<C>>,
}

/// Why a daemon cannot start.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {1} ({0}): {2}
    Listen(&'static str, net::SocketAddr, std::io::Error),
}

impl std::error::Error for StartError {}

/// Result of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// All requests in flight were completed.
    Complete,
    /// The shutdown timeout passed while requests were in flight.
    TimedOut {
        /// Number of requests that the sidecar was still running.
        in_flight: u32,
    },
}

/// Time that gossip takes to spread a departure to nearly every ingress.
const DEPARTURE_PROPAGATION: time::Duration = time::Duration::from_millis(500);
/// Time between the readiness check starting to fail and the ingress closing: callers poll
/// readiness once a second and stop using a daemon after two failures.
const READINESS_GRACE: time::Duration = time::Duration::from_millis(2500);
/// Largest fraction of the shutdown timeout during which the ingress accepts requests. The rest is
/// left for the requests in flight.
const ACCEPTING_FRACTION: f64 = 0.5;
/// Fraction of the shutdown timeout for which requests in flight may keep running. The rest is left
/// for the process to exit before it is killed.
const SHUTDOWN_FRACTION: f64 = 0.9;
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
const IN_FLIGHT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Connection limit of every port other than the ingress port.
const INTERNAL_CONNECTIONS_MAX: usize = 100_000;

impl<C: clock::Clock> Daemon<C> {
    /// Opens all ports and starts serving, with the policy from the platform's log.
    ///
    /// # Errors
    ///
    /// Returns the first port that cannot be opened; the ports opened before it are closed again.
    pub async fn start_with_log<L: platform_log::Log>(
        settings: settings::Settings,
        log: L,
        clock: C,
        metrics: Option<prometheus::PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let PreparedDaemon { daemon, ports } =
            PreparedDaemon::open(&settings, clock, sidecar::BackendOptions::default()).await?;
        let follower = daemon.start_log_coordination(&settings, log, ports.control);
        daemon.serve(
            ports.local,
            announcement_server::AnnouncementServer::new(daemon.sidecar.clone()),
        );
        daemon.serve_admin(ports.admin, ports.metrics, follower, metrics);
        daemon.serve_requests(settings, ports.ingress, ports.sidecar);
        Ok(daemon)
    }

    /// Opens all ports and starts serving, with policy, discovery, headers and the local API
    /// provided by `platform`.
    ///
    /// # Errors
    ///
    /// Returns the first port that cannot be opened; the ports opened before it are closed again.
    pub async fn start_with_platform<P: platform::Platform<C>>(
        settings: settings::Settings,
        platform: P,
        clock: C,
        metrics: Option<prometheus::PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let options = sidecar::BackendOptions {
            header_scheme: platform.header_scheme(),
            heartbeat_interval: settings.heartbeat,
            has_registry: true,
        };
        let PreparedDaemon { daemon, ports } =
            PreparedDaemon::open(&settings, clock, options).await?;
        let follower = daemon.start_store_coordination(&settings, &platform, ports.control);
        daemon.serve(ports.local, platform.local_api(daemon.sidecar.clone()));
        daemon.serve_admin(ports.admin, ports.metrics, follower, metrics);
        daemon.serve_requests(settings, ports.ingress, ports.sidecar);
        Ok(daemon)
    }

    /// Serves the administration interface on its port and on the metrics port, if there is one.
    fn serve_admin(
        &self,
        port: server::Server,
        metrics_port: Option<server::Server>,
        follower: sync::Arc<log_follower::FollowerState>,
        metrics: Option<prometheus::PrometheusHandle>,
    ) {
        let (shared, sidecar) = (self.shared.clone(), self.sidecar.clone());
        let admin = sync::Arc::new(admin::Admin { shared, sidecar, follower, metrics });
        for port in std::iter::once(port).chain(metrics_port) {
            self.tasks.spawn(port.run(admin.clone(), self.stop.clone()));
        }
    }

    /// Serves the sidecar and the ingress and starts the periodic tasks.
    fn serve_requests(
        &self,
        settings: settings::Settings,
        ingress_port: server::Server,
        sidecar_port: server::Server,
    ) {
        let (shared, sidecar) = (self.shared.clone(), self.sidecar.clone());
        let secret = settings.secret.clone();
        let sidecar_server =
            sidecar_server::SidecarServer::new(sidecar.clone(), shared.clone(), secret);
        self.serve(sidecar_port, sidecar_server);
        let identity = ingress::Identity {
            secret: settings.secret,
            service: self.local_service.clone(),
            header_scheme: sidecar.header_scheme(),
        };
        let ingress = sync::Arc::new(ingress::Ingress::new(shared.clone(), sidecar, identity));
        let serving = ingress_port.run_pipelined(ingress.clone(), self.ingress_stop.clone());
        self.ingress_tasks.spawn(serving);
        self.spawn_periodic_tasks(ingress);
        shared.record_event(event::Kind::Started);
        log::info!(
            event = "started",
            daemon = &*settings.name,
            entry:% = self.listen.entry,
            gate:% = self.listen.gate;
            ""
        );
    }

    /// Starts gossip, the policy follower and snapshots on the platform's log.
    fn start_log_coordination<L: platform_log::Log>(
        &self,
        settings: &settings::Settings,
        log: L,
        control_port: tcp::TcpListener,
    ) -> sync::Arc<log_follower::FollowerState> {
        let state = sync::Arc::new(log_follower::FollowerState::default());
        let seeds = sync::Mutex::new(settings.peers.clone());
        let peers = self.start_membership(settings, seeds.into(), control_port);
        let shared = &self.shared;
        let snapshots = snapshots::SnapshotWriter {
            shared: shared.clone(),
            log: log.clone(),
            schedule: snapshots::Schedule::default(),
        };
        self.tasks.spawn(snapshots.run(self.stop.clone()));
        let follower = log_follower::LogFollower {
            shared: shared.clone(),
            peers,
            log,
            wake: self.sidecar.policy_refresh.clone(),
            state: state.clone(),
        };
        self.tasks.spawn(follower.run(self.stop.clone()));
        state
    }

    /// Starts gossip, discovery and the policy followers on a platform's store.
    fn start_store_coordination<P: platform::Platform<C>>(
        &self,
        settings: &settings::Settings,
        platform: &P,
        control_port: tcp::TcpListener,
    ) -> sync::Arc<log_follower::FollowerState> {
        let state = sync::Arc::new(log_follower::FollowerState::default());
        let seeds = discovery::Seeds::default();
        let peers = self.start_membership(settings, seeds.clone(), control_port);
        let shared = &self.shared;
        let bootstrap = discovery::Bootstrap {
            shared: shared.clone(),
            discovery: platform.discovery(),
            seeds,
            departures: self.sidecar.departures.clone(),
            revisions: Default::default(),
        };
        self.tasks.spawn(bootstrap.run(self.stop.clone()));
        let monitor = restore_monitor::RestoreMonitor {
            shared: shared.clone(),
            epochs: platform.source_epochs(),
        };
        self.tasks.spawn(monitor.run(self.stop.clone()));
        let confirmations = self.confirmations.clone();
        let relay = confirmation_relay::ConfirmationRelay {
            peers: peers.clone(),
            confirmations: confirmations.clone(),
        };
        self.tasks.spawn(relay.run(self.stop.clone()));
        let wake = self.sidecar.policy_refresh.clone();
        let peer_follower = document_follower::PeerFollower { peers, wake };
        self.tasks.spawn(peer_follower.run(self.stop.clone()));
        let follower = document_follower::DocumentFollower {
            shared: shared.clone(),
            source: platform.documents(),
            confirmations,
            state: state.clone(),
            resumed: self.resumed.clone(),
        };
        self.tasks.spawn(follower.run(self.stop.clone()));
        state
    }

    /// Starts gossip, the control server and the borrowing of quota tokens; returns the client that fetches policy from peers.
    fn start_membership(
        &self,
        settings: &settings::Settings,
        seeds: discovery::Seeds,
        control_port: tcp::TcpListener,
    ) -> peer_sync::PeerSync<C> {
        self.shared.quota_owner().set_bounds(settings.quota.bounds());
        let daemon = settings.name.clone();
        let sender = control::Sender { daemon, secret: settings.secret.clone() };
        let client = sync::Arc::new(control_client::ControlClient::new(sender));
        let history = sync::Arc::new(history::History::default());
        let shared = &self.shared;
        let server = control_server::ControlServer {
            shared: shared.clone(),
            history: history.clone(),
            client: client.clone(),
            confirmations: self.confirmations.clone(),
            secret: settings.secret.clone(),
        };
        self.tasks.spawn(server.run(control_port, self.stop.clone()));
        let gossip = gossip::Gossip { shared: shared.clone(), client: client.clone(), seeds };
        self.tasks.spawn(gossip.run(self.stop.clone()));
        let borrower = quota_borrower::QuotaBorrower {
            shared: shared.clone(),
            client: client.clone(),
            signals: self.sidecar.quota_signals.clone(),
            busy: Default::default(),
            unreachable: Default::default(),
        };
        self.tasks.spawn(borrower.run(self.stop.clone()));
        peer_sync::PeerSync { shared: shared.clone(), client, history }
    }

    /// Spawns a task that serves `handler` on the port of `server` until the daemon stops.
    fn serve<H: server::Handler>(&self, server: server::Server, handler: H) {
        self.tasks.spawn(server.run(sync::Arc::new(handler), self.stop.clone()));
    }

    /// Starts the periodic work of sidecar and ingress and the detection of VM suspensions.
    fn spawn_periodic_tasks(&self, ingress: sync::Arc<ingress::Ingress<C>>) {
        let (sidecar, stop) = (self.sidecar.clone(), self.stop.clone());
        let (shared, resumed) = (self.shared.clone(), self.resumed.clone());
        let (name, address) = (self.name(), self.listen.gate);
        let mut suspension = suspension::Detector::new(&shared.clock);
        self.tasks.spawn(async move {
            while stop.run_until_cancelled(tokio::time::sleep(TICK_INTERVAL)).await.is_some() {
                if let Some(gap) = suspension.poll(&shared.clock) {
                    let suspended_ms = gap.as_millis() as u64;
                    log::info!(event = "resumed", daemon = &*name, gate:% = address, suspended_ms; "");
                    shared.record_event(event::Kind::Resumed { suspended_ms });
                    sidecar.resume();
                    resumed.notify_one();
                }
                sidecar.tick();
                ingress.tick();
            }
        });
    }

    /// Shuts down gracefully: fails the readiness check, serves until callers have noticed,
    /// announces the departure to the fleet, rejects new requests and waits for requests in flight
    /// until shortly before the shutdown timeout of the settings.
    pub async fn shutdown(&self) -> Shutdown {
        log::info!(event = "stopping", daemon = &*self.name(), gate:% = self.listen.gate; "");
        self.shared.record_event(event::Kind::ShutdownStarted);
        let timeout = self.limits.shutdown.mul_f64(SHUTDOWN_FRACTION);
        self.sidecar.announce_shutdown(self.shared.now() + timeout);
        let drained = tokio::time::timeout(timeout, self.drain_requests()).await;
        let in_flight = self.sidecar.in_flight();
        self.shared.record_event(event::Kind::Stopped);
        log::info!(
            event = "stopped",
            daemon = &*self.name(),
            gate:% = self.listen.gate,
            in_flight;
            ""
        );
        self.stop.cancel();
        self.ingress_stop.cancel();
        match drained {
            Ok(()) => Shutdown::Complete,
            Err(_) => Shutdown::TimedOut { in_flight },
        }
    }

    /// Serves for [`READINESS_GRACE`], then closes the ingress and announces the departure, closes
    /// the sidecar when that has spread, and waits until no request is in flight.
    ///
    /// The sidecar serves for as long as the ingress keeps the process running anyway, since nobody
    /// else can reach the backend servers on this VM.
    async fn drain_requests(&self) {
        let grace = READINESS_GRACE.min(self.limits.shutdown.mul_f64(ACCEPTING_FRACTION));
        tokio::time::sleep(grace).await;
        self.ingress_stop.cancel();
        self.ingress_tasks.close();
        self.shared.membership().update_own_record(|own| own.leaving = true);
        self.shared.sync_router();
        let close_sidecar = async {
            // Until then, requests of ingresses that have not received the departure are run, and
            // those waiting for a slot may get one.
            tokio::time::sleep(DEPARTURE_PROPAGATION.min(grace)).await;
            self.sidecar.close();
        };
        tokio::join!(close_sidecar, self.ingress_tasks.wait());
        while self.sidecar.in_flight() > 0 {
            tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
        }
    }

    /// Applies the service settings that come from the settings file to all services of the active
    /// policy.
    pub fn update_services(&self, updated: &service::Service) {
        self.shared.amend_policy(|document| {
            let sections = document.sections.values_mut();
            for service in sections.flat_map(|section| &mut section.service) {
                service.retry_ratio = updated.retry_ratio;
                service.retry_reserve = updated.retry_reserve;
                service.retry_window = updated.retry_window;
                service.floor_share = updated.floor_share;
            }
        });
    }

    /// Sets the service of the local backend server, which requests that begin on this VM state.
    pub fn set_local_service(&self, service: &str) {
        let mut local = self.local_service.write().unwrap_or_else(sync::PoisonError::into_inner);
        if **local != *service {
            log::info!(event = "local-service", service, previous = &**local; "");
            *local = service.into();
        }
    }

    fn name(&self) -> ids::DaemonName {
        self.shared.membership().own_record().daemon.clone()
    }

    /// Stops all tasks immediately, without notifying callers or peers.
    pub fn kill(&self) {
        self.ingress_stop.cancel();
        self.stop.cancel();
    }
}

/// A daemon that does not serve yet, and its open ports.
struct PreparedDaemon<C: clock::Clock> {
    daemon: Daemon<C>,
    ports: Ports,
}

impl<C: clock::Clock> PreparedDaemon<C> {
    async fn open(
        settings: &settings::Settings,
        clock: C,
        options: sidecar::BackendOptions,
    ) -> Result<Self, StartError> {
        let ports = Ports::open(settings).await?;
        let record = own_record(settings, &ports.listen, &clock);
        let shared =
            sync::Arc::new(shared_state::SharedState::new(record, settings.limits.balance, clock));
        shared.held_bytes.with(|budget| budget.set_limit(settings.limits.held_bytes()));
        let daemon = Daemon {
            listen: ports.listen.clone(),
            shared: shared.clone(),
            confirmations: sync::Arc::new(confirmations::Confirmations::new(shared.clone())),
            sidecar: sync::Arc::new(sidecar::Sidecar::new(shared, options)),
            limits: settings.limits.clone(),
            local_service: sync::Arc::new(sync::RwLock::new(settings.service.as_str().into())),
            ingress_stop: CancellationToken::new(),
            stop: CancellationToken::new(),
            ingress_tasks: TaskTracker::new(),
            tasks: TaskTracker::new(),
            resumed: Default::default(),
        };
        Ok(Self { daemon, ports })
    }
}

/// Open ports of a daemon.
struct Ports {
    listen: settings::Listen,
    ingress: server::Server,
    sidecar: server::Server,
    /// Port for backend servers on the same VM.
    local: server::Server,
    admin: server::Server,
    metrics: Option<server::Server>,
    control: tcp::TcpListener,
}

impl Ports {
    async fn open(settings: &settings::Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        let internal_max = INTERNAL_CONNECTIONS_MAX;
        let ingress = open("entry", listen.entry, settings.limits.connections).await?;
        let sidecar = open("gate", listen.gate, internal_max).await?;
        let local = open("beside", listen.beside, internal_max).await?;
        let admin = open("admin", listen.admin, internal_max).await?;
        let metrics = open_metrics(listen.metrics, internal_max).await;
        let to_error = |error| StartError::Listen("control", listen.control, error);
        let control = control_server::bind(listen.control).await.map_err(to_error)?;
        let bound = settings::Listen {
            entry: ingress.address().unwrap_or(listen.entry),
            gate: sidecar.address().unwrap_or(listen.gate),
            beside: local.address().unwrap_or(listen.beside),
            admin: admin.address().unwrap_or(listen.admin),
            control: control.local_addr().unwrap_or(listen.control),
            metrics: metrics.as_ref().and_then(|port| port.address().ok()),
        };
        Ok(Self { listen: bound, ingress, sidecar, local, admin, metrics, control })
    }
}

/// Opens the HTTP port that the settings call `name`.
async fn open(
    name: &'static str,
    address: net::SocketAddr,
    connections: usize,
) -> Result<server::Server, StartError> {
    let opened = server::Server::bind(address, connections).await;
    opened.map_err(|error| StartError::Listen(name, address, error))
}

/// Opens the additional metrics port, if one is set. If the port cannot be opened, for example
/// because another process uses it, the daemon serves without it, as requests do not depend on it.
async fn open_metrics(
    address: Option<net::SocketAddr>,
    connections: usize,
) -> Option<server::Server> {
    let opened = server::Server::bind(address?, connections).await;
    let log_failure = |error: &std::io::Error| {
        log::warn!(
            event = "metrics",
            address:? = address,
            reason:% = error;
            "cannot open metrics port"
        );
    };
    opened.inspect_err(log_failure).ok()
}

/// Returns the membership record with which the daemon joins the fleet.
fn own_record<C: clock::Clock>(
    settings: &settings::Settings,
    listen: &settings::Listen,
    clock: &C,
) -> member::Record {
    let since_epoch = clock.wall().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let addresses = member::Addresses {
        sidecar: settings.advertise.gate.unwrap_or(listen.gate),
        control: settings.advertise.control.unwrap_or(listen.control),
        admin: settings.advertise.admin.unwrap_or(listen.admin),
    };
    let incarnation = since_epoch.as_millis() as u64;
    member::Record::new(settings.name.clone(), incarnation, settings.domain.clone(), addresses)
}
