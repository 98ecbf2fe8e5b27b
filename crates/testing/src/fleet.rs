//! Small fleet in one process: a fake log service, daemons on loopback ports and their backend
//! servers.

use std::net;
use std::time;

use bytes::Bytes;
use lynxmast_coordination::http_log;
use lynxmast_coordination::platform_log;
use lynxmast_coordination::platform_log::Log;
use lynxmast_protocol::announce;
use lynxmast_protocol::log as api;
use lynxmast_state::clock;
use lynxmast_state::policy::edit;
use lynxmast_state::router;
use lynxmast_transport::client;
use lynxmastd::daemon;
use lynxmastd::settings;

use crate::backend;
use crate::fake_log;

/// A daemon of the test fleet.
pub type Daemon = daemon::Daemon<clock::SystemClock>;

/// Log service and daemons of a test.
pub struct Fleet {
    /// Fake of the platform's log service.
    pub log: fake_log::FakeLog,
    /// Daemons in the order in which they were started.
    pub daemons: Vec<Daemon>,
    limits: settings::Limits,
}

/// Secret shared by the daemons of the test fleet.
pub const SECRET: &str = "a-secret-for-tests";
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(15);
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl Fleet {
    /// Starts a log service with the policy `sections` and a daemon in each of the failure
    /// `domains`, and waits until every daemon has the policy and sees all daemons as live members.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 15 s.
    pub async fn start(domains: &[&str], sections: &[&str]) -> Self {
        Self::start_with_balance(domains, sections, router::Balance::LoadSeen).await
    }

    /// Starts a fleet like [`Fleet::start`], with the given balancing policy.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 15 s.
    pub async fn start_with_balance(
        domains: &[&str],
        sections: &[&str],
        balance: router::Balance,
    ) -> Self {
        let log = fake_log::FakeLog::start(0).await;
        for section in sections {
            publish(&log, section, 0).await;
        }
        let limits = settings::Limits { balance, ..Default::default() };
        let mut fleet = Self { log, daemons: Vec::new(), limits };
        for domain in domains {
            fleet.add_daemon(domain).await;
        }
        let version = fleet.log.end(api::POLICY_STREAM);
        fleet
            .wait_until(|fleet| {
                let count = fleet.daemons.len();
                let sees_all_members = |d: &Daemon| {
                    d.shared.membership().live_records(d.shared.now()).count() == count
                };
                let is_current =
                    |d: &Daemon| d.shared.policy().version == version && d.shared.is_current();
                fleet.daemons.iter().all(|daemon| sees_all_members(daemon) && is_current(daemon))
            })
            .await;
        fleet
    }

    /// Sets the shutdown timeout of daemons that are started from now on.
    pub fn set_shutdown_timeout(&mut self, timeout: time::Duration) {
        self.limits.shutdown = timeout;
    }

    /// Starts another daemon.
    ///
    /// # Panics
    ///
    /// Panics if the ports of the daemon cannot be opened.
    pub async fn add_daemon(&mut self, domain: &str) {
        self.add_daemon_with(domain, |_| ()).await;
    }

    /// Starts another daemon with changed settings.
    ///
    /// # Panics
    ///
    /// Panics if the ports of the daemon cannot be opened.
    pub async fn add_daemon_with(
        &mut self,
        domain: &str,
        change: impl FnOnce(&mut settings::Settings),
    ) {
        let settings = self.settings(domain, change);
        let daemon = start_daemon(settings, self.log.address).await;
        self.daemons.push(daemon);
    }

    /// Starts another daemon on a separate runtime; shutting the runtime down kills the daemon
    /// at once.
    ///
    /// # Panics
    ///
    /// Panics if the ports of the daemon cannot be opened.
    pub async fn add_killable_daemon(&mut self, domain: &str) -> tokio::runtime::Runtime {
        self.add_daemon_with_threads(domain, 2).await
    }

    /// Starts another daemon on a separate runtime with one thread; blocking the thread pauses the
    /// daemon.
    ///
    /// # Panics
    ///
    /// Panics if the ports of the daemon cannot be opened.
    pub async fn add_pausable_daemon(&mut self, domain: &str) -> tokio::runtime::Runtime {
        self.add_daemon_with_threads(domain, 1).await
    }

    async fn add_daemon_with_threads(
        &mut self,
        domain: &str,
        threads: usize,
    ) -> tokio::runtime::Runtime {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(threads).enable_all().build().expect("threads");
        let settings = self.settings(domain, |_| ());
        let starting = runtime.spawn(start_daemon(settings, self.log.address));
        self.daemons.push(starting.await.expect("the daemon starts"));
        runtime
    }

    fn settings(
        &self,
        domain: &str,
        change: impl FnOnce(&mut settings::Settings),
    ) -> settings::Settings {
        let name = format!("d{}", self.daemons.len() + 1);
        let mut settings = settings::Settings {
            name: name.as_str().into(),
            domain: domain.into(),
            secret: SECRET.into(),
            log: Some(self.log.address),
            peers: self.daemons.iter().take(2).map(|daemon| daemon.listen.control).collect(),
            limits: self.limits.clone(),
            ..Default::default()
        };
        change(&mut settings);
        settings
    }

    /// Starts a local backend server of a daemon and waits until every ingress can route to it.
    ///
    /// # Panics
    ///
    /// Panics if an ingress cannot route to it within 15 s.
    pub async fn add_backend(
        &self,
        daemon: usize,
        service: &str,
        behaviour: backend::Behaviour,
    ) -> backend::Backend {
        let backend = backend::Backend::start(service, behaviour).await;
        backend.announce(self.daemons[daemon].listen.beside).await;
        self.await_upstream(service, backend.address, true).await;
        backend
    }

    /// Announces the backend server at `address` once, without renewing its lease, and waits until
    /// every ingress can route to it.
    ///
    /// # Panics
    ///
    /// Panics if the daemon rejects the announcement or an ingress cannot route to the backend
    /// server within 15 s.
    pub async fn announce_once(&self, daemon: usize, service: &str, address: net::SocketAddr) {
        let announcement = announce::Announcement {
            instance: None,
            sequence: 0,
            service: service.into(),
            address,
            slots: None,
            incarnation: 1,
        };
        let (announce_address, body) =
            (self.daemons[daemon].listen.beside, client::json(&announcement));
        let post = http::Method::POST;
        let exchange = client::exchange(
            announce_address,
            post,
            announce::ANNOUNCE_PATH,
            body,
            ANNOUNCE_TIMEOUT,
        );
        let response = exchange.await.expect("the daemon responds");
        assert!(response.status.is_success(), "{response:?}");
        self.await_upstream(service, address, true).await;
    }

    /// Waits until an upstream is a routing candidate of every ingress or, if `is_serving` is
    /// `false`, of none.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 15 s.
    pub async fn await_upstream(&self, service: &str, address: net::SocketAddr, is_serving: bool) {
        self.wait_until(|fleet| {
            fleet.daemons.iter().all(|daemon| {
                let candidates = daemon.shared.router().candidates(service);
                candidates.iter().any(|candidate| candidate.id.address == address) == is_serving
            })
        })
        .await;
    }

    /// Waits until `condition` holds.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 15 s.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let started = time::Instant::now();
        while !condition(self) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "condition not met within 15 s");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the address of a daemon's ingress.
    pub fn ingress_address(&self, daemon: usize) -> net::SocketAddr {
        self.daemons[daemon].listen.entry
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.iter().for_each(Daemon::kill);
    }
}

async fn start_daemon(settings: settings::Settings, log: net::SocketAddr) -> Daemon {
    let log = http_log::HttpLog::new(log);
    let started = daemon::Daemon::start_with_log(settings, log, clock::SystemClock, None).await;
    started.expect("free ports")
}

/// Returns a policy section with one service `s` and one route to it, for all paths of `h.example`.
/// `route` holds additional lines of the route, and tables that follow the route.
pub fn section(route: &str) -> String {
    format!(
        "team = 't'\n[[service]]\nname = 's'\nramp = '0s'\n\
         [[route]]\nservice = 's'\nhost = 'h.example'\npath = '/'\n{route}\n"
    )
}

/// Appends an edit of a policy section to the log, with a random id. `base` is the version of the
/// section that the edit is based on.
///
/// # Panics
///
/// Panics if the log does not append the edit or the section names no team.
pub async fn publish(log: &fake_log::FakeLog, text: &str, base: u64) {
    append_edit(log, &format!("edit-{}", rand::random::<u64>()), text, base).await;
}

/// Like [`publish`], but ignores errors of the log and does nothing if `text` is not valid TOML.
pub async fn try_publish(log: &fake_log::FakeLog, text: &str, base: u64) {
    let Ok(table) = text.parse::<toml::Table>() else { return };
    let team = table.get("team").and_then(toml::Value::as_str).unwrap_or_default().into();
    let id = format!("edit-{}", rand::random::<u64>());
    let edit = edit::Edit { id, team, base, text: text.to_owned(), signature: String::new() };
    let record = Bytes::from(rmp_serde::to_vec(&edit).unwrap_or_default());
    // The policy versions of the daemons show whether the edit was applied.
    let _ = http_log::HttpLog::new(log.address).append(api::POLICY_STREAM, record).await;
}

/// Like [`publish`], with the given id.
///
/// # Panics
///
/// Panics if the log does not append the edit or the section names no team.
pub async fn append_edit(log: &fake_log::FakeLog, id: &str, text: &str, base: u64) {
    let table: toml::Table = text.parse().expect("a section in TOML");
    let team = table["team"].as_str().expect("a section with a team").into();
    let (id, text, signature) = (id.to_owned(), text.to_owned(), String::new());
    let edit = edit::Edit { id, team, base, text, signature };
    let record = Bytes::from(rmp_serde::to_vec(&edit).expect("edits encode"));
    let appended = http_log::HttpLog::new(log.address).append(api::POLICY_STREAM, record).await;
    assert!(matches!(appended, platform_log::Append::Appended(_)), "{appended:?}");
}
