//! Which kinds of requests take precedence at an upstream that is short of slots, and the bounds on
//! that.
//!
//! Calls of running requests go before new requests, since rejecting one wastes the work of its
//! parent. Without a bound, calls and urgent requests that fill all slots would leave nothing to
//! the others for as long as they keep coming.

use std::time;

use crate::priority;
use crate::statistics;

/// Arrivals and starts at one upstream by kind of request. A kind is a rank, and whether the request
/// is a call.
///
/// # Examples
///
/// ```
/// use lynxmast_state::{precedence, priority};
///
/// let now = std::time::Instant::now();
/// let call = priority::Priority { rank: 0, objective: None, is_call: true };
/// let download = priority::Priority { rank: 5, objective: None, is_call: false };
/// let mut shares = precedence::ServedShares::default();
/// assert_eq!(shares.precedence(now).class(&call), priority::Class::Call);
/// for _ in 0..20 {
///     shares.record_arrival(&call, now);
///     shares.record_start(&call, now);
///     shares.record_arrival(&download, now);
/// }
/// assert_eq!(shares.precedence(now).class(&download), priority::Class::Underserved);
/// ```
#[derive(Debug)]
pub struct ServedShares {
    kinds: [Option<Counts>; KINDS],
}

#[derive(Debug, Clone)]
struct Counts {
    arrivals: statistics::MovingAverage,
    starts: statistics::MovingAverage,
}

/// Classes of the kinds of requests at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Precedence {
    /// Bit set of the kinds that are served too seldom.
    underserved: u32,
    /// Bit set of the kinds of calls that do not go before new requests.
    held_back: u32,
}

/// Half-life of an arrival's weight. Shares have to hold over an overload of some seconds.
const HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// Fraction of the served share of all requests below which a kind is underserved. Callers need a
/// quarter; the margin covers the time until a share that has fallen below this recovers.
const SHARE_MIN: f64 = 0.35;
/// Excess of the served share of a kind of calls over that of more urgent new requests from which
/// the calls do not go first. Callers accept 0.05.
const EXCESS_MAX: f64 = 0.03;
/// Weight of recent arrivals from which a share is known well enough to act on it.
const ARRIVALS_MIN: f64 = 4.0;
/// Ranks from this one on are counted together, so that the state is bounded.
const RANK_MAX: u32 = 15;
const RANKS: usize = RANK_MAX as usize + 1;
const KINDS: usize = 2 * RANKS;

impl Default for ServedShares {
    fn default() -> Self {
        Self { kinds: [const { None }; KINDS] }
    }
}

impl ServedShares {
    /// Counts a request that needs a slot.
    pub fn record_arrival(&mut self, priority: &priority::Priority, now: time::Instant) {
        self.counts(priority).arrivals.record(1.0, now);
    }

    /// Counts a request that has taken a slot.
    pub fn record_start(&mut self, priority: &priority::Priority, now: time::Instant) {
        self.counts(priority).starts.record(1.0, now);
    }

    /// Returns which kinds take precedence at `now`.
    pub fn precedence(&self, now: time::Instant) -> Precedence {
        let weights = self.kinds.each_ref().map(|counts| {
            let counts = counts.as_ref();
            counts.map_or((0.0, 0.0), |c| (c.arrivals.weight(now), c.starts.weight(now)))
        });
        let arrivals: f64 = weights.iter().map(|(arrivals, _)| arrivals).sum();
        let starts: f64 = weights.iter().map(|(_, starts)| starts).sum();
        let share = |kind: usize| {
            let (arrivals, starts) = weights[kind];
            (arrivals >= ARRIVALS_MIN).then(|| starts / arrivals)
        };
        let share_min = SHARE_MIN * starts / arrivals.max(1.0);
        let mut precedence = Precedence::default();
        // Lowest served share among the new requests of the ranks visited so far.
        let mut urgent_share = f64::INFINITY;
        for rank in 0..RANKS {
            let (new, call) = (rank, rank + RANKS);
            for kind in [new, call] {
                let is_underserved = share(kind).is_some_and(|share| share < share_min);
                precedence.underserved |= u32::from(is_underserved) << kind;
            }
            let is_ahead = share(call).is_some_and(|share| share > urgent_share + EXCESS_MAX);
            precedence.held_back |= u32::from(is_ahead) << call;
            urgent_share = urgent_share.min(share(new).unwrap_or(f64::INFINITY));
        }
        precedence
    }

    fn counts(&mut self, priority: &priority::Priority) -> &mut Counts {
        self.kinds[kind(priority)].get_or_insert_with(|| Counts {
            arrivals: statistics::MovingAverage::new(HALF_LIFE),
            starts: statistics::MovingAverage::new(HALF_LIFE),
        })
    }
}

impl Precedence {
    /// Returns the class of a request.
    pub fn class(self, priority: &priority::Priority) -> priority::Class {
        let bit = 1_u32 << kind(priority);
        if self.underserved & bit != 0 {
            priority::Class::Underserved
        } else if priority.is_call && self.held_back & bit == 0 {
            priority::Class::Call
        } else {
            priority::Class::New
        }
    }
}

fn kind(priority: &priority::Priority) -> usize {
    priority.rank.min(RANK_MAX) as usize + if priority.is_call { RANKS } else { 0 }
}

#[cfg(test)]
mod tests;
