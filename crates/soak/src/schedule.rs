//! Faults drawn from a seed: in series and overlapping.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Time after the start at which it begins.
    pub at: time::Duration,
    /// Time that it lasts.
    pub lasts: time::Duration,
    /// Daemon that it strikes, or whose backend server.
    pub daemon: usize,
    /// What happens.
    pub kind: Kind,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The daemon is killed and started again afterwards.
    Kill,
    /// The daemon is told to shut down and started again afterwards.
    Terminate,
    /// The daemon stands still.
    Freeze,
    /// The daemon is told to read its settings again.
    HangUp,
    /// Bytes to the daemon's gate and control port are lost.
    CutForward,
    /// Bytes from there are lost.
    CutBackward,
    /// Bytes there and back are held up.
    Delay,
    /// Open connections there go silent for good.
    Silence,
    /// Open connections there are closed.
    Close,
    /// The log service answers nothing.
    LogDown,
    /// The log service takes records and loses the answers.
    LogLoses,
    /// The log service is slow.
    LogSlow,
    /// The backend server fails half of the requests.
    Gray,
    /// The backend server answers nothing.
    Mute,
    /// The backend server cuts some answers.
    Cuts,
    /// The backend server crashes and is started again afterwards.
    Crash,
    /// The policy changes.
    Policy,
}

const KINDS: [Kind; 17] = [
    Kind::Kill,
    Kind::Terminate,
    Kind::Freeze,
    Kind::HangUp,
    Kind::CutForward,
    Kind::CutBackward,
    Kind::Delay,
    Kind::Silence,
    Kind::Close,
    Kind::LogDown,
    Kind::LogLoses,
    Kind::LogSlow,
    Kind::Gray,
    Kind::Mute,
    Kind::Cuts,
    Kind::Crash,
    Kind::Policy,
];
/// Longest pause between the beginnings of two faults; most last longer, so that they overlap.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(900);
const LASTS_MIN: time::Duration = time::Duration::from_millis(200);
const LASTS_MAX: time::Duration = time::Duration::from_millis(3000);

/// Draws the faults of a run over `daemons` daemons, in order of their beginning; all have ended
/// when `span` is over.
pub fn draw(seed: u64, span: time::Duration, daemons: usize) -> Vec<Fault> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = time::Duration::ZERO;
    loop {
        at += rng.random_range(time::Duration::ZERO..PAUSE_MAX);
        let lasts = rng.random_range(LASTS_MIN..LASTS_MAX);
        if at + lasts > span {
            return faults;
        }
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        faults.push(Fault { at, lasts, daemon: rng.random_range(0..daemons), kind });
    }
}

#[cfg(test)]
mod tests;
