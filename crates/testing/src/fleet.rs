//! A small fleet in one process: a log, daemons on loopback ports, backend servers beside them.

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
use crate::log_stand_in;

/// A daemon of the test fleet.
pub type Daemon = daemon::Daemon<clock::SystemClock>;

/// Log and daemons.
pub struct Fleet {
    /// The platform's log.
    pub log: log_stand_in::LogStandIn,
    /// Daemons in order of start.
    pub daemons: Vec<Daemon>,
    limits: settings::Limits,
}

/// Secret of the test fleet.
pub const SECRET: &str = "a-secret-for-tests";
const SETTLE_MAX: time::Duration = time::Duration::from_secs(15);
const ANNOUNCE_MAX: time::Duration = time::Duration::from_secs(1);
const STEP: time::Duration = time::Duration::from_millis(10);

impl Fleet {
    /// Starts a log with `sections` published and a daemon in each of `domains`, and waits until
    /// all know each other and the policy.
    ///
    /// # Panics
    ///
    /// Panics when the fleet does not settle within 15 s.
    pub async fn start(domains: &[&str], sections: &[&str]) -> Self {
        Self::balanced(domains, sections, router::Balance::LoadSeen).await
    }

    /// Like [`Fleet::start`], with a balancing policy.
    ///
    /// # Panics
    ///
    /// Panics when the fleet does not settle within 15 s.
    pub async fn balanced(domains: &[&str], sections: &[&str], balance: router::Balance) -> Self {
        let log = log_stand_in::LogStandIn::start(0).await;
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
            .settle(|fleet| {
                let count = fleet.daemons.len();
                let knows_all = |d: &Daemon| {
                    d.shared.membership().live_records(d.shared.now()).count() == count
                };
                let is_current =
                    |d: &Daemon| d.shared.view().version == version && d.shared.is_current();
                fleet.daemons.iter().all(|daemon| knows_all(daemon) && is_current(daemon))
            })
            .await;
        fleet
    }

    /// Sets the time that shutdowns of daemons started from now on wait.
    pub fn set_shutdown_limit(&mut self, limit: time::Duration) {
        self.limits.shutdown = limit;
    }

    /// Starts one more daemon.
    ///
    /// # Panics
    ///
    /// Panics when its ports cannot be opened.
    pub async fn add_daemon(&mut self, domain: &str) {
        self.add_daemon_with(domain, |_| ()).await;
    }

    /// Starts one more daemon with changed settings.
    ///
    /// # Panics
    ///
    /// Panics when its ports cannot be opened.
    pub async fn add_daemon_with(
        &mut self,
        domain: &str,
        change: impl FnOnce(&mut settings::Settings),
    ) {
        let settings = self.settings(domain, change);
        let daemon = launch(settings, self.log.address).await;
        self.daemons.push(daemon);
    }

    /// Starts one more daemon on threads of its own, which can be shut down to kill it at once.
    ///
    /// # Panics
    ///
    /// Panics when its ports cannot be opened.
    pub async fn add_killable_daemon(&mut self, domain: &str) -> tokio::runtime::Runtime {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().expect("worker threads");
        let settings = self.settings(domain, |_| ());
        let launching = runtime.spawn(launch(settings, self.log.address));
        self.daemons.push(launching.await.expect("the daemon starts"));
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

    /// Starts a backend server beside a daemon and waits until every entry knows it.
    ///
    /// # Panics
    ///
    /// Panics when the entries do not learn of it within 15 s.
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

    /// Announces a backend server of another kind once, for as long as its lease lasts, and waits
    /// until every entry knows it.
    ///
    /// # Panics
    ///
    /// Panics when the daemon refuses it or the entries do not learn of it within 15 s.
    pub async fn announce_once(&self, daemon: usize, service: &str, address: net::SocketAddr) {
        let announcement = announce::Announcement {
            instance: None,
            sequence: 0,
            service: service.into(),
            address,
            slots: None,
            incarnation: 1,
        };
        let (beside, body) = (self.daemons[daemon].listen.beside, client::json(&announcement));
        let post = http::Method::POST;
        let sent = client::exchange(beside, post, announce::ANNOUNCE_PATH, body, ANNOUNCE_MAX);
        let answer = sent.await.expect("the daemon answers");
        assert!(answer.status.is_success(), "{answer:?}");
        self.await_upstream(service, address, true).await;
    }

    /// Waits until every entry knows an upstream as serving, or as not serving.
    ///
    /// # Panics
    ///
    /// Panics when that takes over 15 s.
    pub async fn await_upstream(&self, service: &str, address: net::SocketAddr, serves: bool) {
        self.settle(|fleet| {
            fleet.daemons.iter().all(|daemon| {
                let known = daemon.shared.router().candidates(service);
                known.iter().any(|candidate| candidate.id.address == address) == serves
            })
        })
        .await;
    }

    /// Waits until `holds`.
    ///
    /// # Panics
    ///
    /// Panics when that takes over 15 s.
    pub async fn settle(&self, holds: impl Fn(&Self) -> bool) {
        let started = time::Instant::now();
        while !holds(self) {
            assert!(started.elapsed() < SETTLE_MAX, "the fleet did not settle");
            tokio::time::sleep(STEP).await;
        }
    }

    /// Returns the entry address of a daemon.
    pub fn entry(&self, daemon: usize) -> net::SocketAddr {
        self.daemons[daemon].listen.entry
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.iter().for_each(Daemon::kill);
    }
}

async fn launch(settings: settings::Settings, log: net::SocketAddr) -> Daemon {
    let log = http_log::HttpLog::new(log);
    let started = daemon::Daemon::start_with_log(settings, log, clock::SystemClock, None).await;
    started.expect("free ports")
}

/// Returns a section with one service `s` and one route to it, for all of `h.example`; `route` holds
/// further lines of the route and what follows it.
pub fn section(route: &str) -> String {
    format!(
        "team = 't'\n[[service]]\nname = 's'\nramp = '0s'\n\
         [[route]]\nservice = 's'\nhost = 'h.example'\npath = '/'\n{route}\n"
    )
}

/// Appends a new edit of a section to a log.
///
/// # Panics
///
/// Panics when the log does not take it or the section names no team.
pub async fn publish(log: &log_stand_in::LogStandIn, text: &str, base: u64) {
    append(log, &format!("edit-{}", rand::random::<u64>()), text, base).await;
}

/// Appends a new edit of a section to a log that may not take it, or not say so.
pub async fn try_publish(log: &log_stand_in::LogStandIn, text: &str, base: u64) {
    let Ok(table) = text.parse::<toml::Table>() else { return };
    let team = table.get("team").and_then(toml::Value::as_str).unwrap_or_default().into();
    let id = format!("edit-{}", rand::random::<u64>());
    let edit = edit::Edit { id, team, base, text: text.to_owned(), signature: String::new() };
    let record = Bytes::from(rmp_serde::to_vec(&edit).unwrap_or_default());
    // What became of it shows in the versions of the daemons.
    let _ = http_log::HttpLog::new(log.address).append(api::POLICY_STREAM, record).await;
}

/// Appends an edit with a given id to a log.
///
/// # Panics
///
/// Panics when the log does not take it or the section names no team.
pub async fn append(log: &log_stand_in::LogStandIn, id: &str, text: &str, base: u64) {
    let table: toml::Table = text.parse().expect("a section in TOML");
    let team = table["team"].as_str().expect("a section with a team").into();
    let (id, text, signature) = (id.to_owned(), text.to_owned(), String::new());
    let edit = edit::Edit { id, team, base, text, signature };
    let record = Bytes::from(rmp_serde::to_vec(&edit).expect("edits encode"));
    let appended = http_log::HttpLog::new(log.address).append(api::POLICY_STREAM, record).await;
    assert!(matches!(appended, platform_log::Append::Appended(_)), "{appended:?}");
}
