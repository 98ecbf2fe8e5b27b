//! How far the requests of an organisation may exceed its quota in any window.

use std::time;

use crate::quota;

value! {
    /// In any `window`, at most (rate x window + burst) x (1 + `excess`) + `slack` requests of an
    /// organisation run in the whole fleet.
    #[derive(Copy)]
    pub struct Bounds {
        /// Length of the window.
        pub window: time::Duration,
        /// Fraction by which the quota may be exceeded.
        pub excess: f64,
        /// Number of requests by which the quota may be exceeded in addition to `excess`.
        pub slack: f64,
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self { window: time::Duration::from_secs(5), excess: 0.1, slack: 20.0 }
    }
}

/// Fraction of what the bounds allow beyond the quota that is added to the owner's bucket. The rest
/// covers the varying time between the admission and the run of a request, and daemons that regard
/// each other as silent at different times.
const CAPACITY_FRACTION: f64 = 0.5;

impl Bounds {
    /// Returns the number of requests that may run in one window.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::quota::{self, bounds};
    /// let limit = quota::Limit { rate: 10.0, burst: 10.0 };
    /// assert!((bounds::Bounds::default().runs_max(&limit) - 86.0).abs() < 1e-9);
    /// ```
    pub fn runs_max(&self, limit: &quota::Limit) -> f64 {
        self.within_quota(limit) * (1.0 + self.excess) + self.slack
    }

    /// Returns the capacity of the owner's token bucket.
    pub fn capacity(&self, limit: &quota::Limit) -> f64 {
        let beyond = self.runs_max(limit) - self.within_quota(limit);
        limit.burst + CAPACITY_FRACTION * beyond
    }

    fn within_quota(&self, limit: &quota::Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

#[cfg(test)]
mod tests;
