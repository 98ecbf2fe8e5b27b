//! Invariants that must hold under all faults, checked against the observations of callers and
//! backend servers and the policy versions of the daemons.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use lynxmast_protocol::admin;
use lynxmast_state::quota::bounds;
use lynxmast_transport::client;

use crate::load;
use crate::policy;

/// Longest time that a response may take beyond its deadline: twice the longest suspension of the
/// ingress (3 s), as two suspensions may follow each other, and 1 s for the load on the machine.
const LATENESS_MAX: time::Duration = time::Duration::from_secs(7);
/// Minimum success rate of each ingress after the faults.
const RECOVERY_RATE_MIN: f64 = 0.9;
/// Time between two polls of the daemons' policy versions.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Returns a message for each violation of an invariant by a request. `runs` holds the number of
/// times that backend servers ran each request, by tag.
pub fn check_requests(
    observations: &[load::Observation],
    runs: &IndexMap<String, u32>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for load::Observation { non_idempotent, response } in observations {
        let run_count = runs.get(&response.tag).copied().unwrap_or(0);
        let mut report =
            |rule: &str| violations.push(format!("{rule}: ran {run_count} times, {response:?}"));
        if response.is_mismatched() {
            report("a response with a wrong body was passed as complete");
        }
        if *non_idempotent && run_count > 1 {
            report("a non-idempotent request ran more than once");
        }
        if response.outcome == "not-run" && run_count > 0 {
            report("a request that ran was reported as 'not-run'");
        }
        if response.is_success() && run_count == 0 {
            report("a request that never ran got a successful response");
        }
        if response.reason == "quarantined" {
            report("a request that crashes nothing was quarantined");
        }
        if response.elapsed > policy::DEADLINE + LATENESS_MAX {
            report("a response came too long after the deadline");
        }
    }
    violations
}

/// Returns a violation if more requests ran within a window than the quota allows. A request whose
/// whole time from sending to the response is in the window ran in it.
pub fn check_quota(runs: &[load::Run]) -> Vec<String> {
    let bounds = bounds::Bounds::default();
    let allowed = bounds.runs_max(&policy::QUOTA);
    let within = |start: time::Instant| {
        let end = start + bounds.window;
        runs.iter().filter(|run| run.sent >= start && run.completed <= end).count()
    };
    let busiest = runs.iter().map(|run| within(run.sent)).max().unwrap_or(0);
    let is_exceeded = busiest as f64 > allowed;
    let message = format!("{busiest} requests ran within a window, the quota allows {allowed}");
    is_exceeded.then_some(message).into_iter().collect()
}

/// Returns a message for each request that ran under a key although its ingress had already accepted
/// a later one, which replaced it. `runs` holds the number of runs of each request, by tag.
pub fn check_keys(
    observations: &[load::KeyedObservation],
    runs: &IndexMap<String, u32>,
) -> Vec<String> {
    let has_run = |o: &&load::KeyedObservation| runs.get(&o.response.tag).is_some_and(|n| *n > 0);
    let mut run: Vec<_> = observations.iter().filter(has_run).collect();
    run.sort_by_key(|observation| observation.ended);
    let mut violations = Vec::new();
    for observation in &run {
        let before = run.iter().take_while(|earlier| earlier.ended < observation.started);
        let newest =
            before.filter(|o| o.ingress == observation.ingress).map(|o| o.edit).max().unwrap_or(0);
        if observation.edit < newest {
            violations.push(format!(
                "a request ran under the key of edit {}, which edit {newest} had withdrawn at its \
                 ingress: {:?}",
                observation.edit, observation.response
            ));
        }
    }
    violations
}

/// Returns the newest policy version of the daemons at `admin_addresses`; 0 if none responds.
pub async fn newest_version(admin_addresses: &[net::SocketAddr]) -> u64 {
    let statuses = futures::future::join_all(admin_addresses.iter().map(|a| status(*a))).await;
    statuses.into_iter().flatten().map(|status| status.policy).max().unwrap_or(0)
}

/// Returns a violation for each ingress whose success rate after the faults is too low; `rates`
/// holds the success rates by index of the ingress.
pub fn check_recovery(rates: &[f64]) -> Vec<String> {
    let failing = rates.iter().enumerate().filter(|(_, rate)| **rate < RECOVERY_RATE_MIN);
    failing
        .map(|(index, rate)| format!("ingress {index}: success rate {rate:.2} after the faults"))
        .collect()
}

/// Background task that checks that the policy version of a running daemon never decreases.
#[derive(Debug)]
pub struct VersionMonitor {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<Vec<String>>,
}

impl VersionMonitor {
    /// Starts polling the daemons at `admin_addresses`.
    pub fn start(admin_addresses: Vec<net::SocketAddr>) -> Self {
        let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let task = tokio::spawn(monitor(admin_addresses, stop.clone()));
        Self { stop, task }
    }

    /// Stops polling and returns a violation for each version that decreased.
    pub async fn stop(self) -> Vec<String> {
        self.stop.store(true, sync::atomic::Ordering::Release);
        self.task.await.unwrap_or_else(|error| vec![format!("the version monitor failed: {error}")])
    }
}

async fn monitor(
    admin_addresses: Vec<net::SocketAddr>,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<String> {
    let mut violations = Vec::new();
    // Newest version by address and incarnation: a restarted daemon may begin with an older
    // version.
    let mut newest_versions: IndexMap<(net::SocketAddr, u64), u64> = IndexMap::new();
    while !stop.load(sync::atomic::Ordering::Acquire) {
        for address in &admin_addresses {
            let Some(status) = status(*address).await else { continue };
            let own_record = status.members.iter().find(|member| member.daemon == status.daemon);
            let incarnation = own_record.map_or(0, |record| record.incarnation);
            let newest_version = newest_versions.entry((*address, incarnation)).or_default();
            if status.policy < *newest_version {
                let (daemon, policy) = (&status.daemon, status.policy);
                violations.push(format!(
                    "policy version of {daemon} decreased from {newest_version} to {policy}"
                ));
            }
            *newest_version = status.policy.max(*newest_version);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    violations
}

async fn status(address: net::SocketAddr) -> Option<admin::Status> {
    let get = http::Method::GET;
    let exchange =
        client::exchange(address, get, admin::STATUS_PATH, Bytes::new(), RESPONSE_TIMEOUT);
    // Daemons that do not respond are skipped: the injected faults make daemons unreachable.
    serde_json::from_slice(&exchange.await.ok()?.body).ok()
}

#[cfg(test)]
mod tests;
