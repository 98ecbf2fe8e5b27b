//! Asks the daemon before this one in the tree of [`membership::Relay`] for confirmations of the policy.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::membership;
use tokio_util::sync::CancellationToken;

use crate::confirmations;
use crate::peer_sync;

/// Keeps this daemon's policy confirmed by its peers.
#[derive(Debug)]
pub struct ConfirmationRelay<C: clock::Clock> {
    /// Fetches newer versions of the policy, and has the state and the client.
    pub peers: peer_sync::PeerSync<C>,
    /// Confirmations of this daemon's policy.
    pub confirmations: sync::Arc<confirmations::Confirmations<C>>,
}

/// Time between checks for a daemon to ask, and between messages if the last one brought nothing new.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl<C: clock::Clock> ConfirmationRelay<C> {
    /// Asks for confirmations until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let is_newer = match self.peers.shared.relay().parent {
                Some(parent) => tokio::select! {
                    is_newer = self.ask(&parent) => is_newer,
                    () = self.search_timeout() => {
                        self.confirmations.suspect(&parent.daemon);
                        false
                    }
                    () = self.confirmations.until_suspected(&parent.daemon) => false,
                    () = stop.cancelled() => return,
                },
                None => false,
            };
            if !is_newer {
                stop.run_until_cancelled(tokio::time::sleep(RETRY_INTERVAL)).await;
            }
        }
    }

    /// Asks `parent` once. Returns whether it has confirmed the policy more recently than known.
    async fn ask(&self, parent: &membership::Parent) -> bool {
        let shared = &self.peers.shared;
        let sent = shared.boot_time();
        let age = {
            let mut freshness = shared.freshness();
            freshness.ask(&parent.daemon, sent);
            freshness.age(sent)
        };
        let version = shared.policy().version;
        let response = self.peers.client.confirm(parent.control, version, age).await;
        let Ok(confirmation) = response else {
            self.confirmations.suspect(&parent.daemon);
            return false;
        };
        if confirmation.version > version {
            self.peers.sync_from(parent.control).await;
            self.confirmations.notify();
        }
        // The response was sent at least `held` after the message, whatever its way has taken.
        let as_of = confirmation.age.and_then(|age| (sent + confirmation.held).checked_sub(age));
        let has_version = shared.policy().version >= confirmation.version;
        let as_of = as_of.filter(|_| has_version);
        as_of.is_some_and(|as_of| self.confirmations.confirm(&parent.daemon, as_of))
    }

    /// Waits until another daemon is to be asked; forever if the response should be awaited.
    async fn search_timeout(&self) {
        let timeout = self.peers.shared.freshness().ask_timeout();
        match timeout {
            Some(timeout) => tokio::time::sleep(timeout).await,
            None => std::future::pending().await,
        }
    }
}
