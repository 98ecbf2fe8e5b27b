//! Whether the backend server of an upstream still runs, found out by connecting to it.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::outcome;

use crate::upstream;

/// Signs of life of a backend server.
#[derive(Debug)]
pub struct Liveness {
    /// Last check whether the backend server still runs.
    check: tokio::sync::Mutex<Option<Check>>,
    /// Incarnation that was last found to have crashed; 0 if none was.
    crashed: sync::Mutex<ids::Incarnation>,
    /// Last time at which the backend server responded or accepted a connection.
    last_response: sync::Mutex<time::Instant>,
}

/// Result of connecting to a backend server.
#[derive(Debug, Clone, Copy)]
struct Check {
    started: time::Instant,
    is_running: bool,
}

/// Time within which a running backend server on the same VM accepts a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time for which a backend server that does not accept connections counts as not running.
const DOWNTIME_MIN: time::Duration = time::Duration::from_millis(500);

impl Liveness {
    /// Creates the state of a backend server that has just announced itself.
    pub fn new(now: time::Instant) -> Self {
        let last_response = sync::Mutex::new(now);
        Self { check: Default::default(), crashed: Default::default(), last_response }
    }

    /// Records that the backend server runs.
    pub fn record_response(&self, now: time::Instant) {
        *lock(&self.last_response) = now;
    }

    /// Records a crash. Returns whether that of this incarnation was not known.
    fn record_crash(&self, incarnation: ids::Incarnation) -> bool {
        std::mem::replace(&mut *lock(&self.crashed), incarnation) != incarnation
    }
}

impl<C: clock::Clock> upstream::Upstream<C> {
    /// Waits until the backend server is found to have crashed. It is checked each time it has
    /// given no sign of life for `silence`.
    pub async fn silent_crash(&self, silence: time::Duration) {
        let mut since = self.now();
        loop {
            tokio::time::sleep(silence).await;
            let last_response = *lock(&self.liveness.last_response);
            if last_response < since && self.find_crash().await.is_some() {
                return;
            }
            since = self.now();
        }
    }

    /// Finds out whether the backend server has crashed, after a connection to it was lost. Returns
    /// the incarnation that crashed, or `None` if it still runs or has announced its departure.
    pub async fn find_crash(&self) -> Option<ids::Incarnation> {
        let incarnation = self.lease.newest().incarnation;
        if self.is_draining() || self.is_running().await {
            return None;
        }
        if self.liveness.record_crash(incarnation) {
            metrics::counter!("lynxmast_upstream_crashes_total").increment(1);
            log::warn!(
                event = "upstream-crashed",
                upstream:% = self.id,
                incarnation,
                in_flight = self.in_flight.len();
                "upstream ended without announcing its departure"
            );
        }
        Some(incarnation)
    }

    /// Returns whether the backend server accepts connections. Requests that ask at the same time
    /// share one connection, which is kept for the next request.
    async fn is_running(&self) -> bool {
        let asked = self.now();
        let mut last = self.liveness.check.lock().await;
        let is_valid = |check: &Check| match check.is_running {
            true => check.started >= asked,
            false => asked.saturating_duration_since(check.started) < DOWNTIME_MIN,
        };
        if let Some(check) = last.filter(is_valid) {
            return check.is_running;
        }
        let started = self.now();
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.pool.connect());
        let is_running = match connecting.await {
            Ok(Ok(connection)) => {
                self.pool.add_idle(connection);
                self.liveness.record_response(self.now());
                true
            }
            // The connections in use prove nothing, but neither does their number.
            Ok(Err(outcome::Rejection::QueueFull)) => true,
            Ok(Err(_)) | Err(_) => false,
        };
        *last = Some(Check { started, is_running });
        is_running
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
