//! Confirmations of this daemon's policy, for its own follower and for the daemons that ask it.

use std::sync;
use std::time;

use lynxmast_protocol::control;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::membership;
use lynxmast_state::shared_state;
use tokio::sync::watch;

/// Newest confirmation of the policy; wakes the tasks that wait for a newer one.
#[derive(Debug)]
pub struct Confirmations<C> {
    shared: sync::Arc<shared_state::SharedState<C>>,
    changed: watch::Sender<()>,
}

/// Longest time for which a message of another daemon is held; longer than the interval between
/// confirmations.
pub const HOLD_MAX: time::Duration = time::Duration::from_millis(1100);
/// Smallest gain in age for which a held message is answered.
const GAIN_MIN: time::Duration = time::Duration::from_millis(50);

impl<C: clock::Clock> Confirmations<C> {
    /// Returns the confirmations of the daemon with this state.
    pub fn new(shared: sync::Arc<shared_state::SharedState<C>>) -> Self {
        Self { shared, changed: watch::Sender::new(()) }
    }

    /// Records a read of the source that succeeded, see
    /// [`lynxmast_state::freshness::Freshness::record_read`].
    pub fn record_read(&self, as_of: time::Instant) {
        let now = self.shared.boot_time();
        let suspected = self.shared.freshness().record_read(as_of, now);
        if let Some(peer) = suspected {
            log_lost(&peer, "no newer confirmation");
        }
        self.changed.send_replace(());
    }

    /// Asks another peer than `peer`, which has not responded, for a while.
    pub fn suspect(&self, peer: &ids::DaemonName) {
        let now = self.shared.boot_time();
        self.shared.freshness().suspect(peer.clone(), now);
        log_lost(peer, "no response");
    }

    /// Records what another daemon has confirmed. Returns whether that is newer than what was known.
    pub fn confirm(&self, peer: &ids::DaemonName, as_of: time::Instant) -> bool {
        let now = self.shared.boot_time();
        let is_newer = self.shared.freshness().confirm(peer, as_of, now);
        self.changed.send_replace(());
        is_newer
    }

    /// Wakes the waiting tasks after the policy has changed.
    pub fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Waits until the policy is newer than `version`, or its newest confirmation is newer than one of
    /// the given age, but at most for [`HOLD_MAX`].
    pub async fn next(
        &self,
        version: ids::PolicyVersion,
        age: Option<time::Duration>,
    ) -> control::Confirmation {
        let received = self.shared.boot_time();
        let mut changed = self.changed.subscribe();
        let timeout = tokio::time::sleep(HOLD_MAX);
        tokio::pin!(timeout);
        let mut is_over = false;
        loop {
            let now = self.shared.boot_time();
            let held = now.saturating_duration_since(received);
            let own_age = self.shared.freshness().age(now);
            // Read last: a version that becomes active meanwhile is newer than the age says, never older.
            let own_version = self.shared.policy().version;
            let is_gain = |own| age.is_none_or(|age| own + GAIN_MIN <= age + held);
            if is_over || own_version > version || own_age.is_some_and(is_gain) {
                return control::Confirmation { version: own_version, age: own_age, held };
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = &mut timeout => is_over = true,
            }
        }
    }

    /// Waits until this daemon must read the source, see
    /// [`lynxmast_state::freshness::Freshness::read_due`].
    pub async fn until_read_due(&self, relay: &membership::Relay, is_waiting: bool) {
        while let Some(left) = self.time_to_read(relay, is_waiting).filter(|left| !left.is_zero()) {
            tokio::time::sleep(left).await;
        }
    }

    /// Returns the time left until this daemon must read the source; `None` if the policy was never
    /// confirmed.
    fn time_to_read(&self, relay: &membership::Relay, is_waiting: bool) -> Option<time::Duration> {
        let now = self.shared.boot_time();
        let due = self.shared.freshness().read_due(relay, is_waiting, now)?;
        Some(due.saturating_duration_since(now))
    }

    /// Waits until `peer` is suspected.
    pub async fn until_suspected(&self, peer: &ids::DaemonName) {
        let mut changed = self.changed.subscribe();
        let is_suspected = || {
            let now = self.shared.boot_time();
            self.shared.freshness().suspects(now).contains(peer)
        };
        while !is_suspected() && changed.changed().await.is_ok() {}
    }
}

fn log_lost(peer: &str, reason: &str) {
    metrics::counter!("lynxmast_confirming_peers_lost_total").increment(1);
    log::info!(event = "confirmation-lost", peer, reason; "another daemon is asked to confirm the policy");
}

#[cfg(test)]
mod tests;
