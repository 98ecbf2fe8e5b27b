//! Weighted fair queue between organisations: bounded, with credit for those below their share.

use std::collections;
use std::time;

use indexmap::IndexMap;

use crate::ids;

/// Queue of `T` shared by organisations in proportion to their weights.
///
/// What could be served is earned by the organisations that ask, in proportion to their weights,
/// and each service is charged to its organisation. The one that is furthest ahead of its charges
/// is served next. An organisation below its share saves up [`CREDIT`], so that its bursts pass
/// the backlog of those that use more. A full queue makes room by giving up the newest entry of
/// the organisation that is furthest over its share.
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
    /// Services earned so far by an organisation of weight one.
    virtual_time: f64,
    flows: IndexMap<ids::OrganisationName, Flow<T>>,
}

#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    /// Services charged, divided by the weight; comparable with what was earned.
    finish_time: f64,
    last_request: time::Instant,
    waiting: collections::VecDeque<T>,
}

/// Services that an organisation of weight one may save up while it uses less than its share.
const CREDIT_MAX: f64 = 64.0;
/// Services by which the least charged waiting organisation may be ahead of what it earned.
const DEBT_MAX: f64 = 64.0;
/// Services charged beyond what was earned from which an organisation is far over its share.
const EXCESS_MIN: f64 = 48.0;
/// Time after its last request for which an organisation earns.
const ACTIVE_FOR: time::Duration = time::Duration::from_secs(1);
/// Organisations remembered with nothing waiting.
const IDLE_FLOWS_MAX: usize = 256;

/// What became of a pushed entry.
#[derive(Debug, PartialEq)]
pub enum PushResult<T> {
    /// The entry waits.
    Queued,
    /// The entry waits in place of this one, which has to be refused.
    Replaced(T),
    /// The queue is full and the entry's organisation is furthest over its share.
    Full(T),
}

impl<T> FairQueue<T> {
    /// Returns an empty queue of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, length: 0, virtual_time: 0.0, flows: IndexMap::new() }
    }

    /// Returns the number of entries waiting.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Changes the capacity; entries already waiting stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns how many entries are served before a new one of `organisation` at most, where
    /// `is_before` tells which of its own entries are.
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

    /// Divides `services` that could have been run among the organisations that ask.
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

    /// Charges an organisation for a service that did not wait.
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
        let mut replaced = None;
        if self.length >= self.capacity {
            match self.largest_backlog(organisation, f64::from(weight.max(1))) {
                Some(index) => replaced = self.drop_newest(index),
                None => return PushResult::Full(item),
            }
        }
        self.flow(organisation, weight, now).waiting.push_back(item);
        self.length += 1;
        replaced.map_or(PushResult::Queued, PushResult::Replaced)
    }

    /// Tells whether an organisation, or the one that is next if none is named, is far over its
    /// share while another one that is not has asked lately.
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

    /// Returns the number of entries for which `holds`.
    pub fn count(&self, predicate: impl Fn(&T) -> bool) -> usize {
        let waiting = self.flows.values().flat_map(|flow| flow.waiting.iter());
        waiting.filter(|item| predicate(item)).count()
    }

    /// Takes the entry to serve next, the oldest of its organisation.
    pub fn pop(&mut self) -> Option<T> {
        self.pop_min_by_key(|_| ())
    }

    /// Takes the entry to serve next: of the organisation whose turn it is, the oldest among those
    /// with the smallest key.
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

    /// Removes the entries for which `gone` holds and returns them.
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

    /// Returns an organisation's flow; a new one starts with neither credit nor debt.
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

    /// Finds the flow furthest over its share, if further than the newcomer would be.
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

    /// Keeps the debt of the least charged waiting organisation within [`DEBT`].
    fn limit_debt(&mut self) {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        if let Some(least) = waiting.map(|flow| flow.finish_time).min_by(f64::total_cmp) {
            self.virtual_time = self.virtual_time.max(least - DEBT_MAX);
        }
    }

    /// Forgets the oldest idle organisations beyond [`IDLE_MAX`].
    fn evict_idle(&mut self) {
        while self.flows.len() > self.length + IDLE_FLOWS_MAX {
            let idle = self.flows.values().enumerate().filter(|(_, f)| f.waiting.is_empty());
            let Some((oldest, _)) = idle.min_by_key(|(_, flow)| flow.last_request) else { break };
            self.flows.swap_remove_index(oldest);
        }
    }
}

impl<T> Flow<T> {
    /// Place in the order of service: the smallest is next.
    fn start_time(&self, virtual_time: f64) -> f64 {
        self.finish_time.max(virtual_time - CREDIT_MAX)
    }

    fn charge(&mut self, virtual_time: f64) {
        self.finish_time = self.start_time(virtual_time) + 1.0 / self.weight;
    }
}

#[cfg(test)]
mod tests;
