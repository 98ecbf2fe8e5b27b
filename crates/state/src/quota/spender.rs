//! Spends the tokens that owners have lent to one ingress, and decides about its requests.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids;
use crate::quota;
use crate::quota::message;
use crate::quota::owner;

/// Tokens of one ingress, by organisation.
#[derive(Debug, Default)]
pub struct Spender {
    organisations: IndexMap<ids::OrganisationName, Usage>,
    /// Organisations for which an ask may be due.
    due: IndexSet<ids::OrganisationName>,
}

/// Decision about one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request runs; it has spent a token.
    Admit,
    /// The request waits until the next grant arrives, but not after the time given.
    Wait(time::Instant),
    /// The request is rejected.
    Reject(Refusal),
}

/// Why a request is rejected, and when there is room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which there is room.
    pub room: time::Duration,
    /// Whether the owner of the quota did not respond, so that the quota may not be exhausted.
    pub is_unreachable: bool,
}

/// Change of an organisation's state at this ingress, for log lines.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Organisation.
    pub organisation: ids::OrganisationName,
    /// Quota of the organisation.
    pub limit: quota::Limit,
    /// Whether requests have started to be rejected; `false` if they have stopped.
    pub is_limited: bool,
    /// Whether the owner of the quota did not respond, so that the quota may not be exhausted.
    pub is_unreachable: bool,
    /// Requests rejected since the change before.
    pub rejected: u64,
}

/// Requests of one organisation at this ingress.
#[derive(Debug, Clone, PartialEq)]
pub struct Counts {
    /// Organisation; `None` for the total of all others.
    pub organisation: Option<ids::OrganisationName>,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected.
    pub rejected: u64,
}

#[derive(Debug)]
struct Usage {
    limit: quota::Limit,
    tokens: u32,
    /// When the tokens expire.
    until: time::Instant,
    /// Number of the newest grant.
    seq: u64,
    /// Requests that wait for tokens.
    waiting: u32,
    /// Until when requests wait. A caller that disconnects leaves `waiting` too large until then.
    waiting_until: time::Instant,
    /// Requests rejected since the last ask.
    refused: u32,
    /// When the ask that is on its way was sent.
    asked: Option<time::Instant>,
    /// Until when no ask is sent, as the last grant was short or did not arrive.
    blocked_until: time::Instant,
    /// Whether the last grant was smaller than wanted.
    is_short: bool,
    is_unreachable: bool,
    /// Requests per second, admitted or not.
    demand: Rate,
    /// Tokens received per second.
    received: Rate,
    /// When there is room for the next caller that is rejected.
    room: time::Instant,
    last_request: time::Instant,
    last_rejection: Option<time::Instant>,
    /// Whether the change to a limited state has been reported.
    is_limited: bool,
    rejected_since: u64,
    admitted: u64,
    rejected: u64,
}

/// Longest time for which a request waits for tokens: two asks that are lost. An owner that responds
/// does so within 3 to 8 ms, or 100 ms on a throttled VM, and then the request waits no longer.
pub const WAIT_MAX: time::Duration = time::Duration::from_millis(600);
/// Standard deviations by which the tokens asked for in advance are below the requests expected in
/// their lifetime. Tokens that expire unspent are lost to the organisation; with none of these
/// deviations, an organisation at 96 requests/s over 78 daemons lost a tenth of its quota.
const CAUTION: f64 = 2.0;
/// Largest number of tokens asked for in advance, in seconds at the organisation's rate.
const ADVANCE_MAX_S: f64 = 0.25;
/// Time without an ask after one that was lost.
const LOST_BACKOFF: time::Duration = time::Duration::from_millis(50);
/// Time after which the shell gives up an ask without a response.
pub const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Multiple of the mean time between requests without one after which demand has ended.
const PAUSE_MAX: f64 = 3.0;
const DEMAND_TIME: time::Duration = time::Duration::from_millis(500);
const RECEIVED_TIME: time::Duration = time::Duration::from_secs(2);
/// Smallest assumed part of an organisation's rate that this ingress gets, for `Retry-After`.
const RECEIVED_MIN: f64 = 0.01;
/// Longest time until there is room that rejected callers are told.
const ROOM_MAX: time::Duration = time::Duration::from_secs(10);
/// Time without a rejection after which an organisation is no longer limited.
const LIMITED_TIME: time::Duration = time::Duration::from_secs(5);
const IDLE_TTL: time::Duration = time::Duration::from_secs(30);
/// Organisations that are counted by name, busiest and most rejected.
const COUNTED_MAX: usize = 10;

impl Spender {
    /// Decides about a request that arrived at `arrived`.
    ///
    /// A request that waits is decided about again after the next grant, and at the end of its wait.
    /// All times are from a clock that counts the time for which the VM was suspended.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::quota::{self, spender};
    /// let now = std::time::Instant::now();
    /// let limit = quota::Limit { rate: 10.0, burst: 10.0 };
    /// let mut spender = spender::Spender::default();
    /// let decision = spender.admit(&"mailers".into(), &limit, now, now);
    /// assert_eq!(decision, spender::Decision::Wait(now + spender::WAIT_MAX));
    /// assert_eq!(spender.asks(now).len(), 1);
    /// ```
    pub fn admit(
        &mut self,
        organisation: &ids::OrganisationName,
        limit: &quota::Limit,
        arrived: time::Instant,
        now: time::Instant,
    ) -> Decision {
        if !self.organisations.contains_key(organisation) {
            self.organisations.insert(organisation.clone(), Usage::new(*limit, now));
        }
        let Some(usage) = self.organisations.get_mut(organisation) else {
            return Decision::Reject(Refusal { room: LOST_BACKOFF, is_unreachable: true });
        };
        usage.limit = *limit;
        usage.last_request = now;
        let is_new = arrived == now;
        if is_new {
            usage.demand.add(1.0, now);
        }
        let decision = usage.decide(arrived, is_new, now);
        if usage.is_ask_due(now) {
            self.due.insert(organisation.clone());
        }
        decision
    }

    /// Returns whether an ask for the organisation is due.
    pub fn is_ask_due(&self, organisation: &str, now: time::Instant) -> bool {
        self.organisations.get(organisation).is_some_and(|usage| usage.is_ask_due(now))
    }

    /// Returns the asks that are due. They count as sent at `now`.
    pub fn asks(&mut self, now: time::Instant) -> Vec<message::Ask> {
        let mut asks = Vec::new();
        for name in std::mem::take(&mut self.due) {
            let usage = self.organisations.get_mut(&name);
            if let Some(usage) = usage.filter(|usage| usage.is_ask_due(now)) {
                asks.push(usage.ask(&name, now));
            }
        }
        asks
    }

    /// Takes back asks that were not sent, as another to the same owner is on its way.
    pub fn postpone(&mut self, asks: &[message::Ask]) {
        for ask in asks {
            let Some(usage) = self.organisations.get_mut(&ask.organisation) else { continue };
            usage.asked = None;
            self.due.insert(ask.organisation.clone());
        }
    }

    /// Applies the response of an owner to the `asks` that were sent at `sent`; `grants` is empty if
    /// none has arrived. Tokens expire no later here than at the owner, however late the response is.
    pub fn apply(
        &mut self,
        asks: &[message::Ask],
        grants: &[message::Grant],
        sent: time::Instant,
        now: time::Instant,
    ) {
        for ask in asks {
            let Some(usage) = self.organisations.get_mut(&ask.organisation) else { continue };
            // A response to an earlier ask: the owner has assumed since that it was lost.
            if usage.asked != Some(sent) {
                continue;
            }
            usage.asked = None;
            match grants.iter().find(|grant| grant.organisation == ask.organisation) {
                Some(grant) => usage.receive(grant, sent, now),
                None => {
                    usage.is_unreachable = true;
                    usage.blocked_until = now + LOST_BACKOFF;
                }
            }
            self.due.insert(ask.organisation.clone());
        }
    }

    /// Removes idle organisations, and returns those whose requests have started or stopped being
    /// rejected.
    pub fn changes(&mut self, now: time::Instant) -> Vec<Change> {
        self.organisations.retain(|_, usage| {
            usage.is_limited || now.saturating_duration_since(usage.last_request) < IDLE_TTL
        });
        let changed = self.organisations.iter_mut();
        changed.filter_map(|(name, usage)| usage.change(name, now)).collect()
    }

    /// Returns the requests of the busiest and of the most rejected organisations, and the total of
    /// the others.
    pub fn counts(&self) -> Vec<Counts> {
        let mut names: Vec<&ids::OrganisationName> = Vec::new();
        for count in [Usage::requests as fn(&Usage) -> u64, Usage::rejections] {
            let mut sorted: Vec<_> = self.organisations.iter().collect();
            sorted.sort_by_key(|(_, usage)| std::cmp::Reverse(count(usage)));
            let largest = sorted.into_iter().take(COUNTED_MAX);
            names.extend(largest.filter(|(_, usage)| count(usage) > 0).map(|(name, _)| name));
        }
        names.sort();
        names.dedup();
        let mut others = Counts { organisation: None, admitted: 0, rejected: 0 };
        let mut counts = Vec::new();
        for (name, usage) in &self.organisations {
            if names.binary_search(&name).is_ok() {
                let (admitted, rejected) = (usage.admitted, usage.rejected);
                counts.push(Counts { organisation: Some(name.clone()), admitted, rejected });
            } else {
                others.admitted += usage.admitted;
                others.rejected += usage.rejected;
            }
        }
        counts.push(others);
        counts
    }

    /// Returns the number of tracked organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Returns whether no organisation is tracked.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }
}

impl Usage {
    fn new(limit: quota::Limit, now: time::Instant) -> Self {
        Self {
            limit,
            tokens: 0,
            until: now,
            seq: 0,
            waiting: 0,
            waiting_until: now,
            refused: 0,
            asked: None,
            blocked_until: now,
            is_short: false,
            is_unreachable: false,
            demand: Rate::new(DEMAND_TIME, now),
            received: Rate::new(RECEIVED_TIME, now),
            room: now,
            last_request: now,
            last_rejection: None,
            is_limited: false,
            rejected_since: 0,
            admitted: 0,
            rejected: 0,
        }
    }

    fn decide(&mut self, arrived: time::Instant, is_new: bool, now: time::Instant) -> Decision {
        self.waiting = self.waiting(now);
        if !is_new {
            self.waiting = self.waiting.saturating_sub(1);
        }
        if self.held(now) > 0 {
            self.tokens -= 1;
            self.admitted += 1;
            return Decision::Admit;
        }
        let wait_until = arrived + WAIT_MAX;
        // An owner that does not respond is no reason to reject at once: the next ask may be relayed.
        let is_blocked = now < self.blocked_until && !self.is_unreachable;
        let is_late = wait_until <= now;
        if is_blocked || is_late {
            return self.reject(now);
        }
        self.waiting = self.waiting.saturating_add(1);
        self.waiting_until = self.waiting_until.max(wait_until);
        Decision::Wait(wait_until)
    }

    /// Rejects a request. Successive callers are told later times, at the rate at which this ingress
    /// gets tokens.
    fn reject(&mut self, now: time::Instant) -> Decision {
        self.rejected += 1;
        self.refused = self.refused.saturating_add(1);
        self.rejected_since += 1;
        self.last_rejection = Some(now);
        let rate = self.received.value(now).max(self.limit.rate * RECEIVED_MIN);
        let first = self.blocked_until.max(now);
        if self.room > now + ROOM_MAX {
            self.room = first;
        }
        self.room = self.room.max(first) + time::Duration::from_secs_f64((1.0 / rate).min(1.0));
        Decision::Reject(Refusal { room: self.room - now, is_unreachable: self.is_unreachable })
    }

    /// Returns the number of unexpired tokens.
    fn held(&mut self, now: time::Instant) -> u32 {
        if self.until <= now {
            self.tokens = 0;
        }
        self.tokens
    }

    /// Returns how many tokens to hold: as many as will almost certainly be spent before they expire.
    fn advance(&self, now: time::Instant) -> u32 {
        let expected = self.demand.value(now) * owner::TOKEN_TTL.as_secs_f64();
        let certain = expected - CAUTION * expected.sqrt();
        certain.min(self.limit.rate * ADVANCE_MAX_S) as u32
    }

    fn waiting(&self, now: time::Instant) -> u32 {
        if now < self.waiting_until { self.waiting } else { 0 }
    }

    fn is_ask_due(&self, now: time::Instant) -> bool {
        if self.asked.is_some() || now < self.blocked_until {
            return false;
        }
        let held = if self.until <= now { 0 } else { self.tokens };
        if held < self.waiting(now) {
            return true;
        }
        // While the quota is short, tokens lent in advance are those that others need.
        !self.is_short && self.is_active(now) && held < self.advance(now).div_ceil(2)
    }

    /// Returns whether requests have not paused for longer than their rate explains.
    fn is_active(&self, now: time::Instant) -> bool {
        let pause = now.saturating_duration_since(self.last_request).as_secs_f64();
        pause * self.demand.value(now) < PAUSE_MAX
    }

    fn ask(&mut self, name: &ids::OrganisationName, now: time::Instant) -> message::Ask {
        self.asked = Some(now);
        let held = self.held(now);
        // Demand that exceeds the quota continues, so that as many tokens will be spent at once as
        // half of the requests that were rejected meanwhile.
        let refused = std::mem::take(&mut self.refused) / 2;
        let refused = refused.min((self.limit.rate * ADVANCE_MAX_S) as u32);
        let advance = self.advance(now).max(refused);
        let waiting = self.waiting(now);
        let wanted = waiting.saturating_sub(held);
        let advance = advance.saturating_sub(held.saturating_sub(waiting));
        message::Ask { organisation: name.clone(), held, seq: self.seq, wanted, advance }
    }

    fn receive(&mut self, grant: &message::Grant, sent: time::Instant, now: time::Instant) {
        let until = sent + owner::TOKEN_TTL;
        let held = self.held(now);
        self.is_unreachable = false;
        self.is_short = grant.wait_ms > 0;
        self.seq = grant.seq;
        self.blocked_until = now + time::Duration::from_millis(grant.wait_ms.into());
        if now < until {
            self.tokens = held + grant.tokens;
            self.until = until;
            self.received.add(f64::from(grant.tokens), now);
        }
    }

    fn change(&mut self, name: &ids::OrganisationName, now: time::Instant) -> Option<Change> {
        let recent = |last| now.saturating_duration_since(last) < LIMITED_TIME;
        let is_limited = self.last_rejection.is_some_and(recent);
        if is_limited == self.is_limited {
            return None;
        }
        self.is_limited = is_limited;
        Some(Change {
            organisation: name.clone(),
            limit: self.limit,
            is_limited,
            is_unreachable: self.is_unreachable,
            rejected: std::mem::take(&mut self.rejected_since),
        })
    }

    fn requests(&self) -> u64 {
        self.admitted + self.rejected
    }

    fn rejections(&self) -> u64 {
        self.rejected
    }
}

/// Rate of events, averaged with exponentially decreasing weights.
#[derive(Debug)]
struct Rate {
    time: time::Duration,
    value: f64,
    updated: time::Instant,
}

impl Rate {
    fn new(time: time::Duration, now: time::Instant) -> Self {
        Self { time, value: 0.0, updated: now }
    }

    fn add(&mut self, count: f64, now: time::Instant) {
        self.value = self.value(now) + count / self.time.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the events per second.
    fn value(&self, now: time::Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.value * (-elapsed / self.time.as_secs_f64()).exp()
    }
}
