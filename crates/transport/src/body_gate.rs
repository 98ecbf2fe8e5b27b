//! Bounds the bytes of request bodies in flight to one backend server.

use std::sync;

use lynxmast_state::body_window;
use lynxmast_state::outcome;
use tokio::sync::oneshot;

/// Bytes of request bodies in flight to one backend server. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct BodyGate {
    window: sync::Arc<sync::Mutex<body_window::BodyWindow<oneshot::Sender<BodyPermit>>>>,
}

/// Permit for a request body to be in flight, until it is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    gate: BodyGate,
    size: u64,
    limit: u64,
}

impl BodyGate {
    /// Waits until a body of `size` bytes may be in flight beside the others, all with at most `limit`
    /// bytes.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if too many bytes wait already.
    pub async fn enter(&self, size: u64, limit: u64) -> Result<BodyPermit, outcome::Rejection> {
        let (sender, receiver) = oneshot::channel();
        let entry = {
            let mut window = self.lock();
            window.retain(|waiting| !waiting.is_closed());
            window.enter(size, limit, sender)
        };
        match entry {
            body_window::Entry::Granted => Ok(BodyPermit { gate: self.clone(), size, limit }),
            body_window::Entry::Full => Err(outcome::Rejection::QueueFull),
            body_window::Entry::Waiting => {
                receiver.await.map_err(|_| outcome::Rejection::QueueFull)
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, body_window::BodyWindow<oneshot::Sender<BodyPermit>>> {
        self.window.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let granted = self.gate.lock().release(self.size, self.limit);
        for (size, sender) in granted {
            // If the request no longer waits, the permit is returned and dropped here.
            let _ = sender.send(BodyPermit { gate: self.gate.clone(), size, limit: self.limit });
        }
    }
}
