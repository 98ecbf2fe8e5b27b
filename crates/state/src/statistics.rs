//! Running statistics over irregularly spaced samples: a decaying average and a quantile estimate.

use std::time;

/// Moving average in which the weight of a sample halves every `half_life`.
///
/// # Examples
///
/// ```
/// use lynxmast_state::statistics;
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut average = statistics::MovingAverage::new(Duration::from_secs(1));
/// average.record(10.0, start);
/// average.record(20.0, start + Duration::from_secs(60));
/// assert!(average.value().is_some_and(|v| v > 19.9));
/// ```
#[derive(Debug, Clone)]
pub struct MovingAverage {
    half_life: time::Duration,
    sum: f64,
    weight: f64,
    updated: Option<time::Instant>,
}

impl MovingAverage {
    /// Returns an average without samples.
    pub fn new(half_life: time::Duration) -> Self {
        Self { half_life, sum: 0.0, weight: 0.0, updated: None }
    }

    /// Adds a sample with weight one.
    pub fn record(&mut self, sample: f64, now: time::Instant) {
        self.decay(now);
        self.sum += sample;
        self.weight += 1.0;
    }

    /// Returns the weighted mean, or `None` before the first sample.
    pub fn value(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    /// Returns the total weight of the samples, decayed to `now`.
    pub fn weight(&self, now: time::Instant) -> f64 {
        self.weight * self.decay_factor(now)
    }

    fn decay(&mut self, now: time::Instant) {
        let decay_factor = self.decay_factor(now);
        self.sum *= decay_factor;
        self.weight *= decay_factor;
        self.updated = Some(self.updated.map_or(now, |last| last.max(now)));
    }

    fn decay_factor(&self, now: time::Instant) -> f64 {
        let Some(updated) = self.updated else { return 1.0 };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        0.5_f64.powf(elapsed / self.half_life.as_secs_f64())
    }
}

/// Running estimate of a quantile. It rises by a fraction of its value for each sample above it and
/// falls for each sample below it, so that it settles where the wanted fraction of samples lies
/// below it.
///
/// # Examples
///
/// ```
/// use lynxmast_state::statistics;
/// let mut p95 = statistics::Quantile::new(0.95);
/// for n in 0..10_000 {
///     p95.record(f64::from(n * 37 % 100));
/// }
/// assert!(p95.value().is_some_and(|v| v > 85.0 && v < 99.0));
/// ```
#[derive(Debug, Clone)]
pub struct Quantile {
    quantile: f64,
    value: Option<f64>,
    count: u64,
}

/// Step of the estimate as a fraction of its value.
const QUANTILE_STEP_FRACTION: f64 = 0.02;
/// Smallest step, in the unit of the samples.
const QUANTILE_STEP_MIN: f64 = 1e-6;
/// Number of samples before the estimate is available.
const QUANTILE_SAMPLES_MIN: u64 = 20;

impl Quantile {
    /// Returns an estimator of `quantile`, between 0 and 1, without samples.
    pub fn new(quantile: f64) -> Self {
        Self { quantile, value: None, count: 0 }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64) {
        self.count += 1;
        let value = self.value.unwrap_or(sample);
        if self.count <= QUANTILE_SAMPLES_MIN {
            // The largest of the first samples is a reasonable initial value for a high quantile.
            self.value = Some(value.max(sample));
            return;
        }
        let step = (value.abs() * QUANTILE_STEP_FRACTION).max(QUANTILE_STEP_MIN);
        let adjustment =
            if sample > value { step * self.quantile } else { -step * (1.0 - self.quantile) };
        self.value = Some(value + adjustment);
    }

    /// Returns the estimate, or `None` before enough samples have been recorded.
    pub fn value(&self) -> Option<f64> {
        self.value.filter(|_| self.count >= QUANTILE_SAMPLES_MIN)
    }
}
