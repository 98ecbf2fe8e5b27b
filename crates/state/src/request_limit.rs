//! Limit on the requests per second to one upstream, which the upstream names in its responses.

use std::fmt;
use std::str;
use std::time;

use crate::token_bucket;

/// Admits requests to one upstream within its limit; without a limit it admits all.
///
/// # Examples
///
/// ```
/// use lynxmast_state::request_limit;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut limiter = request_limit::RequestLimiter::default();
/// assert_eq!(limiter.wait(1, now), Duration::ZERO);
/// limiter.set_limit(Some(2.0), now);
/// assert_eq!(limiter.wait(1, now), Duration::from_millis(500));
/// ```
#[derive(Debug, Default)]
pub struct RequestLimiter {
    bucket: Option<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Requests per second that the upstream names.
    limit: f64,
    tokens: token_bucket::TokenBucket,
}

value! {
    /// What the limit of an upstream leaves for further requests, as its sidecar reports it.
    #[derive(Copy)]
    pub struct Room {
        /// Requests per second.
        pub rate: f64,
        /// Time until another request may start.
        pub wait: time::Duration,
    }
}

/// Lowest rate in requests per second at which an upstream is tried, whatever its limit: only a
/// response can raise the limit again.
const RATE_MIN: f64 = 0.2;
/// Time for which an unused limit is saved up, in addition to one request. Covers the interval at
/// which sidecars look for queued requests that may start.
const BURST_TIME_S: f64 = 0.2;

impl RequestLimiter {
    /// Changes the limit. A new limit starts without tokens, as requests were not counted before.
    pub fn set_limit(&mut self, limit: Option<f64>, now: time::Instant) {
        let Some(limit) = limit else {
            self.bucket = None;
            return;
        };
        let rate = limit.max(RATE_MIN);
        let burst = 1.0 + rate * BURST_TIME_S;
        match &mut self.bucket {
            Some(bucket) => {
                bucket.limit = limit;
                bucket.tokens.set_rate(rate, burst, now);
            }
            None => {
                let mut tokens = token_bucket::TokenBucket::new(rate, burst, now);
                tokens.charge(burst, now);
                self.bucket = Some(Bucket { limit, tokens });
            }
        }
    }

    /// Returns the limit that the upstream names, in requests per second.
    pub fn limit(&self) -> Option<f64> {
        self.bucket.as_ref().map(|bucket| bucket.limit)
    }

    /// Returns the time until `requests` further requests may have started.
    pub fn wait(&self, requests: usize, now: time::Instant) -> time::Duration {
        let bucket = self.bucket.as_ref();
        bucket.map_or(time::Duration::ZERO, |bucket| bucket.tokens.wait(requests as f64, now))
    }

    /// Counts a request that starts, whether or not the limit allows it.
    pub fn charge(&mut self, now: time::Instant) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens.charge(1.0, now);
        }
    }

    /// Returns the room for a request behind `queued` others; `None` without a limit.
    pub fn room(&self, queued: usize, now: time::Instant) -> Option<Room> {
        let rate = self.limit()?.max(RATE_MIN);
        Some(Room { rate, wait: self.wait(queued + 1, now) })
    }
}

impl fmt::Display for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.rate, self.wait.as_micros())
    }
}

/// The text is not of the form that `Display` writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseRoomError;

impl str::FromStr for Room {
    type Err = ParseRoomError;

    /// Parses `rate/wait`, the form that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (rate, wait) = text.split_once('/').ok_or(ParseRoomError)?;
        let rate: f64 = rate.parse().map_err(|_| ParseRoomError)?;
        let wait = wait.parse().map(time::Duration::from_micros).map_err(|_| ParseRoomError)?;
        let is_valid = rate.is_finite() && rate > 0.0;
        is_valid.then_some(Room { rate, wait }).ok_or(ParseRoomError)
    }
}

#[cfg(test)]
mod tests;
