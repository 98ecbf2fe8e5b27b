//! What must hold through every fault, judged from what callers and backend servers saw.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use lynxmast_protocol::admin;
use lynxmast_transport::client;

use crate::fleet;
use crate::load;

/// Time beyond the deadline after which an answer is too late: the longest freeze of the entry that
/// is asked, twice, as freezes may follow each other, and a second of load.
const LATE: time::Duration = time::Duration::from_secs(7);
/// Share of the requests that each entry has to serve well after the faults.
const RECOVERED: f64 = 0.9;
/// Time between looks at the daemons' policy versions.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(250);
const LOOK_MAX: time::Duration = time::Duration::from_millis(500);

/// Returns the promises that requests broke; `runs` holds the runs of each tag.
pub fn check(seen: &[load::Seen], runs: &IndexMap<String, u32>) -> Vec<String> {
    let mut broken = Vec::new();
    for load::Seen { once, got } in seen {
        let ran = runs.get(&got.tag).copied().unwrap_or(0);
        let mut fails = |what: &str| broken.push(format!("{what}: ran {ran} times, {got:?}"));
        if got.is_wrong() {
            fails("a wrong answer looked complete");
        }
        if *once && ran > 1 {
            fails("a request that must not run twice did");
        }
        if got.outcome == "not-run" && ran > 0 {
            fails("a refusal said 'not run' of a request that ran");
        }
        if got.is_good() && ran == 0 {
            fails("an answer came for a request that no backend server ran");
        }
        if got.took > fleet::DEADLINE + LATE {
            fails("a request was held beyond its deadline");
        }
    }
    broken
}

/// Returns the entries that do not serve after the faults.
pub fn check_recovery(shares: &[f64]) -> Vec<String> {
    let low = shares.iter().enumerate().filter(|(_, share)| **share < RECOVERED);
    low.map(|(entry, share)| format!("entry {entry} serves only {share:.2} after the faults"))
        .collect()
}

/// Watch over the policy versions of the daemons.
#[derive(Debug)]
pub struct Versions {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<Vec<String>>,
}

impl Versions {
    /// Starts to ask the daemons at `admins`.
    pub fn start(admins: Vec<net::SocketAddr>) -> Self {
        let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let task = tokio::spawn(watch(admins, stop.clone()));
        Self { stop, task }
    }

    /// Ends the watch and returns what went back.
    pub async fn stop(self) -> Vec<String> {
        self.stop.store(true, sync::atomic::Ordering::Release);
        self.task.await.unwrap_or_else(|error| vec![format!("the watch over versions: {error}")])
    }
}

async fn watch(
    admins: Vec<net::SocketAddr>,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<String> {
    let mut broken = Vec::new();
    // Newest version seen of each start of a daemon.
    let mut newest: IndexMap<(net::SocketAddr, u64), u64> = IndexMap::new();
    while !stop.load(sync::atomic::Ordering::Acquire) {
        for address in &admins {
            let Some(status) = status(*address).await else { continue };
            let own = status.members.iter().find(|member| member.daemon == status.daemon);
            let start = own.map_or(0, |own| own.incarnation);
            let known = newest.entry((*address, start)).or_default();
            if status.policy < *known {
                let (daemon, policy) = (&status.daemon, status.policy);
                broken.push(format!("the policy of {daemon} went back from {known} to {policy}"));
            }
            *known = status.policy.max(*known);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    broken
}

async fn status(address: net::SocketAddr) -> Option<admin::Status> {
    let get = http::Method::GET;
    let asked = client::exchange(address, get, admin::STATUS_PATH, Bytes::new(), LOOK_MAX);
    // A daemon that does not answer tells nothing; the faults see to that.
    serde_json::from_slice(&asked.await.ok()?.body).ok()
}

#[cfg(test)]
mod tests;
