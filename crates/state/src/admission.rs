//! Admission at the gate: exact slots of one upstream, its queue, cold-start ramp and drain.

use std::time;

use crate::fair_queue;
use crate::ids;
use crate::load;
use crate::outcome;
use crate::priority;
use crate::slot_usage;
use crate::statistics;

/// Limits of one upstream, from policy and announcement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests run at a time once warm.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Longest wait for a slot.
    pub max_wait: time::Duration,
    /// Time over which slots open after the announcement.
    pub ramp: time::Duration,
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Organisation that the request is counted for.
    pub organisation: ids::OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Time at which the request is no longer worth running.
    pub deadline: time::Instant,
    /// How urgent it is among the requests of its organisation.
    pub priority: priority::Priority,
}

/// Answer to an arrival. `T` is what the shell needs to wake a waiting request.
#[derive(Debug, PartialEq)]
pub enum Decision<T> {
    /// A slot is taken for the request; run it.
    Admit(T, Class),
    /// The request waits; the displaced one, if any, has to be refused.
    Queue {
        /// Names the waiting request for [`Admission::cancel`].
        ticket: Ticket,
        /// Time at which the wait ends in any case.
        until: time::Instant,
        /// A request that lost its place to this one.
        displaced: Option<T>,
    },
    /// The request is refused.
    Refuse(T, outcome::Refusal),
}

/// Whom a slot was given to; told again when the slot is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// An organisation within its share, or any while nobody else asks.
    Fair,
    /// An organisation far over its share while others ask.
    Excess,
}

/// Names a waiting request.
pub type Ticket = u64;

/// What to do with a request that has waited.
#[derive(Debug, PartialEq)]
pub enum Dequeued<T> {
    /// A slot is taken for it; run it.
    Admit(T, Class),
    /// Refuse it.
    Refuse(T, outcome::Refusal),
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
/// };
/// let fair = admission::Class::Fair;
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
    queue: fair_queue::FairQueue<Waiting<T>>,
    draining: bool,
    next_ticket: Ticket,
    service_time: statistics::MovingAverage,
    credited: time::Instant,
    /// Slots in use by organisations that were far over their share when they got them.
    excess_in_use: u32,
    /// Grants to the others lately.
    fair_grants: statistics::MovingAverage,
    /// Grants lately, by urgency.
    slot_usage: slot_usage::SlotUsage,
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    until: time::Instant,
    priority: priority::Priority,
    item: T,
}

/// Time after which a grant counts half towards the slots kept for fair organisations.
const FAIR_GRANT_HALF_LIFE: time::Duration = time::Duration::from_secs(1);
/// Requests for each slot that may wait though they are late for their objective.
const LATE_PER_SLOT: u32 = 2;
/// Multiple of the wait to expect after which a late request gives up: the estimate was wrong then.
const LATE_WAIT_FACTOR: u32 = 2;
/// Least part of the slots that more urgent requests are taken to leave; keeps the estimate finite.
const REMAINING_SHARE_MIN: f64 = 0.02;
const SERVICE_TIME_HALF_LIFE: time::Duration = time::Duration::from_secs(5);

impl<T> Admission<T> {
    /// Returns an upstream without load whose ramp starts at `now`.
    pub fn new(limits: Limits, now: time::Instant) -> Self {
        Self {
            limits,
            ramp_start: now,
            in_use: 0,
            queue: fair_queue::FairQueue::new(limits.queue as usize),
            draining: false,
            next_ticket: 0,
            service_time: statistics::MovingAverage::new(SERVICE_TIME_HALF_LIFE),
            credited: now,
            excess_in_use: 0,
            fair_grants: statistics::MovingAverage::new(FAIR_GRANT_HALF_LIFE),
            slot_usage: slot_usage::SlotUsage::default(),
        }
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Replaces the limits; requests in flight and waiting stay.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.queue.set_capacity(limits.queue as usize);
    }

    /// Starts the ramp again, for a backend server that was started anew.
    pub fn restart_ramp(&mut self, now: time::Instant) {
        self.ramp_start = now;
        self.draining = false;
    }

    /// Returns the load for the answer's load header.
    pub fn load(&self, now: time::Instant) -> load::Load {
        let queued = self.queue.len() as u32;
        load::Load { in_use: self.in_use, queued, slots: self.open_slots(now) }
    }

    /// Returns the mean time from hand-over to the end of recent requests.
    pub fn service_time(&self) -> Option<time::Duration> {
        self.service_time.value().map(time::Duration::from_secs_f64)
    }

    /// Tells whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Asks for a slot; `item` comes back with the decision. Call [`Admission::ready`] after a
    /// request was told to wait: a slot may have been kept for it.
    pub fn admit(&mut self, arrival: &Arrival, item: T, now: time::Instant) -> Decision<T> {
        self.add_credit(now);
        if self.draining {
            return Decision::Refuse(item, outcome::Refusal::Draining);
        }
        if arrival.deadline <= now {
            return Decision::Refuse(item, outcome::Refusal::DeadlineBeforeRun);
        }
        let class = self.class_of(Some(&arrival.organisation), now);
        if self.queue.is_empty() && self.has_slot(class, now) {
            self.queue.charge(&arrival.organisation, arrival.weight, now);
            self.take_slot(class, &arrival.priority, now);
            return Decision::Admit(item, class);
        }
        match self.wait_until(arrival, now) {
            Some(until) => self.enqueue(arrival, item, now, until),
            None => Decision::Refuse(item, outcome::Refusal::WaitTooLong),
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
        let waiting = Waiting { ticket, until, priority: arrival.priority, item };
        match self.queue.push(&arrival.organisation, arrival.weight, waiting, now) {
            fair_queue::PushResult::Queued => Decision::Queue { ticket, until, displaced: None },
            fair_queue::PushResult::Replaced(old) => {
                Decision::Queue { ticket, until, displaced: Some(old.item) }
            }
            fair_queue::PushResult::Full(w) => {
                Decision::Refuse(w.item, outcome::Refusal::QueueFull)
            }
        }
    }

    /// Gives a slot back; `took` is the time from hand-over to the end, where it is known.
    pub fn release(&mut self, class: Class, elapsed: Option<time::Duration>, now: time::Instant) {
        self.in_use = self.in_use.saturating_sub(1);
        if class == Class::Excess {
            self.excess_in_use = self.excess_in_use.saturating_sub(1);
        }
        if let Some(elapsed) = elapsed {
            self.service_time.record(elapsed.as_secs_f64(), now);
        }
    }

    /// Takes slots for waiting requests while there are free ones, and gives up those whose
    /// time has passed. Call it after every change and on a timer while the ramp runs.
    pub fn dequeue(&mut self, now: time::Instant) -> Vec<Dequeued<T>> {
        self.add_credit(now);
        let mut dequeued = Vec::new();
        loop {
            let class = self.class_of(None, now);
            if !self.has_slot(class, now) {
                break;
            }
            let mean = self.service_time().unwrap_or_default();
            let next = self.queue.pop_min_by_key(|waiting| waiting.priority.order(mean, now));
            let Some(waiting) = next else { break };
            if waiting.until <= now {
                dequeued.push(Dequeued::Refuse(waiting.item, outcome::Refusal::WaitTooLong));
                continue;
            }
            self.take_slot(class, &waiting.priority, now);
            dequeued.push(Dequeued::Admit(waiting.item, class));
        }
        dequeued
    }

    /// Removes a waiting request; `false` if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        !self.queue.remove_where(|waiting| waiting.ticket == ticket).is_empty()
    }

    /// Stops new work and returns the waiting requests, which have to be refused.
    pub fn drain(&mut self) -> Vec<T> {
        self.draining = true;
        self.queue.remove_where(|_| true).into_iter().map(|waiting| waiting.item).collect()
    }

    fn class_of(&self, organisation: Option<&str>, now: time::Instant) -> Class {
        if self.queue.is_excess(organisation, now) { Class::Excess } else { Class::Fair }
    }

    /// Tells whether a class may take a slot: those far over their share leave the slots that the
    /// others need on average, as a slot once given is not taken back.
    fn has_slot(&self, class: Class, now: time::Instant) -> bool {
        let open = self.open_slots(now);
        let excess_max = open.saturating_sub(self.fair_slots(now)).max(1);
        self.in_use < open && (class == Class::Fair || self.excess_in_use < excess_max)
    }

    /// Slots that fair organisations need on average (Little's law), rounded up.
    fn fair_slots(&self, now: time::Instant) -> u32 {
        let rate = self.fair_grants.weight(now) * std::f64::consts::LN_2;
        let rate = rate / FAIR_GRANT_HALF_LIFE.as_secs_f64();
        (rate * self.service_time.value().unwrap_or(0.0)).ceil() as u32
    }

    fn take_slot(&mut self, class: Class, priority: &priority::Priority, now: time::Instant) {
        self.in_use += 1;
        let mean = self.service_time().unwrap_or_default();
        self.slot_usage.record(priority.order(mean, now), now);
        match class {
            Class::Fair => self.fair_grants.record(1.0, now),
            Class::Excess => self.excess_in_use += 1,
        }
    }

    /// Slots open at `now`: one at the start of the ramp, all at its end.
    fn open_slots(&self, now: time::Instant) -> u32 {
        let age = now.saturating_duration_since(self.ramp_start);
        if age >= self.limits.ramp {
            return self.limits.slots;
        }
        let share = age.as_secs_f64() / self.limits.ramp.as_secs_f64();
        let open = (share * f64::from(self.limits.slots)).floor() as u32;
        open.clamp(1, self.limits.slots)
    }

    /// Credits the organisations with what the slots could have run since the last time.
    fn add_credit(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.credited).as_secs_f64();
        self.credited = self.credited.max(now);
        if let Some(mean) = self.service_time.value().filter(|mean| *mean > 0.0) {
            self.queue.advance(elapsed * f64::from(self.open_slots(now)) / mean, now);
        }
    }

    /// Returns until when a request is to wait for a slot; `None` if it cannot expect one in time.
    fn wait_until(&self, arrival: &Arrival, now: time::Instant) -> Option<time::Instant> {
        let allowed = self.limits.max_wait.min(arrival.deadline - now);
        let Some(mean) = self.service_time() else { return Some(now + allowed) };
        let wait = self.expected_wait(arrival, mean, now);
        if wait > allowed {
            return None;
        }
        let end = now + wait + mean;
        if let Some(latest) = arrival.priority.latest_start(mean, now)
            && arrival.priority.is_met_by(end)
        {
            return Some(latest.min(now + allowed));
        }
        if arrival.priority.objective.is_none() {
            return Some(now + allowed);
        }
        // A late one waits behind those that are not, so few of them are kept, and not for long.
        if wait > mean {
            return None;
        }
        let is_late = |waiting: &Waiting<T>| !waiting.priority.is_met_by(now + mean);
        let late_max = (LATE_PER_SLOT * self.open_slots(now)) as usize;
        let is_worth_it = end <= arrival.deadline && self.queue.count(is_late) < late_max;
        is_worth_it.then(|| now + (wait * LATE_WAIT_FACTOR).min(allowed))
    }

    /// Returns the wait to expect, from the requests ahead and from the slots that more urgent
    /// ones leave.
    fn expected_wait(
        &self,
        arrival: &Arrival,
        mean: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        let order = arrival.priority.order(mean, now);
        let is_ahead = |waiting: &Waiting<T>| waiting.priority.order(mean, now) <= order;
        let ahead = self.queue.count_ahead(&arrival.organisation, arrival.weight, is_ahead) + 1;
        let slots = self.open_slots(now);
        let remaining =
            self.slot_usage.remaining_share(order, mean, slots, now).max(REMAINING_SHARE_MIN);
        mean.mul_f64(ahead as f64 / (f64::from(slots) * remaining))
    }
}

#[cfg(test)]
mod tests;
