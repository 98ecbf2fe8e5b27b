//! Fault soak test: runs daemons as separate processes on loopback, injects faults and checks
//! invariants against the observations of callers and backend servers.
//!
//! Proxies between the daemons delay and drop bytes and close or blackhole connections. Signals
//! suspend, resume, terminate and kill processes; the soak ends only processes that it started, by
//! their ids. The log service fails, loses responses or is slow. Backend servers fail, hang and
//! crash, also under copies of one request, which the fleet has to recognise.

pub mod fleet;
pub mod invariants;
pub mod load;
pub mod policy;
pub mod process;
pub mod schedule;

use std::net;
use std::path;
use std::time;

/// Parameters of a soak run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the daemon's executable.
    pub daemon: path::PathBuf,
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: time::Duration,
    /// Number of daemons to start.
    pub processes: usize,
    /// Directory for the log files of the daemons; `None` discards their output.
    pub logs: Option<path::PathBuf>,
}

/// Longest time from the end of all faults until every ingress must serve again: covers the lease
/// of a dead daemon and a few heartbeats.
const RECOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(15);
const RECOVERY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Runs the soak for one seed and returns a message for each violated invariant.
///
/// # Errors
///
/// Returns an error if the fleet does not start.
pub async fn run(plan: &Plan) -> Result<Vec<String>, String> {
    let mut fleet = fleet::Fleet::start(plan).await?;
    let faults = schedule::generate(plan.seed, plan.duration, plan.processes);
    let callers = load::Callers::start(&fleet.ingress_addresses());
    let keyed_callers = load::Callers::start_keyed(&fleet.ingress_addresses(), &fleet.edits());
    let quota_callers = load::Callers::start_quota(&fleet.ingress_addresses());
    let version_monitor = invariants::VersionMonitor::start(fleet.admin_addresses());
    let crashing = tokio::spawn(load::send_crashing_requests(fleet.ingress_addresses()));
    fleet.inject(&faults).await;
    crashing.abort();
    fleet.clear_faults().await;
    let mut violations = await_recovery(&fleet.ingress_addresses()).await;
    violations.extend(fleet.probe_quarantine().await);
    let keyed_observations = keyed_callers.stop().await;
    violations.extend(fleet.probe_withdrawal().await);
    violations.extend(version_monitor.stop().await);
    let observations = callers.stop().await;
    let quota_runs = quota_callers.stop().await;
    println!("seed {}: {} requests ran under the quota", plan.seed, quota_runs.len());
    let runs = fleet.runs_by_tag();
    violations.extend(invariants::check_requests(&observations, &runs));
    violations.extend(invariants::check_keys(&keyed_observations, &runs));
    violations.extend(invariants::check_quota(&quota_runs));
    violations.extend(fleet.shut_down().await);
    Ok(violations)
}

/// Waits until every ingress reaches the required success rate again. Returns a violation for each
/// ingress that does not within the timeout.
async fn await_recovery(ingress_addresses: &[net::SocketAddr]) -> Vec<String> {
    let until = time::Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let violations = invariants::check_recovery(&load::probe(ingress_addresses).await);
        if violations.is_empty() || time::Instant::now() > until {
            return violations;
        }
        tokio::time::sleep(RECOVERY_POLL_INTERVAL).await;
    }
}
