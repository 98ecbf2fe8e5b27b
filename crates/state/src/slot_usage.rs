//! What more urgent requests leave of an upstream's slots.
//!
//! Answers the load of a long burst in which the urgent requests alone fill the slots: whoever is
//! behind them in the queue is overtaken again and again, and would wait for nothing until its time
//! has passed. The length of the queue alone does not show this.

use std::collections;
use std::time;

use crate::priority;
use crate::statistics;

/// Slots lately given to requests, by their order.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{priority, slot_usage};
/// use std::time::{Duration, Instant};
///
/// let (start, mean) = (Instant::now(), Duration::from_millis(500));
/// let order = |rank| priority::Priority { rank, objective: None }.order(mean, start);
/// let mut usage = slot_usage::SlotUsage::default();
/// // Four a second of half a second each fill two slots.
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

/// Age at which a grant counts half: several of the times that a request takes, and well below the
/// length of a burst.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

impl SlotUsage {
    /// Counts a slot that was given to a request.
    pub fn record(&mut self, order: priority::Order, now: time::Instant) {
        let new = || statistics::MovingAverage::new(HALF_LIFE);
        self.grants.entry(order).or_insert_with(new).record(1.0, now);
    }

    /// Returns the part of `slots`, 0 to 1, that requests before `own` leave if they go on as they
    /// did, when each takes `mean` (Little's law).
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
