//! Owner of the quotas of some organisations: one token bucket for each, from which it lends.

use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::quota;
use crate::quota::bounds;
use crate::quota::message;

/// Lends the tokens of the organisations that this daemon owns.
#[derive(Debug)]
pub struct Owner {
    bounds: bounds::Bounds,
    accounts: IndexMap<ids::OrganisationName, Account>,
    /// Number of the newest grant.
    seq: u64,
    /// When this daemon has started, or resumed after its last pause.
    resumed: time::Instant,
    /// Whether `resumed` is the end of a pause. The time of a pause does not count as silence of the
    /// others, which have heard nothing of this daemon meanwhile; it lends again once both sides
    /// would have noticed a partition.
    was_paused: bool,
    ticked: time::Instant,
    /// Smallest share in the current and in the previous period.
    shares: [f64; 2],
    period_started: time::Instant,
}

/// Position of this daemon as the owner of an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Position {
    /// Time for which no other daemon can have lent tokens of the organisation.
    pub age: time::Duration,
    /// Part of the known daemons that this daemon hears, 0 to 1.
    pub share: f64,
    /// Time without a heartbeat after which a daemon counts as silent.
    pub silence: time::Duration,
}

#[derive(Debug)]
struct Account {
    tokens: f64,
    updated: time::Instant,
    loans: IndexMap<ids::DaemonName, Loan>,
}

/// Tokens lent to one ingress that it may still hold.
#[derive(Debug)]
struct Loan {
    held: f64,
    seq: u64,
    until: time::Instant,
}

/// Time after which tokens expire.
pub const TOKEN_TTL: time::Duration = time::Duration::from_millis(500);
/// Time after a start or a pause without loans, in which daemons that took over hear of this one.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);
/// Shortest pause after which another daemon may have taken over.
const PAUSE_MIN: time::Duration = time::Duration::from_secs(4);
/// Time for which the share stays at its minimum. Within it, daemons on the other side of a partition
/// that has ended hear of this one.
const SHARE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Time without asks after which an account is removed. Records of silent daemons are known for
/// 120 s, so a later owner is no longer in doubt.
const IDLE_TTL: time::Duration = time::Duration::from_secs(150);
/// Time for which an ingress that has asked counts towards the interval between asks.
const ASKER_TTL: time::Duration = time::Duration::from_secs(1);
/// Interval between asks of one ingress while the bucket is empty, for each ingress that asks: the
/// owner serves at most 200 asks a second for an organisation.
const WAIT_PER_ASKER_MS: u32 = 5;
/// Fraction of the capacity below which few tokens are lent in advance.
const SCARCE_FRACTION: f64 = 0.5;
const WAIT_MIN_MS: u32 = 50;
const WAIT_MAX_MS: u32 = 1500;
/// Bits of a grant's number that count grants; the others are the incarnation, in milliseconds.
const SEQ_BITS: u32 = 20;

impl Owner {
    /// Returns the owner of a daemon that has just started, whose start is identified by
    /// `incarnation`.
    pub fn new(bounds: bounds::Bounds, incarnation: ids::Incarnation, now: time::Instant) -> Self {
        Self {
            bounds,
            accounts: IndexMap::new(),
            seq: incarnation << SEQ_BITS,
            resumed: now,
            was_paused: false,
            ticked: now,
            shares: [1.0; 2],
            period_started: now,
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: bounds::Bounds) {
        self.bounds = bounds;
    }

    /// Returns the bounds in use.
    pub fn bounds(&self) -> bounds::Bounds {
        self.bounds
    }

    /// Notes that the daemon runs, and removes idle accounts. To be called at least every second.
    pub fn tick(&mut self, now: time::Instant) {
        self.detect_pause(now);
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.updated) < IDLE_TTL);
    }

    /// Lends tokens to the ingress of `daemon`.
    ///
    /// `limit` is the organisation's quota, `position` that of this daemon. `now` is from a clock
    /// that counts the time for which the VM was suspended.
    pub fn lend(
        &mut self,
        daemon: &ids::DaemonName,
        ask: &message::Ask,
        limit: &quota::Limit,
        position: Position,
        now: time::Instant,
    ) -> message::Grant {
        self.detect_pause(now);
        let share = self.low_share(position.share, now);
        let settle = if self.was_paused { SETTLE_TIME.max(position.silence) } else { SETTLE_TIME };
        let settled = now.saturating_duration_since(self.resumed).saturating_sub(settle);
        let age = position.age.min(settled);
        let rate = limit.rate * share;
        let capacity = self.bounds.capacity(limit) * share;
        let accrued = (rate * age.as_secs_f64()).min(capacity);
        let account = self.accounts.entry(ask.organisation.clone()).or_insert_with(|| Account {
            tokens: accrued,
            updated: now,
            loans: IndexMap::new(),
        });
        account.refill(rate, capacity, now);
        account.tokens = account.tokens.min(accrued);
        account.report_held(daemon, ask);
        self.seq += 1;
        let is_scarce = account.tokens < SCARCE_FRACTION * capacity;
        let advance_max = if is_scarce { account.advance_max(rate) } else { u32::MAX };
        let wanted = ask.wanted.saturating_add(ask.advance.min(advance_max));
        let tokens = account.take(daemon, wanted, self.seq, now);
        let is_short = tokens < wanted;
        let wait_ms = if is_short { account.wait_ms(rate) } else { 0 };
        message::Grant { organisation: ask.organisation.clone(), tokens, seq: self.seq, wait_ms }
    }

    /// Sets the time of the last tick without detecting a pause, to plant an error.
    #[cfg(test)]
    pub(crate) fn forget_ticks(&mut self, now: time::Instant) {
        self.ticked = now;
    }

    /// Returns the number of organisations with an account.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no organisation has an account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn detect_pause(&mut self, now: time::Instant) {
        if now.saturating_duration_since(self.ticked) > PAUSE_MIN {
            self.resumed = now;
            self.was_paused = true;
        }
        self.ticked = self.ticked.max(now);
    }

    /// Returns the smallest share within the current and the previous period.
    fn low_share(&mut self, share: f64, now: time::Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.period_started);
        if elapsed >= SHARE_PERIOD {
            let previous = if elapsed < 2 * SHARE_PERIOD { self.shares[0] } else { share };
            self.shares = [share, previous];
            self.period_started = now;
        }
        self.shares[0] = self.shares[0].min(share);
        self.shares[0].min(self.shares[1])
    }
}

impl Account {
    /// Adds tokens up to `now`, and removes loans that have expired.
    ///
    /// Until a loan expires it takes up room, even if its tokens have been spent meanwhile: otherwise
    /// tokens spent in a window would make room for a refill of the time before it.
    fn refill(&mut self, rate: f64, capacity: f64, now: time::Instant) {
        let expiry = self.loans.values().map(|loan| loan.until).filter(|until| *until <= now).max();
        for until in expiry.into_iter().chain([now]) {
            let elapsed = until.saturating_duration_since(self.updated).as_secs_f64();
            let held: f64 = self.loans.values().map(|loan| loan.held).sum();
            let room = (capacity - held).max(0.0);
            self.tokens = (self.tokens + elapsed * rate).min(room);
            self.updated = self.updated.max(until);
            for loan in self.loans.values_mut().filter(|loan| loan.until <= until) {
                loan.held = 0.0;
            }
        }
        self.loans.retain(|_, loan| now.saturating_duration_since(loan.until) < ASKER_TTL);
    }

    /// Lowers the loan of an ingress to what it still holds. Without the newest grant it may receive
    /// more than it reports, so the loan stays.
    fn report_held(&mut self, daemon: &ids::DaemonName, ask: &message::Ask) {
        let Some(loan) = self.loans.get_mut(daemon) else { return };
        if loan.seq == ask.seq {
            loan.held = loan.held.min(f64::from(ask.held));
        }
    }

    /// Returns how many tokens to lend in advance to one ingress while tokens are scarce: twice what
    /// accrues between two asks. Callers that move to other ingresses leave unspent tokens behind.
    fn advance_max(&self, rate: f64) -> u32 {
        let askers = self.loans.len().max(1) as f64;
        let interval_ms = (f64::from(WAIT_PER_ASKER_MS) * askers).max(WAIT_MIN_MS.into());
        (2.0 * rate * interval_ms / 1000.0 / askers).ceil() as u32
    }

    /// Returns when an ingress that got too few tokens is to ask again: when one token is available,
    /// or later if many ingresses ask.
    fn wait_ms(&self, rate: f64) -> u32 {
        let missing = (1.0 - self.tokens).max(0.0);
        // An infinite wait saturates; it occurs with a share of 0.
        let refill_ms = (missing / rate * 1000.0) as u32;
        let askers = self.loans.len() as u32;
        refill_ms.max(WAIT_PER_ASKER_MS * askers).clamp(WAIT_MIN_MS, WAIT_MAX_MS)
    }

    fn take(&mut self, daemon: &ids::DaemonName, wanted: u32, seq: u64, now: time::Instant) -> u32 {
        let tokens = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(tokens);
        let until = now + TOKEN_TTL;
        let loan = self.loans.entry(daemon.clone()).or_insert(Loan { held: 0.0, seq, until });
        loan.held += f64::from(tokens);
        loan.seq = seq;
        loan.until = until;
        tokens
    }
}
