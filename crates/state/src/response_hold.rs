//! How long an ingress waits for a complete response before it passes on what it has.
//!
//! A response that is held whole can be retried, or reported, if it is truncated. Waiting delays its
//! first byte, so large responses are held only for a part of the time that their caller allows.

use std::time;

/// Speed at which responses of a service arrive, each for itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Speed {
    measured: Option<Measured>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Measured {
    seconds_per_byte: f64,
    at: time::Instant,
}

/// What to do with a response of known length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Read it to its end before it is passed on.
    Hold,
    /// Read it for at most this time, then pass on what was read and stream the rest.
    HoldFor(time::Duration),
    /// Pass it on while it arrives.
    Stream,
}

/// Size in bytes up to which a response is always held whole. On the slowest links (11 Mbit/s) it
/// takes less than 50 ms.
pub const SMALL_SIZE: u64 = 64 * 1024;
/// Part of the time left for which a large response may be held: one in this many.
const TIME_PART: u32 = 4;
/// Age after which a measured speed is ignored. A slow measurement stops responses from being held,
/// and thereby measured, so it must expire for a faster link to be noticed.
const MEASUREMENT_AGE_MAX: time::Duration = time::Duration::from_secs(5);
/// Weight of a new measurement.
const NEW_WEIGHT: f64 = 0.25;
/// Smallest response whose speed is measured, in bytes. The time of smaller ones is mostly latency.
const MEASURED_SIZE_MIN: u64 = 16 * 1024;

impl Speed {
    /// Records that `bytes` of a response arrived within `elapsed`.
    pub fn record(&mut self, bytes: u64, elapsed: time::Duration, now: time::Instant) {
        if bytes < MEASURED_SIZE_MIN {
            return;
        }
        let new = elapsed.as_secs_f64() / bytes as f64;
        let old = self.current(now).unwrap_or(new);
        let seconds_per_byte = old + (new - old) * NEW_WEIGHT;
        self.measured = Some(Measured { seconds_per_byte, at: now });
    }

    /// Decides on a response of `size` bytes. `objective_left` is the time left to the objective of
    /// its route, if it has one, and `time_left` the time left to the deadline.
    pub fn plan(
        &self,
        size: u64,
        objective_left: Option<time::Duration>,
        time_left: time::Duration,
        now: time::Instant,
    ) -> Plan {
        if size <= SMALL_SIZE {
            return Plan::Hold;
        }
        let objective_left = objective_left.filter(|left| !left.is_zero());
        let longest = objective_left.map_or(time_left, |left| left.min(time_left)) / TIME_PART;
        let expected = self.current(now).map(|seconds| seconds * size as f64);
        if longest.is_zero() || expected.is_some_and(|e| e > longest.as_secs_f64()) {
            return Plan::Stream;
        }
        Plan::HoldFor(longest)
    }

    fn current(&self, now: time::Instant) -> Option<f64> {
        let is_recent = |m: &Measured| now.saturating_duration_since(m.at) <= MEASUREMENT_AGE_MAX;
        self.measured.filter(is_recent).map(|measured| measured.seconds_per_byte)
    }
}

#[cfg(test)]
mod tests;
