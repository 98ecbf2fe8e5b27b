//! Settings of a daemon, read from TOML and checked as a whole before any port opens.

use std::net;
use std::path;
use std::time;

use displaydoc::Display;
use lynxmast_platform::duration_text;
use lynxmast_state::checked;
use lynxmast_state::ids;
use lynxmast_state::router;

lynxmast_state::value! {
    /// Settings of one daemon.
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Name, unique in the fleet.
        pub name: ids::DaemonName,
        /// Failure domain that the VM is in.
        pub domain: ids::DomainName,
        /// Secret shared by the daemons of the fleet.
        pub secret: String,
        /// Address of the platform's log.
        pub log: Option<net::SocketAddr>,
        /// Address of the platform's store, in place of the log.
        pub store: Option<net::SocketAddr>,
        /// Service of the backend server beside the daemon, stated on requests that begin here.
        pub service: String,
        /// Time between heartbeats of the backend server beside the daemon.
        #[serde(
            deserialize_with = "read_time",
            serialize_with = "humantime_serde::serialize"
        )]
        pub heartbeat: time::Duration,
        /// Control addresses of daemons to start from.
        pub peers: Vec<net::SocketAddr>,
        /// Addresses to listen on.
        #[serde(skip)]
        pub listen: Listen,
        /// Addresses told to other daemons where they differ from the ones listened on.
        #[serde(skip)]
        pub advertise: Advertise,
        /// Limits.
        #[serde(skip)]
        pub limits: Limits,
        /// What a policy from the store does not state of services.
        #[serde(skip)]
        pub services: Services,
    }

    /// Policy of services that comes from the settings where the policy document has none.
    #[serde(default, deny_unknown_fields)]
    pub struct Services {
        /// Retries allowed for each first attempt over the whole fleet, 0 to 1.
        pub retry_ratio: f64,
        /// Retries that the whole fleet may make beyond the ratio.
        pub retry_reserve: u32,
        /// Time for which that bound on retries holds.
        #[serde(
            deserialize_with = "read_time",
            serialize_with = "humantime_serde::serialize"
        )]
        pub retry_window: time::Duration,
        /// Share of the slots of live upstreams that avoidance leaves in service, 0 to 1.
        pub floor_share: f64,
    }

    /// Addresses told to other daemons; absent ones are those listened on.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Advertise {
        /// Gate.
        pub gate: Option<net::SocketAddr>,
        /// Control messages.
        pub control: Option<net::SocketAddr>,
        /// Administration.
        pub admin: Option<net::SocketAddr>,
    }

    /// Addresses that a daemon listens on; port 0 takes any free port.
    #[serde(default, deny_unknown_fields)]
    pub struct Listen {
        /// For callers.
        pub entry: net::SocketAddr,
        /// For entries of other daemons.
        pub gate: net::SocketAddr,
        /// For control messages of other daemons.
        pub control: net::SocketAddr,
        /// For backend servers on the same VM.
        pub beside: net::SocketAddr,
        /// For operators.
        pub admin: net::SocketAddr,
        /// For operators too, at an address that can be the same on all VMs; metrics are read there.
        pub metrics: Option<net::SocketAddr>,
    }

    /// Limits of a daemon.
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Connections of callers at a time.
        pub connections: usize,
        /// Time that a shutdown waits for requests in flight.
        #[serde(
            deserialize_with = "read_time",
            serialize_with = "humantime_serde::serialize"
        )]
        pub shutdown: time::Duration,
        /// How the entry balances.
        pub balance: router::Balance,
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
        }
    }
}

impl Default for Services {
    fn default() -> Self {
        let retry_window = time::Duration::from_secs(10);
        Self { retry_ratio: 0.1, retry_reserve: 0, retry_window, floor_share: 0.0 }
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
        }
    }
}

/// Why settings are refused.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// cannot read {0}: {1}
    Read(path::PathBuf, std::io::Error),
    /// {0}
    Problems(Problems),
}

impl std::error::Error for SettingsError {}

/// All problems of one settings file, one a line.
#[derive(Debug, PartialEq)]
pub struct Problems {
    /// File that was read.
    pub file: path::PathBuf,
    /// Problems found.
    pub problems: Vec<checked::Problem>,
}

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let end = if index == 0 { "" } else { "\n" };
            write!(f, "{end}{}: {problem}", self.file.display())?;
        }
        Ok(())
    }
}

/// Reads a time with a unit, with a fraction (`2.5s`) or in parts (`1m 30s`).
fn read_time<'de, D: serde::Deserializer<'de>>(source: D) -> Result<time::Duration, D::Error> {
    let text = <String as serde::Deserialize>::deserialize(source)?;
    let parsed = duration_text::parse(&text).map_or_else(|| humantime::parse_duration(&text), Ok);
    parsed.map_err(serde::de::Error::custom)
}

const SECRET_LENGTH_MIN: usize = 16;
const CONNECTIONS_MAX: usize = 1_000_000;
const HEARTBEAT_MIN: time::Duration = time::Duration::from_millis(100);
const HEARTBEAT_MAX: time::Duration = time::Duration::from_secs(60);
const WINDOW_MIN: time::Duration = time::Duration::from_millis(100);
const WINDOW_MAX: time::Duration = time::Duration::from_secs(600);
const SHUTDOWN_MAX: time::Duration = time::Duration::from_secs(24 * 3600);

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file and every key that is wrong.
    pub fn load(file: &path::Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| SettingsError::Read(file.to_owned(), error))?;
        Self::parse_file(file, &text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the file and every key that is wrong.
    pub fn parse_file(file: &path::Path, text: &str) -> Result<Self, SettingsError> {
        Self::parse(text).map_err(|problems| {
            SettingsError::Problems(Problems { file: file.to_owned(), problems })
        })
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every problem found.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmastd::settings;
    /// let problems = settings::Settings::parse("name = 'd1'\nlimit = 3").unwrap_err();
    /// assert!(problems.iter().any(|p| p.key == "limit" && p.line == Some(2)));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<checked::Problem>> {
        let mut reader = checked::Reader::new(text);
        let mut table = reader.parse();
        if !reader.problems.is_empty() {
            return Err(reader.problems);
        }
        let listen = sub_table(&mut table, "listen", &mut reader);
        let advertise = sub_table(&mut table, "advertise", &mut reader);
        let limits = sub_table(&mut table, "limits", &mut reader);
        let services = sub_table(&mut table, "services", &mut reader);
        let mut settings: Settings = reader.read(table, &checked::Place::TOP);
        settings.listen = reader.read(listen, &place("listen"));
        settings.advertise = reader.read(advertise, &place("advertise"));
        settings.limits = reader.read(limits, &place("limits"));
        settings.services = reader.read(services, &place("services"));
        settings.check(&mut reader);
        if reader.problems.is_empty() { Ok(settings) } else { Err(reader.problems) }
    }

    fn check(&self, reader: &mut checked::Reader<'_>) {
        let top = &checked::Place::TOP;
        let mut rule = |holds: bool, place: &checked::Place, key: &str, reason: &str| {
            if !holds && !reader.problems.iter().any(|p| p.key == key) {
                reader.report(place, key, reason.to_owned());
            }
        };
        rule(!self.name.is_empty(), top, "name", "a daemon needs a name");
        rule(!self.domain.is_empty(), top, "domain", "a daemon needs its failure domain");
        let long = self.secret.len() >= SECRET_LENGTH_MIN;
        rule(long, top, "secret", "write at least 16 characters, the same for the whole fleet");
        let printable = self.secret.chars().all(|c| c.is_ascii_graphic());
        rule(printable, top, "secret", "write printable ASCII characters without spaces");
        let sources = usize::from(self.log.is_some()) + usize::from(self.store.is_some());
        let reason = "write the address of the platform's log, or of its store under 'store'";
        rule(sources == 1, top, "log", reason);
        let beats = (HEARTBEAT_MIN..=HEARTBEAT_MAX).contains(&self.heartbeat);
        rule(beats, top, "heartbeat", "is not in 100ms to 60s");
        let services = &place("services");
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        rule(is_share(self.services.retry_ratio), services, "retry-ratio", "is not in 0 to 1");
        let window = (WINDOW_MIN..=WINDOW_MAX).contains(&self.services.retry_window);
        rule(window, services, "retry-window", "is not in 100ms to 10m");
        rule(is_share(self.services.floor_share), services, "floor-share", "is not in 0 to 1");
        let limits = &place("limits");
        let connections = (1..=CONNECTIONS_MAX).contains(&self.limits.connections);
        rule(connections, limits, "connections", "is not in 1 to 1000000");
        rule(self.limits.shutdown <= SHUTDOWN_MAX, limits, "shutdown", "is over 24h");
        for (key, reason) in self.listen.clashes(&self.advertise) {
            rule(false, &place("listen"), key, &reason);
        }
    }
}

impl Listen {
    fn named(&self) -> Vec<(&'static str, net::SocketAddr)> {
        let needed = [
            ("entry", self.entry),
            ("gate", self.gate),
            ("control", self.control),
            ("beside", self.beside),
            ("admin", self.admin),
        ];
        needed.into_iter().chain(self.metrics.map(|address| ("metrics", address))).collect()
    }

    /// Returns keys whose address another key has taken, or that cannot be told to peers.
    fn clashes(&self, advertise: &Advertise) -> Vec<(&'static str, String)> {
        let named = self.named();
        let mut found = Vec::new();
        for (index, (key, address)) in named.iter().enumerate() {
            let same = named[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = same.filter(|_| address.port() != 0) {
                found.push((*key, format!("{address} is taken by '{other}'")));
            }
            let told = match *key {
                "gate" => advertise.gate.unwrap_or(*address),
                "control" => advertise.control.unwrap_or(*address),
                "admin" => advertise.admin.unwrap_or(*address),
                _ => continue,
            };
            if told.ip().is_unspecified() {
                let reason = "write the address that other daemons reach under [advertise]";
                found.push((*key, reason.to_owned()));
            }
        }
        found
    }
}

fn place(header: &'static str) -> checked::Place {
    checked::Place { header, index: None }
}

fn sub_table(
    table: &mut toml::Table,
    header: &'static str,
    reader: &mut checked::Reader<'_>,
) -> toml::Table {
    match table.remove(header) {
        None => toml::Table::new(),
        Some(toml::Value::Table(inner)) => inner,
        Some(_) => {
            reader.report(&checked::Place::TOP, header, format!("write a [{header}] table"));
            toml::Table::new()
        }
    }
}

#[cfg(test)]
mod tests;
