//! How likely an upstream is failing, judged by the results of its requests.
//!
//! A sequential Bayesian filter over two states. A sound upstream fails a few requests in a
//! hundred, a failing one about half. Failures come and go within seconds, so the belief relaxes
//! towards the share of upstreams that fail at any time.

use std::time;

/// How doubted an upstream may be for a request to run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Risk {
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

impl Risk {
    /// Returns the word for the risk header.
    pub fn word(self) -> &'static str {
        match self {
            Risk::Avoid => "avoid",
            Risk::Accept => "accept",
            Risk::Probe => "probe",
            Risk::Any => "any",
        }
    }

    /// Parses a risk word.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::doubt;
    /// assert_eq!(doubt::Risk::from_word("probe"), Some(doubt::Risk::Probe));
    /// ```
    pub fn from_word(word: &str) -> Option<Self> {
        let all = [Risk::Avoid, Risk::Accept, Risk::Probe, Risk::Any];
        all.into_iter().find(|risk| risk.word() == word)
    }
}

/// Belief about one upstream.
///
/// # Examples
///
/// ```
/// use lynxmast_state::doubt;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut doubt = doubt::Doubt::new(now);
/// doubt.record(false, now);
/// assert!(doubt.is_serious(now));
/// for _ in 0..3 {
///     doubt.record(true, now);
/// }
/// assert!(!doubt.is_serious(now));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Doubt {
    likelihood: f64,
    at: time::Instant,
    /// Time from which another request may probe.
    next_probe: time::Instant,
    /// Pause after the next probe, unless it succeeds.
    pause: time::Duration,
}

/// Share of the upstreams taken to be failing while nothing is known of them.
const PRIOR: f64 = 0.04;
/// Share of its requests that a failing upstream is taken to fail.
const FAILS_WHEN_FAILING: f64 = 0.6;
/// Share of its requests that a sound upstream is taken to fail.
const FAILS_WHEN_SOUND: f64 = 0.015;
/// Likelihood from which what must not be repeated goes elsewhere.
const SERIOUS: f64 = 0.2;
/// Likelihood that further results do not raise, so that a recovered upstream is found soon.
const LIKELIHOOD_MAX: f64 = 0.95;
/// Time between probes of a doubted upstream while they fail. Failures last for seconds, so that
/// several probes fall into each.
const PROBE_EVERY: time::Duration = time::Duration::from_millis(600);
/// Factor by which the pause grows with each probe that does not succeed: a failing upstream mostly
/// fails for seconds, and each failed probe costs the request a retry.
const PROBE_SLOWDOWN: f64 = 1.5;
/// Longest pause between probes; bounds how late a recovered upstream is noticed.
const PROBE_PAUSE_MAX: time::Duration = time::Duration::from_secs(2);
/// Likelihood from which even a request that found no other upstream is not run.
const HOPELESS: f64 = 0.7;
/// Age at which half of a belief has given way to the prior.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

impl Doubt {
    /// Returns the belief about an upstream of which nothing is known.
    pub fn new(now: time::Instant) -> Self {
        Self { likelihood: PRIOR, at: now, next_probe: now, pause: PROBE_EVERY }
    }

    /// Tells whether a request may run at the upstream. Probes are paced; a success lets the next
    /// one follow at once.
    pub fn admit(&mut self, risk: Risk, now: time::Instant) -> bool {
        match risk {
            Risk::Avoid => !self.is_serious(now),
            Risk::Accept => self.likelihood(now) < HOPELESS,
            Risk::Any => true,
            Risk::Probe if !self.is_serious(now) => true,
            Risk::Probe => {
                let is_due = now >= self.next_probe;
                if is_due {
                    self.next_probe = now + self.pause;
                    self.pause = self.pause.mul_f64(PROBE_SLOWDOWN).min(PROBE_PAUSE_MAX);
                }
                is_due
            }
        }
    }

    /// Returns a belief that was heard from a gate.
    pub fn heard(likelihood: f64, now: time::Instant) -> Self {
        Self { likelihood: likelihood.clamp(0.0, 1.0), ..Self::new(now) }
    }

    /// Takes the result of one request into account.
    pub fn record(&mut self, worked: bool, now: time::Instant) {
        let before = self.likelihood(now);
        let (failing, sound) = if worked {
            (1.0 - FAILS_WHEN_FAILING, 1.0 - FAILS_WHEN_SOUND)
        } else {
            (FAILS_WHEN_FAILING, FAILS_WHEN_SOUND)
        };
        let joint = before * failing;
        let after = joint / (joint + (1.0 - before) * sound);
        self.likelihood = after.min(LIKELIHOOD_MAX);
        if worked {
            self.next_probe = now;
            self.pause = PROBE_EVERY;
        }
        self.at = self.at.max(now);
    }

    /// Returns the likelihood that the upstream is failing.
    pub fn likelihood(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        PRIOR + (self.likelihood - PRIOR) * kept
    }

    /// Tells whether what must not be repeated should go elsewhere.
    pub fn is_serious(&self, now: time::Instant) -> bool {
        self.likelihood(now) >= SERIOUS
    }
}

#[cfg(test)]
mod tests;
