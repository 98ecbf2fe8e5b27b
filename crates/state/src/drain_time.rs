//! When a caller that was rejected for lack of capacity is to come back.

use std::time;

use crate::load;
use crate::statistics;

/// Rate at which the requests of one service are served and rejected at an ingress.
///
/// A caller that comes back before the queue is drained is rejected again, as are most of those that
/// come back together. The time until then is that of the queue, and of the requests that were
/// rejected recently and come back too, at the rate at which requests are served.
///
/// # Examples
///
/// ```
/// use lynxmast_state::drain_time;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut drain = drain_time::DrainTime::default();
/// assert_eq!(drain.retry_after(now), None);
/// (0..100).for_each(|_| drain.record_served(Duration::from_millis(200), now));
/// (0..50).for_each(|_| drain.record_rejected(now));
/// let soon = drain.retry_after(now).unwrap();
/// (0..200).for_each(|_| drain.record_rejected(now));
/// assert!(drain.retry_after(now).unwrap() > soon);
/// ```
#[derive(Debug)]
pub struct DrainTime {
    /// Time that requests run, in seconds.
    served: statistics::MovingAverage,
    /// Queued requests per slot at the upstreams that rejected one.
    queue: statistics::MovingAverage,
    rejected: statistics::MovingAverage,
}

/// Half-life of a request's weight, of the order of the times after which callers come back.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);
/// Weight of the served requests from which their rate is known.
const SERVED_MIN: f64 = 1.0;
/// Shortest time, the one that is told without any knowledge of the load. With 0.7 s, a service at
/// 110% rejected 0.36 times per request instead of 0.24, and callers were not served earlier.
const RETRY_AFTER_MIN: time::Duration = time::Duration::from_millis(1500);
/// Longest time. Capacity that comes back would be unused if all callers waited for longer.
const RETRY_AFTER_MAX: time::Duration = time::Duration::from_secs(6);

impl Default for DrainTime {
    fn default() -> Self {
        let average = || statistics::MovingAverage::new(HALF_LIFE);
        Self { served: average(), queue: average(), rejected: average() }
    }
}

impl DrainTime {
    /// Counts a request that was run for `elapsed`.
    pub fn record_served(&mut self, elapsed: time::Duration, now: time::Instant) {
        self.served.record(elapsed.as_secs_f64(), now);
    }

    /// Records the load of an upstream that rejected a request for lack of capacity.
    pub fn record_queue(&mut self, load: load::Load, now: time::Instant) {
        self.queue.record(f64::from(load.queued + 1) / f64::from(load.slots.max(1)), now);
    }

    /// Counts a request whose caller was told to come back.
    pub fn record_rejected(&mut self, now: time::Instant) {
        self.rejected.record(1.0, now);
    }

    /// Returns the time after which there is likely to be capacity for a caller that is rejected at
    /// `now`; `None` if too few requests were served to tell.
    pub fn retry_after(&self, now: time::Instant) -> Option<time::Duration> {
        let served = self.served.weight(now);
        if served < SERVED_MIN {
            return None;
        }
        let queue = self.queue.value().unwrap_or(0.0) * self.served.value().unwrap_or(0.0);
        // Both weights count the same period, so their ratio is that of the rates.
        let returning = HALF_LIFE.as_secs_f64() * self.rejected.weight(now) / served;
        let seconds = (queue + returning).min(RETRY_AFTER_MAX.as_secs_f64());
        Some(time::Duration::from_secs_f64(seconds).max(RETRY_AFTER_MIN))
    }
}

#[cfg(test)]
mod tests;
