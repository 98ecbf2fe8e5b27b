//! Wakes the tasks that wait for the departures of local backend servers to be stored in the registry
//! outside the fleet.
//!
//! The sidecar records departures and acknowledges them. The coordination layer stores them, and looks up
//! those that earlier processes of the daemon have stored.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::departures;
use lynxmast_state::departures::lookup;
use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::shared_state;
use tokio::sync::watch;

/// Departures of a daemon, which are part of its membership, and the tasks that wait for them.
#[derive(Debug)]
pub struct DepartureTracker<C> {
    shared: sync::Arc<shared_state::SharedState<C>>,
    changed: watch::Sender<()>,
}

impl<C: clock::Clock> DepartureTracker<C> {
    /// Returns the tracker of a daemon that has just started; see [`departures::Departures::new`].
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        history: Option<departures::history::History>,
    ) -> Self {
        let initial = departures::Departures::new(history);
        shared.membership().update_departures(|departures, _| *departures = initial);
        Self { shared, changed: watch::Sender::new(()) }
    }

    /// Records a departure that a local backend server has reported.
    pub fn record(&self, departure: member::Departure) {
        let now = self.shared.now();
        self.update(|departures, epoch| departures.record(departure, epoch, now));
    }

    /// Takes over the result of a lookup in a registry of `epoch`.
    pub fn learn_registered(&self, found: &lookup::Lookup, epoch: ids::SourceEpoch) {
        let now = self.shared.now();
        self.update(|departures, known| {
            departures.learn_registered(found, if epoch == 0 { known } else { epoch }, now);
        });
    }

    /// Returns the departures to write to a registry of at least `epoch`, and the newest known epoch.
    pub fn begin_write(&self, epoch: ids::SourceEpoch) -> lookup::Held {
        self.update(|departures, known| departures.begin_write(epoch.max(known)))
    }

    /// Notes that the registry has responded to the last write and has stated its epoch, 0 if it does not
    /// state any. Returns whether it holds what was written.
    pub fn confirm_write(&self, written: lookup::Held, stated: ids::SourceEpoch) -> bool {
        self.shared.membership().advance_source_epoch(stated);
        self.update(|departures, _| departures.confirm_write(written, stated))
    }

    /// Lets the departures of earlier processes lapse once they no longer matter.
    pub fn expire(&self) {
        if !self.is_known() {
            let now = self.shared.now();
            self.update(|departures, _| departures.expire(now));
        }
    }

    /// Returns whether an incarnation of a backend server has departed, as far as is known.
    pub fn contains(&self, instance: &str, incarnation: ids::Incarnation) -> bool {
        self.shared.membership().departures().contains(instance, incarnation)
    }

    /// Returns whether the departures acknowledged by earlier processes are known, or no longer matter.
    pub fn is_known(&self) -> bool {
        self.shared.membership().departures().is_known()
    }

    /// Returns whether there is a departure that the registry was never known to hold.
    pub fn has_unstored(&self) -> bool {
        self.shared.membership().departures().has_unstored()
    }

    /// Waits until there is a departure that the registry was never known to hold. Those that are learned
    /// from peers meanwhile don't end the wait.
    pub async fn await_unstored(&self) {
        self.await_condition(|departures, _| departures.has_unstored()).await;
    }

    /// Waits until the registry holds a departure, for at most `timeout`. Returns whether it does.
    pub async fn await_stored(
        &self,
        instance: &str,
        incarnation: ids::Incarnation,
        timeout: time::Duration,
    ) -> bool {
        let stored = self.await_condition(|departures, epoch| {
            departures.is_stored(instance, incarnation, epoch)
        });
        tokio::time::timeout(timeout, stored).await.is_ok()
    }

    /// Waits until the departures acknowledged by earlier processes are known or no longer matter, for at
    /// most `timeout`.
    pub async fn await_known(&self, timeout: time::Duration) {
        let known = self.await_condition(|departures, _| departures.is_known());
        let _ = tokio::time::timeout(timeout, known).await;
    }

    fn update<R>(
        &self,
        change: impl FnOnce(&mut departures::Departures, ids::SourceEpoch) -> R,
    ) -> R {
        let result = self.shared.membership().update_departures(change);
        self.changed.send_replace(());
        result
    }

    async fn await_condition(
        &self,
        condition: impl Fn(&departures::Departures, ids::SourceEpoch) -> bool,
    ) {
        let mut changed = self.changed.subscribe();
        let holds = || {
            let membership = self.shared.membership();
            condition(membership.departures(), membership.source_epoch())
        };
        // The sender outlives the receiver, as `self` holds it.
        while !holds() && changed.changed().await.is_ok() {}
    }
}
