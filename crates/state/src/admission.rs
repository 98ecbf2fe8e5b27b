//! Admission control at the sidecar: slots of one upstream, their queue, cold-start ramp and drain.

use std::time;

use crate::concurrency_limit;
use crate::fair_queue;
use crate::ids;
use crate::load;
use crate::outcome;
use crate::outlier;
use crate::precedence;
use crate::priority;
use crate::request_limit;
use crate::slot_usage;
use crate::statistics;

/// Limits of one upstream, from the policy and the announcement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum number of requests that run at a time, once the ramp is over.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Longest wait for a slot.
    pub max_wait: time::Duration,
    /// Time after the announcement over which the slots open.
    pub ramp: time::Duration,
}

/// Request that needs a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Organisation that the request counts towards.
    pub organisation: ids::OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Time after which the response is of no use to the sender.
    pub deadline: time::Instant,
    /// Priority among the requests of the organisation.
    pub priority: priority::Priority,
    /// Condition on the failure probability of the upstream.
    pub risk: outlier::RiskTolerance,
}

/// Decision on an arrival. `T` identifies the request, so that it can be resumed after it was
/// queued.
#[derive(Debug, PartialEq)]
pub enum Decision<T> {
    /// The request has taken a slot and is to be run.
    Admit(T, ShareClass),
    /// The request is queued. If it evicted another one, that one must be rejected.
    Queue {
        /// Ticket for [`Admission::cancel`].
        ticket: Ticket,
        /// Latest end of the wait.
        until: time::Instant,
        /// Request that was evicted from the full queue to make room.
        evicted: Option<T>,
    },
    /// The request is rejected.
    Reject(T, outcome::Rejection),
}

/// Whether the organisation that takes a slot is within its fair share. The class is to be passed
/// to [`Admission::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareClass {
    /// The organisation is within its fair share, or no other one is active.
    Fair,
    /// The organisation far exceeds its fair share while others are active.
    Excess,
}

/// Identifies a queued request.
pub type Ticket = u64;

/// Decision on a request that was queued.
#[derive(Debug, PartialEq)]
pub enum Dequeued<T> {
    /// The request has taken a slot and is to be run.
    Admit(T, ShareClass),
    /// The request is rejected.
    Reject(T, outcome::Rejection),
}

/// Slots and queue of one upstream.
///
/// # Examples
///
/// ```
/// use lynxmast_state::admission;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let second = Duration::from_secs(1);
/// let limits = admission::Limits { slots: 1, queue: 4, max_wait: second, ramp: Duration::ZERO };
/// let mut admission = admission::Admission::new(limits, now);
/// let arrival = admission::Arrival {
///     organisation: "mailers".into(),
///     weight: 1,
///     deadline: now + second,
///     priority: Default::default(),
///     risk: Default::default(),
/// };
/// let fair = admission::ShareClass::Fair;
/// assert_eq!(admission.admit(&arrival, 'a', now), admission::Decision::Admit('a', fair));
/// admission.admit(&arrival, 'b', now);
/// admission.release(fair, None, now);
/// assert_eq!(admission.dequeue(now), [admission::Dequeued::Admit('b', fair)]);
/// ```
#[derive(Debug)]
pub struct Admission<T> {
    limits: Limits,
    ramp_start: time::Instant,
    in_use: u32,
    queue: fair_queue::FairQueue<QueuedRequest<T>>,
    draining: bool,
    next_ticket: Ticket,
    service_time: statistics::MovingAverage,
    credited_at: time::Instant,
    /// Slots in use that were taken with [`ShareClass::Excess`].
    excess_in_use: u32,
    /// Slots recently taken with [`ShareClass::Fair`].
    fair_usage: statistics::MovingAverage,
    /// Slots recently taken, by priority.
    slot_usage: slot_usage::SlotUsage,
    /// Recent arrivals and starts, by kind of request.
    served_shares: precedence::ServedShares,
    /// Limit while the backend server rejects requests.
    concurrency: concurrency_limit::ConcurrencyLimit,
    /// Limit that the backend server names.
    limiter: request_limit::RequestLimiter,
}

#[derive(Debug)]
struct QueuedRequest<T> {
    ticket: Ticket,
    until: time::Instant,
    priority: priority::Priority,
    risk: outlier::RiskTolerance,
    item: T,
}

/// Half-life of a taken slot's weight in the estimate of the slots reserved for
/// [`ShareClass::Fair`].
const FAIR_USAGE_HALF_LIFE: time::Duration = time::Duration::from_secs(1);
/// Maximum number of queued requests per slot that are late for their objective.
const LATE_PER_SLOT: u32 = 2;
/// Multiple of the expected wait after which a late request is rejected, since the estimate has
/// proved wrong by then.
const LATE_WAIT_FACTOR: u32 = 2;
/// Wait for a limit up to which a request is queued, however short the service time is.
const LIMIT_WAIT_MIN: time::Duration = time::Duration::from_millis(100);
/// Minimum share of the slots assumed to be left by higher priorities; keeps the estimate finite.
const REMAINING_SHARE_MIN: f64 = 0.02;
const SERVICE_TIME_HALF_LIFE: time::Duration = time::Duration::from_secs(5);

impl<T> Admission<T> {
    /// Returns the admission state of an idle upstream whose ramp starts at `now`.
    pub fn new(limits: Limits, now: time::Instant) -> Self {
        Self {
            limits,
            ramp_start: now,
            in_use: 0,
            queue: fair_queue::FairQueue::new(limits.queue as usize),
            draining: false,
            next_ticket: 0,
            service_time: statistics::MovingAverage::new(SERVICE_TIME_HALF_LIFE),
            credited_at: now,
            excess_in_use: 0,
            fair_usage: statistics::MovingAverage::new(FAIR_USAGE_HALF_LIFE),
            slot_usage: slot_usage::SlotUsage::default(),
            served_shares: Default::default(),
            concurrency: Default::default(),
            limiter: request_limit::RequestLimiter::default(),
        }
    }

    /// Returns the current limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Replaces the limits. Running and queued requests are unaffected.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.queue.set_capacity(limits.queue as usize);
    }

    /// Restarts the ramp and ends a drain and a limit, for a restarted backend server.
    pub fn restart(&mut self, now: time::Instant) {
        self.ramp_start = now;
        self.draining = false;
        self.limiter.set_limit(None, now);
        self.concurrency = Default::default();
    }

    /// Sets the requests per second that the backend server accepts; `None` without a limit.
    /// Returns the previous limit.
    pub fn set_request_limit(&mut self, limit: Option<f64>, now: time::Instant) -> Option<f64> {
        let previous = self.limiter.limit();
        self.limiter.set_limit(limit, now);
        previous
    }

    /// Returns the requests per second that the backend server accepts, if it names a limit.
    pub fn request_limit(&self) -> Option<f64> {
        self.limiter.limit()
    }

    /// Returns what the limit leaves for another request; `None` without a limit.
    pub fn room(&self, now: time::Instant) -> Option<request_limit::Room> {
        self.limiter.room(self.queue.len(), now)
    }

    /// Records a response of the backend server, and whether it states that it did not run the
    /// request. `sent` is when the request was sent, and `running` the number of slots in use then.
    pub fn record_response(
        &mut self,
        is_rejected: bool,
        running: u32,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.concurrency.record(is_rejected, running, self.limits.slots, sent, now);
    }

    /// Returns why the backend server rejects requests.
    pub fn rejection_cause(&self, now: time::Instant) -> concurrency_limit::Cause {
        self.concurrency.cause(self.limits.slots, now)
    }

    /// Returns the fraction of recent requests that the backend server rejected.
    pub fn rejection_rate(&self) -> f64 {
        self.concurrency.rejection_rate()
    }

    /// Counts a request towards the limit that is sent again under the slot that it has.
    pub fn charge_resend(&mut self, now: time::Instant) {
        self.limiter.charge(now);
    }

    /// Returns the load for the load header of a response.
    pub fn load(&self, now: time::Instant) -> load::Load {
        let queued = self.queue.len() as u32;
        load::Load { in_use: self.in_use, queued, slots: self.open_slots(now) }
    }

    /// Returns the mean service time of recent requests, from forwarding to the end of the
    /// response; `None` before the first.
    pub fn service_time(&self) -> Option<time::Duration> {
        self.service_time.value().map(time::Duration::from_secs_f64)
    }

    /// Returns whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Decides on a request for a slot; `item` is returned with the decision. Call
    /// [`Admission::dequeue`] after a request was queued, as a slot may be free for it.
    pub fn admit(&mut self, arrival: &Arrival, item: T, now: time::Instant) -> Decision<T> {
        self.served_shares.record_arrival(&arrival.priority, now);
        self.admit_redirected(arrival, item, now)
    }

    /// Decides on a request that another sidecar has rejected. It is not counted as an arrival: a
    /// request that asks many sidecars would seem to be served seldom, and take precedence.
    pub fn admit_redirected(
        &mut self,
        arrival: &Arrival,
        item: T,
        now: time::Instant,
    ) -> Decision<T> {
        self.add_credit(now);
        if self.draining {
            return Decision::Reject(item, outcome::Rejection::Draining);
        }
        if arrival.deadline <= now {
            return Decision::Reject(item, outcome::Rejection::DeadlineBeforeRun);
        }
        let class = match arrival.priority.is_call {
            true => ShareClass::Fair,
            false => self.share_class(Some(&arrival.organisation), now),
        };
        if self.queue.is_empty() && self.has_slot(class, now) {
            self.queue.charge(&arrival.organisation, arrival.weight, now);
            self.take_slot(class, &arrival.priority, now);
            return Decision::Admit(item, class);
        }
        match self.wait_until(arrival, now) {
            Ok(until) => self.enqueue(arrival, item, now, until),
            Err(rejection) => Decision::Reject(item, rejection),
        }
    }

    fn enqueue(
        &mut self,
        arrival: &Arrival,
        item: T,
        now: time::Instant,
        until: time::Instant,
    ) -> Decision<T> {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Arrival { priority, risk, .. } = *arrival;
        let waiting = QueuedRequest { ticket, until, priority, risk, item };
        let precedence = self.served_shares.precedence(now);
        let class = |waiting: &QueuedRequest<T>| precedence.class(&waiting.priority);
        match self.queue.push_by_class(&arrival.organisation, arrival.weight, waiting, class, now) {
            fair_queue::PushResult::Queued => Decision::Queue { ticket, until, evicted: None },
            fair_queue::PushResult::Evicted(old) => {
                Decision::Queue { ticket, until, evicted: Some(old.item) }
            }
            fair_queue::PushResult::Full(w) => {
                Decision::Reject(w.item, outcome::Rejection::QueueFull)
            }
        }
    }

    /// Releases a slot. `elapsed` is the time from forwarding the request to the end of the
    /// response, if known.
    pub fn release(
        &mut self,
        class: ShareClass,
        elapsed: Option<time::Duration>,
        now: time::Instant,
    ) {
        self.in_use = self.in_use.saturating_sub(1);
        if class == ShareClass::Excess {
            self.excess_in_use = self.excess_in_use.saturating_sub(1);
        }
        if let Some(elapsed) = elapsed {
            self.service_time.record(elapsed.as_secs_f64(), now);
        }
    }

    /// Rejects the queued requests that have waited too long, and assigns free slots to the others.
    /// Call this after every change, and on a timer during the ramp, since slots open over time.
    pub fn dequeue(&mut self, now: time::Instant) -> Vec<Dequeued<T>> {
        self.add_credit(now);
        let mut dequeued = self.reject_expired(now);
        while !self.queue.is_empty() {
            let precedence = self.served_shares.precedence(now);
            let class_of = |waiting: &QueuedRequest<T>| precedence.class(&waiting.priority);
            let first = self.queue.min_by(class_of).unwrap_or(priority::Class::New);
            // Organisations take turns in the next class only. What takes precedence is within the
            // share of its parent or of its kind.
            let class = match first {
                priority::Class::New => self.share_class(None, now),
                priority::Class::Underserved | priority::Class::Call => ShareClass::Fair,
            };
            if !self.has_slot(class, now) {
                break;
            }
            let mean = self.service_time().unwrap_or_default();
            let next = self.queue.pop_first_by_key(
                |waiting| class_of(waiting) == first,
                |waiting| waiting.priority.order_in(first, mean, now),
            );
            let Some(waiting) = next else { break };
            self.take_slot(class, &waiting.priority, now);
            dequeued.push(Dequeued::Admit(waiting.item, class));
        }
        dequeued
    }

    /// Removes the queued requests that have waited too long. Their organisations are not charged.
    fn reject_expired(&mut self, now: time::Instant) -> Vec<Dequeued<T>> {
        let is_expired = |waiting: &QueuedRequest<T>| waiting.until <= now;
        if self.queue.count(is_expired) == 0 {
            return Vec::new();
        }
        let expired = self.queue.remove_where(is_expired).into_iter();
        let reject = |waiting: QueuedRequest<T>| {
            Dequeued::Reject(waiting.item, outcome::Rejection::WaitTooLong)
        };
        expired.map(reject).collect()
    }

    /// Removes a queued request. Returns `false` if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        !self.queue.remove_where(|waiting| waiting.ticket == ticket).is_empty()
    }

    /// Rejects new requests from now on and returns the queued ones, which have to be rejected.
    pub fn drain(&mut self) -> Vec<T> {
        self.draining = true;
        self.queue.remove_where(|_| true).into_iter().map(|waiting| waiting.item).collect()
    }

    /// Removes and returns the queued requests that do not tolerate a suspected upstream, which have
    /// to be rejected. Call this when the upstream becomes suspected: one that fails at once would
    /// otherwise run its whole queue within milliseconds.
    pub fn take_intolerant(&mut self) -> Vec<T> {
        use outlier::RiskTolerance::{Avoid, Probe};
        let removed = self.queue.remove_where(|waiting| matches!(waiting.risk, Avoid | Probe));
        removed.into_iter().map(|waiting| waiting.item).collect()
    }

    fn share_class(&self, organisation: Option<&str>, now: time::Instant) -> ShareClass {
        if self.queue.is_excess(organisation, now) { ShareClass::Excess } else { ShareClass::Fair }
    }

    /// Returns whether a request of `class` may take a slot within the limit. Running requests are not preempted, so
    /// organisations that far exceed their share must leave free the slots that the others need on
    /// average.
    fn has_slot(&self, class: ShareClass, now: time::Instant) -> bool {
        let open = self.open_slots(now);
        let excess_max = open.saturating_sub(self.reserved_slots(now)).max(1);
        self.in_use < open
            && (class == ShareClass::Fair || self.excess_in_use < excess_max)
            && self.limiter.wait(1, now).is_zero()
    }

    /// Returns the number of slots that requests of [`ShareClass::Fair`] use on average (Little's
    /// law), rounded up.
    fn reserved_slots(&self, now: time::Instant) -> u32 {
        let rate = self.fair_usage.weight(now) * std::f64::consts::LN_2;
        let rate = rate / FAIR_USAGE_HALF_LIFE.as_secs_f64();
        (rate * self.service_time.value().unwrap_or(0.0)).ceil() as u32
    }

    fn take_slot(&mut self, class: ShareClass, priority: &priority::Priority, now: time::Instant) {
        self.in_use += 1;
        self.limiter.charge(now);
        let mean = self.service_time().unwrap_or_default();
        let precedence = self.served_shares.precedence(now);
        self.slot_usage.record(priority.order_in(precedence.class(priority), mean, now), now);
        self.served_shares.record_start(priority, now);
        match class {
            ShareClass::Fair => self.fair_usage.record(1.0, now),
            ShareClass::Excess => self.excess_in_use += 1,
        }
    }

    /// Returns the number of slots open at `now`: one at the start of the ramp, all at its end, fewer
    /// while the backend server rejects requests for lack of capacity.
    fn open_slots(&self, now: time::Instant) -> u32 {
        self.ramped_slots(now).min(self.concurrency.slots(self.limits.slots, now))
    }

    fn ramped_slots(&self, now: time::Instant) -> u32 {
        let age = now.saturating_duration_since(self.ramp_start);
        if age >= self.limits.ramp {
            return self.limits.slots;
        }
        let share = age.as_secs_f64() / self.limits.ramp.as_secs_f64();
        let open = (share * f64::from(self.limits.slots)).floor() as u32;
        open.clamp(1, self.limits.slots)
    }

    /// Credits the queue with the requests that the open slots could have run since the last call.
    fn add_credit(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.credited_at).as_secs_f64();
        self.credited_at = self.credited_at.max(now);
        if let Some(mean) = self.service_time.value().filter(|mean| *mean > 0.0) {
            self.queue.advance(elapsed * f64::from(self.open_slots(now)) / mean, now);
        }
    }

    /// Returns the latest end of a request's wait.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot expect a slot in time.
    fn wait_until(
        &self,
        arrival: &Arrival,
        now: time::Instant,
    ) -> Result<time::Instant, outcome::Rejection> {
        let max_wait = self.limits.max_wait.min(arrival.deadline - now);
        let limit_wait = self.limiter.wait(self.queue.len() + 1, now);
        let mean = self.service_time();
        let precedence = self.served_shares.precedence(now);
        // Another upstream is likely to start the request sooner than one that has reached its limit.
        let limit_wait_max = mean.unwrap_or_default().max(LIMIT_WAIT_MIN).min(max_wait);
        if limit_wait > limit_wait_max {
            return Err(outcome::Rejection::Limited);
        }
        let Some(mean) = mean else { return Ok(now + max_wait) };
        let wait = self.expected_wait(arrival, mean, precedence, now).max(limit_wait);
        if wait > max_wait {
            return Err(outcome::Rejection::WaitTooLong);
        }
        if precedence.class(&arrival.priority) == priority::Class::Call {
            // A call is useful as long as its parent can still respond.
            return Ok(now + max_wait);
        }
        let end = now + wait + mean;
        if let Some(latest) = arrival.priority.latest_start(mean, now)
            && arrival.priority.meets_objective(end)
        {
            return Ok(latest.min(now + max_wait));
        }
        if arrival.priority.objective.is_none() {
            return Ok(now + max_wait);
        }
        // Requests that can meet their objective overtake a late one, so only a few late ones are
        // queued, and only briefly.
        if wait > mean {
            return Err(outcome::Rejection::WaitTooLong);
        }
        let is_late = |waiting: &QueuedRequest<T>| !waiting.priority.meets_objective(now + mean);
        let late_max = (LATE_PER_SLOT * self.open_slots(now)) as usize;
        let may_queue = end <= arrival.deadline && self.queue.count(is_late) < late_max;
        let until = now + (wait * LATE_WAIT_FACTOR).min(max_wait);
        may_queue.then_some(until).ok_or(outcome::Rejection::WaitTooLong)
    }

    /// Returns the expected wait for a slot, from the requests ahead in the queue and the share of
    /// the slots that higher priorities leave.
    fn expected_wait(
        &self,
        arrival: &Arrival,
        mean: time::Duration,
        precedence: precedence::Precedence,
        now: time::Instant,
    ) -> time::Duration {
        let order_of = |priority: &priority::Priority| {
            priority.order_in(precedence.class(priority), mean, now)
        };
        let order = order_of(&arrival.priority);
        let is_ahead = |waiting: &QueuedRequest<T>| order_of(&waiting.priority) <= order;
        let ahead = match order.class() {
            priority::Class::New => {
                let takes_precedence = |waiting: &QueuedRequest<T>| {
                    precedence.class(&waiting.priority) < priority::Class::New
                };
                let Arrival { organisation, weight, .. } = arrival;
                self.queue.count_ahead(organisation, *weight, is_ahead, takes_precedence)
            }
            priority::Class::Underserved | priority::Class::Call => self.queue.count(is_ahead),
        } + 1;
        let slots = self.open_slots(now);
        let remaining =
            self.slot_usage.remaining_share(order, mean, slots, now).max(REMAINING_SHARE_MIN);
        mean.mul_f64(ahead as f64 / (f64::from(slots) * remaining))
    }
}

#[cfg(test)]
mod tests;
