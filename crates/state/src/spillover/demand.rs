//! Requests that callers send to one ingress for one service, by class.

use std::time;

use crate::spillover;
use crate::statistics;

/// Meter of the requests of callers for one service.
#[derive(Debug)]
pub struct DemandMeter {
    recent: statistics::MovingAverage,
    /// Cost of the bytes of the requests of each class to another domain.
    classes: [statistics::MovingAverage; spillover::CLASSES],
}

/// Reading of a [`DemandMeter`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CallerDemand {
    /// Requests per second.
    pub rate: f64,
    /// The classes of the requests.
    pub classes: [spillover::ClassLoad; spillover::CLASSES],
}

/// Half-life of a request in the rate: reports are already a second or two old when they are used.
const RATE_HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Half-life of a request in the shares of the classes, which change more slowly.
const CLASS_HALF_LIFE: time::Duration = time::Duration::from_secs(5);

impl Default for DemandMeter {
    fn default() -> Self {
        let class = || statistics::MovingAverage::new(CLASS_HALF_LIFE);
        Self {
            recent: statistics::MovingAverage::new(RATE_HALF_LIFE),
            classes: std::array::from_fn(|_| class()),
        }
    }
}

impl DemandMeter {
    /// Records a request. `transfer` is what its bytes cost to another failure domain, in seconds.
    pub fn record(&mut self, class: spillover::Class, transfer: f64, now: time::Instant) {
        self.recent.record(1.0, now);
        self.classes[class as usize].record(transfer, now);
    }

    /// Returns the demand at `now`.
    pub fn read(&self, now: time::Instant) -> CallerDemand {
        let rate = self.recent.weight(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        let weights = self.classes.each_ref().map(|class| class.weight(now));
        let total = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let classes = std::array::from_fn(|index| spillover::ClassLoad {
            share: weights[index] / total,
            transfer: self.classes[index].value().unwrap_or(0.0),
        });
        CallerDemand { rate, classes }
    }
}
