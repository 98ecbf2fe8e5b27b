//! Share of an upstream's slots that requests of higher priority use.
//!
//! In a long burst, requests of high priority alone can fill all slots. A request of lower priority
//! is then overtaken repeatedly and stays queued until its deadline passes. The queue length alone
//! does not predict this, so recent slot usage is tracked per priority.

use std::collections;
use std::time;

use crate::priority;
use crate::statistics;

/// Rate at which slots were recently taken, by priority order.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{priority, slot_usage};
/// use std::time::{Duration, Instant};
///
/// let (start, mean) = (Instant::now(), Duration::from_millis(500));
/// let order = |rank| priority::Priority { rank, objective: None, is_call: false }.order(mean, start);
/// let mut usage = slot_usage::SlotUsage::default();
/// // Four requests per second of half a second each fill two slots.
/// for number in 0..40 {
///     usage.record(order(0), start + Duration::from_millis(250) * number);
/// }
/// let now = start + Duration::from_secs(10);
/// assert!(usage.remaining_share(order(1), mean, 2, now) < 0.2);
/// assert_eq!(usage.remaining_share(order(0), mean, 2, now), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct SlotUsage {
    grants: collections::BTreeMap<priority::Order, statistics::MovingAverage>,
}

/// Half-life of a taken slot's weight: several service times, and well below the length of a burst.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

impl SlotUsage {
    /// Records that a request of `order` took a slot.
    pub fn record(&mut self, order: priority::Order, now: time::Instant) {
        let new = || statistics::MovingAverage::new(HALF_LIFE);
        self.grants.entry(order).or_insert_with(new).record(1.0, now);
    }

    /// Returns the fraction of `slots`, 0 to 1, that requests ahead of `order` leave free if they
    /// keep arriving at the recent rate and each runs for `mean` (Little's law).
    pub fn remaining_share(
        &self,
        order: priority::Order,
        mean: time::Duration,
        slots: u32,
        now: time::Instant,
    ) -> f64 {
        let higher = self.grants.range(..order).map(|(_, grants)| grants.weight(now));
        let rate = higher.sum::<f64>() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let used = rate * mean.as_secs_f64() / f64::from(slots.max(1));
        (1.0 - used).max(0.0)
    }
}
