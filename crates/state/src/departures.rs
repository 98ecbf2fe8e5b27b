//! Departures of the backend servers on a daemon's VM: those that it knows, and those that the registry
//! outside the fleet holds for its next process.
//!
//! Reports of backend servers, records of peers, lookups in the registry and the results of writes to it all
//! pass through [`Departures`], which alone decides whether a departure may be acknowledged.

pub mod history;
pub mod lookup;

use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::member;

/// Departures known to one process of a daemon.
///
/// # Examples
///
/// ```
/// use lynxmast_state::departures::{self, history, lookup};
/// use lynxmast_state::member;
/// use std::time::{Duration, Instant, UNIX_EPOCH};
///
/// let now = Instant::now();
/// let history = history::History::new(now, UNIX_EPOCH, Duration::from_secs(6));
/// let mut departures = departures::Departures::new(Some(history));
/// departures.learn_registered(&lookup::Lookup::Absent, 1, now);
/// departures.record(member::Departure { instance: "i-1".into(), incarnation: 7 }, 1, now);
/// assert!(departures.contains("i-1", 7) && !departures.is_stored("i-1", 7, 1));
///
/// let written = departures.begin_write(1);
/// assert!(departures.confirm_write(written, 1));
/// assert!(departures.is_stored("i-1", 7, 1));
/// assert!(!departures.is_stored("i-1", 7, 2), "a restore may have lost it");
/// ```
#[derive(Debug, Clone)]
pub struct Departures {
    /// Newest departed incarnation of each instance; those that were reported last at the end.
    entries: IndexMap<ids::InstanceName, Entry>,
    /// Departures that the daemon publishes: to its peers, and to the registry with the next write.
    published: Vec<member::Departure>,
    /// What the registry holds at least, as of the last confirmed write of this process, which no earlier
    /// write can replace any more; `None` before the first.
    held: Option<lookup::Held>,
    /// What a lookup has found since. An earlier write, executed late, may replace it.
    found: Vec<member::Departure>,
    /// Start of this process; `None` without a registry.
    history: Option<history::History>,
    /// Whether the departures that earlier processes have acknowledged are known, or no longer matter.
    is_known: bool,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    incarnation: ids::Incarnation,
    /// When this process last heard of the departure.
    heard: time::Instant,
}

/// Maximum number of departures that a process knows; a VM runs few backend servers.
const ENTRIES_MAX: usize = 256;
/// Number of departures that are published, if none of the others was heard of recently.
const PUBLISHED_MIN: usize = 16;
/// Time for which a departure is kept and published in any case; longer than a heartbeat may be on its way.
const RETENTION: time::Duration = time::Duration::from_secs(120);
/// Epoch of a registry that has never been restored.
const EPOCH_FIRST: ids::SourceEpoch = 1;

impl Departures {
    /// Returns the departures of a process that has just started. Without a registry, which `history` is
    /// for, nothing is kept for the next process: all departures count as stored and those of earlier
    /// processes as known.
    pub fn new(history: Option<history::History>) -> Self {
        Self {
            entries: IndexMap::new(),
            published: Vec::new(),
            held: None,
            found: Vec::new(),
            is_known: history.is_none(),
            history,
        }
    }

    /// Records a departure that a backend server reports. It covers all earlier incarnations. `epoch` is
    /// the newest known epoch of the registry.
    ///
    /// The departure is dropped, and never counts as stored, if too many others are recent.
    pub fn record(
        &mut self,
        departure: member::Departure,
        epoch: ids::SourceEpoch,
        now: time::Instant,
    ) {
        if !self.is_stored(&departure.instance, departure.incarnation, epoch) {
            // Requires a write, also if an older epoch or an earlier process has stored the departure.
            self.held = self.held.take().filter(|held| held.epoch >= epoch);
            self.found.retain(|found| found.instance != departure.instance);
        }
        let member::Departure { instance, incarnation } = departure;
        let known = self.entries.shift_remove(&instance);
        let incarnation = known.map_or(incarnation, |known| known.incarnation.max(incarnation));
        if self.make_room(now) {
            self.entries.insert(instance, Entry { incarnation, heard: now });
        }
        self.publish(now);
    }

    /// Takes over departures from a record that a peer has of an earlier process. Nothing is known about
    /// whether the registry holds them.
    pub fn learn(&mut self, departed: &[member::Departure], now: time::Instant) {
        for member::Departure { instance, incarnation } in departed.iter().rev() {
            let entry = Entry { incarnation: *incarnation, heard: now };
            if let Some(known) = self.entries.get_mut(instance) {
                if known.incarnation < entry.incarnation {
                    *known = entry;
                }
            } else if self.make_room(now) {
                self.entries.shift_insert(0, instance.clone(), entry);
            }
        }
        self.publish(now);
    }

    /// Takes over what the registry has of this daemon, as of a lookup in a registry of `epoch`.
    ///
    /// These are all departures that were acknowledged, unless the registry was restored from an older
    /// copy since they were written: its epoch is newer then.
    pub fn learn_registered(
        &mut self,
        found: &lookup::Lookup,
        epoch: ids::SourceEpoch,
        now: time::Instant,
    ) {
        self.found.clear();
        self.is_known |= match found {
            lookup::Lookup::Absent => epoch <= EPOCH_FIRST,
            lookup::Lookup::Unreadable => false,
            lookup::Lookup::Found(found) => {
                self.learn(&found.departed, now);
                self.found.clone_from(&found.departed);
                found.epoch >= epoch.max(EPOCH_FIRST)
            }
        };
    }

    /// Returns the departures for the next write to the registry, of which `epoch` is the newest known one.
    /// Until [`Departures::confirm_write`] the registry holds these or what it held before.
    pub fn begin_write(&mut self, epoch: ids::SourceEpoch) -> lookup::Held {
        if let Some(held) = &mut self.held {
            let published = &self.published;
            held.departed.retain(|old| published.iter().any(|new| covers(new, old)));
        }
        lookup::Held { departed: self.published.clone(), epoch }
    }

    /// Notes that the registry has responded to the last write and has stated its epoch, 0 if it does not
    /// state any. Returns whether it holds what was written: a write that meets a restore may have been
    /// executed before it.
    pub fn confirm_write(&mut self, written: lookup::Held, stated: ids::SourceEpoch) -> bool {
        let is_held = stated == 0 || stated == written.epoch;
        if is_held {
            self.held = Some(written);
            self.found.clear();
        }
        is_held
    }

    /// Notes that time has passed: once no heartbeat can arrive any more that was sent before this process
    /// started, the departures of earlier processes no longer matter.
    pub fn expire(&mut self, now: time::Instant) {
        self.is_known |= self.is_history_over(now);
    }

    /// Returns whether no heartbeat can arrive any more that was sent before this process started.
    pub fn is_history_over(&self, now: time::Instant) -> bool {
        self.history.is_some_and(|history| history.is_over(now))
    }

    /// Returns whether an incarnation of a backend server has departed, as far as is known.
    pub fn contains(&self, instance: &str, incarnation: ids::Incarnation) -> bool {
        self.entries.get(instance).is_some_and(|departed| incarnation <= departed.incarnation)
    }

    /// Returns the time for which a heartbeat of `incarnation` cannot be accepted, as its sender may have
    /// departed from an earlier process.
    pub fn wait(&self, incarnation: ids::Incarnation, now: time::Instant) -> time::Duration {
        let history = self.history.filter(|_| !self.is_known);
        history.map_or(time::Duration::ZERO, |history| history.wait(incarnation, now))
    }

    /// Returns whether the departures that earlier processes have acknowledged are known, or no longer
    /// matter.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns whether a departure may be acknowledged: whether a registry of at least `epoch`, the newest
    /// known one, holds it.
    pub fn is_stored(
        &self,
        instance: &str,
        incarnation: ids::Incarnation,
        epoch: ids::SourceEpoch,
    ) -> bool {
        let held = self.held.as_ref().filter(|held| held.epoch >= epoch);
        let mut departed = held.into_iter().flat_map(|held| &held.departed);
        self.history.is_none()
            || departed.any(|held| &*held.instance == instance && incarnation <= held.incarnation)
    }

    /// Returns whether there are published departures to write: those that the registry was not known to
    /// hold, and reported ones that this process has not written. Those that a restore may have lost are
    /// not among them.
    pub fn has_unstored(&self) -> bool {
        let held = self.held.as_ref().map_or(&[][..], |held| &held.departed);
        let is_held = |new| held.iter().chain(&self.found).any(|old| covers(old, new));
        self.history.is_some() && !self.published.iter().all(is_held)
    }

    /// Returns the departures that the daemon publishes.
    pub fn published(&self) -> &[member::Departure] {
        &self.published
    }

    /// Returns the epoch that a registration may state in a registry of at least `epoch`: 0 while it may
    /// lack departures that an earlier process has acknowledged.
    pub fn registration_epoch(&self, epoch: ids::SourceEpoch) -> ids::SourceEpoch {
        if self.is_known { epoch.max(EPOCH_FIRST) } else { 0 }
    }

    /// Removes the oldest entry if there is no room for another. Returns whether there is room.
    fn make_room(&mut self, now: time::Instant) -> bool {
        if self.entries.len() < ENTRIES_MAX {
            return true;
        }
        let oldest = self.entries.values().position(|entry| !entry.is_recent(now));
        oldest.and_then(|index| self.entries.shift_remove_index(index)).is_some()
    }

    fn publish(&mut self, now: time::Instant) {
        let first = self.entries.len().saturating_sub(PUBLISHED_MIN);
        let entries = self.entries.iter().enumerate();
        let published =
            entries.filter(|(index, (_, entry))| *index >= first || entry.is_recent(now));
        self.published = published
            .map(|(_, (instance, entry))| member::Departure {
                instance: instance.clone(),
                incarnation: entry.incarnation,
            })
            .collect();
    }
}

impl Entry {
    fn is_recent(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.heard) < RETENTION
    }
}

/// Returns whether `departure` implies `other`.
fn covers(departure: &member::Departure, other: &member::Departure) -> bool {
    departure.instance == other.instance && departure.incarnation >= other.incarnation
}

#[cfg(test)]
mod tests;
