//! Fleet-wide rate limits of organisations.

use std::time;

use lynxmast_state::policy::organisation;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::load;

const ROUTE: &str = "
idempotent = true
deadline = '30s'
[[organisation]]
name = 'o'
key-hash = 'HASH'
rate = 60.0
";

async fn start() -> (fleet::Fleet, Vec<backend::Backend>) {
    let route = ROUTE.replace("HASH", &organisation::hash_key("key"));
    let section = fleet::section(&route);
    let fleet = fleet::Fleet::start(&["a", "b", "c"], &[&section]).await;
    let mut backends = Vec::new();
    for daemon in 0..3 {
        backends.push(fleet.add_backend(daemon, "s", backend::Behaviour::default()).await);
    }
    (fleet, backends)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisations_rate_limit_holds_across_all_ingresses() {
    let (fleet, backends) = start().await;
    let key = Some("key".to_owned());
    let request = caller::Request { host: "h.example", path: "/", key, ..Default::default() };
    let targets = (0..3).map(|daemon| fleet.ingress_address(daemon)).collect();
    let duration = time::Duration::from_secs(3);
    let plan = load::Plan { targets, request, rate: 400.0, duration, seed: 1 };
    load::run(plan.clone()).await;
    let runs_before: u64 = backends.iter().map(backend::Backend::runs).sum();
    let stats = load::run(plan).await;
    let runs: u64 = backends.iter().map(backend::Backend::runs).sum::<u64>() - runs_before;
    let admitted = runs as f64 / duration.as_secs_f64();
    assert!((54.0..=66.0).contains(&admitted), "{admitted} requests/s admitted, limit 60");
    assert!(stats.outcomes.contains_key("not-run-rate-limited"), "{:?}", stats.outcomes);
}

// Guards against requests that are rejected because the tokens of the organisation are at another
// ingress, and against ingresses that do not reach the owner of its quota.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_rejected_at_six_tenths_of_the_quota_over_all_ingresses() {
    let (fleet, _backends) = start().await;
    // Owners of quotas lend nothing in their first two seconds.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    let key = Some("key".to_owned());
    let request = caller::Request { host: "h.example", path: "/", key, ..Default::default() };
    let targets = (0..3).map(|daemon| fleet.ingress_address(daemon)).collect();
    let duration = time::Duration::from_secs(4);
    let plan = load::Plan { targets, request, rate: 36.0, duration, seed: 2 };
    let stats = load::run(plan).await;
    assert!(!stats.outcomes.contains_key("not-run-rate-limited"), "{:?}", stats.outcomes);
}
