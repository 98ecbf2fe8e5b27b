//! Random fault schedule, determined by a seed; faults may overlap.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

/// Scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Start, relative to the start of the schedule.
    pub start: time::Duration,
    /// Time from the start of the fault to its end.
    pub length: time::Duration,
    /// Index of the daemon affected, or of the daemon whose backend server or proxies are affected;
    /// without meaning for faults of the log service and policy edits.
    pub daemon: usize,
    /// Kind of the fault.
    pub kind: Kind,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The daemon is killed with SIGKILL, and restarted at the end of the fault.
    Kill,
    /// The daemon gets SIGTERM, and is restarted at the end of the fault.
    Terminate,
    /// The daemon is suspended with SIGSTOP, and resumed at the end of the fault.
    Suspend,
    /// The daemon gets SIGHUP, which makes it reload its settings.
    ReloadSettings,
    /// Bytes to the daemon's sidecar and control ports are dropped.
    DropForward,
    /// Bytes from the daemon's sidecar and control ports are dropped.
    DropBackward,
    /// Bytes to and from the daemon's sidecar and control ports are delayed.
    Delay,
    /// Open connections to the sidecar and control ports stay open but lose all further bytes.
    Blackhole,
    /// Open connections to the sidecar and control ports are closed.
    CloseConnections,
    /// The log service responds to every request with status 503.
    LogDown,
    /// The log service stores appended records but responds with status 503.
    LogLosesResponses,
    /// The log service delays its responses.
    LogSlow,
    /// The backend server responds with status 500 to half of the requests.
    BackendErrors,
    /// The backend server sends no responses.
    BackendHang,
    /// The backend server truncates 30% of its responses.
    BackendTruncation,
    /// The backend server crashes, and is replaced at the end of the fault.
    BackendCrash,
    /// The backend server names a limit on its requests per second.
    BackendLimit,
    /// The backend server states in its responses that it leaves, and is replaced at the end of the
    /// fault.
    BackendLeaving,
    /// A policy edit is published.
    PolicyEdit,
}

const KINDS: [Kind; 19] = [
    Kind::Kill,
    Kind::Terminate,
    Kind::Suspend,
    Kind::ReloadSettings,
    Kind::DropForward,
    Kind::DropBackward,
    Kind::Delay,
    Kind::Blackhole,
    Kind::CloseConnections,
    Kind::LogDown,
    Kind::LogLosesResponses,
    Kind::LogSlow,
    Kind::BackendErrors,
    Kind::BackendHang,
    Kind::BackendTruncation,
    Kind::BackendCrash,
    Kind::BackendLimit,
    Kind::BackendLeaving,
    Kind::PolicyEdit,
];
/// Longest time between the starts of two successive faults. Most faults last longer than this, so
/// that they overlap.
const START_GAP_MAX: time::Duration = time::Duration::from_millis(900);
const LENGTH_MIN: time::Duration = time::Duration::from_millis(200);
const LENGTH_MAX: time::Duration = time::Duration::from_millis(3000);

/// Generates the faults of a run with `daemons` daemons, in order of their starts. All faults end
/// within `duration`.
pub fn generate(seed: u64, duration: time::Duration, daemons: usize) -> Vec<Fault> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut start = time::Duration::ZERO;
    loop {
        start += rng.random_range(time::Duration::ZERO..START_GAP_MAX);
        let length = rng.random_range(LENGTH_MIN..LENGTH_MAX);
        if start + length > duration {
            return faults;
        }
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        faults.push(Fault { start, length, daemon: rng.random_range(0..daemons), kind });
    }
}

#[cfg(test)]
mod tests;
