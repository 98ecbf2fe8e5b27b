//! Load reports that daemons gossip: demand of the callers of each ingress, and slots and service
//! times of the upstreams of each sidecar.

use std::collections;
use std::time;

use crate::ids;
use crate::spillover;
use crate::statistics;

value! {
    /// Load of one daemon. Names are replaced by hashes to keep the report small.
    #[derive(Eq)]
    pub struct LoadReport {
        /// Hash of the daemon's name.
        pub daemon: Tag,
        /// Wall-clock time of the daemon in seconds; orders its reports.
        pub sequence: u32,
        /// Age in units of 50 ms, without the time that messages take.
        pub age: u8,
        /// Services with demand or slots at the daemon, at most [`SERVICES_MAX`].
        pub services: Vec<ServiceLoad>,
    }

    /// Load of one service at one daemon.
    #[derive(Copy, Eq, Default)]
    pub struct ServiceLoad {
        /// Hash of the service's name.
        pub service: Tag,
        /// Requests that callers send to the ingress, in tenths per second.
        pub demand: u16,
        /// Open slots of the upstreams that accept requests.
        pub slots: u16,
        /// Slots in use.
        pub in_use: u16,
        /// Requests that wait for a slot.
        pub queued: u16,
        /// Number of upstreams that accept requests.
        pub upstreams: u8,
        /// Mean service time in milliseconds; 0 if it is unknown.
        pub service_time: u16,
    }
}

/// Hash of a name (FNV-1a), the same in all builds.
pub type Tag = u32;

/// Load reports known to one daemon, and the round trips to other failure domains.
#[derive(Debug, Default)]
pub struct LoadReports {
    own: Option<Received>,
    others: collections::HashMap<Tag, Received>,
    round_trips: collections::HashMap<ids::DomainName, statistics::MovingAverage>,
}

#[derive(Debug, Clone)]
struct Received {
    report: LoadReport,
    /// When the daemon made the report, by the clock of this daemon.
    made: time::Instant,
}

/// Sum of the reports of one domain about one service.
#[derive(Debug, Default)]
struct Sum {
    reports: u32,
    demand: f64,
    slots: u32,
    occupied: u32,
    upstreams: u32,
    age: time::Duration,
    /// Slots of upstreams with known service times, and the requests per second that they serve.
    timed_slots: f64,
    rate: f64,
}

/// Loads of the domains by service.
pub type ServiceLoads = collections::HashMap<Tag, Vec<spillover::DomainLoad>>;

/// Maximum number of services in a report; those with slots and the most demand.
pub const SERVICES_MAX: usize = 4;
/// Maximum number of reports in a message, about 30 B each. In a fleet of 710, 6 messages per second
/// carry them in each direction.
const REPORTS_MAX: usize = 24;
/// Maximum number of reports that a daemon keeps.
const KNOWN_MAX: usize = 2048;
/// Unit of [`LoadReport::age`].
const AGE_UNIT: time::Duration = time::Duration::from_millis(50);
/// Number of reports of a domain that represent it, if it has more daemons than twice as many.
const SAMPLE_MIN: usize = 16;
const ROUND_TRIP_HALF_LIFE: time::Duration = time::Duration::from_secs(20);

/// Returns the hash of a name.
///
/// # Examples
///
/// ```
/// use lynxmast_state::load_report;
/// assert_eq!(load_report::tag(""), 0x811c_9dc5);
/// assert_ne!(load_report::tag("d1"), load_report::tag("d2"));
/// ```
pub fn tag(name: &str) -> Tag {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

impl LoadReports {
    /// Sets the report of this daemon. Services beyond [`SERVICES_MAX`] are left out.
    pub fn set_own(
        &mut self,
        daemon: &str,
        sequence: u32,
        mut services: Vec<ServiceLoad>,
        now: time::Instant,
    ) {
        services.retain(|load| load.demand > 0 || load.slots > 0 || load.in_use > 0);
        services.sort_by_key(|load| std::cmp::Reverse((load.slots > 0, load.demand)));
        services.truncate(SERVICES_MAX);
        let report = LoadReport { daemon: tag(daemon), sequence, age: 0, services };
        self.own = Some(Received { report, made: now });
    }

    /// Returns the reports for a message: this daemon's and the most recent ones of others.
    pub fn update(&mut self, now: time::Instant) -> Vec<LoadReport> {
        self.others.retain(|_, known| known.is_fresh(now));
        let mut others: Vec<&Received> = self.others.values().collect();
        others.sort_by_key(|known| std::cmp::Reverse(known.made));
        let own = self.own.iter().filter(|own| own.is_fresh(now));
        own.chain(others).take(REPORTS_MAX).map(|known| known.aged(now)).collect()
    }

    /// Merges the reports of another daemon.
    pub fn merge(&mut self, reports: &[LoadReport], now: time::Instant) {
        let own = self.own.as_ref().map(|own| own.report.daemon);
        for report in reports.iter().take(REPORTS_MAX) {
            let age = AGE_UNIT * u32::from(report.age);
            let Some(made) = now.checked_sub(age) else { continue };
            let mut received = Received { report: report.clone(), made };
            received.report.services.truncate(SERVICES_MAX);
            let known = self.others.get(&report.daemon).filter(|known| known.is_fresh(now));
            let is_newer = known.is_none_or(|known| report.sequence > known.report.sequence);
            let has_room = known.is_some() || self.others.len() < KNOWN_MAX;
            if is_newer && has_room && received.is_fresh(now) && Some(report.daemon) != own {
                self.others.insert(report.daemon, received);
            }
        }
    }

    /// Records the round trip of a control message to a daemon in a failure domain.
    pub fn record_round_trip(
        &mut self,
        domain: &ids::DomainName,
        round_trip: time::Duration,
        now: time::Instant,
    ) {
        let new = || statistics::MovingAverage::new(ROUND_TRIP_HALF_LIFE);
        let average = self.round_trips.entry(domain.clone()).or_insert_with(new);
        average.record(round_trip.as_secs_f64(), now);
    }

    /// Returns the round trip to a domain beyond that within the own one: the rest is time of the
    /// daemons, not of the network.
    fn round_trip(&self, own: &str, domain: &str) -> time::Duration {
        let mean = |domain| self.round_trips.get(domain).and_then(statistics::MovingAverage::value);
        let beyond = mean(domain).unwrap_or(0.0) - mean(own).unwrap_or(0.0);
        time::Duration::from_secs_f64(if own == domain { 0.0 } else { beyond.max(0.0) })
    }

    /// Adds up the reports of the live `daemons`, given with their failure domains. A domain is left
    /// out if reports of too few of its daemons are known; those known count for all of them.
    pub fn domain_loads<'a>(
        &self,
        daemons: impl Iterator<Item = (&'a ids::DaemonName, &'a ids::DomainName)>,
        own_domain: &str,
        now: time::Instant,
    ) -> ServiceLoads {
        let mut sums: collections::HashMap<(Tag, &ids::DomainName), Sum> = Default::default();
        let mut counts: collections::BTreeMap<&ids::DomainName, (usize, usize)> =
            Default::default();
        for (daemon, domain) in daemons {
            let (count, known) = counts.entry(domain).or_default();
            *count += 1;
            let tag = tag(daemon);
            let own = self.own.as_ref().filter(|own| own.report.daemon == tag);
            let Some(received) = own.or_else(|| self.others.get(&tag)) else { continue };
            if !received.is_fresh(now) {
                continue;
            }
            *known += 1;
            for load in &received.report.services {
                sums.entry((load.service, domain)).or_default().add(load, received.age(now));
            }
        }
        let mut loads = ServiceLoads::default();
        for ((service, domain), sum) in sums {
            let (count, known) = counts[domain];
            if known >= count.div_ceil(2).min(SAMPLE_MIN) {
                let round_trip = self.round_trip(own_domain, domain);
                let load = sum.load(domain, count as f64 / known as f64, round_trip);
                loads.entry(service).or_default().push(load);
            }
        }
        for domains in loads.values_mut() {
            complete_service_times(domains);
            domains.sort_by(|left, right| left.domain.cmp(&right.domain));
        }
        loads
    }
}

impl Received {
    fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.made)
    }

    fn is_fresh(&self, now: time::Instant) -> bool {
        self.age(now) <= spillover::REPORT_AGE_MAX
    }

    /// Returns the report with its age, rounded up.
    fn aged(&self, now: time::Instant) -> LoadReport {
        let units = self.age(now).as_millis().div_ceil(AGE_UNIT.as_millis());
        LoadReport { age: u8::try_from(units).unwrap_or(u8::MAX), ..self.report.clone() }
    }
}

impl Sum {
    fn add(&mut self, load: &ServiceLoad, age: time::Duration) {
        self.reports += 1;
        self.demand += f64::from(load.demand) / 10.0;
        self.slots += u32::from(load.slots);
        self.occupied += u32::from(load.in_use) + u32::from(load.queued);
        self.upstreams += u32::from(load.upstreams);
        self.age += age;
        if load.service_time > 0 {
            self.timed_slots += f64::from(load.slots);
            self.rate += f64::from(load.slots) * 1000.0 / f64::from(load.service_time);
        }
    }

    /// Returns the load of the whole domain, whose daemons are `scale` times those that reported.
    fn load(
        &self,
        domain: &ids::DomainName,
        scale: f64,
        round_trip: time::Duration,
    ) -> spillover::DomainLoad {
        let scaled = |count: u32| (f64::from(count) * scale).round() as u32;
        let service_time = if self.rate > 0.0 { self.timed_slots / self.rate } else { 0.0 };
        spillover::DomainLoad {
            domain: domain.clone(),
            demand: self.demand * scale,
            slots: scaled(self.slots),
            occupied: scaled(self.occupied),
            upstreams: scaled(self.upstreams),
            service_time: time::Duration::from_secs_f64(service_time),
            round_trip,
            age: self.age / self.reports.max(1),
        }
    }
}

/// Assumes the mean of the other domains where the service time is unknown, as no request has run.
fn complete_service_times(domains: &mut [spillover::DomainLoad]) {
    let known: Vec<time::Duration> =
        domains.iter().map(|load| load.service_time).filter(|time| !time.is_zero()).collect();
    let mean = known.iter().sum::<time::Duration>() / (known.len().max(1) as u32);
    for load in domains.iter_mut().filter(|load| load.service_time.is_zero()) {
        load.service_time = mean;
    }
}

#[cfg(test)]
mod tests;
