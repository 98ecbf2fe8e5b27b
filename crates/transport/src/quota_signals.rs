//! Signals between the requests that wait for tokens of a quota and the task that borrows these.

use tokio::sync;

/// Signals of one daemon.
#[derive(Debug, Default)]
pub struct QuotaSignals {
    /// Notified when an ask for tokens is due.
    pub ask: sync::Notify,
    /// Notified when a response to an ask has been applied.
    pub granted: sync::Notify,
}
