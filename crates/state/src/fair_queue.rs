//! Bounded queue with weighted fairness between organisations.

use std::cmp;
use std::collections;
use std::time;

use indexmap::IndexMap;

use crate::ids;

/// Queue of `T` that serves organisations in proportion to their weights.
///
/// A form of weighted fair queueing. Virtual time advances by the number of requests that could
/// have been served, divided by the total weight of the active organisations. Each request that is
/// served moves the finish time of its organisation on by one over the weight, and the organisation
/// with the smallest start time is served next. The start time of an organisation below its share
/// can lag virtual time by [`CREDIT_MAX`], so that its bursts overtake the backlog of heavier
/// users. A full queue evicts the newest item of the organisation with the largest backlog relative
/// to its weight.
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
    /// Number of requests that an organisation of weight one has been entitled to so far.
    virtual_time: f64,
    flows: IndexMap<ids::OrganisationName, Flow<T>>,
}

#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    /// Requests charged so far, divided by the weight; comparable with the virtual time.
    finish_time: f64,
    last_request: time::Instant,
    waiting: collections::VecDeque<T>,
}

/// Maximum lag of a start time behind the virtual time: the number of requests for which an
/// organisation of weight one can save up credit while it is below its share.
const CREDIT_MAX: f64 = 64.0;
/// Maximum lead of the smallest finish time among the waiting organisations over the virtual time.
const DEBT_MAX: f64 = 64.0;
/// Lead of an organisation's next start time over the virtual time from which the organisation far
/// exceeds its share.
const EXCESS_MIN: f64 = 48.0;
/// Time since its last request within which an organisation counts as active.
const ACTIVE_FOR: time::Duration = time::Duration::from_secs(1);
/// Maximum number of organisations without queued items whose state is kept.
const IDLE_FLOWS_MAX: usize = 256;

/// Result of adding an item.
#[derive(Debug, PartialEq)]
pub enum PushResult<T> {
    /// The item was queued.
    Queued,
    /// The item was queued and has evicted this one, which must be rejected.
    Evicted(T),
    /// The item was not queued: the queue is full, and no other organisation has a larger backlog
    /// relative to its weight.
    Full(T),
}

impl<T> FairQueue<T> {
    /// Returns an empty queue that holds at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, length: 0, virtual_time: 0.0, flows: IndexMap::new() }
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no items are queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Changes the capacity; items already queued are kept.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the maximum number of queued items that are served before a new one of
    /// `organisation`. `is_ahead` selects those of the same organisation that go first, `is_first`
    /// those of all organisations that [`FairQueue::pop_first_by_key`] prefers.
    pub fn count_ahead(
        &self,
        organisation: &str,
        weight: u32,
        is_ahead: impl Fn(&T) -> bool,
        is_first: impl Fn(&T) -> bool,
    ) -> usize {
        let waiting = self.flows.get(organisation).map(|flow| flow.waiting.iter());
        let own_ahead = waiting.into_iter().flatten().filter(|item| is_ahead(item)).count();
        let rounds = (own_ahead + 1) as f64 / f64::from(weight.max(1));
        let others = self.flows.iter().filter(|(name, _)| &***name != organisation);
        let served_first = |flow: &Flow<T>| {
            let quota = (rounds * flow.weight).ceil() as usize;
            let first = flow.waiting.iter().filter(|item| is_first(item)).count();
            quota.min(flow.waiting.len()).max(first)
        };
        own_ahead + others.map(|(_, flow)| served_first(flow)).sum::<usize>()
    }

    /// Advances virtual time by `requests` that could have been served, divided among the active
    /// organisations.
    pub fn advance(&mut self, requests: f64, now: time::Instant) {
        let is_active = |flow: &&Flow<T>| {
            !flow.waiting.is_empty()
                || now.saturating_duration_since(flow.last_request) < ACTIVE_FOR
        };
        let weights: f64 = self.flows.values().filter(is_active).map(|flow| flow.weight).sum();
        if weights > 0.0 {
            self.virtual_time += requests / weights;
        }
    }

    /// Charges an organisation for a request that was served without being queued.
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

    /// Adds an item of an organisation.
    pub fn push(
        &mut self,
        organisation: &ids::OrganisationName,
        weight: u32,
        item: T,
        now: time::Instant,
    ) -> PushResult<T> {
        self.push_by_class(organisation, weight, item, |_| (), now)
    }

    /// Adds an item of an organisation. A full queue evicts the newest item of the largest class if
    /// that is larger than the class of `item`; otherwise the item only competes with those of its
    /// own class.
    pub fn push_by_class<K: Ord>(
        &mut self,
        organisation: &ids::OrganisationName,
        weight: u32,
        item: T,
        class: impl Fn(&T) -> K,
        now: time::Instant,
    ) -> PushResult<T> {
        let mut evicted = None;
        if self.length >= self.capacity {
            let own_class = class(&item);
            let waiting = self.flows.values().flat_map(|flow| &flow.waiting);
            let last_class = waiting.map(&class).max();
            let is_last = |other: &T| last_class.as_ref() == Some(&class(other));
            let backlog = match last_class.as_ref().map(|last| last.cmp(&own_class)) {
                None | Some(cmp::Ordering::Less) => None,
                Some(cmp::Ordering::Equal) => {
                    self.largest_backlog(organisation, f64::from(weight.max(1)), is_last)
                }
                Some(cmp::Ordering::Greater) => self.largest_backlog_of_all(is_last),
            };
            evicted = backlog.and_then(|index| self.evict_newest(index, is_last));
            if evicted.is_none() {
                return PushResult::Full(item);
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

    /// Returns the number of queued items that satisfy `predicate`.
    pub fn count(&self, predicate: impl Fn(&T) -> bool) -> usize {
        let waiting = self.flows.values().flat_map(|flow| flow.waiting.iter());
        waiting.filter(|item| predicate(item)).count()
    }

    /// Returns the smallest key of all queued items; `None` if the queue is empty.
    pub fn min_by<K: Ord>(&self, key: impl Fn(&T) -> K) -> Option<K> {
        self.flows.values().flat_map(|flow| &flow.waiting).map(key).min()
    }

    /// Removes and returns the next item, which is the oldest of its organisation; `None` if the
    /// queue is empty.
    pub fn pop(&mut self) -> Option<T> {
        self.pop_min_by_key(|_| ())
    }

    /// Removes and returns the next item: the oldest of those with the smallest key in the
    /// organisation to be served next. `None` if the queue is empty.
    pub fn pop_min_by_key<K: Ord>(&mut self, key: impl Fn(&T) -> K) -> Option<T> {
        self.pop_first_by_key(|_| true, key)
    }

    /// Removes and returns the next of the items that satisfy `is_first`: the oldest of those with
    /// the smallest key in the organisation to be served next among those that have any. `None` if
    /// no item satisfies it.
    pub fn pop_first_by_key<K: Ord>(
        &mut self,
        is_first: impl Fn(&T) -> bool,
        key: impl Fn(&T) -> K,
    ) -> Option<T> {
        let virtual_time = self.virtual_time;
        let waiting = self.flows.values_mut().filter(|flow| flow.waiting.iter().any(&is_first));
        let next = waiting
            .min_by(|a, b| a.start_time(virtual_time).total_cmp(&b.start_time(virtual_time)))?;
        let candidates = next.waiting.iter().enumerate().filter(|(_, item)| is_first(item));
        let (first, _) = candidates.min_by_key(|(_, item)| key(item))?;
        let item = next.waiting.remove(first)?;
        next.charge(virtual_time);
        self.length -= 1;
        self.limit_debt();
        self.evict_idle();
        Some(item)
    }

    /// Removes and returns the items that satisfy `predicate`.
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

    /// Returns the index of the flow with the largest backlog of the items that satisfy `counts`,
    /// relative to its weight, or `None` if that of `organisation`, with one more item, would be at
    /// least as large.
    fn largest_backlog(
        &self,
        organisation: &str,
        weight: f64,
        counts: impl Fn(&T) -> bool,
    ) -> Option<usize> {
        let own_waiting = self.flows.get(organisation).map_or(0, |flow| flow.count(&counts));
        let own_backlog = (own_waiting + 1) as f64 / weight;
        let others =
            self.flows.iter().enumerate().filter(|(_, (name, _))| &***name != organisation);
        let (index, longest) = others
            .map(|(index, (_, flow))| (index, flow.count(&counts) as f64 / flow.weight))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        (longest > own_backlog).then_some(index)
    }

    /// Returns the index of the flow with the largest backlog of the items that satisfy `counts`,
    /// relative to its weight.
    fn largest_backlog_of_all(&self, counts: impl Fn(&T) -> bool) -> Option<usize> {
        let backlogs = self.flows.values().map(|flow| flow.count(&counts) as f64 / flow.weight);
        backlogs.enumerate().max_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
    }

    /// Removes the newest item of a flow that satisfies `may_evict`.
    fn evict_newest(&mut self, index: usize, may_evict: impl Fn(&T) -> bool) -> Option<T> {
        let (_, flow) = self.flows.get_index_mut(index)?;
        let newest = flow.waiting.iter().rposition(may_evict)?;
        let item = flow.waiting.remove(newest)?;
        self.length -= 1;
        Some(item)
    }

    /// Advances virtual time so that the smallest finish time of a waiting organisation leads it by
    /// at most [`DEBT_MAX`].
    fn limit_debt(&mut self) {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        if let Some(least) = waiting.map(|flow| flow.finish_time).min_by(f64::total_cmp) {
            self.virtual_time = self.virtual_time.max(least - DEBT_MAX);
        }
    }

    /// Removes the least recently active organisations without queued items beyond
    /// [`IDLE_FLOWS_MAX`].
    fn evict_idle(&mut self) {
        while self.flows.len() > self.length + IDLE_FLOWS_MAX {
            let idle = self.flows.values().enumerate().filter(|(_, f)| f.waiting.is_empty());
            let Some((oldest, _)) = idle.min_by_key(|(_, flow)| flow.last_request) else { break };
            self.flows.swap_remove_index(oldest);
        }
    }
}

impl<T> Flow<T> {
    /// Returns the virtual start time of the next request; the smallest is served first.
    fn start_time(&self, virtual_time: f64) -> f64 {
        self.finish_time.max(virtual_time - CREDIT_MAX)
    }

    fn count(&self, counts: impl Fn(&T) -> bool) -> usize {
        self.waiting.iter().filter(|item| counts(item)).count()
    }

    fn charge(&mut self, virtual_time: f64) {
        self.finish_time = self.start_time(virtual_time) + 1.0 / self.weight;
    }
}

#[cfg(test)]
mod tests;
