//! Sampling of frequent events, so that only some of them are logged.

use std::sync::atomic;

/// Selects an event each time that it has skipped a fixed number of them.
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
    skips: u64,
    skipped: atomic::AtomicU64,
}

impl Sampler {
    /// Returns a sampler that skips `skips` events before each one that it selects.
    pub fn new(skips: u64) -> Self {
        Self { skips, skipped: Default::default() }
    }

    /// Counts an event. Returns the number of events skipped before it if it is selected, otherwise
    /// `None`.
    pub fn sample(&self) -> Option<u64> {
        let skipped = self.skipped.fetch_add(1, atomic::Ordering::Relaxed);
        if skipped < self.skips {
            return None;
        }
        self.skipped.store(0, atomic::Ordering::Relaxed);
        Some(skipped)
    }
}
