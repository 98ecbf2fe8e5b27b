//! Discovery of other daemons through a registry outside the fleet, for daemons that know no other
//! live member.

use std::future;
use std::net;
use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::shared_state;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::platform_log;

lynxmast_state::value! {
    /// Address of one daemon for control messages.
    #[derive(Eq)]
    pub struct Endpoint {
        /// Name of the daemon.
        pub daemon: ids::DaemonName,
        /// Address for control messages.
        pub control: net::SocketAddr,
    }
}

/// Contents of the registry.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Directory {
    /// Registered endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Epoch of the registry that holds them; 0 if unknown.
    pub epoch: ids::SourceEpoch,
}

/// Registry outside the fleet that keeps one endpoint per daemon.
pub trait Discovery: Send + Sync + 'static {
    /// Registers the endpoint of a daemon, replacing an earlier one. Returns the epoch of the
    /// registry that holds it; 0 if unknown.
    ///
    /// # Errors
    ///
    /// Fails when the registry does not respond; the endpoint may have been registered anyway.
    fn register(
        &self,
        endpoint: &Endpoint,
    ) -> impl future::Future<Output = Result<ids::SourceEpoch, platform_log::PlatformError>> + Send;

    /// Returns all registered endpoints, which may include those of daemons that are gone.
    ///
    /// # Errors
    ///
    /// Fails when the registry does not respond or its response is malformed.
    fn endpoints(
        &self,
    ) -> impl future::Future<Output = Result<Directory, platform_log::PlatformError>> + Send;
}

/// Addresses of daemons that gossip contacts in addition to the known members.
pub type Seeds = sync::Arc<sync::Mutex<Vec<net::SocketAddr>>>;

/// Registers a daemon at its first start, and again if a restore of the registry has lost the
/// endpoint. Looks up seeds at the start and whenever no other daemon is live.
#[derive(Debug)]
pub struct Bootstrap<C: clock::Clock, D: Discovery> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Registry of the daemons' endpoints.
    pub discovery: D,
    /// Seeds to update.
    pub seeds: Seeds,
}

/// Backoff after the first failed call; doubles with each further one up to [`BACKOFF_MAX`].
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(200);
/// Longest backoff after a failed call.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(2);
/// Time between checks of whether the registry was restored. A check is local.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Checks before the second lookup if no other daemon is live: others may have started at the same
/// time and have registered since.
const CHECKS_FIRST: u32 = 2;
/// Checks between two lookups while no other daemon is live.
const CHECKS_PER_LOOKUP: u32 = 12;
/// Time over which the daemons spread their calls after a restore of the registry, which limits the
/// calls that it accepts per second.
const RESTORE_SPREAD: time::Duration = time::Duration::from_millis(1500);

impl<C: clock::Clock, D: Discovery> Bootstrap<C, D> {
    /// Looks up seeds and registers this daemon's endpoint. Then keeps the endpoint registered, and
    /// looks up seeds again whenever no other daemon is live, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let own = {
            let membership = self.shared.membership();
            let own = membership.own_record();
            Endpoint { daemon: own.daemon.clone(), control: own.control }
        };
        let mut backoff = BACKOFF_MIN;
        let registered = loop {
            match self.join(&own).await {
                Ok(epoch) => break epoch,
                Err(error) => {
                    log::warn!(event = "directory", reason:% = error; "registration or lookup failed");
                }
            }
            let jittered = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
            if stop.run_until_cancelled(tokio::time::sleep(jittered)).await.is_none() {
                return;
            }
            backoff = (backoff * 2).min(BACKOFF_MAX);
        };
        stop.run_until_cancelled(self.maintain(&own, registered)).await;
    }

    /// Keeps the endpoint registered, and looks up seeds while no other daemon is live. `registered`
    /// is the epoch of the registry that holds the endpoint.
    async fn maintain(&self, own: &Endpoint, mut registered: ids::SourceEpoch) {
        let mut checks = 0_u32;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            checks = checks.wrapping_add(1);
            let newest = self.adopt_epoch();
            let is_alone =
                self.shared.membership().live_records(self.shared.now()).nth(1).is_none();
            let result = if newest > registered {
                let delay = rand::rng().random_range(time::Duration::ZERO..RESTORE_SPREAD);
                tokio::time::sleep(delay).await;
                let repaired = self.repair_registration(own).await;
                // A registry that does not state its epoch is assumed to have the newest one.
                repaired.map(|epoch| registered = if epoch == 0 { newest } else { epoch })
            } else if is_alone
                && (checks == CHECKS_FIRST || checks.is_multiple_of(CHECKS_PER_LOOKUP))
            {
                self.refresh_seeds(own).await.map(drop)
            } else {
                Ok(())
            };
            if let Err(error) = result {
                log::warn!(event = "directory", reason:% = error; "registration or lookup failed");
            }
        }
    }

    /// Takes over the newest epoch of the registry known to any daemon, and returns it. Most daemons
    /// make no calls to the registry and learn of a restore from their peers.
    fn adopt_epoch(&self) -> ids::SourceEpoch {
        let mut membership = self.shared.membership();
        let newest = membership.source_epoch();
        membership.advance_source_epoch(newest);
        newest
    }

    /// Registers the endpoint again if the registry has lost it. Returns the epoch of the registry
    /// that holds it.
    async fn repair_registration(
        &self,
        own: &Endpoint,
    ) -> Result<ids::SourceEpoch, platform_log::PlatformError> {
        let directory = self.refresh_seeds(own).await?;
        if directory.endpoints.contains(own) {
            return Ok(directory.epoch);
        }
        log::info!(event = "directory"; "registering the endpoint again after a restore");
        self.discovery.register(own).await
    }

    /// Looks up seeds, and registers the endpoint unless an earlier process of the daemon has done
    /// so. Returns the epoch of the registry that holds it.
    async fn join(&self, own: &Endpoint) -> Result<ids::SourceEpoch, platform_log::PlatformError> {
        let directory = self.refresh_seeds(own).await?;
        if directory.endpoints.contains(own) {
            return Ok(directory.epoch);
        }
        let epoch = self.discovery.register(own).await?;
        if directory.endpoints.is_empty() {
            // Of the first daemons that start at the same time, at least one finds the others.
            self.refresh_seeds(own).await?;
        }
        Ok(epoch)
    }

    /// Looks up the registered endpoints and takes those of the other daemons as seeds.
    async fn refresh_seeds(
        &self,
        own: &Endpoint,
    ) -> Result<Directory, platform_log::PlatformError> {
        let directory = self.discovery.endpoints().await?;
        let others = directory.endpoints.iter().filter(|endpoint| endpoint.control != own.control);
        let others: Vec<net::SocketAddr> = others.map(|endpoint| endpoint.control).collect();
        log::info!(event = "directory", others = others.len(); "looked up other daemons");
        *self.seeds.lock().unwrap_or_else(sync::PoisonError::into_inner) = others;
        Ok(directory)
    }
}
