//! Reading the settings again on a signal, without touching requests.

use std::path;

use tokio::signal::unix;

use crate::settings;

/// The settings file of a running daemon and what was last read from it.
#[derive(Debug)]
pub struct Reload {
    file: path::PathBuf,
    current: settings::Settings,
}

/// What a reload came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reloaded {
    /// The settings are the ones in force.
    Unchanged,
    /// The settings are good and differ; they are in force from the next start.
    AtNextStart,
    /// The settings are bad; the ones in force stay.
    Refused,
}

impl Reload {
    /// Returns a reload for the settings read from `file`.
    pub fn new(file: path::PathBuf, current: settings::Settings) -> Self {
        Self { file, current }
    }

    /// Reads the settings at each signal.
    pub async fn run(mut self, mut hang_up: unix::Signal) {
        while hang_up.recv().await.is_some() {
            self.read();
        }
        // Without further signals there is nothing left to wait for.
        std::future::pending::<()>().await;
    }

    /// Reads and checks the settings once and says in a line what became of them.
    pub fn read(&mut self) -> Reloaded {
        let reloaded = match settings::Settings::load(&self.file) {
            Ok(read) if read == self.current => Reloaded::Unchanged,
            Ok(read) => {
                self.current = read;
                Reloaded::AtNextStart
            }
            Err(error) => {
                log::error!(event = "reload", reason:% = error; "settings refused");
                return Reloaded::Refused;
            }
        };
        log::info!(event = "reload", result:? = reloaded; "settings read");
        reloaded
    }
}

#[cfg(test)]
mod tests;
