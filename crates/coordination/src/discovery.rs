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

/// Registry outside the fleet that keeps one endpoint per daemon.
pub trait Discovery: Send + Sync + 'static {
    /// Registers the endpoint of a daemon, replacing an earlier one.
    ///
    /// # Errors
    ///
    /// Fails when the registry does not respond; the endpoint may have been registered anyway.
    fn register(
        &self,
        endpoint: &Endpoint,
    ) -> impl future::Future<Output = Result<(), platform_log::PlatformError>> + Send;

    /// Returns all registered endpoints, which may include those of daemons that are gone.
    ///
    /// # Errors
    ///
    /// Fails when the registry does not respond or its response is malformed.
    fn endpoints(
        &self,
    ) -> impl future::Future<Output = Result<Vec<Endpoint>, platform_log::PlatformError>> + Send;
}

/// Addresses of daemons that gossip contacts in addition to the known members.
pub type Seeds = sync::Arc<sync::Mutex<Vec<net::SocketAddr>>>;

/// Registers a daemon at its start and looks up seeds, at the start and whenever no other daemon is
/// live.
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
/// Time between checks of whether any other daemon is live.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(3);

impl<C: clock::Clock, D: Discovery> Bootstrap<C, D> {
    /// Registers this daemon's endpoint and looks up seeds, then looks up seeds again whenever no
    /// other daemon is live, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let own = {
            let membership = self.shared.membership();
            let own = membership.own_record();
            Endpoint { daemon: own.daemon.clone(), control: own.control }
        };
        // Registers before looking up others, so that of two daemons that start at the same time
        // at least one finds the other.
        let mut backoff = BACKOFF_MIN;
        while let Err(error) = self.register(&own).await {
            log::warn!(event = "directory", reason:% = error; "registration or lookup failed");
            let jittered = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
            if stop.run_until_cancelled(tokio::time::sleep(jittered)).await.is_none() {
                return;
            }
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        while stop.run_until_cancelled(tokio::time::sleep(CHECK_INTERVAL)).await.is_some() {
            let live = self.shared.membership().live_records(self.shared.now()).count();
            if live > 1 {
                continue;
            }
            if let Err(error) = self.refresh_seeds(&own).await {
                log::warn!(event = "directory", reason:% = error; "lookup of other daemons failed");
            }
        }
    }

    async fn register(&self, own: &Endpoint) -> Result<(), platform_log::PlatformError> {
        self.discovery.register(own).await?;
        self.refresh_seeds(own).await
    }

    async fn refresh_seeds(&self, own: &Endpoint) -> Result<(), platform_log::PlatformError> {
        let endpoints = self.discovery.endpoints().await?;
        let others = endpoints.into_iter().filter(|endpoint| endpoint.control != own.control);
        let others: Vec<net::SocketAddr> = others.map(|endpoint| endpoint.control).collect();
        log::info!(event = "directory", others = others.len(); "looked up other daemons");
        *self.seeds.lock().unwrap_or_else(sync::PoisonError::into_inner) = others;
        Ok(())
    }
}
