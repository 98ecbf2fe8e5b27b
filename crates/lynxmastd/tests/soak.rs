//! Short soak test of the daemon process, including every seed that ever failed.

use std::path;
use std::time;

use test_case::test_case;

/// Time during which faults are injected; the whole test takes about twice as long.
const FAULT_TIME: time::Duration = time::Duration::from_secs(6);
const PROCESSES: usize = 4;

#[test_case(1; "first seed")]
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_the_faults_of_a_seed(seed: u64) {
    let plan = lynxmast_soak::Plan {
        daemon: path::PathBuf::from(env!("CARGO_BIN_EXE_lynxmastd")),
        seed,
        duration: FAULT_TIME,
        processes: PROCESSES,
        logs: None,
    };
    let violations = lynxmast_soak::run(&plan).await.expect("the fleet starts");
    assert!(violations.is_empty(), "{violations:#?}");
}
