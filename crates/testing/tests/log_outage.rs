//! The log down: what was accepted stays in force, daemons are replaced, nothing reverts after.

use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::log_stand_in;

fn section(deadline: &str) -> String {
    format!(
        "team = 't'\n[[service]]\nname = 's'\nramp = '0s'\n[[route]]\nservice = 's'\n\
         host = 'h.example'\nidempotent = true\ndeadline = '{deadline}'\n"
    )
}

fn ask() -> caller::Ask {
    caller::Ask { host: "h.example", path: "/", ..Default::default() }
}

fn version(fleet: &fleet::Fleet, daemon: usize) -> u64 {
    fleet.daemons[daemon].shared.view().version
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_are_replaced_while_the_log_is_down() {
    let mut fleet = fleet::Fleet::start(&["a", "b", "c"], &[&section("2s")]).await;
    let _backend = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    fleet::publish(&fleet.log, &section("3s"), 1).await;
    fleet.settle(|fleet| (0..3).all(|daemon| version(fleet, daemon) == 2)).await;
    fleet.log.set_faults(log_stand_in::Faults { is_down: true, ..Default::default() });
    fleet.daemons[2].kill();
    fleet.add_daemon("c").await;
    fleet.settle(|fleet| version(fleet, 3) == 2 && fleet.daemons[3].shared.is_current()).await;
    fleet.daemons[1].kill();
    fleet.add_daemon("b").await;
    fleet.settle(|fleet| version(fleet, 4) == 2 && fleet.daemons[4].shared.is_current()).await;
    let known = |fleet: &fleet::Fleet| !fleet.daemons[4].shared.router().candidates("s").is_empty();
    fleet.settle(known).await;
    let got = caller::Caller::new(fleet.entry(4)).ask(&ask()).await;
    assert!(got.is_good(), "{got:?}");

    fleet.log.set_faults(log_stand_in::Faults::default());
    fleet::publish(&fleet.log, &section("4s"), 2).await;
    fleet.settle(|fleet| [0, 3, 4].iter().all(|&daemon| version(fleet, daemon) == 3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_has_heard_from_nobody_does_not_serve() {
    let mut fleet = fleet::Fleet::start(&["a"], &[&section("2s")]).await;
    fleet.log.set_faults(log_stand_in::Faults { is_down: true, ..Default::default() });
    fleet.add_daemon_with("b", |settings| settings.peers.clear()).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let got = caller::Caller::new(fleet.entry(1)).ask(&ask()).await;
    assert_eq!((got.outcome.as_str(), got.reason.as_str()), ("not-run", "no-policy"));
    fleet.log.set_faults(log_stand_in::Faults::default());
    fleet.settle(|fleet| fleet.daemons[1].shared.is_current()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_answer_is_lost_counts_once() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[&section("2s")]).await;
    let id = "the-same-edit";
    for _ in 0..3 {
        fleet::append(&fleet.log, id, &section("3s"), 1).await;
    }
    fleet.settle(|fleet| (0..2).all(|daemon| version(fleet, daemon) == 2)).await;
    fleet::append(&fleet.log, "next", &section("4s"), 2).await;
    fleet.settle(|fleet| (0..2).all(|daemon| version(fleet, daemon) == 5)).await;
}
