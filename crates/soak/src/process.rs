//! One daemon as a process of its own.

use std::collections;
use std::fs;
use std::net;
use std::ops;
use std::path;
use std::process;
use std::time;

use rand::Rng;

/// A daemon's program with its settings, running or not.
#[derive(Debug)]
pub struct Process {
    program: path::PathBuf,
    settings: path::PathBuf,
    log: Option<path::PathBuf>,
    child: Option<process::Child>,
    /// Addresses of the daemon.
    pub ports: Ports,
}

/// Addresses that a daemon keeps over its starts.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// For callers.
    pub entry: net::SocketAddr,
    /// For entries of other daemons.
    pub gate: net::SocketAddr,
    /// For control messages.
    pub control: net::SocketAddr,
    /// For backend servers.
    pub beside: net::SocketAddr,
    /// For operators.
    pub admin: net::SocketAddr,
}

/// Signals that the soak sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Stands still until [`Signal::Continue`].
    Stop,
    /// Goes on.
    Continue,
    /// Shuts down.
    Terminate,
    /// Reads its settings again.
    HangUp,
}

/// Longest wait for a process to end by itself.
const END_MAX: time::Duration = time::Duration::from_secs(8);
/// Ports for daemons: free for programs, and below those for outgoing connections.
const PORTS: ops::Range<u16> = 12_000..32_000;
/// Ports tried for the five of a daemon.
const TRIES: usize = 20;
const STEP: time::Duration = time::Duration::from_millis(20);

impl Ports {
    /// Chooses free ports below those that the system gives to outgoing connections, as a daemon
    /// needs the same ones again at its next start. `taken` holds those of other daemons, which may
    /// not have opened theirs yet.
    ///
    /// # Errors
    ///
    /// Says that no port is free.
    pub fn choose(taken: &mut collections::BTreeSet<u16>) -> std::io::Result<Self> {
        let mut held: Vec<net::TcpListener> = Vec::new();
        for _ in 0..TRIES {
            let port = rand::rng().random_range(PORTS);
            if taken.insert(port) {
                held.extend(net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)));
            }
        }
        let taken = || std::io::Error::from(std::io::ErrorKind::AddrInUse);
        let address = |index: usize| held.get(index).ok_or_else(taken)?.local_addr();
        Ok(Self {
            entry: address(0)?,
            gate: address(1)?,
            control: address(2)?,
            beside: address(3)?,
            admin: address(4)?,
        })
    }
}

impl Process {
    /// Writes the settings and starts the daemon.
    ///
    /// # Errors
    ///
    /// Says what cannot be written or started.
    pub fn start(
        program: &path::Path,
        settings: path::PathBuf,
        text: &str,
        ports: Ports,
        log: Option<path::PathBuf>,
    ) -> std::io::Result<Self> {
        fs::write(&settings, text)?;
        let mut process = Self { program: program.to_owned(), settings, log, child: None, ports };
        process.start_again()?;
        Ok(process)
    }

    /// Starts the daemon if it does not run.
    ///
    /// # Errors
    ///
    /// Says why it cannot be started.
    pub fn start_again(&mut self) -> std::io::Result<()> {
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

    /// Tells whether the process runs or stands still.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, if the process runs.
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
            let sent = process::Command::new("kill").arg(name).arg(child.id().to_string()).status();
            if !sent.is_ok_and(|status| status.success()) {
                eprintln!("process {} did not get signal {name}", child.id());
            }
        }
    }

    /// Waits until the process has ended by itself; `false` if that takes too long.
    pub async fn await_end(&mut self) -> bool {
        let until = time::Instant::now() + END_MAX;
        while time::Instant::now() < until {
            if !self.is_running() {
                self.child = None;
                return true;
            }
            tokio::time::sleep(STEP).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        // The file is in a temporary directory, which is cleared anyway.
        let _ = fs::remove_file(&self.settings);
    }
}

#[cfg(test)]
mod tests;
