//! Clock abstraction, so that tests can control the time that production code sees.

use std::sync::atomic;
use std::time;

use nix::time as os_clock;

/// Source of monotonic and wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time, for timeouts and measurements.
    fn now(&self) -> time::Instant;
    /// Wall-clock time, for timelines shown to people.
    fn wall(&self) -> time::SystemTime;
    /// Total time for which the VM has been suspended since it booted. Monotonic time excludes it.
    fn suspended(&self) -> time::Duration;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::now()
    }

    /// Returns zero on systems without `CLOCK_BOOTTIME`, where suspensions cannot be measured.
    fn suspended(&self) -> time::Duration {
        let read = |id| os_clock::clock_gettime(id).map(time::Duration::from);
        let (boot, monotonic) =
            (os_clock::ClockId::CLOCK_BOOTTIME, os_clock::ClockId::CLOCK_MONOTONIC);
        match (read(boot), read(monotonic)) {
            (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
            _ => time::Duration::ZERO,
        }
    }
}

/// Clock for tests that advances only when [`advance`](Self::advance) or [`suspend`](Self::suspend)
/// is called.
///
/// # Examples
///
/// ```
/// use lynxmast_state::clock::{self, Clock};
/// use std::time::Duration;
///
/// let clock = clock::ManualClock::new();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(3));
/// assert_eq!(clock.now() - start, Duration::from_secs(3));
/// ```
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: time::Instant,
    elapsed_us: std::sync::Arc<atomic::AtomicU64>,
    suspended_us: std::sync::Arc<atomic::AtomicU64>,
}

impl ManualClock {
    /// Returns a clock that starts at the current time and does not advance by itself.
    pub fn new() -> Self {
        let start = time::Instant::now();
        Self { start, elapsed_us: Default::default(), suspended_us: Default::default() }
    }

    /// Advances the clock by `step`, with microsecond resolution.
    pub fn advance(&self, step: time::Duration) {
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_us.fetch_add(step_us, atomic::Ordering::SeqCst);
    }

    /// Simulates a suspension of the VM for `step`: wall-clock time advances, monotonic time does
    /// not.
    pub fn suspend(&self, step: time::Duration) {
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.suspended_us.fetch_add(step_us, atomic::Ordering::SeqCst);
    }

    fn elapsed(&self) -> time::Duration {
        time::Duration::from_micros(self.elapsed_us.load(atomic::Ordering::SeqCst))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> time::Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::UNIX_EPOCH + self.elapsed() + self.suspended()
    }

    fn suspended(&self) -> time::Duration {
        time::Duration::from_micros(self.suspended_us.load(atomic::Ordering::SeqCst))
    }
}
