//! Requests that crash the backend servers that run them.

use std::sync;
use std::time;

use bytes::Bytes;

/// Requests that crash all starts of a server.
#[derive(Debug, Clone)]
pub struct CrashingRequests {
    trigger: Trigger,
    rate: f64,
    arrivals: sync::Arc<sync::Mutex<Vec<time::Instant>>>,
}

impl CrashingRequests {
    /// Requests that crash the server in a fraction `rate` of their runs.
    pub fn new(trigger: Trigger, rate: f64) -> Self {
        Self { trigger, rate, arrivals: Default::default() }
    }

    /// Returns the times at which such requests arrived at a server.
    pub fn arrivals(&self) -> Vec<time::Instant> {
        lock(&self.arrivals).clone()
    }

    /// Records an arrival if the request is one of these. Returns the probability that it crashes
    /// the server.
    pub fn record_arrival(&self, path: &str, body: &[u8]) -> f64 {
        if !self.trigger.matches(path, body) {
            return 0.0;
        }
        lock(&self.arrivals).push(time::Instant::now());
        self.rate
    }
}

/// Requests that crash the server.
#[derive(Debug, Clone, PartialEq)]
pub enum Trigger {
    /// Requests to this path.
    Path(&'static str),
    /// Requests with this body.
    Body(Bytes),
}

impl Trigger {
    /// Returns whether a request with this path and body crashes the server.
    pub fn matches(&self, path: &str, body: &[u8]) -> bool {
        match self {
            Trigger::Path(trigger) => path == *trigger,
            Trigger::Body(trigger) => body == trigger,
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
