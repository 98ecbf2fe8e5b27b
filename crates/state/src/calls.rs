//! Calls that the runs of a service make to other services, so that a retry is charged with the
//! calls that it makes again.

use std::fmt;
use std::str;
use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::latency;

/// Calls lately made by the repeatable requests that one upstream ran.
///
/// # Examples
///
/// ```
/// use lynxmast_state::calls;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut calls = calls::Calls::default();
/// (0..4).for_each(|_| calls.ran(now));
/// (0..6).for_each(|_| calls.called(&"media".into(), now));
/// assert_eq!(calls.per_run(now).map(|rates| rates.to_string()), Some("media=1.5".into()));
/// ```
#[derive(Debug)]
pub struct Calls {
    runs: latency::Average,
    made: IndexMap<ids::ServiceName, latency::Average>,
}

/// Time over which runs and calls are counted: long enough for some runs at an upstream that gets
/// one a second, short enough to follow another version of the backend server.
const HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Runs from which their calls say what the next one will do.
const RUNS_MIN: f64 = 3.0;
/// Services told of at most; more would not fit into a header.
const SERVICES_MAX: usize = 8;

impl Default for Calls {
    fn default() -> Self {
        Self { runs: latency::Average::new(HALF_LIFE), made: IndexMap::new() }
    }
}

impl Calls {
    /// Counts the run of a repeatable request.
    pub fn ran(&mut self, now: time::Instant) {
        self.runs.record(1.0, now);
    }

    /// Counts a call that such a run made.
    pub fn called(&mut self, service: &ids::ServiceName, now: time::Instant) {
        let new = || latency::Average::new(HALF_LIFE);
        self.made.entry(service.clone()).or_insert_with(new).record(1.0, now);
    }

    /// Returns the calls that one run makes on average; `None` while too few runs are known.
    pub fn per_run(&self, now: time::Instant) -> Option<PerRun> {
        let runs = self.runs.weight(now);
        if runs < RUNS_MIN {
            return None;
        }
        let rate = |(name, made): (&ids::ServiceName, &latency::Average)| {
            (name.clone(), made.weight(now) / runs)
        };
        let rates = self.made.iter().map(rate).filter(|(_, rate)| *rate >= RATE_MIN);
        Some(PerRun(rates.take(SERVICES_MAX).collect()))
    }
}

/// Calls that one run makes on average, by the service called.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PerRun(pub Vec<(ids::ServiceName, f64)>);

/// Calls for each run below which a service is left out.
const RATE_MIN: f64 = 0.05;

impl fmt::Display for PerRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (service, rate)) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{service}={rate:.1}")?;
        }
        Ok(())
    }
}

/// Text that does not state calls for each run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotPerRun;

impl str::FromStr for PerRun {
    type Err = NotPerRun;

    /// Parses `service=rate,...`, the form that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let part = |part: &str| {
            let (service, rate) = part.rsplit_once('=').ok_or(NotPerRun)?;
            let rate: f64 = rate.parse().map_err(|_| NotPerRun)?;
            let is_rate = rate.is_finite() && rate >= 0.0;
            is_rate.then(|| (service.into(), rate)).ok_or(NotPerRun)
        };
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts.map(part).collect::<Result<_, _>>().map(PerRun)
    }
}

#[cfg(test)]
mod tests;
