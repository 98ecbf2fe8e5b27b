//! Time of the last byte from a sidecar.

use std::sync;
use std::time;

/// Time at which bytes were last read from a connection.
#[derive(Debug)]
pub struct LastRead(sync::Mutex<time::Instant>);

/// Time without a byte after which a connection with outstanding requests counts as silent: a ping
/// and its response are overdue.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

impl LastRead {
    /// Returns the record of a connection that opens now.
    pub fn new() -> Self {
        Self(sync::Mutex::new(time::Instant::now()))
    }

    /// Records that bytes were read.
    pub fn record(&self) {
        *self.0.lock().unwrap_or_else(sync::PoisonError::into_inner) = time::Instant::now();
    }

    /// Waits until no bytes have been read for [`SILENCE_TIMEOUT`]. Only the time from now on counts,
    /// as an idle connection receives nothing.
    pub async fn silence(&self) {
        let start = time::Instant::now();
        loop {
            let last = *self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
            let due = last.max(start) + SILENCE_TIMEOUT;
            if due <= time::Instant::now() {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
        }
    }
}
