//! Reloading of the settings file, on SIGHUP or when the file changes, without affecting requests
//! in flight.

use std::path;
use std::time;

use tokio::signal::unix;

use crate::settings;

/// Reloads the settings file of a running daemon.
#[derive(Debug)]
pub struct Reloader {
    file: path::PathBuf,
    /// Text of the file when it was last read, valid or not; `None` if it could not be read.
    text: Option<String>,
    /// Settings of the last successful reload.
    current: settings::Settings,
}

/// Result of a reload. All variant names except [`ReloadResult::Invalid`] are written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadResult {
    /// The settings have not changed.
    Unchanged,
    /// Only settings of services and of the local backend server changed; they are active now.
    InForce,
    /// Other settings changed too; those become active when the daemon is restarted.
    AtNextStart,
    /// The settings are invalid; the active settings are kept.
    Invalid,
}

/// Interval at which the file is checked for changes made without a signal.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(5);

impl Reloader {
    /// Creates a reloader of `file`, from which the `current` settings were read.
    pub fn new(file: path::PathBuf, current: settings::Settings) -> Self {
        let text = std::fs::read_to_string(&file).ok();
        Self { file, text, current }
    }

    /// Reloads the settings on each signal and when the file has changed. Calls `apply` with the
    /// settings if those that need no restart changed. Never returns.
    pub async fn run(mut self, mut hangup: unix::Signal, apply: impl Fn(&settings::Settings)) {
        loop {
            let is_signalled = tokio::select! {
                signal = hangup.recv() => signal.is_some(),
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            if is_signalled || self.has_changed() {
                self.reload(&apply);
            }
        }
    }

    /// Returns whether the text of the file differs from the last read. A file that cannot be read,
    /// for example while it is being replaced, counts as unchanged.
    fn has_changed(&self) -> bool {
        let text = std::fs::read_to_string(&self.file).ok();
        text.is_some() && text != self.text
    }

    /// Reads and validates the settings once, applies those that need no restart and logs the result.
    pub fn reload(&mut self, apply: impl Fn(&settings::Settings)) -> ReloadResult {
        let text = std::fs::read_to_string(&self.file);
        self.text = text.as_ref().ok().cloned();
        let read_error = |error| settings::SettingsError::Read(self.file.clone(), error);
        let parse = |text: String| settings::Settings::parse_file(&self.file, &text);
        let new = match text.map_err(read_error).and_then(parse) {
            Ok(new) => new,
            Err(error) => {
                log::error!(
                    event = "reload",
                    reason:% = error;
                    "invalid settings file; keeping active settings"
                );
                return ReloadResult::Invalid;
            }
        };
        let result = self.compare(&new);
        if new.services != self.current.services || new.service != self.current.service {
            apply(&new);
        }
        self.current = new;
        log::info!(event = "reload", result:? = result; "settings reloaded");
        result
    }

    /// Classifies the difference between `new` and the current settings.
    fn compare(&self, new: &settings::Settings) -> ReloadResult {
        if *new == self.current {
            return ReloadResult::Unchanged;
        }
        let settings::Settings { service, services, .. } = self.current.clone();
        let unchanged = settings::Settings { service, services, ..new.clone() };
        if unchanged == self.current { ReloadResult::InForce } else { ReloadResult::AtNextStart }
    }
}

#[cfg(test)]
mod tests;
