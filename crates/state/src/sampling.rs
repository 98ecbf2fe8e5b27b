//! Choice of the few among many alike events that leave a line.

use std::sync::atomic;

/// Lets one of many events through and counts those left out since.
///
/// # Examples
///
/// ```
/// use lynxmast_state::sampling;
/// let sampler = sampling::Sampler::new(2);
/// let chosen: Vec<Option<u64>> = (0..6).map(|_| sampler.sample()).collect();
/// assert_eq!(chosen, [None, None, Some(2), None, None, Some(2)]);
/// ```
#[derive(Debug)]
pub struct Sampler {
    interval: u64,
    skipped: atomic::AtomicU64,
}

impl Sampler {
    /// Leaves out `between` events before each that is let through.
    pub fn new(interval: u64) -> Self {
        Self { interval, skipped: Default::default() }
    }

    /// Counts an event; for one that is let through, returns how many were left out before it.
    pub fn sample(&self) -> Option<u64> {
        let skipped = self.skipped.fetch_add(1, atomic::Ordering::Relaxed);
        if skipped < self.interval {
            return None;
        }
        self.skipped.store(0, atomic::Ordering::Relaxed);
        Some(skipped)
    }
}
