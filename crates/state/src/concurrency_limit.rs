//! Limit of the requests that run at a time at an upstream that rejects some, below its slots.
//!
//! A backend server that states that it did not run a request has either no capacity for another
//! one, or rejects at random, however few requests it runs. In the first case fewer requests at a
//! time get as much done with fewer rejections, each of which costs a retry. In the second case
//! fewer requests at a time only waste slots, and a retry at another server succeeds.

use std::time;

use crate::statistics;

/// Adaptive limit of the requests that run at a time at one upstream.
///
/// Two rejections beside the same number of running requests, and none accepted beside as many in
/// between, lower the limit below that number; once it is lowered, one is enough. After a while without rejections, the limit grows
/// until it has no effect. If requests are accepted beside more others than those that are rejected,
/// their number is not the reason, and there is no limit.
///
/// # Examples
///
/// ```
/// use lynxmast_state::concurrency_limit;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut limit = concurrency_limit::ConcurrencyLimit::default();
/// let later = now + Duration::from_millis(300);
/// limit.record(true, 6, 9, now, now);
/// limit.record(true, 6, 9, later, later);
/// assert_eq!(limit.slots(9, later), 5);
/// assert_eq!(limit.slots(9, later + Duration::from_secs(1)), 9);
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// Requests that may run at a time, and when the last rejection was.
    lowered: Option<(u32, time::Instant)>,
    /// Smallest number of running requests beside which one was rejected. Kept for
    /// longer than the limit, as requests are sent beside as many only once the limit grows.
    smallest: Option<Smallest>,
    /// Rejections beside at least as many requests since one was accepted there.
    in_a_row: u32,
    /// Results of all requests: 1 for a rejection, 0 for any other response.
    rejected: statistics::MovingAverage,
    /// Results of the requests beside at least as many others as the smallest number.
    rejected_beside_more: statistics::MovingAverage,
    /// Whether requests are rejected whatever the number of others.
    rejects_at_random: bool,
}

/// Why an upstream rejects requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Cause {
    /// It rejects none, or too few to tell.
    #[default]
    None,
    /// It has no capacity for as many requests as it has slots.
    Capacity,
    /// It rejects requests whatever the number of those that it runs.
    Random,
}

#[derive(Debug, Clone, Copy)]
struct Smallest {
    running: u32,
    /// When the first request was rejected beside this number. What was sent before proves nothing.
    since: time::Instant,
    /// When the last request was rejected.
    last: time::Instant,
    /// When the first request was rejected, beside whatever number.
    first: time::Instant,
}

/// Half-life of a result's weight.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Time without a rejection after which the limit grows. The rejections that follow when there is
/// still no capacity are the price of noticing that there is capacity again.
const HOLD: time::Duration = time::Duration::from_millis(400);
/// Time in which the limit grows by all slots. With [`HOLD`], it has no effect a second after the
/// last rejection.
const GROWTH: time::Duration = time::Duration::from_millis(500);
/// Rejections in a row that lower the limit at first. A single one cannot be told from one at random.
const IN_A_ROW: u32 = 2;
/// Time after the first rejection before which the limit stays as it is. A rejection is known at once,
/// while the requests that were accepted beside it respond only after a service time. Without this
/// time, a server that rejects half of its arrivals at random ran 13% less in 8 s.
const JUDGED_AFTER: time::Duration = time::Duration::from_millis(250);
/// Half-life of the results beside many requests, of which there are few once the limit is lowered.
const BESIDE_MORE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// Weight of the requests accepted beside at least as many others as the smallest number from which
/// rejections are judged to be at random: two recent ones. A single one may be due to another
/// request that ended at the same time.
const ACCEPTED_MIN: f64 = 1.5;
/// Rate of rejection beside many requests below which rejections are at random. A server without
/// capacity accepts a few of them, as others end at the same time.
const RANDOM_RATE_MAX: f64 = 0.85;
/// Rate of rejection of all requests below which an upstream no longer counts as one that rejects at
/// random.
const RANDOM_END: f64 = 0.05;

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            lowered: None,
            smallest: None,
            in_a_row: 0,
            rejected: statistics::MovingAverage::new(HALF_LIFE),
            rejected_beside_more: statistics::MovingAverage::new(BESIDE_MORE_HALF_LIFE),
            rejects_at_random: false,
        }
    }
}

impl ConcurrencyLimit {
    /// Records a response, and whether it states that the upstream did not run the request.
    /// `sent` is when the request was sent, and `running` the number of requests at the upstream
    /// then, including it.
    pub fn record(
        &mut self,
        is_rejected: bool,
        running: u32,
        slots: u32,
        sent: time::Instant,
        now: time::Instant,
    ) {
        let result = f64::from(u32::from(is_rejected));
        self.rejected.record(result, now);
        let is_recent = |s: &Smallest| now.saturating_duration_since(s.last) < 2 * (HOLD + GROWTH);
        self.smallest = self.smallest.filter(is_recent);
        let is_beside_more = self
            .smallest
            .is_some_and(|smallest| running >= smallest.running && sent >= smallest.since);
        if is_beside_more {
            self.rejected_beside_more.record(result, now);
        }
        if is_rejected {
            self.record_rejection(running, slots, now);
        } else if is_beside_more {
            self.in_a_row = 0;
        }
        self.judge(now);
    }

    fn record_rejection(&mut self, running: u32, slots: u32, now: time::Instant) {
        let known = self.smallest.filter(|smallest| smallest.running <= running);
        let first = self.smallest.map_or(now, |smallest| smallest.first);
        let new = Smallest { running, since: now, last: now, first };
        self.smallest = Some(Smallest { last: now, ..known.unwrap_or(new) });
        self.in_a_row += 1;
        let is_lowered =
            self.lowered.is_some_and(|(_, at)| now.saturating_duration_since(at) < HOLD + GROWTH);
        let is_judged = now.saturating_duration_since(first) >= JUDGED_AFTER;
        if !is_lowered && (self.in_a_row < IN_A_ROW || !is_judged) {
            return;
        }
        // Requests that were sent before the limit fell are rejected after it.
        let limit = running.saturating_sub(1).min(self.slots(slots, now)).max(1);
        self.lowered = Some((limit, now));
    }

    fn judge(&mut self, now: time::Instant) {
        let rate = self.rejected_beside_more.value().unwrap_or(1.0);
        let accepted = (1.0 - rate) * self.rejected_beside_more.weight(now);
        if self.rejection_rate() < RANDOM_END || rate >= RANDOM_RATE_MAX {
            self.rejects_at_random = false;
        } else if accepted >= ACCEPTED_MIN {
            self.rejects_at_random = true;
        }
    }

    /// Returns how many of `slots` may be used.
    pub fn slots(&self, slots: u32, now: time::Instant) -> u32 {
        let Some((limit, at)) = self.lowered.filter(|_| !self.rejects_at_random) else {
            return slots;
        };
        let growing = now.saturating_duration_since(at).saturating_sub(HOLD);
        let grown = f64::from(slots) * growing.as_secs_f64() / GROWTH.as_secs_f64();
        (f64::from(limit) + grown).min(f64::from(slots)) as u32
    }

    /// Returns the fraction of recent requests that the upstream rejected.
    pub fn rejection_rate(&self) -> f64 {
        self.rejected.value().unwrap_or(0.0)
    }

    /// Returns why the upstream rejects requests. If at random, a retry elsewhere is worth more than
    /// a wait.
    pub fn cause(&self, slots: u32, now: time::Instant) -> Cause {
        match self.rejects_at_random {
            true => Cause::Random,
            false if self.slots(slots, now) < slots => Cause::Capacity,
            false => Cause::None,
        }
    }
}

impl Cause {
    /// Returns the name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::None => "none",
            Cause::Capacity => "capacity",
            Cause::Random => "random",
        }
    }
}

#[cfg(test)]
mod tests;
