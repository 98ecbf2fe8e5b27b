//! Reading the settings again, on a signal and when the file changes, without touching requests.

use std::path;
use std::time;

use tokio::signal::unix;

use crate::settings;

/// The settings file of a running daemon and what was last read from it.
#[derive(Debug)]
pub struct Reload {
    file: path::PathBuf,
    /// Text that was last read, good or bad.
    text: Option<String>,
    current: settings::Settings,
}

/// What a reload came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reloaded {
    /// The settings are the ones in force.
    Unchanged,
    /// Only settings of services differ; they are in force.
    InForce,
    /// Others differ too; those are in force from the next start.
    AtNextStart,
    /// The settings are bad; the ones in force stay.
    Refused,
}

/// Time between looks at the file, which may change without a signal.
const LOOK_EVERY: time::Duration = time::Duration::from_secs(5);

impl Reload {
    /// Returns a reload for the settings read from `file`.
    pub fn new(file: path::PathBuf, current: settings::Settings) -> Self {
        let text = std::fs::read_to_string(&file).ok();
        Self { file, text, current }
    }

    /// Reads the settings at each signal and when the file has changed; `apply` gets new settings
    /// of services.
    pub async fn run(mut self, mut hang_up: unix::Signal, apply: impl Fn(&settings::Services)) {
        loop {
            let is_asked = tokio::select! {
                signal = hang_up.recv() => signal.is_some(),
                () = tokio::time::sleep(LOOK_EVERY) => false,
            };
            if is_asked || self.has_changed() {
                self.read(&apply);
            }
        }
    }

    /// Tells whether the file's text is another than the one last read. A file that cannot be read
    /// at the moment, as it is being replaced, has not changed.
    fn has_changed(&self) -> bool {
        let text = std::fs::read_to_string(&self.file).ok();
        text.is_some() && text != self.text
    }

    /// Reads and checks the settings once and says in a line what became of them.
    pub fn read(&mut self, apply: impl Fn(&settings::Services)) -> Reloaded {
        let text = std::fs::read_to_string(&self.file);
        self.text = text.as_ref().ok().cloned();
        let unread = |error| settings::SettingsError::Read(self.file.clone(), error);
        let parse = |text: String| settings::Settings::parse_file(&self.file, &text);
        let read = match text.map_err(unread).and_then(parse) {
            Ok(read) => read,
            Err(error) => {
                log::error!(event = "reload", reason:% = error; "settings refused");
                return Reloaded::Refused;
            }
        };
        let reloaded = self.compare(&read);
        if read.services != self.current.services {
            apply(&read.services);
        }
        self.current = read;
        log::info!(event = "reload", result:? = reloaded; "settings read");
        reloaded
    }

    fn compare(&self, read: &settings::Settings) -> Reloaded {
        if *read == self.current {
            return Reloaded::Unchanged;
        }
        let services = self.current.services.clone();
        let without_services = settings::Settings { services, ..read.clone() };
        if without_services == self.current { Reloaded::InForce } else { Reloaded::AtNextStart }
    }
}

#[cfg(test)]
mod tests;
