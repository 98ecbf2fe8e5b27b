//! Choice of the few among many alike events that leave a line.

use std::sync::atomic;

/// Lets one of many events through and counts those left out since.
///
/// # Examples
///
/// ```
/// use lynxmast_state::sampling;
/// let sampling = sampling::Sampling::new(2);
/// let chosen: Vec<Option<u64>> = (0..6).map(|_| sampling.take()).collect();
/// assert_eq!(chosen, [None, None, Some(2), None, None, Some(2)]);
/// ```
#[derive(Debug)]
pub struct Sampling {
    between: u64,
    left_out: atomic::AtomicU64,
}

impl Sampling {
    /// Leaves out `between` events before each that is let through.
    pub fn new(between: u64) -> Self {
        Self { between, left_out: Default::default() }
    }

    /// Counts an event; for one that is let through, returns how many were left out before it.
    pub fn take(&self) -> Option<u64> {
        let left_out = self.left_out.fetch_add(1, atomic::Ordering::Relaxed);
        if left_out < self.between {
            return None;
        }
        self.left_out.store(0, atomic::Ordering::Relaxed);
        Some(left_out)
    }
}
