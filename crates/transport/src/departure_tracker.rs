//! Departures of local backend servers, and whether a registry outside the fleet has them.
//!
//! The sidecar records departures. The coordination layer stores them in the registry, and learns from it
//! those that earlier processes of the daemon have stored.

use std::time;

use tokio::sync::watch;

/// Progress of a daemon's departures.
#[derive(Debug)]
pub struct DepartureTracker {
    progress: watch::Sender<Progress>,
}

#[derive(Debug, Clone, Copy)]
struct Progress {
    /// Number of departures recorded by this process.
    recorded: u64,
    /// Number of them that the registry has; `None` without a registry.
    stored: Option<u64>,
    /// Whether the departures that earlier processes have acknowledged are known, or no longer matter.
    is_known: bool,
}

impl Progress {
    fn has_stored(&self, count: u64) -> bool {
        self.stored.is_none_or(|stored| stored >= count)
    }
}

impl DepartureTracker {
    /// Returns the tracker of a daemon that has just started. Without a registry, all departures count as
    /// stored and those of earlier processes as known.
    pub fn new(has_registry: bool) -> Self {
        let progress =
            Progress { recorded: 0, stored: has_registry.then_some(0), is_known: !has_registry };
        Self { progress: watch::Sender::new(progress) }
    }

    /// Counts a departure that has been recorded in the membership.
    pub fn count(&self) {
        self.progress.send_modify(|progress| progress.recorded += 1);
    }

    /// Returns the number of departures that have been recorded.
    pub fn recorded(&self) -> u64 {
        self.progress.borrow().recorded
    }

    /// Notes that the registry has the first `count` departures.
    pub fn mark_stored(&self, count: u64) {
        self.progress.send_modify(|progress| {
            progress.stored = progress.stored.map(|stored| stored.max(count));
        });
    }

    /// Notes that the departures acknowledged by earlier processes are in the membership, or that no
    /// heartbeat can arrive any more that was sent before them.
    pub fn mark_known(&self) {
        self.progress.send_if_modified(|progress| !std::mem::replace(&mut progress.is_known, true));
    }

    /// Returns whether the departures acknowledged by earlier processes are known, or no longer matter.
    pub fn is_known(&self) -> bool {
        self.progress.borrow().is_known
    }

    /// Waits until there is a departure that the registry does not have.
    pub async fn await_unstored(&self) {
        self.await_progress(|progress| !progress.has_stored(progress.recorded)).await;
    }

    /// Waits until the registry has all departures recorded so far, for at most `timeout`. Returns
    /// whether it has them.
    pub async fn await_stored(&self, timeout: time::Duration) -> bool {
        let recorded = self.recorded();
        let stored = self.await_progress(|progress| progress.has_stored(recorded));
        tokio::time::timeout(timeout, stored).await.is_ok()
    }

    /// Waits until the departures acknowledged by earlier processes are known or no longer matter, for at
    /// most `timeout`.
    pub async fn await_known(&self, timeout: time::Duration) {
        let known = self.await_progress(|progress| progress.is_known);
        let _ = tokio::time::timeout(timeout, known).await;
    }

    async fn await_progress(&self, condition: impl Fn(&Progress) -> bool) {
        // The sender outlives the receiver, as `self` holds it.
        let _ = self.progress.subscribe().wait_for(|progress| condition(progress)).await;
    }
}
