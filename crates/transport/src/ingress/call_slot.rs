//! What an ingress knows of a request that counts as a call of a local backend server.

use std::sync;
use std::sync::atomic;

use lynxmast_state::parent_admission;
use lynxmast_state::running;

/// Parent of a call.
#[derive(Debug)]
pub struct Parent {
    /// Running request that has made the call.
    pub running: running::Running,
    /// Value for [`record_call_end`](crate::sidecar::Sidecar::record_call_end).
    pub held_back: parent_admission::HeldBack,
}

/// Number of requests under way that count as calls, shared between the requests of an ingress.
pub type CallCount = sync::Arc<atomic::AtomicUsize>;

/// Place of a request among those that count as calls; given up when it is dropped.
#[derive(Debug)]
pub struct CallSlot {
    count: CallCount,
    /// Most urgent rank of the requests that may have made the call.
    pub rank: u32,
}

impl CallSlot {
    /// Takes a place if fewer than `limit` are taken.
    pub fn take(count: &CallCount, limit: usize, rank: u32) -> Option<Self> {
        let increment = |taken: usize| (taken < limit).then_some(taken + 1);
        let ordering = atomic::Ordering::Relaxed;
        count.fetch_update(ordering, ordering, increment).ok()?;
        Some(Self { count: count.clone(), rank })
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
