//! Token bucket that does not read a clock; the current time is passed in.

use std::time;

/// Admits `rate` units per second on average and bursts of at most `burst` units.
///
/// # Examples
///
/// ```
/// use lynxmast_state::token_bucket;
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut bucket = token_bucket::TokenBucket::new(2.0, 1.0, start);
/// assert!(bucket.take(1.0, start));
/// assert!(!bucket.take(1.0, start));
/// assert!(bucket.take(1.0, start + Duration::from_millis(500)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: time::Instant,
}

impl TokenBucket {
    /// Returns a full bucket; `rate` is in units per second, `burst` in units.
    pub fn new(rate: f64, burst: f64, now: time::Instant) -> Self {
        Self { rate, burst, tokens: burst, updated: now }
    }

    /// Takes `amount` units and returns `true` if that many are available; otherwise takes none.
    pub fn take(&mut self, amount: f64, now: time::Instant) -> bool {
        self.refill(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }

    /// Takes `amount` units whether or not that many are available; missing ones are owed.
    pub fn charge(&mut self, amount: f64, now: time::Instant) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Returns the time until `amount` units will have been available if no others are taken,
    /// however large the burst is.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::token_bucket;
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut bucket = token_bucket::TokenBucket::new(2.0, 1.0, now);
    /// assert_eq!(bucket.wait(1.0, now), Duration::ZERO);
    /// bucket.charge(2.0, now);
    /// assert_eq!(bucket.wait(1.0, now), Duration::from_secs(1));
    /// ```
    pub fn wait(&self, amount: f64, now: time::Instant) -> time::Duration {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        let missing = (amount - tokens).max(0.0);
        time::Duration::try_from_secs_f64(missing / self.rate).unwrap_or(time::Duration::MAX)
    }

    /// Changes the rate and the burst; available units are kept, up to the new burst.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: time::Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.updated = self.updated.max(now);
    }
}
