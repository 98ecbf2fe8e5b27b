//! What one entry knows of the traffic to each service: the retry budget, the usual time, and the
//! calls that a repeated request makes again.

use std::time;

use indexmap::IndexMap;

use crate::calls;
use crate::ids;
use crate::latency;
use crate::retry;

/// Traffic of all services at one entry.
#[derive(Debug, Default)]
pub struct Table {
    services: IndexMap<ids::ServiceName, Traffic>,
}

/// What one entry knows of a service's traffic.
#[derive(Debug)]
pub struct Traffic {
    /// Retries and hedges allowed.
    pub budget: retry::Budget,
    /// Time to an answer's head that 95 of 100 requests stay below, in seconds.
    pub usual: latency::Quantile,
    /// Calls that one run makes, by the service called, as heard from gates.
    calls: IndexMap<ids::ServiceName, latency::Average>,
}

const USUAL_QUANTILE: f64 = 0.95;
/// Time over which gates' reports of calls are averaged: they differ, as each counts a few runs.
const CALLS_HALF_LIFE: time::Duration = time::Duration::from_secs(10);

impl Default for Traffic {
    fn default() -> Self {
        let usual = latency::Quantile::new(USUAL_QUANTILE);
        Self { budget: retry::Budget::default(), usual, calls: IndexMap::new() }
    }
}

impl Traffic {
    /// Notes what a gate says of the calls that runs of the service make.
    pub fn hear_calls(&mut self, heard: &calls::PerRun, now: time::Instant) {
        for (service, rate) in &heard.0 {
            let new = || latency::Average::new(CALLS_HALF_LIFE);
            self.calls.entry(service.clone()).or_insert_with(new).record(*rate, now);
        }
        let is_heard = |name: &ids::ServiceName| heard.0.iter().any(|(other, _)| other == name);
        for (_, rate) in self.calls.iter_mut().filter(|(name, _)| !is_heard(name)) {
            rate.record(0.0, now);
        }
    }
}

impl Table {
    /// Returns what is known of a service.
    pub fn of(&mut self, service: &ids::ServiceName) -> &mut Traffic {
        let index = self.services.get_index_of(service);
        let index = index
            .unwrap_or_else(|| self.services.insert_full(service.clone(), Traffic::default()).0);
        &mut self.services[index]
    }

    /// Takes one retry of `service` if its budget and those of the services that the run will call
    /// again allow it; `shared` returns the fleet's bound on a service's retries, where it has one.
    pub fn withdraw(
        &mut self,
        service: &ids::ServiceName,
        shared: &impl Fn(&str) -> Option<retry::Shared>,
        now: time::Instant,
    ) -> bool {
        let costs = self.costs(service, shared, now);
        let is_paid = costs.iter().all(|(name, cost)| self.of(name).budget.covers(*cost));
        if is_paid {
            costs.iter().for_each(|(name, cost)| self.of(name).budget.charge(*cost));
        }
        is_paid
    }

    /// Tells whether a request may be sent where it may well fail.
    pub fn can_spare(
        &mut self,
        service: &ids::ServiceName,
        shared: &impl Fn(&str) -> Option<retry::Shared>,
        now: time::Instant,
    ) -> bool {
        let costs = self.costs(service, shared, now);
        let mut calls = costs.iter().skip(1);
        self.of(service).budget.can_spare()
            && calls.all(|(name, cost)| self.of(name).budget.covers(*cost))
    }

    /// Returns what one retry costs: one for the service itself, which comes first, and the calls
    /// that its run makes, at the services called that have a shared budget. Brings all of these
    /// budgets up to date.
    fn costs(
        &mut self,
        service: &ids::ServiceName,
        shared: &impl Fn(&str) -> Option<retry::Shared>,
        now: time::Instant,
    ) -> Vec<(ids::ServiceName, f64)> {
        let own = self.of(service);
        if let Some(bound) = shared(service) {
            own.budget.refill(&bound, now);
        }
        let calls: Vec<(ids::ServiceName, f64)> = own
            .calls
            .iter()
            .filter_map(|(name, rate)| Some((name.clone(), rate.value()?)))
            .filter(|(_, rate)| *rate > 0.0)
            .collect();
        let mut costs = vec![(service.clone(), 1.0)];
        for (name, rate) in calls {
            let Some(bound) = shared(&name) else { continue };
            self.of(&name).budget.refill(&bound, now);
            match costs.iter_mut().find(|(other, _)| *other == name) {
                Some((_, cost)) => *cost += rate,
                None => costs.push((name, rate)),
            }
        }
        costs
    }
}

#[cfg(test)]
mod tests;
