//! Tests that violations of each invariant are detected.

use lynxmast_testing::caller;
use test_case::test_case;

use super::*;

fn observation(
    non_idempotent: bool,
    outcome: &str,
    status: u16,
    echoes_tag: bool,
    elapsed_s: u64,
) -> load::Observation {
    let response = caller::Response {
        tag: "tag-1".into(),
        status,
        outcome: outcome.into(),
        reason: String::new(),
        body: Bytes::new(),
        is_complete: true,
        echoes_tag,
        elapsed: time::Duration::from_secs(elapsed_s),
    };
    load::Observation { non_idempotent, response }
}

#[test_case(&observation(true, "answered", 200, true, 1), 1, 0; "served")]
#[test_case(&observation(true, "answered", 200, true, 1), 2, 1; "non-idempotent request run twice")]
#[test_case(&observation(false, "answered", 200, true, 1), 2, 0; "idempotent request run twice")]
#[test_case(&observation(true, "not-run", 503, false, 1), 0, 0; "rejected")]
#[test_case(&observation(false, "not-run", 503, false, 1), 1, 1; "run but reported as not run")]
#[test_case(&observation(true, "may-have-run", 502, false, 1), 1, 0; "unknown outcome")]
#[test_case(&observation(false, "answered", 200, false, 1), 1, 1; "body of another request")]
#[test_case(&observation(false, "answered", 200, true, 1), 0, 1; "response without a run")]
#[test_case(&observation(false, "not-run", 503, false, 60), 0, 1; "far beyond the deadline")]
fn invariant_violations_are_detected(
    observation: &load::Observation,
    run_count: u32,
    expected: usize,
) {
    let runs = IndexMap::from([("tag-1".to_owned(), run_count)]);
    assert_eq!(check_requests(std::slice::from_ref(observation), &runs).len(), expected);
}

#[test]
fn an_ingress_that_does_not_recover_is_detected() {
    assert_eq!(check_recovery(&[1.0, 0.95, 0.5]).len(), 1);
}

#[test_case(&[(0.0, 0.1); 86], 0; "as many as the quota allows")]
#[test_case(&[(0.0, 0.1); 87], 1; "more than the quota allows")]
#[test_case(&[(0.0, 5.1); 87], 0; "perhaps in several windows")]
fn runs_over_the_quota_are_detected(runs: &[(f64, f64)], expected: usize) {
    let start = time::Instant::now();
    let at = |seconds| start + time::Duration::from_secs_f64(seconds);
    let run =
        |&(sent, completed): &(f64, f64)| load::Run { sent: at(sent), completed: at(completed) };
    let runs: Vec<load::Run> = runs.iter().map(run).collect();
    assert_eq!(check_quota(&runs).len(), expected);
}

fn keyed(
    begin: time::Instant,
    port: u16,
    edit: u64,
    (started_ms, ended_ms): (u64, u64),
) -> load::KeyedObservation {
    let mut response = observation(true, "answered", 200, true, 1).response;
    response.tag = format!("tag-{port}-{edit}-{started_ms}");
    let at = |ms| begin + time::Duration::from_millis(ms);
    let ingress = net::SocketAddr::from(([127, 0, 0, 1], port));
    load::KeyedObservation { ingress, edit, started: at(started_ms), ended: at(ended_ms), response }
}

// Guards against a check that misses a withdrawn key, or that reports daemons which are still behind.
#[test_case(&[(1, 1, (0, 10)), (1, 2, (20, 30)), (1, 2, (40, 50))], 0; "key replaced once")]
#[test_case(&[(1, 1, (0, 10)), (1, 2, (20, 30)), (1, 1, (40, 50))], 1; "withdrawn key accepted again")]
#[test_case(&[(1, 2, (20, 30)), (1, 1, (25, 50))], 0; "requests at the same time")]
#[test_case(&[(1, 2, (20, 30)), (2, 1, (40, 50))], 0; "other ingress behind")]
fn requests_under_withdrawn_keys_are_detected(sent: &[(u16, u64, (u64, u64))], expected: usize) {
    let begin = time::Instant::now();
    let observations: Vec<_> =
        sent.iter().map(|(port, edit, times)| keyed(begin, *port, *edit, *times)).collect();
    let tags = observations.iter().map(|observation| observation.response.tag.clone());
    let runs: IndexMap<_, _> = tags.map(|tag| (tag, 1)).collect();
    assert_eq!(check_keys(&observations, &runs).len(), expected);
    assert_eq!(check_keys(&observations, &IndexMap::new()).len(), 0, "none has run");
}
