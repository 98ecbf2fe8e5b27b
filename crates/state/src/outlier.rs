//! Outlier detection: estimates the probability that an upstream is failing from the results of its
//! requests.
//!
//! The estimate is a sequential Bayesian filter over two states. A healthy upstream fails one or
//! two requests in a hundred, a failing one more than half. Failures start and end within seconds, so
//! without results the probability decays towards the fraction of upstreams that fail at any time.

use std::time;

/// Condition on the failure probability of an upstream under which a request may run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RiskTolerance {
    /// Run the request only if the upstream is not suspected.
    #[default]
    Avoid,
    /// Run the request unless the upstream is very likely failing. Used when no other upstream
    /// accepts a request that cannot be retried.
    Accept,
    /// Run the request at a suspected upstream only as a probe that is due. Used when another
    /// attempt can follow.
    Probe,
    /// Run the request at any upstream. Used when no other upstream accepts a request that can be
    /// retried.
    Any,
}

impl RiskTolerance {
    /// Returns the value of the risk header.
    pub fn as_str(self) -> &'static str {
        match self {
            RiskTolerance::Avoid => "avoid",
            RiskTolerance::Accept => "accept",
            RiskTolerance::Probe => "probe",
            RiskTolerance::Any => "any",
        }
    }

    /// Parses the value of the risk header; `None` if it is unknown.
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

/// Failure probability of one upstream and the schedule of its probes.
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
    /// Earliest time of the next probe.
    next_probe: time::Instant,
    /// Interval after the next probe, unless that succeeds.
    probe_interval: time::Duration,
}

/// Fraction of upstreams assumed to be failing before any results are known.
const PRIOR_PROBABILITY: f64 = 0.04;
/// Fraction of requests that a failing upstream is assumed to fail.
const FAILING_ERROR_RATE: f64 = 0.6;
/// Fraction of requests that a healthy upstream is assumed to fail.
const HEALTHY_ERROR_RATE: f64 = 0.015;
/// Failure probability from which an upstream is suspected.
const SUSPICION_THRESHOLD: f64 = 0.2;
/// Upper bound of the failure probability, so that a recovery is detected soon.
const PROBABILITY_MAX: f64 = 0.95;
/// Initial interval between probes of a suspected upstream. Failures last for seconds, so several
/// probes are sent during each of them.
const PROBE_INTERVAL_MIN: time::Duration = time::Duration::from_millis(600);
/// Factor by which the interval grows with each probe until one succeeds. An upstream mostly fails
/// for seconds at a time, and each failed probe costs its request a retry.
const PROBE_BACKOFF_FACTOR: f64 = 1.5;
/// Longest interval between probes; bounds how late a recovery is detected.
const PROBE_INTERVAL_MAX: time::Duration = time::Duration::from_secs(2);
/// Failure probability from which [`RiskTolerance::Accept`] rejects a request.
const ACCEPT_THRESHOLD: f64 = 0.7;
/// Half-life of the difference between the failure probability and the prior.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

impl Detector {
    /// Returns a detector that has recorded no results.
    pub fn new(now: time::Instant) -> Self {
        Self {
            failure_probability: PRIOR_PROBABILITY,
            updated: now,
            next_probe: now,
            probe_interval: PROBE_INTERVAL_MIN,
        }
    }

    /// Returns whether a request may run at the upstream. Granting a probe delays the next one; a
    /// successful result makes the next one due at once.
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

    /// Returns a detector that starts from a failure probability reported by a sidecar.
    pub fn from_report(failure_probability: f64, now: time::Instant) -> Self {
        Self { failure_probability: failure_probability.clamp(0.0, 1.0), ..Self::new(now) }
    }

    /// Updates the failure probability with the result of one request.
    pub fn record(&mut self, succeeded: bool, now: time::Instant) {
        let prior = self.failure_probability(now);
        let (failing, healthy) = if succeeded {
            (1.0 - FAILING_ERROR_RATE, 1.0 - HEALTHY_ERROR_RATE)
        } else {
            (FAILING_ERROR_RATE, HEALTHY_ERROR_RATE)
        };
        let joint = prior * failing;
        let posterior = joint / (joint + (1.0 - prior) * healthy);
        self.failure_probability = posterior.min(PROBABILITY_MAX);
        if succeeded {
            self.next_probe = now;
            self.probe_interval = PROBE_INTERVAL_MIN;
        }
        self.updated = self.updated.max(now);
    }

    /// Returns the failure probability at `now`, between 0 and 1.
    pub fn failure_probability(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        PRIOR_PROBABILITY + (self.failure_probability - PRIOR_PROBABILITY) * decay
    }

    /// Returns whether the upstream is suspected of failing, so that requests that cannot be
    /// retried are sent to other upstreams.
    pub fn is_suspected(&self, now: time::Instant) -> bool {
        self.failure_probability(now) >= SUSPICION_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
