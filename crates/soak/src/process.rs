//! Daemon process and its ports.

use std::collections;
use std::fs;
use std::net;
use std::ops;
use std::path;
use std::process;
use std::time;

use rand::Rng;

/// Daemon process that can be stopped and restarted; killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: path::PathBuf,
    settings: path::PathBuf,
    log: Option<path::PathBuf>,
    child: Option<process::Child>,
    /// Addresses that the daemon listens on.
    pub ports: Ports,
}

/// Listening addresses of a daemon, the same after a restart.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// For requests of callers.
    pub ingress: net::SocketAddr,
    /// For requests that the ingresses of other daemons forward.
    pub sidecar: net::SocketAddr,
    /// For control messages between daemons.
    pub control: net::SocketAddr,
    /// For announcements of local backend servers.
    pub local: net::SocketAddr,
    /// For operators' requests.
    pub admin: net::SocketAddr,
}

/// Signal that the soak sends to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGSTOP: suspends the process until [`Signal::Continue`].
    Stop,
    /// SIGCONT: resumes the process.
    Continue,
    /// SIGTERM: shuts the daemon down.
    Terminate,
    /// SIGHUP: reloads the settings.
    HangUp,
}

/// Longest time that a terminated process may take to exit.
const EXIT_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Ports for daemons: unprivileged, and below the ephemeral ports used for outgoing connections.
const PORT_RANGE: ops::Range<u16> = 12_000..32_000;
/// Number of random ports to try for the five ports of a daemon.
const PORT_ATTEMPTS: usize = 20;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl Ports {
    /// Chooses five free ports and adds every port that it tries to `reserved`. Ports that are
    /// already in `reserved` are skipped: they may belong to a daemon that has not opened them yet.
    /// The ports are below the ephemeral range, as the daemon needs the same ports when it is
    /// restarted.
    ///
    /// # Errors
    ///
    /// Returns [`std::io::ErrorKind::AddrInUse`] if too few of the tried ports are free.
    pub fn choose(reserved: &mut collections::BTreeSet<u16>) -> std::io::Result<Self> {
        let mut listeners: Vec<net::TcpListener> = Vec::new();
        for _ in 0..PORT_ATTEMPTS {
            let port = rand::rng().random_range(PORT_RANGE);
            if reserved.insert(port) {
                listeners.extend(net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)));
            }
        }
        let too_few = || std::io::Error::from(std::io::ErrorKind::AddrInUse);
        let address = |index: usize| listeners.get(index).ok_or_else(too_few)?.local_addr();
        Ok(Self {
            ingress: address(0)?,
            sidecar: address(1)?,
            control: address(2)?,
            local: address(3)?,
            admin: address(4)?,
        })
    }
}

impl Process {
    /// Writes the settings file and starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the process cannot be started.
    pub fn start(
        program: &path::Path,
        settings: path::PathBuf,
        contents: &str,
        ports: Ports,
        log: Option<path::PathBuf>,
    ) -> std::io::Result<Self> {
        fs::write(&settings, contents)?;
        let mut process = Self { program: program.to_owned(), settings, log, child: None, ports };
        process.ensure_running()?;
        Ok(process)
    }

    /// Starts the daemon if it is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the process cannot be started.
    pub fn ensure_running(&mut self) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let mut command = process::Command::new(&self.program);
        command.arg("--settings").arg(&self.settings);
        match &self.log {
            Some(log) => {
                let file = fs::File::options().append(true).create(true).open(log)?;
                command.stdout(file.try_clone()?).stderr(file);
            }
            None => {
                command.stdout(process::Stdio::null()).stderr(process::Stdio::null());
            }
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns `true` until the process has exited, also while it is suspended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: a process that has already exited needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal if the process is running.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let name = match signal {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
            Signal::HangUp => "-HUP",
        };
        if let Some(child) = &self.child {
            let result =
                process::Command::new("kill").arg(name).arg(child.id().to_string()).status();
            if !result.is_ok_and(|status| status.success()) {
                eprintln!("cannot send a signal to process {}: kill {name} failed", child.id());
            }
        }
    }

    /// Waits until the process has exited. Returns `false` if it is still running after 8 s.
    pub async fn wait_for_exit(&mut self) -> bool {
        let until = time::Instant::now() + EXIT_TIMEOUT;
        while time::Instant::now() < until {
            if !self.is_running() {
                self.child = None;
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        // Errors are ignored: the file is in the temporary directory, which is cleared anyway.
        let _ = fs::remove_file(&self.settings);
    }
}

#[cfg(test)]
mod tests;
