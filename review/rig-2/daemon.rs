//! A daemon as a separate process, started with the command and the template of the deploy file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// A machine with a daemon.
pub struct Daemon {
    pub name: String,
    /// Addresses for callers and for the server on the machine.
    pub entry: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    gate: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
    directory: PathBuf,
    process: Option<Child>,
    started: Instant,
}

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Returns a free address. The port is closed again, so that the daemon can open it; it is below those that the
/// system gives to outgoing connections.
fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst) % 100;
        if let Ok(listener) = std::net::TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("a bound port");
        }
    }
}

impl Daemon {
    pub fn new(name: &str, store: SocketAddr, directory: &Path) -> Self {
        let directory = directory.join(name);
        std::fs::create_dir_all(&directory).expect("a folder can be made");
        Self {
            name: name.into(),
            entry: free(),
            control: free(),
            ready: free(),
            gate: free(),
            peers: free(),
            store,
            directory,
            process: None,
            started: Instant::now(),
        }
    }

    fn settings_file(&self) -> PathBuf {
        self.directory.join("boot.json")
    }

    /// Places the settings file, as the platform does at each start and each change: it fills the template with
    /// the values of a small deployment.
    pub fn write_settings(&self, service: &str) {
        let template = std::fs::read_to_string("platform/settings.template.toml").expect("the template can be read");
        let (name, entry, gate) = (self.name.clone(), self.entry.to_string(), self.gate.to_string());
        let values = [
            ("node_name", name),
            ("zone", "zone-a".into()),
            ("platform.addr", self.store.to_string()),
            ("service", service.into()),
            ("beat_interval", "1500ms".into()),
            ("listen.outbound", entry),
            ("listen.inbound", gate),
            ("listen.control", self.control.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("node_ip", self.peers.ip().to_string()),
            ("port_range.0", self.peers.port().to_string()),
            ("limits.memory_mb", "260".into()),
            ("bounds.grace", "6s".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_slack", "60".into()),
            ("bounds.budget_window", "10s".into()),
            ("bounds.floor_share", "0.7".into()),
        ];
        let mut text = String::new();
        for line in template.lines().filter(|line| !line.contains("quota_")) {
            // Several daemons share the machine of the test, so that the fixed port stays unused.
            if line.starts_with("metrics") {
                continue;
            }
            let mut line = line.to_owned();
            for (key, value) in &values {
                line = line.replace(&format!("{{{{#{key}}}}}"), "").replace(&format!("{{{{/{key}}}}}"), "");
                line = line.replace(&format!("{{{{{key}}}}}"), value);
            }
            text.push_str(&line);
            text.push('\n');
        }
        let temporary = self.directory.join("next");
        std::fs::write(&temporary, text).expect("the settings can be written");
        std::fs::rename(temporary, self.settings_file()).expect("the settings can be placed");
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.directory.join("log"));
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("a file can be cloned");
        let process = Command::new("target/release/lynxmastd")
            .arg("--settings")
            .arg(self.settings_file())
            .env("LYNXMAST_NODE_FILE", self.settings_file())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.process = Some(process.expect("the daemon can be started; build it first"));
        self.started = Instant::now();
    }

    /// Returns the time since the process was started.
    pub fn running_for(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            // The process was started by this one and is not waited for yet, so that its id is not reused.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Returns how the process ended; `None` while it runs.
    pub fn end(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills the process and waits for its end.
    pub fn stop(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
        }
    }

    /// Asks the daemon once whether it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        http::call(self.ready, request, Duration::from_millis(500)).is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the daemon is ready.
    pub fn await_ready(&self, timeout: Duration) -> Result<(), String> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("daemon {} is not ready", self.name))
    }

}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop();
    }
}
