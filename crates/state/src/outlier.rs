//! How likely an upstream is failing, judged by the results of its requests.
//!
//! A sequential Bayesian filter over two states. A sound upstream fails a few requests in a
//! hundred, a failing one about half. Failures come and go within seconds, so the belief relaxes
//! towards the share of upstreams that fail at any time.

use std::time;

/// How doubted an upstream may be for a request to run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RiskTolerance {
    /// Only where nothing speaks against the upstream.
    #[default]
    Avoid,
    /// Unless the upstream is more likely failing than not: no other one takes the request.
    Accept,
    /// At a doubted upstream when its gate wants a probe: another attempt may follow.
    Probe,
    /// Anywhere: the request may be repeated, and no other upstream takes it.
    Any,
}

impl RiskTolerance {
    /// Returns the word for the risk header.
    pub fn as_str(self) -> &'static str {
        match self {
            RiskTolerance::Avoid => "avoid",
            RiskTolerance::Accept => "accept",
            RiskTolerance::Probe => "probe",
            RiskTolerance::Any => "any",
        }
    }

    /// Parses a risk word.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::outlier;
    /// assert_eq!(outlier::RiskTolerance::parse("probe"), Some(outlier::RiskTolerance::Probe));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let all =
            [RiskTolerance::Avoid, RiskTolerance::Accept, RiskTolerance::Probe, RiskTolerance::Any];
        all.into_iter().find(|tolerance| tolerance.as_str() == text)
    }
}

/// Belief about one upstream.
///
/// # Examples
///
/// ```
/// use lynxmast_state::outlier;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut detector = outlier::Detector::new(now);
/// detector.record(false, now);
/// assert!(detector.is_suspected(now));
/// for _ in 0..3 {
///     detector.record(true, now);
/// }
/// assert!(!detector.is_suspected(now));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Detector {
    failure_probability: f64,
    updated: time::Instant,
    /// Time from which another request may probe.
    next_probe: time::Instant,
    /// Pause after the next probe, unless it succeeds.
    probe_interval: time::Duration,
}

/// Share of the upstreams taken to be failing while nothing is known of them.
const PRIOR_PROBABILITY: f64 = 0.04;
/// Share of its requests that a failing upstream is taken to fail.
const FAILING_ERROR_RATE: f64 = 0.6;
/// Share of its requests that a sound upstream is taken to fail.
const HEALTHY_ERROR_RATE: f64 = 0.015;
/// Likelihood from which what must not be repeated goes elsewhere.
const SUSPICION_THRESHOLD: f64 = 0.2;
/// Likelihood that further results do not raise, so that a recovered upstream is found soon.
const PROBABILITY_MAX: f64 = 0.95;
/// Time between probes of a doubted upstream while they fail. Failures last for seconds, so that
/// several probes fall into each.
const PROBE_INTERVAL_MIN: time::Duration = time::Duration::from_millis(600);
/// Factor by which the pause grows with each probe that does not succeed: a failing upstream mostly
/// fails for seconds, and each failed probe costs the request a retry.
const PROBE_BACKOFF_FACTOR: f64 = 1.5;
/// Longest pause between probes; bounds how late a recovered upstream is noticed.
const PROBE_INTERVAL_MAX: time::Duration = time::Duration::from_secs(2);
/// Likelihood from which even a request that found no other upstream is not run.
const ACCEPT_THRESHOLD: f64 = 0.7;
/// Age at which half of a belief has given way to the prior.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

impl Detector {
    /// Returns the belief about an upstream of which nothing is known.
    pub fn new(now: time::Instant) -> Self {
        Self {
            failure_probability: PRIOR_PROBABILITY,
            updated: now,
            next_probe: now,
            probe_interval: PROBE_INTERVAL_MIN,
        }
    }

    /// Tells whether a request may run at the upstream. Probes are paced; a success lets the next
    /// one follow at once.
    pub fn admit(&mut self, tolerance: RiskTolerance, now: time::Instant) -> bool {
        match tolerance {
            RiskTolerance::Avoid => !self.is_suspected(now),
            RiskTolerance::Accept => self.failure_probability(now) < ACCEPT_THRESHOLD,
            RiskTolerance::Any => true,
            RiskTolerance::Probe if !self.is_suspected(now) => true,
            RiskTolerance::Probe => {
                let is_due = now >= self.next_probe;
                if is_due {
                    self.next_probe = now + self.probe_interval;
                    self.probe_interval =
                        self.probe_interval.mul_f64(PROBE_BACKOFF_FACTOR).min(PROBE_INTERVAL_MAX);
                }
                is_due
            }
        }
    }

    /// Returns a belief that was heard from a gate.
    pub fn from_report(failure_probability: f64, now: time::Instant) -> Self {
        Self { failure_probability: failure_probability.clamp(0.0, 1.0), ..Self::new(now) }
    }

    /// Takes the result of one request into account.
    pub fn record(&mut self, succeeded: bool, now: time::Instant) {
        let before = self.failure_probability(now);
        let (failing, healthy) = if succeeded {
            (1.0 - FAILING_ERROR_RATE, 1.0 - HEALTHY_ERROR_RATE)
        } else {
            (FAILING_ERROR_RATE, HEALTHY_ERROR_RATE)
        };
        let joint = before * failing;
        let after = joint / (joint + (1.0 - before) * healthy);
        self.failure_probability = after.min(PROBABILITY_MAX);
        if succeeded {
            self.next_probe = now;
            self.probe_interval = PROBE_INTERVAL_MIN;
        }
        self.updated = self.updated.max(now);
    }

    /// Returns the likelihood that the upstream is failing.
    pub fn failure_probability(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        PRIOR_PROBABILITY + (self.failure_probability - PRIOR_PROBABILITY) * decay
    }

    /// Tells whether what must not be repeated should go elsewhere.
    pub fn is_suspected(&self, now: time::Instant) -> bool {
        self.failure_probability(now) >= SUSPICION_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
