//! First contact: where daemons that know nobody find the others.

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
    /// Where a daemon is reached for control messages.
    #[derive(Eq)]
    pub struct Contact {
        /// Name of the daemon.
        pub daemon: ids::DaemonName,
        /// Address for control messages.
        pub control: net::SocketAddr,
    }
}

/// A place outside the fleet that keeps one contact a daemon.
pub trait Directory: Send + Sync + 'static {
    /// Enters or replaces the contact of a daemon.
    ///
    /// # Errors
    ///
    /// Says that the directory does not answer; the entry may have been made.
    fn enter(
        &self,
        contact: &Contact,
    ) -> impl future::Future<Output = Result<(), platform_log::Unavailable>> + Send;

    /// Returns all contacts; some may be of daemons that are gone.
    ///
    /// # Errors
    ///
    /// Says that the directory does not answer, or not in a way that can be read.
    fn contacts(
        &self,
    ) -> impl future::Future<Output = Result<Vec<Contact>, platform_log::Unavailable>> + Send;
}

/// Addresses to try besides the known members.
pub type Seeds = sync::Arc<sync::Mutex<Vec<net::SocketAddr>>>;

/// Makes first contact after a start, and again whenever a daemon has lost all others.
#[derive(Debug)]
pub struct FirstContact<C: clock::Clock, D: Directory> {
    /// Shared tables.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Where contacts are kept.
    pub directory: D,
    /// Addresses that the membership exchange tries.
    pub seeds: Seeds,
}

/// Pause between calls to a directory that does not answer, doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: time::Duration = time::Duration::from_millis(200);
/// Longest pause between calls to a directory that does not answer.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(2);
/// Time between looks at whether the daemon still knows others.
const LOOK_EVERY: time::Duration = time::Duration::from_secs(3);

impl<C: clock::Clock, D: Directory> FirstContact<C, D> {
    /// Enters the own contact, reads the others, and watches over both until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let own = {
            let members = self.shared.membership();
            let own = members.own();
            Contact { daemon: own.daemon.clone(), control: own.control }
        };
        // The entry comes first: of two daemons that start at once, one then sees the other.
        let mut pause = PAUSE_MIN;
        while let Err(error) = self.make_contact(&own).await {
            log::warn!(event = "directory", reason:% = error; "first contact failed");
            let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.0));
            if stop.run_until_cancelled(tokio::time::sleep(jittered)).await.is_none() {
                return;
            }
            pause = (pause * 2).min(PAUSE_MAX);
        }
        while stop.run_until_cancelled(tokio::time::sleep(LOOK_EVERY)).await.is_some() {
            let live = self.shared.membership().live_records(self.shared.now()).count();
            if live > 1 {
                continue;
            }
            if let Err(error) = self.read(&own).await {
                log::warn!(event = "directory", reason:% = error; "no other daemon is known");
            }
        }
    }

    async fn make_contact(&self, own: &Contact) -> Result<(), platform_log::Unavailable> {
        self.directory.enter(own).await?;
        self.read(own).await
    }

    async fn read(&self, own: &Contact) -> Result<(), platform_log::Unavailable> {
        let contacts = self.directory.contacts().await?;
        let others = contacts.into_iter().filter(|contact| contact.control != own.control);
        let others: Vec<net::SocketAddr> = others.map(|contact| contact.control).collect();
        log::info!(event = "directory", others = others.len(); "contacts read");
        *self.seeds.lock().unwrap_or_else(sync::PoisonError::into_inner) = others;
        Ok(())
    }
}
