//! Fault soak: real daemons as separate processes on loopback, faults from outside, and promises
//! checked from what callers and backend servers see.
//!
//! The soak ends only processes that it started, by their ids. Relays between the daemons delay, cut,
//! close and silence connections; signals stop, continue, end and kill processes; the log service
//! goes away, loses answers or is slow; backend servers fail, hang and crash.

pub mod fleet;
pub mod load;
pub mod process;
pub mod promises;
pub mod schedule;

use std::net;
use std::path;
use std::time;

/// What to play.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Program of the daemon.
    pub daemon: path::PathBuf,
    /// Seed of the schedule.
    pub seed: u64,
    /// Time for which faults come.
    pub span: time::Duration,
    /// Daemons to start.
    pub processes: usize,
    /// Directory for the daemons' logs; they are dropped if it is absent.
    pub logs: Option<path::PathBuf>,
}

/// Time without faults after which requests have to be served again at the latest: the lease of a
/// dead daemon and a few heartbeats.
const RECOVERY: time::Duration = time::Duration::from_secs(15);
const RECOVERY_STEP: time::Duration = time::Duration::from_millis(500);

/// Plays one seed and returns the promises that were broken, one a line.
///
/// # Errors
///
/// Says why the fleet did not start.
pub async fn run(plan: &Plan) -> Result<Vec<String>, String> {
    let mut fleet = fleet::Fleet::start(plan).await?;
    let faults = schedule::draw(plan.seed, plan.span, plan.processes);
    let callers = load::Callers::start(&fleet.entries());
    let versions = promises::Versions::start(fleet.admins());
    fleet.play(&faults).await;
    fleet.heal().await;
    let mut broken = await_recovery(&fleet.entries()).await;
    broken.extend(versions.stop().await);
    let seen = callers.stop().await;
    broken.extend(promises::check(&seen, &fleet.runs()));
    broken.extend(fleet.stop().await);
    Ok(broken)
}

/// Waits until every entry serves again; returns those that do not in time.
async fn await_recovery(entries: &[net::SocketAddr]) -> Vec<String> {
    let until = time::Instant::now() + RECOVERY;
    loop {
        let broken = promises::check_recovery(&load::probe(entries).await);
        if broken.is_empty() || time::Instant::now() > until {
            return broken;
        }
        tokio::time::sleep(RECOVERY_STEP).await;
    }
}
