//! Tests of requests that arrive while daemons start.

use test_case::test_case;

use super::*;

const MS: time::Duration = time::Duration::from_millis(1);

/// Returns when a request is served that arrives `arrival` after the start of its daemon, which
/// knows an upstream from `known` on; `None` if the request is rejected.
fn serve(
    arrival: time::Duration,
    timeout: time::Duration,
    known: time::Duration,
) -> Option<time::Duration> {
    let start = time::Instant::now();
    let startup = Startup::new(start);
    let (arrived, deadline) = (start + arrival, start + arrival + timeout);
    let mut now = arrived;
    while now < start + known {
        now += startup.retry_delay(arrived, deadline, now)?;
    }
    Some(now - start)
}

// Pattern: all daemons lose power at once and start again, while callers continue.
#[test_case(2000, 12_000; "long timeout")]
#[test_case(1500, 4000; "short timeout")]
#[test_case(250, 600; "timeout of an internal call")]
fn requests_are_served_as_soon_as_the_upstreams_are_known(known_ms: u32, timeout_ms: u32) {
    let (known, timeout) = (MS * known_ms, MS * timeout_ms);
    for arrival in (0..known_ms).step_by(50).map(|ms| MS * ms) {
        let served = serve(arrival, timeout, known);
        assert!(served.is_some_and(|at| at < known + RETRY_INTERVAL), "{arrival:?}: {served:?}");
    }
}

// Pattern: a service loses all its upstreams while the daemons keep running.
#[test]
fn requests_for_a_service_without_upstreams_are_rejected_at_once_later() {
    assert_eq!(serve(MS * 60_000, MS * 12_000, MS * 61_000), None);
}

#[test]
fn a_request_keeps_half_of_its_time() {
    let start = time::Instant::now();
    let startup = Startup::new(start);
    let deadline = start + MS * 1000;
    assert!(startup.retry_delay(start, deadline, start + MS * 400).is_some());
    assert_eq!(startup.retry_delay(start, deadline, start + MS * 401), None);
}
