//! Outage of the log service: accepted policies stay active, daemons can be replaced, and no policy
//! reverts afterwards.

use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fake_log;
use lynxmast_testing::fleet;

fn section(deadline: &str) -> String {
    format!(
        "team = 't'\n[[service]]\nname = 's'\nramp = '0s'\n[[route]]\nservice = 's'\n\
         host = 'h.example'\nidempotent = true\ndeadline = '{deadline}'\n"
    )
}

fn request() -> caller::Request {
    caller::Request { host: "h.example", path: "/", ..Default::default() }
}

fn policy_version(fleet: &fleet::Fleet, daemon: usize) -> u64 {
    fleet.daemons[daemon].shared.policy().version
}

#[tokio::test(flavor = "multi_thread")]
async fn replacement_daemons_serve_while_the_log_is_down() {
    let mut fleet = fleet::Fleet::start(&["a", "b", "c"], &[&section("2s")]).await;
    let _backend = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    fleet::publish(&fleet.log, &section("3s"), 1).await;
    fleet.wait_until(|fleet| (0..3).all(|daemon| policy_version(fleet, daemon) == 2)).await;
    fleet.log.set_faults(fake_log::Faults { is_down: true, ..Default::default() });
    fleet.daemons[2].kill();
    fleet.add_daemon("c").await;
    fleet
        .wait_until(|fleet| policy_version(fleet, 3) == 2 && fleet.daemons[3].shared.is_current())
        .await;
    fleet.daemons[1].kill();
    fleet.add_daemon("b").await;
    fleet
        .wait_until(|fleet| policy_version(fleet, 4) == 2 && fleet.daemons[4].shared.is_current())
        .await;
    let knows_backend =
        |fleet: &fleet::Fleet| !fleet.daemons[4].shared.router().candidates("s").is_empty();
    fleet.wait_until(knows_backend).await;
    let response = caller::Caller::new(fleet.ingress_address(4)).send(&request()).await;
    assert!(response.is_success(), "{response:?}");

    fleet.log.set_faults(fake_log::Faults::default());
    fleet::publish(&fleet.log, &section("4s"), 2).await;
    fleet
        .wait_until(|fleet| [0, 3, 4].iter().all(|&daemon| policy_version(fleet, daemon) == 3))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_peers_or_log_does_not_serve() {
    let mut fleet = fleet::Fleet::start(&["a"], &[&section("2s")]).await;
    fleet.log.set_faults(fake_log::Faults { is_down: true, ..Default::default() });
    fleet.add_daemon_with("b", |settings| settings.peers.clear()).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let response = caller::Caller::new(fleet.ingress_address(1)).send(&request()).await;
    assert_eq!((response.outcome.as_str(), response.reason.as_str()), ("not-run", "no-policy"));
    fleet.log.set_faults(fake_log::Faults::default());
    fleet.wait_until(|fleet| fleet.daemons[1].shared.is_current()).await;
}

/// A writer that gets no response appends its edit again, with the same id.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_appended_repeatedly_is_applied_once() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[&section("2s")]).await;
    let id = "the-same-edit";
    for _ in 0..3 {
        fleet::append_edit(&fleet.log, id, &section("3s"), 1).await;
    }
    fleet.wait_until(|fleet| (0..2).all(|daemon| policy_version(fleet, daemon) == 2)).await;
    fleet::append_edit(&fleet.log, "next", &section("4s"), 2).await;
    fleet.wait_until(|fleet| (0..2).all(|daemon| policy_version(fleet, daemon) == 5)).await;
}
