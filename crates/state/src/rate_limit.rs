//! Fleet-wide rate limits of organisations without a message per request.
//!
//! Every ingress enforces its share of each limit. Twice a second it reports the demand of its
//! busiest organisations to their allocators, which respond with the shares. The allocator of an
//! organisation is a daemon chosen by rendezvous hashing over the live ones.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::statistics;
use crate::token_bucket;

value! {
    /// Demand of one organisation at one ingress.
    pub struct Demand {
        /// Organisation that sent the requests.
        pub organisation: ids::OrganisationName,
        /// Requests per second that arrived, whether admitted or not.
        pub rate: f64,
    }

    /// Share of an organisation's limit that one ingress may admit.
    pub struct Share {
        /// Organisation that the limit applies to.
        pub organisation: ids::OrganisationName,
        /// Requests per second that the ingress may admit.
        pub rate: f64,
    }
}

/// Rate limiter of one ingress.
#[derive(Debug, Default)]
pub struct LocalLimiter {
    organisations: IndexMap<ids::OrganisationName, OrganisationUsage>,
}

#[derive(Debug)]
struct OrganisationUsage {
    limit: f64,
    bucket: token_bucket::TokenBucket,
    arrivals: u32,
    demand: statistics::MovingAverage,
    rate: f64,
    share_until: Option<time::Instant>,
    last_request: time::Instant,
}

/// Maximum number of organisations in one report of an ingress; bounds the control traffic.
pub const DEMANDS_MAX: usize = 8;
/// Interval between reports.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
const SHARE_TTL: time::Duration = time::Duration::from_secs(5);
const IDLE_TTL: time::Duration = time::Duration::from_secs(30);
const DEMAND_HALF_LIFE: time::Duration = time::Duration::from_secs(1);
/// Burst that a share allows, in seconds at its rate.
const BURST_S: f64 = 0.25;
/// Maximum number of daemons that a limit is divided by while no share has arrived, so that small
/// limits stay usable in a large fleet until then.
const DEFAULT_SPLIT_MAX: usize = 4;

impl LocalLimiter {
    /// Counts a request and returns whether the organisation's share admits it.
    ///
    /// `limit` is the fleet-wide limit in requests per second, `daemons` the number of live
    /// daemons.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::rate_limit;
    /// let now = std::time::Instant::now();
    /// let mut limiter = rate_limit::LocalLimiter::default();
    /// let name = "mailers".into();
    /// let admitted = (0..100).filter(|_| limiter.admit(&name, 40.0, 1, now)).count();
    /// assert_eq!(admitted, 10);
    /// ```
    pub fn admit(
        &mut self,
        organisation: &ids::OrganisationName,
        limit: f64,
        daemons: usize,
        now: time::Instant,
    ) -> bool {
        let default = limit / daemons.clamp(1, DEFAULT_SPLIT_MAX) as f64;
        let usage =
            self.organisations.entry(organisation.clone()).or_insert_with(|| OrganisationUsage {
                limit,
                bucket: token_bucket::TokenBucket::new(default, burst(default), now),
                arrivals: 0,
                demand: statistics::MovingAverage::new(DEMAND_HALF_LIFE),
                rate: default,
                share_until: None,
                last_request: now,
            });
        let is_expired = usage.share_until.is_some_and(|until| until <= now);
        if usage.limit != limit || is_expired {
            usage.limit = limit;
            usage.share_until = None;
            usage.set_rate(default, now);
        }
        usage.arrivals += 1;
        usage.last_request = now;
        usage.bucket.take(1.0, now)
    }

    /// Ends a reporting period of length `period` and returns up to [`DEMANDS_MAX`] demands to
    /// report, the largest in relation to their limits first.
    pub fn take_report(&mut self, period: time::Duration, now: time::Instant) -> Vec<Demand> {
        self.organisations.retain(|_, usage| now - usage.last_request.min(now) < IDLE_TTL);
        for usage in self.organisations.values_mut() {
            let rate = f64::from(std::mem::take(&mut usage.arrivals)) / period.as_secs_f64();
            usage.demand.record(rate, now);
        }
        let mut busy: Vec<(&ids::OrganisationName, &OrganisationUsage)> = self
            .organisations
            .iter()
            .filter(|(_, usage)| now - usage.last_request < SHARE_TTL)
            .collect();
        busy.sort_by(|a, b| b.1.utilisation().total_cmp(&a.1.utilisation()));
        let chosen = busy.into_iter().take(DEMANDS_MAX);
        let demand = |(name, usage): (&ids::OrganisationName, &OrganisationUsage)| Demand {
            organisation: name.clone(),
            rate: usage.demand.value().unwrap_or(0.0),
        };
        chosen.map(demand).collect()
    }

    /// Applies the shares in an allocator's response to a report that was sent at `reported`. They
    /// expire no later at this limiter than at the allocator, however late the response arrives.
    pub fn apply_shares(&mut self, shares: &[Share], reported: time::Instant, now: time::Instant) {
        let until = reported + SHARE_TTL;
        if until <= now {
            return;
        }
        for share in shares {
            let Some(usage) = self.organisations.get_mut(&share.organisation) else { continue };
            if usage.share_until.is_none_or(|newest| newest <= until) {
                usage.share_until = Some(until);
                usage.set_rate(share.rate, now);
            }
        }
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

impl OrganisationUsage {
    fn set_rate(&mut self, rate: f64, now: time::Instant) {
        self.rate = rate;
        self.bucket.set_rate(rate, burst(rate), now);
    }

    fn utilisation(&self) -> f64 {
        self.demand.value().unwrap_or(0.0) / self.limit
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

/// Divides the limits of organisations among ingresses by the demand that these report.
#[derive(Debug, Default)]
pub struct Allocator {
    organisations: IndexMap<ids::OrganisationName, IndexMap<ids::DaemonName, Report>>,
}

#[derive(Debug)]
struct Report {
    rate: f64,
    received: time::Instant,
}

impl Allocator {
    /// Records the demand of an ingress and returns its share of the `limit`.
    ///
    /// Shares are proportional to demand. The part of the limit that exceeds the total demand is
    /// divided evenly.
    pub fn allocate(
        &mut self,
        daemon: &ids::DaemonName,
        demand: &Demand,
        limit: f64,
        now: time::Instant,
    ) -> Share {
        let reports = self.organisations.entry(demand.organisation.clone()).or_default();
        reports.retain(|_, report| now.saturating_duration_since(report.received) < SHARE_TTL);
        reports.insert(daemon.clone(), Report { rate: demand.rate, received: now });
        let total: f64 = reports.values().map(|report| report.rate).sum();
        let rate = if total > limit {
            limit * demand.rate / total
        } else {
            demand.rate + (limit - total) / reports.len() as f64
        };
        Share { organisation: demand.organisation.clone(), rate }
    }

    /// Removes outdated reports, and organisations without any others.
    pub fn expire(&mut self, now: time::Instant) {
        self.organisations.retain(|_, reports| {
            reports.retain(|_, report| now.saturating_duration_since(report.received) < SHARE_TTL);
            !reports.is_empty()
        });
    }
}

/// Returns the daemon that allocates an organisation's limit, or `None` without daemons.
pub fn allocator_for<'a>(
    organisation: &str,
    daemons: impl Iterator<Item = &'a ids::DaemonName>,
) -> Option<&'a ids::DaemonName> {
    daemons.max_by_key(|daemon| {
        let mut hasher = hash::DefaultHasher::new();
        (organisation, &***daemon).hash(&mut hasher);
        hasher.finish()
    })
}

#[cfg(test)]
mod tests;
