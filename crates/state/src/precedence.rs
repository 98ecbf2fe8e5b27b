//! What more urgent requests leave of an upstream's slots.
//!
//! Answers the load of a long burst in which the urgent requests alone fill the slots: whoever is
//! behind them in the queue is overtaken again and again, and would wait for nothing until its time
//! has passed. The length of the queue alone does not show this.

use std::collections;
use std::time;

use crate::latency;
use crate::urgency;

/// Slots lately given to requests, by their order.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{precedence, urgency};
/// use std::time::{Duration, Instant};
///
/// let (start, mean) = (Instant::now(), Duration::from_millis(500));
/// let order = |rank| urgency::Urgency { rank, objective: None }.order(mean, start);
/// let mut grants = precedence::Grants::default();
/// // Four a second of half a second each fill two slots.
/// for number in 0..40 {
///     grants.record(order(0), start + Duration::from_millis(250) * number);
/// }
/// let now = start + Duration::from_secs(10);
/// assert!(grants.room(order(1), mean, 2, now) < 0.2);
/// assert_eq!(grants.room(order(0), mean, 2, now), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct Grants {
    by_order: collections::BTreeMap<urgency::Order, latency::Average>,
}

/// Age at which a grant counts half: several of the times that a request takes, and well below the
/// length of a burst.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

impl Grants {
    /// Counts a slot that was given to a request.
    pub fn record(&mut self, order: urgency::Order, now: time::Instant) {
        let new = || latency::Average::new(HALF_LIFE);
        self.by_order.entry(order).or_insert_with(new).record(1.0, now);
    }

    /// Returns the part of `slots`, 0 to 1, that requests before `own` leave if they go on as they
    /// did, when each takes `mean` (Little's law).
    pub fn room(
        &self,
        own: urgency::Order,
        mean: time::Duration,
        slots: u32,
        now: time::Instant,
    ) -> f64 {
        let before = self.by_order.range(..own).map(|(_, grants)| grants.weight(now));
        let rate = before.sum::<f64>() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let taken = rate * mean.as_secs_f64() / f64::from(slots.max(1));
        (1.0 - taken).max(0.0)
    }
}
