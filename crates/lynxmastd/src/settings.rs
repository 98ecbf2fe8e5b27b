//! Settings of a daemon, read from TOML and validated completely before any port is opened.

use std::net;
use std::path;
use std::time;

use displaydoc::Display;
use lynxmast_platform::duration_text;
use lynxmast_state::byte_budget;
use lynxmast_state::ids;
use lynxmast_state::quota::bounds;
use lynxmast_state::router;
use lynxmast_state::validation;

lynxmast_state::value! {
    /// Settings of one daemon.
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Name, unique in the fleet.
        pub name: ids::DaemonName,
        /// Failure domain of the VM.
        pub domain: ids::DomainName,
        /// Secret shared by all daemons of the fleet.
        pub secret: String,
        /// Address of the platform's log; `None` if `store` is set.
        pub log: Option<net::SocketAddr>,
        /// Address of the platform's store; `None` if `log` is set.
        pub store: Option<net::SocketAddr>,
        /// Service that the local backend server belongs to; named as the calling service in the
        /// requests that it sends through this daemon.
        pub service: String,
        /// Interval at which the local backend server sends heartbeats.
        #[serde(
            deserialize_with = "deserialize_duration",
            serialize_with = "humantime_serde::serialize"
        )]
        pub heartbeat: time::Duration,
        /// Control addresses of the daemons that are contacted first to join the fleet (seeds).
        pub peers: Vec<net::SocketAddr>,
        /// Addresses to listen on.
        #[serde(skip)]
        pub listen: Listen,
        /// Addresses announced to other daemons if they differ from the listen addresses.
        #[serde(skip)]
        pub advertise: Advertise,
        /// Limits of the daemon.
        #[serde(skip)]
        pub limits: Limits,
        /// Service policy that documents from the store do not contain.
        #[serde(skip)]
        pub services: Services,
        /// How far organisations may exceed their quotas.
        #[serde(skip)]
        pub quota: Quota,
    }

    /// In any `window`, at most (rate x window + burst) x (1 + `excess`) + `slack` requests of an
    /// organisation run in the whole fleet.
    #[serde(default, deny_unknown_fields)]
    pub struct Quota {
        /// Length of the window.
        #[serde(
            deserialize_with = "deserialize_duration",
            serialize_with = "humantime_serde::serialize"
        )]
        pub window: time::Duration,
        /// Fraction by which a quota may be exceeded.
        pub excess: f64,
        /// Number of requests by which a quota may be exceeded in addition to `excess`.
        pub slack: f64,
    }

    /// Service policy that comes from the settings because policy documents from the store do not
    /// contain it.
    #[serde(default, deny_unknown_fields)]
    pub struct Services {
        /// Fleet-wide retry budget: retries per first attempt, 0 to 1.
        pub retry_ratio: f64,
        /// Retries beyond the ratio that the whole fleet may make within `retry_window`.
        pub retry_reserve: f64,
        /// Time window of `retry_reserve`.
        #[serde(
            deserialize_with = "deserialize_duration",
            serialize_with = "humantime_serde::serialize"
        )]
        pub retry_window: time::Duration,
        /// Fraction of the slots of live upstreams that must stay in service when upstreams are
        /// avoided, 0 to 1.
        pub floor_share: f64,
    }

    /// Addresses announced to other daemons; if `None`, the listen address is announced.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Advertise {
        /// Address of the sidecar.
        pub gate: Option<net::SocketAddr>,
        /// Address for control messages.
        pub control: Option<net::SocketAddr>,
        /// Address of the administration interface.
        pub admin: Option<net::SocketAddr>,
    }

    /// Addresses that a daemon listens on; port 0 selects any free port.
    #[serde(default, deny_unknown_fields)]
    pub struct Listen {
        /// Ingress, for callers.
        pub entry: net::SocketAddr,
        /// Sidecar, for the ingress of other daemons.
        pub gate: net::SocketAddr,
        /// Control messages of other daemons.
        pub control: net::SocketAddr,
        /// Local API, for backend servers on the same VM.
        pub beside: net::SocketAddr,
        /// Administration interface, for operators.
        pub admin: net::SocketAddr,
        /// Additional address of the administration interface for scraping metrics; can be the same
        /// on all VMs.
        pub metrics: Option<net::SocketAddr>,
    }

    /// Limits of a daemon.
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Maximum number of open connections of callers.
        pub connections: usize,
        /// Longest time that a shutdown may take.
        #[serde(
            deserialize_with = "deserialize_duration",
            serialize_with = "humantime_serde::serialize"
        )]
        pub shutdown: time::Duration,
        /// Load balancing policy of the ingress.
        pub balance: router::Balance,
        /// Memory of the machine in MB; `None` if it is not known.
        pub memory_mb: Option<usize>,
        /// Largest number of bytes of requests and responses that the daemon holds in memory; `None`
        /// for the default, which depends on `memory_mb`.
        pub held_bytes: Option<usize>,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "".into(),
            domain: "".into(),
            secret: String::new(),
            log: None,
            store: None,
            service: String::new(),
            heartbeat: time::Duration::from_secs(1),
            peers: Vec::new(),
            listen: Listen::default(),
            advertise: Advertise::default(),
            limits: Limits::default(),
            services: Services::default(),
            quota: Quota::default(),
        }
    }
}

impl Default for Quota {
    fn default() -> Self {
        let bounds::Bounds { window, excess, slack } = bounds::Bounds::default();
        Self { window, excess, slack }
    }
}

impl Quota {
    /// Returns the settings as bounds.
    pub fn bounds(&self) -> bounds::Bounds {
        bounds::Bounds { window: self.window, excess: self.excess, slack: self.slack }
    }
}

impl Default for Services {
    fn default() -> Self {
        let retry_window = time::Duration::from_secs(10);
        Self { retry_ratio: 0.1, retry_reserve: 0.0, retry_window, floor_share: 0.0 }
    }
}

impl Default for Listen {
    fn default() -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self { entry: any, gate: any, control: any, beside: any, admin: any, metrics: None }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            shutdown: time::Duration::from_secs(30),
            balance: router::Balance::default(),
            memory_mb: None,
            held_bytes: None,
        }
    }
}

impl Limits {
    /// Returns the largest number of bytes of requests and responses that the daemon holds.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.unwrap_or_else(|| byte_budget::default_limit(self.memory_mb))
    }
}

/// Why settings cannot be loaded.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// cannot read {0}: {1}
    Read(path::PathBuf, std::io::Error),
    /// {0}
    Problems(Problems),
}

impl std::error::Error for SettingsError {}

/// All problems of one settings file, displayed as one line each.
#[derive(Debug, PartialEq)]
pub struct Problems {
    /// Settings file.
    pub file: path::PathBuf,
    /// Problems in the order in which they were found.
    pub problems: Vec<validation::Problem>,
}

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {problem}", self.file.display())?;
        }
        Ok(())
    }
}

/// Deserialises a duration with units, either with a fraction (`2.5s`) or in parts (`1m 30s`).
fn deserialize_duration<'de, D: serde::Deserializer<'de>>(
    source: D,
) -> Result<time::Duration, D::Error> {
    let text = <String as serde::Deserialize>::deserialize(source)?;
    let parsed = duration_text::parse(&text).map_or_else(|| humantime::parse_duration(&text), Ok);
    parsed.map_err(serde::de::Error::custom)
}

const SECRET_LENGTH_MIN: usize = 16;
const CONNECTIONS_MAX: usize = 1_000_000;
const MEMORY_MB_MAX: usize = 64 * 1024 * 1024;
/// Smallest `held-bytes`: room for one large request and some responses.
const HELD_BYTES_MIN: usize = 1024 * 1024;
const HELD_BYTES_MAX: usize = 1024 * 1024 * 1024 * 1024;
const HEARTBEAT_MIN: time::Duration = time::Duration::from_millis(100);
const HEARTBEAT_MAX: time::Duration = time::Duration::from_secs(60);
const RETRY_RESERVE_MAX: f64 = 1_000_000.0;
const RETRY_WINDOW_MIN: time::Duration = time::Duration::from_millis(100);
const RETRY_WINDOW_MAX: time::Duration = time::Duration::from_secs(600);
const QUOTA_WINDOW_MIN: time::Duration = time::Duration::from_millis(100);
const QUOTA_WINDOW_MAX: time::Duration = time::Duration::from_secs(60);
const QUOTA_EXCESS_MAX: f64 = 10.0;
const QUOTA_SLACK_MAX: f64 = 1_000_000.0;
const SHUTDOWN_MAX: time::Duration = time::Duration::from_secs(24 * 3600);

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all problems found in it.
    pub fn load(file: &path::Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| SettingsError::Read(file.to_owned(), error))?;
        Self::parse_file(file, &text)
    }

    /// Parses and validates the `text` of a settings file; `file` is only used in messages.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn parse_file(file: &path::Path, text: &str) -> Result<Self, SettingsError> {
        Self::parse(text).map_err(|problems| {
            SettingsError::Problems(Problems { file: file.to_owned(), problems })
        })
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmastd::settings;
    /// let problems = settings::Settings::parse("name = 'd1'\nlimit = 3").unwrap_err();
    /// assert!(problems.iter().any(|p| p.key == "limit" && p.line == Some(2)));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<validation::Problem>> {
        let mut reader = validation::Reader::new(text);
        let mut table = reader.parse();
        if !reader.problems.is_empty() {
            return Err(reader.problems);
        }
        let listen = take_table(&mut table, "listen", &mut reader);
        let advertise = take_table(&mut table, "advertise", &mut reader);
        let limits = take_table(&mut table, "limits", &mut reader);
        let services = take_table(&mut table, "services", &mut reader);
        let quota = take_table(&mut table, "quota", &mut reader);
        let mut settings: Settings = reader.read(table, &validation::Location::TOP);
        settings.listen = reader.read(listen, &location("listen"));
        settings.advertise = reader.read(advertise, &location("advertise"));
        settings.limits = reader.read(limits, &location("limits"));
        settings.services = reader.read(services, &location("services"));
        settings.quota = reader.read(quota, &location("quota"));
        settings.validate(&mut reader);
        if reader.problems.is_empty() { Ok(settings) } else { Err(reader.problems) }
    }

    /// Reports every invalid value to `reader`; keys with a reported problem are skipped.
    fn validate(&self, reader: &mut validation::Reader<'_>) {
        let top = &validation::Location::TOP;
        let mut require =
            |is_valid: bool, location: &validation::Location, key: &str, reason: &str| {
                if !is_valid && !reader.problems.iter().any(|p| p.key == key) {
                    reader.report(location, key, reason.to_owned());
                }
            };
        require(!self.name.is_empty(), top, "name", "a daemon needs a name");
        require(!self.domain.is_empty(), top, "domain", "a daemon needs its failure domain");
        let is_long_enough = self.secret.len() >= SECRET_LENGTH_MIN;
        require(
            is_long_enough,
            top,
            "secret",
            "must have at least 16 characters and be the same for the whole fleet",
        );
        let is_printable = self.secret.chars().all(|c| c.is_ascii_graphic());
        require(is_printable, top, "secret", "must be printable ASCII characters without spaces");
        let source_count = usize::from(self.log.is_some()) + usize::from(self.store.is_some());
        let reason = "set either 'log' or 'store', the address of the platform's log or store";
        require(source_count == 1, top, "log", reason);
        let heartbeat_ok = (HEARTBEAT_MIN..=HEARTBEAT_MAX).contains(&self.heartbeat);
        require(heartbeat_ok, top, "heartbeat", "is not in the range 100ms to 60s");
        let services = &location("services");
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        require(
            is_fraction(self.services.retry_ratio),
            services,
            "retry-ratio",
            "is not in the range 0 to 1",
        );
        let reserve_ok = (0.0..=RETRY_RESERVE_MAX).contains(&self.services.retry_reserve);
        require(reserve_ok, services, "retry-reserve", "is not in the range 0 to 1000000");
        let window_ok = (RETRY_WINDOW_MIN..=RETRY_WINDOW_MAX).contains(&self.services.retry_window);
        require(window_ok, services, "retry-window", "is not in the range 100ms to 10m");
        require(
            is_fraction(self.services.floor_share),
            services,
            "floor-share",
            "is not in the range 0 to 1",
        );
        let quota = &location("quota");
        let window_ok = (QUOTA_WINDOW_MIN..=QUOTA_WINDOW_MAX).contains(&self.quota.window);
        require(window_ok, quota, "window", "is not in the range 100ms to 60s");
        let excess_ok = (0.0..=QUOTA_EXCESS_MAX).contains(&self.quota.excess);
        require(excess_ok, quota, "excess", "is not in the range 0 to 10");
        let slack_ok = (0.0..=QUOTA_SLACK_MAX).contains(&self.quota.slack);
        require(slack_ok, quota, "slack", "is not in the range 0 to 1000000");
        let limits = &location("limits");
        let connections_ok = (1..=CONNECTIONS_MAX).contains(&self.limits.connections);
        require(connections_ok, limits, "connections", "is not in the range 1 to 1000000");
        require(self.limits.shutdown <= SHUTDOWN_MAX, limits, "shutdown", "is greater than 24h");
        let memory_ok = self.limits.memory_mb.is_none_or(|mb| (1..=MEMORY_MB_MAX).contains(&mb));
        require(memory_ok, limits, "memory-mb", "is not in the range 1 to 67108864");
        let held_ok =
            self.limits.held_bytes.is_none_or(|b| (HELD_BYTES_MIN..=HELD_BYTES_MAX).contains(&b));
        require(held_ok, limits, "held-bytes", "is not in the range 1048576 to 1099511627776");
        for (key, reason) in self.listen.conflicts(&self.advertise) {
            require(false, &location("listen"), key, &reason);
        }
    }
}

impl Listen {
    /// Returns all addresses with their keys in the settings.
    fn by_key(&self) -> Vec<(&'static str, net::SocketAddr)> {
        let required = [
            ("entry", self.entry),
            ("gate", self.gate),
            ("control", self.control),
            ("beside", self.beside),
            ("admin", self.admin),
        ];
        required.into_iter().chain(self.metrics.map(|address| ("metrics", address))).collect()
    }

    /// Returns a problem for each key whose address is also used by another key, or whose address
    /// other daemons cannot reach.
    fn conflicts(&self, advertise: &Advertise) -> Vec<(&'static str, String)> {
        let addresses = self.by_key();
        let mut found = Vec::new();
        for (index, (key, address)) in addresses.iter().enumerate() {
            let same = addresses[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = same.filter(|_| address.port() != 0) {
                found.push((*key, format!("{address} is already used by '{other}'")));
            }
            let advertised = match *key {
                "gate" => advertise.gate.unwrap_or(*address),
                "control" => advertise.control.unwrap_or(*address),
                "admin" => advertise.admin.unwrap_or(*address),
                _ => continue,
            };
            if advertised.ip().is_unspecified() {
                let reason =
                    "unspecified address; set the address that other daemons use under [advertise]";
                found.push((*key, reason.to_owned()));
            }
        }
        found
    }
}

fn location(header: &'static str) -> validation::Location {
    validation::Location { header, index: None }
}

/// Removes the table `header` from `table`; reports a value that is not a table.
fn take_table(
    table: &mut toml::Table,
    header: &'static str,
    reader: &mut validation::Reader<'_>,
) -> toml::Table {
    match table.remove(header) {
        None => toml::Table::new(),
        Some(toml::Value::Table(inner)) => inner,
        Some(_) => {
            reader.report(
                &validation::Location::TOP,
                header,
                format!("must be written as a [{header}] table"),
            );
            toml::Table::new()
        }
    }
}

#[cfg(test)]
mod tests;
