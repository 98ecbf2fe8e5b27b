//! Sizes of response bodies to expect, learned per route.

use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::time;

use crate::policy::route;
use crate::statistics;

/// Identifies a route of the policy in [`ResponseSizes`].
pub type RouteKey = u64;

/// Moving average of the size of response bodies per route, for a bounded number of routes.
///
/// # Examples
///
/// ```
/// use lynxmast_state::response_size;
/// use std::time::Instant;
///
/// let mut sizes = response_size::ResponseSizes::default();
/// assert_eq!(sizes.expected(7), 0);
/// sizes.record(7, 90_000, Instant::now());
/// assert_eq!(sizes.expected(7), 90_000);
/// ```
#[derive(Debug, Default)]
pub struct ResponseSizes {
    /// Routes recorded since `recent` was last full.
    recent: collections::HashMap<RouteKey, statistics::MovingAverage>,
    /// Routes recorded before that, of which those recorded again move to `recent`.
    earlier: collections::HashMap<RouteKey, statistics::MovingAverage>,
}

/// Number of routes after which those not recorded meanwhile are dropped; at most twice as many are
/// kept.
const ROUTES_MAX: usize = 512;
/// Half-life of a sample: sizes of a route vary more between requests than over time.
const HALF_LIFE: time::Duration = time::Duration::from_secs(60);

impl ResponseSizes {
    /// Records the size in bytes of a response body of a route.
    pub fn record(&mut self, route: RouteKey, size: u64, now: time::Instant) {
        if let Some(average) = self.recent.get_mut(&route) {
            return average.record(size as f64, now);
        }
        if self.recent.len() >= ROUTES_MAX {
            self.earlier = std::mem::take(&mut self.recent);
        }
        let known = self.earlier.remove(&route);
        let mut average = known.unwrap_or_else(|| statistics::MovingAverage::new(HALF_LIFE));
        average.record(size as f64, now);
        self.recent.insert(route, average);
    }

    /// Returns the expected size in bytes of a response body of a route; 0 if it is unknown.
    pub fn expected(&self, route: RouteKey) -> u64 {
        let known = self.recent.get(&route).or_else(|| self.earlier.get(&route));
        known.and_then(statistics::MovingAverage::value).map_or(0, |size| size as u64)
    }
}

/// Returns the key of a route whose requests are served by `service`. It does not change with other
/// settings of the route.
pub fn route_key(service: &str, route: &route::Route) -> RouteKey {
    let mut hasher = hash::DefaultHasher::new();
    (service, &route.host, &route.path, &route.methods).hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
