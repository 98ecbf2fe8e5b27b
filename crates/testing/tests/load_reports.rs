//! Daemons learn the demand and the slots of the failure domains from each other.

use std::time;

use lynxmast_state::load_report;
use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;

// Guards against a plan that is never made because reports do not arrive or do not add up.
#[tokio::test(flavor = "multi_thread")]
async fn the_load_of_each_domain_is_known_to_all_daemons() {
    let fleet = fleet::Fleet::start(&["a", "a", "b"], &[&fleet::section("")]).await;
    let _backends = [
        fleet.add_backend(0, "s", backend::Behaviour::default()).await,
        fleet.add_backend(2, "s", backend::Behaviour::default()).await,
    ];
    let caller = caller::Caller::new(fleet.ingress_address(1));
    let request = caller::Request { host: "h.example", path: "/", ..Default::default() };
    let end = time::Instant::now() + time::Duration::from_secs(10);
    loop {
        assert_eq!(caller.send(&request).await.status, 200);
        let known = |daemon: &fleet::Daemon| {
            let loads = daemon.shared.domain_loads();
            let loads = loads.get(&load_report::tag("s")).cloned().unwrap_or_default();
            let of = |name: &str| loads.iter().find(|load| &*load.domain == name).cloned();
            let (Some(a), Some(b)) = (of("a"), of("b")) else { return false };
            a.demand > 1.0 && b.demand == 0.0 && a.slots == 4 && b.slots == 4
        };
        if fleet.daemons.iter().all(known) {
            return;
        }
        assert!(time::Instant::now() < end, "{:?}", fleet.daemons[2].shared.domain_loads());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

// Guards against reports that exceed the control traffic of a daemon (14 KB/s): 24 reports are sent and
// received up to six times per second.
#[test]
fn the_reports_of_a_message_take_little_space() {
    let service = load_report::ServiceLoad {
        service: load_report::tag("storefront"),
        demand: 1250,
        slots: 44,
        in_use: 40,
        queued: 12,
        upstreams: 11,
        service_time: 350,
    };
    let now = time::Instant::now();
    let mut reports = load_report::LoadReports::default();
    for n in 0..60 {
        let mut other = load_report::LoadReports::default();
        other.set_own(&format!("d{n}"), 1_800_000_000, vec![service], now);
        reports.merge(&other.update(now), now);
    }
    let size = rmp_serde::to_vec(&reports.update(now)).expect("encoded").len();
    println!("{size} bytes");
    assert!(size <= 24 * 30, "{size} bytes");
}
