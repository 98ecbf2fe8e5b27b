//! Sampling of frequent events, so that only some of them are logged.

use std::sync::atomic;

/// Selects one of every `interval + 1` events and counts the skipped ones.
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
    /// Returns a sampler that skips `interval` events before each one that it selects.
    pub fn new(interval: u64) -> Self {
        Self { interval, skipped: Default::default() }
    }

    /// Counts an event. Returns the number of events skipped before it if it is selected, otherwise
    /// `None`.
    pub fn sample(&self) -> Option<u64> {
        let skipped = self.skipped.fetch_add(1, atomic::Ordering::Relaxed);
        if skipped < self.interval {
            return None;
        }
        self.skipped.store(0, atomic::Ordering::Relaxed);
        Some(skipped)
    }
}
