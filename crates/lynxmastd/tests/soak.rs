//! A short soak of the real daemon, and every seed that ever failed.

use std::path;
use std::time;

use test_case::test_case;

/// Seconds in which faults come; the whole test takes about twice as long.
const SPAN: time::Duration = time::Duration::from_secs(6);
const PROCESSES: usize = 4;

#[test_case(1; "a seed of the first day")]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_through_the_faults_of_a_seed(seed: u64) {
    let plan = lynxmast_soak::Plan {
        daemon: path::PathBuf::from(env!("CARGO_BIN_EXE_lynxmastd")),
        seed,
        duration: SPAN,
        processes: PROCESSES,
        logs: None,
    };
    let broken = lynxmast_soak::run(&plan).await.expect("the fleet starts");
    assert!(broken.is_empty(), "{broken:#?}");
}
