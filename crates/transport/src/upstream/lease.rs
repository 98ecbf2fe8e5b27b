//! Lease of an upstream, which its backend server renews with each announcement.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::ids;

/// Data of the backend server's last announcement.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Incarnation of the backend server; each start has a larger one.
    pub incarnation: ids::Incarnation,
    /// Instance name of this incarnation, if it has one.
    pub instance: Option<ids::InstanceName>,
    /// Sequence number of the last announcement of this incarnation.
    pub sequence: u64,
    /// Number of slots, if announced.
    pub slots: Option<u32>,
    /// Time of the last announcement.
    pub renewed: time::Instant,
}

/// Newest lease, and what has been learned since that ends it.
#[derive(Debug)]
pub struct LeaseState {
    newest: sync::Mutex<Lease>,
    /// Whether another instance has responded at the address since the last announcement.
    is_revoked: atomic::AtomicBool,
    /// Whether the backend server has stated in a response that it is about to leave.
    is_leaving: atomic::AtomicBool,
}

impl LeaseState {
    /// Creates the state of a lease that has not been revoked.
    pub fn new(lease: Lease) -> Self {
        let newest = sync::Mutex::new(lease);
        Self { newest, is_revoked: Default::default(), is_leaving: Default::default() }
    }

    /// Returns the data of the last announcement.
    pub fn newest(&self) -> Lease {
        self.lock().clone()
    }

    /// Replaces the lease. Returns whether the new one belongs to a newer incarnation, which has not
    /// stated that it is about to leave.
    pub(super) fn renew(&self, lease: Lease) -> bool {
        self.is_revoked.store(false, atomic::Ordering::Release);
        let incarnation = lease.incarnation;
        let previous = std::mem::replace(&mut *self.lock(), lease);
        let is_newer = incarnation > previous.incarnation;
        if is_newer {
            self.is_leaving.store(false, atomic::Ordering::Release);
        }
        is_newer
    }

    /// Revokes the lease if it still belongs to `instance`; called when another instance has
    /// responded at the address. The next announcement renews the lease.
    pub fn revoke(&self, instance: Option<&ids::InstanceName>) {
        if self.lock().instance.as_ref() == instance {
            self.is_revoked.store(true, atomic::Ordering::Release);
        }
    }

    /// Returns whether the lease has ended: either `lease_duration` has passed without an
    /// announcement, or another instance has the address.
    pub fn is_expired(&self, lease_duration: time::Duration, now: time::Instant) -> bool {
        self.is_revoked.load(atomic::Ordering::Acquire)
            || now.saturating_duration_since(self.lock().renewed) >= lease_duration
    }

    /// Records that the backend server has stated in a response that it is about to leave. Returns
    /// whether this is new.
    pub(super) fn record_leaving(&self) -> bool {
        !self.is_leaving.swap(true, atomic::Ordering::AcqRel)
    }

    /// Returns the incarnation that has stated that it is about to leave, if it still has the
    /// address.
    pub fn leaving(&self) -> Option<ids::Incarnation> {
        let is_leaving = self.is_leaving.load(atomic::Ordering::Acquire);
        is_leaving.then(|| self.lock().incarnation)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Lease> {
        self.newest.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
