//! The clock as an interface, so that decisions and their tests share one notion of time.

use std::sync::atomic;
use std::time;

use nix::time as os_clock;

/// Source of monotonic and wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time, for timeouts and measurements.
    fn now(&self) -> time::Instant;
    /// Wall-clock time, for time lines that people read.
    fn wall(&self) -> time::SystemTime;
    /// Time that the VM has been suspended since it started; monotonic time leaves it out.
    fn suspended(&self) -> time::Duration;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::now()
    }

    /// A system without a clock that counts suspensions never reports one.
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

/// A clock that moves only when told to.
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
    /// Returns a clock that stands still at the moment of the call.
    pub fn new() -> Self {
        let start = time::Instant::now();
        Self { start, elapsed_us: Default::default(), suspended_us: Default::default() }
    }

    /// Moves the clock forward by `step`, at microsecond resolution.
    pub fn advance(&self, step: time::Duration) {
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_us.fetch_add(step_us, atomic::Ordering::SeqCst);
    }

    /// Suspends the VM for `step`, which monotonic time does not see.
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
