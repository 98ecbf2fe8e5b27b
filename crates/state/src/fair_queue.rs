//! Bounded queue with weighted fairness between organisations.

use std::collections;
use std::time;

use indexmap::IndexMap;

use crate::ids;

/// Queue of `T` that serves organisations in proportion to their weights.
///
/// A form of weighted fair queueing. Virtual time advances with the services that could have been
/// run, divided by the total weight of the active organisations. Each service moves the finish time
/// of its organisation on by one service over its weight, and the organisation with the smallest
/// start time is served next. An organisation below its share can fall behind virtual time by
/// [`CREDIT_MAX`], so that its bursts overtake the backlog of heavier users. A full queue evicts
/// the newest entry of the organisation with the largest backlog relative to its weight.
///
/// # Examples
///
/// ```
/// use lynxmast_state::fair_queue;
///
/// let now = std::time::Instant::now();
/// let mut queue = fair_queue::FairQueue::new(8);
/// for n in 0..3 {
///     queue.push(&"busy".into(), 1, n, now);
/// }
/// queue.push(&"calm".into(), 1, 10, now);
/// let order: Vec<i32> = std::iter::from_fn(|| queue.pop()).collect();
/// assert_eq!(order, [0, 10, 1, 2]);
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    length: usize,
    /// Services available so far to an organisation of weight one.
    virtual_time: f64,
    flows: IndexMap<ids::OrganisationName, Flow<T>>,
}

#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    /// Services charged so far, divided by the weight; comparable with the virtual time.
    finish_time: f64,
    last_request: time::Instant,
    waiting: collections::VecDeque<T>,
}

/// Number of services that an organisation of weight one can save while it is below its share.
const CREDIT_MAX: f64 = 64.0;
/// Number of services by which the smallest finish time of a waiting organisation may exceed the
/// virtual time.
const DEBT_MAX: f64 = 64.0;
/// Number of services by which the next start time of an organisation that far exceeds its share is
/// ahead of the virtual time.
const EXCESS_MIN: f64 = 48.0;
/// Time after its last request for which an organisation counts as active.
const ACTIVE_FOR: time::Duration = time::Duration::from_secs(1);
/// Maximum number of organisations kept without waiting entries.
const IDLE_FLOWS_MAX: usize = 256;

/// Result of adding an entry.
#[derive(Debug, PartialEq)]
pub enum PushResult<T> {
    /// The entry was queued.
    Queued,
    /// The entry was queued and has evicted this one, which has to be rejected.
    Evicted(T),
    /// The queue is full and no other organisation has a larger backlog relative to its weight.
    Full(T),
}

impl<T> FairQueue<T> {
    /// Returns an empty queue that holds at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, length: 0, virtual_time: 0.0, flows: IndexMap::new() }
    }

    /// Returns the number of queued entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no entries are queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Changes the capacity; entries already queued are kept.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the maximum number of entries served before a new one of `organisation`. `is_ahead`
    /// selects the organisation's own entries that go first.
    pub fn count_ahead(
        &self,
        organisation: &str,
        weight: u32,
        is_ahead: impl Fn(&T) -> bool,
    ) -> usize {
        let waiting = self.flows.get(organisation).map(|flow| flow.waiting.iter());
        let own = waiting.into_iter().flatten().filter(|item| is_ahead(item)).count();
        let rounds = (own + 1) as f64 / f64::from(weight.max(1));
        let others = self.flows.iter().filter(|(name, _)| &***name != organisation);
        let served_first = |flow: &Flow<T>| {
            let share = (rounds * flow.weight).ceil() as usize;
            share.min(flow.waiting.len())
        };
        own + others.map(|(_, flow)| served_first(flow)).sum::<usize>()
    }

    /// Advances virtual time by `services` that could have been run, divided among the active
    /// organisations.
    pub fn advance(&mut self, services: f64, now: time::Instant) {
        let is_active = |flow: &&Flow<T>| {
            !flow.waiting.is_empty()
                || now.saturating_duration_since(flow.last_request) < ACTIVE_FOR
        };
        let weights: f64 = self.flows.values().filter(is_active).map(|flow| flow.weight).sum();
        if weights > 0.0 {
            self.virtual_time += services / weights;
        }
    }

    /// Charges an organisation for a service that was not queued.
    pub fn charge(
        &mut self,
        organisation: &ids::OrganisationName,
        weight: u32,
        now: time::Instant,
    ) {
        let virtual_time = self.virtual_time;
        self.flow(organisation, weight, now).charge(virtual_time);
        self.evict_idle();
    }

    /// Adds an entry of an organisation.
    pub fn push(
        &mut self,
        organisation: &ids::OrganisationName,
        weight: u32,
        item: T,
        now: time::Instant,
    ) -> PushResult<T> {
        let mut evicted = None;
        if self.length >= self.capacity {
            match self.largest_backlog(organisation, f64::from(weight.max(1))) {
                Some(index) => evicted = self.drop_newest(index),
                None => return PushResult::Full(item),
            }
        }
        self.flow(organisation, weight, now).waiting.push_back(item);
        self.length += 1;
        evicted.map_or(PushResult::Queued, PushResult::Evicted)
    }

    /// Returns whether an organisation far exceeds its share while another one that does not is
    /// active. `None` stands for the organisation to be served next.
    pub fn is_excess(&self, organisation: Option<&str>, now: time::Instant) -> bool {
        let start_time = match organisation {
            Some(name) => self.flows.get(name).map(|flow| flow.start_time(self.virtual_time)),
            None => self.next_start_time(),
        };
        let excess_start = self.virtual_time + EXCESS_MIN;
        let is_active_below = |flow: &Flow<T>| {
            flow.finish_time <= excess_start
                && now.saturating_duration_since(flow.last_request) < ACTIVE_FOR
        };
        start_time.is_some_and(|start| start > excess_start)
            && self.flows.values().any(is_active_below)
    }

    fn next_start_time(&self) -> Option<f64> {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        waiting.map(|flow| flow.start_time(self.virtual_time)).min_by(f64::total_cmp)
    }

    /// Returns the number of entries that satisfy `predicate`.
    pub fn count(&self, predicate: impl Fn(&T) -> bool) -> usize {
        let waiting = self.flows.values().flat_map(|flow| flow.waiting.iter());
        waiting.filter(|item| predicate(item)).count()
    }

    /// Removes and returns the next entry, which is the oldest of its organisation.
    pub fn pop(&mut self) -> Option<T> {
        self.pop_min_by_key(|_| ())
    }

    /// Removes and returns the next entry: the oldest of those with the smallest key in the
    /// organisation to be served next.
    pub fn pop_min_by_key<K: Ord>(&mut self, key: impl Fn(&T) -> K) -> Option<T> {
        let virtual_time = self.virtual_time;
        let waiting = self.flows.values_mut().filter(|flow| !flow.waiting.is_empty());
        let next = waiting
            .min_by(|a, b| a.start_time(virtual_time).total_cmp(&b.start_time(virtual_time)))?;
        let (first, _) = next.waiting.iter().enumerate().min_by_key(|(_, item)| key(item))?;
        let item = next.waiting.remove(first)?;
        next.charge(virtual_time);
        self.length -= 1;
        self.limit_debt();
        self.evict_idle();
        Some(item)
    }

    /// Removes and returns the entries that satisfy `predicate`.
    pub fn remove_where(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            for item in std::mem::take(&mut flow.waiting) {
                if predicate(&item) {
                    removed.push(item);
                } else {
                    flow.waiting.push_back(item);
                }
            }
        }
        self.length -= removed.len();
        removed
    }

    /// Returns the flow of an organisation. A new flow starts with neither credit nor debt.
    fn flow(
        &mut self,
        organisation: &ids::OrganisationName,
        weight: u32,
        now: time::Instant,
    ) -> &mut Flow<T> {
        let (weight, finish_time) = (f64::from(weight.max(1)), self.virtual_time);
        let new = || Flow { weight, finish_time, last_request: now, waiting: Default::default() };
        let flow = self.flows.entry(organisation.clone()).or_insert_with(new);
        flow.weight = weight;
        flow.last_request = now;
        flow
    }

    /// Returns the index of the flow with the largest backlog relative to its weight, or `None` if
    /// the newcomer's would be at least as large.
    fn largest_backlog(&self, newcomer: &str, weight: f64) -> Option<usize> {
        let own = self.flows.get(newcomer).map_or(0, |flow| flow.waiting.len());
        let own_backlog = (own + 1) as f64 / weight;
        let backlog = |flow: &Flow<T>| flow.waiting.len() as f64 / flow.weight;
        let others = self.flows.iter().enumerate().filter(|(_, (name, _))| &***name != newcomer);
        let (index, longest) = others
            .map(|(index, (_, flow))| (index, backlog(flow)))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        (longest > own_backlog).then_some(index)
    }

    fn drop_newest(&mut self, index: usize) -> Option<T> {
        let (_, flow) = self.flows.get_index_mut(index)?;
        let newest = flow.waiting.pop_back()?;
        self.length -= 1;
        Some(newest)
    }

    /// Limits the debt of the waiting organisation with the smallest finish time to [`DEBT_MAX`].
    fn limit_debt(&mut self) {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        if let Some(least) = waiting.map(|flow| flow.finish_time).min_by(f64::total_cmp) {
            self.virtual_time = self.virtual_time.max(least - DEBT_MAX);
        }
    }

    /// Removes the least recently active idle organisations beyond [`IDLE_FLOWS_MAX`].
    fn evict_idle(&mut self) {
        while self.flows.len() > self.length + IDLE_FLOWS_MAX {
            let idle = self.flows.values().enumerate().filter(|(_, f)| f.waiting.is_empty());
            let Some((oldest, _)) = idle.min_by_key(|(_, flow)| flow.last_request) else { break };
            self.flows.swap_remove_index(oldest);
        }
    }
}

impl<T> Flow<T> {
    /// Returns the virtual start time of the next service; the smallest is served first.
    fn start_time(&self, virtual_time: f64) -> f64 {
        self.finish_time.max(virtual_time - CREDIT_MAX)
    }

    fn charge(&mut self, virtual_time: f64) {
        self.finish_time = self.start_time(virtual_time) + 1.0 / self.weight;
    }
}

#[cfg(test)]
mod tests;
