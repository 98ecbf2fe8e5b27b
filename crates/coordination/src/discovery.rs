//! Registry outside the fleet: daemons that know no other live member find others in it, and it keeps what
//! binds the next process of a daemon.

use std::future;
use std::net;
use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::departures::lookup;
use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::revision;
use lynxmast_state::shared_state;
use lynxmast_transport::departure_tracker;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::platform_log;

lynxmast_state::value! {
    /// Registration of one daemon.
    #[derive(Eq)]
    pub struct Registration {
        /// Name of the daemon.
        pub daemon: ids::DaemonName,
        /// Address for control messages.
        pub control: net::SocketAddr,
        /// Backend servers on the daemon's VM whose departures it has acknowledged, or is about to.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub departed: Vec<member::Departure>,
        /// Newest epoch of the registry known to the daemon when it registered, at least 1. 0 if the
        /// registration may lack departures that an earlier process has acknowledged.
        #[serde(default)]
        pub epoch: ids::SourceEpoch,
        /// Revision of the registration; 0 in those of older daemons.
        #[serde(default)]
        pub revision: revision::Revision,
    }
}

/// Contents of the registry.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Directory {
    /// Registrations of all daemons.
    pub registrations: Vec<Registration>,
    /// Daemons whose registrations cannot be decoded.
    pub unreadable: Vec<ids::DaemonName>,
    /// Epoch of the registry that holds them; 0 if unknown.
    pub epoch: ids::SourceEpoch,
}

/// Registry outside the fleet that keeps one registration per daemon.
pub trait Discovery: Send + Sync + 'static {
    /// Registers a daemon, replacing an earlier registration. A registration with a lower revision than
    /// an earlier one has no effect, whenever the registry executes it. Returns the epoch of the registry
    /// that holds it; 0 if unknown.
    ///
    /// # Errors
    ///
    /// Fails with [`Outdated`](platform_log::PlatformError::Outdated) if the registry has had a higher
    /// revision, and when it does not respond; the daemon may have been registered anyway in that case.
    fn register(
        &self,
        registration: &Registration,
    ) -> impl future::Future<Output = Result<ids::SourceEpoch, platform_log::PlatformError>> + Send;

    /// Returns all registrations, which may include those of daemons that are gone.
    ///
    /// # Errors
    ///
    /// Fails when the registry does not respond or its response is malformed.
    fn registrations(
        &self,
    ) -> impl future::Future<Output = Result<Directory, platform_log::PlatformError>> + Send;
}

/// Addresses of daemons that gossip contacts in addition to the known members.
pub type Seeds = sync::Arc<sync::Mutex<Vec<net::SocketAddr>>>;

/// Registers a daemon at its first start, when a backend server departs, and again if a restore of the
/// registry has lost the registration. Looks up seeds at the start and whenever no other daemon is live.
#[derive(Debug)]
pub struct Bootstrap<C: clock::Clock, D: Discovery> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Registry of the daemons.
    pub discovery: D,
    /// Seeds to update.
    pub seeds: Seeds,
    /// Departures to store.
    pub departures: sync::Arc<departure_tracker::DepartureTracker<C>>,
    /// Revisions of the registrations.
    pub revisions: revision::Revisions,
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
    /// Looks up seeds, learns what earlier processes of the daemon have registered, and registers this
    /// one. Then keeps the registration, and looks up seeds again whenever no other daemon is live, until
    /// `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut backoff = BACKOFF_MIN;
        let registered = loop {
            match self.join().await {
                Ok(epoch) => break epoch,
                Err(error) => log_failure(error),
            }
            if stop.run_until_cancelled(wait_jittered(backoff)).await.is_none() {
                return;
            }
            backoff = (backoff * 2).min(BACKOFF_MAX);
        };
        stop.run_until_cancelled(self.maintain(registered)).await;
    }

    /// Keeps the daemon registered with all its departures, and looks up seeds while no other daemon is
    /// live. `registered` is the epoch of the registry that holds the registration.
    async fn maintain(&mut self, mut registered: ids::SourceEpoch) {
        let mut is_incomplete = !self.departures.is_known();
        let mut checks = 0_u32;
        let mut next_check = tokio::time::Instant::now() + CHECK_INTERVAL;
        let mut backoff = BACKOFF_MIN;
        loop {
            let is_departure = tokio::select! {
                () = tokio::time::sleep_until(next_check) => false,
                () = self.departures.await_unstored() => true,
            };
            if is_departure {
                match self.register(registered).await {
                    Ok(epoch) => {
                        registered = registered.max(epoch);
                        backoff = BACKOFF_MIN;
                    }
                    Err(error) => {
                        log_failure(error);
                        wait_jittered(backoff).await;
                        backoff = (backoff * 2).min(BACKOFF_MAX);
                    }
                }
                continue;
            }
            next_check = tokio::time::Instant::now() + CHECK_INTERVAL;
            checks = checks.wrapping_add(1);
            let newest = self.adopt_epoch();
            let is_alone =
                self.shared.membership().live_records(self.shared.now()).nth(1).is_none();
            let result = if newest > registered {
                let delay = rand::rng().random_range(time::Duration::ZERO..RESTORE_SPREAD);
                tokio::time::sleep(delay).await;
                let repaired = self.repair_registration().await;
                // A registry that does not state its epoch is assumed to have the newest one.
                repaired.map(|epoch| registered = if epoch == 0 { newest } else { epoch })
            } else if is_incomplete && self.departures.is_known() {
                let completed = self.register(registered).await;
                completed.map(|epoch| {
                    registered = registered.max(epoch);
                    is_incomplete = false;
                })
            } else if is_alone
                && (checks == CHECKS_FIRST || checks.is_multiple_of(CHECKS_PER_LOOKUP))
            {
                self.refresh_seeds().await.map(drop)
            } else {
                Ok(())
            };
            if let Err(error) = result {
                log_failure(error);
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

    /// Registers the daemon again if the registry has lost its registration. Returns the epoch of the
    /// registry that holds it.
    async fn repair_registration(
        &mut self,
    ) -> Result<ids::SourceEpoch, platform_log::PlatformError> {
        let directory = self.refresh_seeds().await?;
        self.learn_departures(&directory);
        self.complete_registration(&directory).await
    }

    /// Looks up seeds, learns the departures that earlier processes of the daemon have registered, and
    /// completes the registration. Returns the epoch of the registry that holds it.
    async fn join(&mut self) -> Result<ids::SourceEpoch, platform_log::PlatformError> {
        let directory = self.refresh_seeds().await?;
        self.learn_departures(&directory);
        let epoch = self.complete_registration(&directory).await?;
        if directory.registrations.is_empty() {
            // Of the first daemons that start at the same time, at least one finds the others.
            self.refresh_seeds().await?;
        }
        Ok(epoch)
    }

    /// Takes over the departures in the daemon's registration.
    fn learn_departures(&self, directory: &Directory) {
        let own = self.shared.membership().own_record().daemon.clone();
        let found = match self.find_own(directory) {
            Some(found) => lookup::Lookup::Found(lookup::Held {
                departed: found.departed.clone(),
                epoch: found.epoch,
            }),
            None if directory.unreadable.contains(&own) => lookup::Lookup::Unreadable,
            None => lookup::Lookup::Absent,
        };
        self.departures.learn_registered(&found, directory.epoch);
        if !self.departures.is_known() {
            log::warn!(
                event = "directory",
                epoch = directory.epoch;
                "the registration may lack departures of earlier processes"
            );
        }
    }

    /// Registers the daemon unless the directory has all of its registration. Returns the epoch of the
    /// registry that holds it.
    async fn complete_registration(
        &mut self,
        directory: &Directory,
    ) -> Result<ids::SourceEpoch, platform_log::PlatformError> {
        let control = self.shared.membership().own_record().control;
        let is_registered = self.find_own(directory).is_some_and(|found| found.control == control);
        if is_registered && !self.departures.has_unstored() {
            return Ok(directory.epoch);
        }
        self.register(directory.epoch).await
    }

    /// Registers the daemon with its departures, in a registry of at least `epoch`. Returns the epoch of
    /// the registry that holds the registration; 0 if it does not state any.
    async fn register(
        &mut self,
        epoch: ids::SourceEpoch,
    ) -> Result<ids::SourceEpoch, platform_log::PlatformError> {
        let written = self.departures.begin_write(epoch);
        let revision = self.revisions.next(self.shared.clock.wall());
        let registration = self.registration(&written, revision);
        let registered = self.discovery.register(&registration).await;
        if registered == Err(platform_log::PlatformError::Outdated) {
            self.revisions.skip();
        }
        let epoch = registered?;
        if !self.departures.confirm_write(written, epoch) {
            return Err(platform_log::PlatformError::Restored);
        }
        log::info!(
            event = "directory",
            departed = registration.departed.len(),
            epoch;
            "registered this daemon"
        );
        Ok(epoch)
    }

    fn registration(&self, written: &lookup::Held, revision: revision::Revision) -> Registration {
        let membership = self.shared.membership();
        let own = membership.own_record();
        Registration {
            daemon: own.daemon.clone(),
            control: own.control,
            departed: written.departed.clone(),
            epoch: membership.departures().registration_epoch(written.epoch),
            revision,
        }
    }

    fn find_own<'a>(&self, directory: &'a Directory) -> Option<&'a Registration> {
        let own = self.shared.membership().own_record().daemon.clone();
        directory.registrations.iter().find(|registration| registration.daemon == own)
    }

    /// Looks up the registrations and takes the addresses of the other daemons as seeds.
    async fn refresh_seeds(&mut self) -> Result<Directory, platform_log::PlatformError> {
        let directory = self.discovery.registrations().await?;
        if let Some(found) = self.find_own(&directory) {
            self.revisions.observe(found.revision);
        }
        let own = self.shared.membership().own_record().control;
        let controls = directory.registrations.iter().map(|registration| registration.control);
        let others: Vec<net::SocketAddr> = controls.filter(|control| *control != own).collect();
        log::info!(event = "directory", others = others.len(); "looked up other daemons");
        *self.seeds.lock().unwrap_or_else(sync::PoisonError::into_inner) = others;
        Ok(directory)
    }
}

/// Waits for half of `backoff` to all of it.
async fn wait_jittered(backoff: time::Duration) {
    let jittered = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
    tokio::time::sleep(jittered).await;
}

fn log_failure(error: platform_log::PlatformError) {
    log::warn!(event = "directory", reason:% = error; "registration or lookup failed");
}
