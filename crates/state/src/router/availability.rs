//! Number of upstreams of a service that an ingress selects or leaves out, for metrics.

use std::time;

use crate::router;

/// Upstreams of one service at one ingress, by the first reason that excludes them from selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Availability {
    /// Selected without restriction.
    pub selectable: u32,
    /// Backed off from, as their sidecars could not be used.
    pub backed_off: u32,
    /// Far slower than the median.
    pub slow: u32,
    /// Suspected of failing by their sidecars.
    pub suspected: u32,
    /// Without room within the limits that they name.
    pub limited: u32,
}

impl Availability {
    /// Returns the counts with the names of their states.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::router;
    /// let availability = router::Availability { slow: 2, ..Default::default() };
    /// assert!(availability.by_state().contains(&("slow", 2)));
    /// ```
    pub fn by_state(&self) -> [(&'static str, u32); 5] {
        [
            ("selectable", self.selectable),
            ("backed-off", self.backed_off),
            ("slow", self.slow),
            ("suspected", self.suspected),
            ("limited", self.limited),
        ]
    }
}

impl router::Pool {
    /// Counts the upstreams by state. Exclusions that the floor overrides are counted too.
    pub(super) fn availability(&self, now: time::Instant) -> Availability {
        let median = self.median_latency(now);
        let mut availability = Availability::default();
        for upstream in self.upstreams.values() {
            let is_suspected =
                upstream.detector.as_ref().is_some_and(|detector| detector.is_suspected(now));
            let count = if upstream.backoff.is_active(now) {
                &mut availability.backed_off
            } else if !upstream.is_fast(median, now) {
                &mut availability.slow
            } else if is_suspected {
                &mut availability.suspected
            } else if !upstream.limit_wait(now).is_zero() {
                &mut availability.limited
            } else {
                &mut availability.selectable
            };
            *count += 1;
        }
        availability
    }
}
