//! Tests of request traces.

use test_case::test_case;

use super::*;

const LOG: &str = "\
2026-02-17T04:11:40.000Z INFO  event=doubt upstream=shop@10.0.0.1:80 is_doubted=true
2026-02-17T04:11:41.000Z INFO  event=doubt upstream=shop@10.0.0.9:80 is_doubted=true
2026-02-17T04:11:42.000Z INFO  event=stopping daemon=d2 gate=10.0.0.2:81
2026-02-17T04:11:43.000Z INFO attempt ended event=attempt id=a1 upstream=10.0.0.1:80 gate=10.0.0.1:81 outcome=answered reason= status=500 took_ms=3
2026-02-17T04:11:44.000Z INFO attempt ended event=attempt id=a1 upstream=10.0.0.2:80 gate=10.0.0.2:81 outcome=not-run reason=unreachable status=0 took_ms=900
2026-02-17T04:11:44.100Z INFO not served event=request id=a1 outcome=answered reason= status=500 attempts=0 over_budget=true took_ms=1000
2026-02-17T04:11:45.000Z INFO  event=doubt upstream=shop@10.0.0.1:80 is_doubted=false
";

fn log(text: &str) -> log_line::Log {
    let mut log = log_line::Log::default();
    log.append(text.as_bytes(), "vm").expect("reading from memory succeeds");
    log
}

#[test]
fn trace_has_the_attempts_and_the_state_of_their_upstreams() {
    let log = log(LOG);
    let trace = RequestTrace::collect("a1", &log).expect("the log has the request");
    let text = trace.to_string();
    assert_eq!(text.lines().count(), 6, "{text}");
    assert!(text.contains("10.0.0.1:80 is_doubted=true") && text.contains("event=stopping"));
    assert!(!text.contains("10.0.0.9") && !text.contains("is_doubted=false"), "{text}");
    assert!(trace.cause().contains("status 500"), "{text}");
    assert!(trace.cause().contains("budget was empty"), "{text}");
    assert!(trace.cause().contains("were spent at sidecar 10.0.0.2:81 (unreachable)"), "{text}");
}

#[test]
fn trace_has_the_suspension_of_the_sidecars_vm() {
    let resumed = "2026-02-17T04:11:42.500Z INFO event=resumed daemon=d2 gate=10.0.0.2:81 \
                   suspended_ms=900\n";
    let log =
        log(&LOG.replacen("2026-02-17T04:11:43", &format!("{resumed}2026-02-17T04:11:43"), 1));
    let text = RequestTrace::collect("a1", &log).expect("the log has the request").to_string();
    assert!(text.contains("event=resumed"), "{text}");
}

#[test]
fn unknown_request_has_no_trace() {
    assert!(RequestTrace::collect("a2", &log(LOG)).is_none());
}

#[test_case("not-run", "wait-too-long", "overloaded"; "rejected under overload")]
#[test_case("not-run", "shed", "rejected"; "shed")]
#[test_case("not-run", "calls-rejected", "called service"; "parent that was not started")]
#[test_case("not-run", "doubtful", "suspected"; "only suspected upstreams")]
#[test_case("may-have-run", "connection-lost", "connection was lost"; "unknown outcome")]
#[test_case("may-have-run", "stalled", "may-have-run stalled"; "reason without a description")]
fn cause_describes_outcome_and_reason(outcome: &str, reason: &str, expected: &str) {
    let text = format!(
        "2026-02-17T04:11:44.100Z INFO event=request id=a1 outcome={outcome} reason={reason} attempts=1"
    );
    let log = log(&text);
    let trace = RequestTrace::collect("a1", &log).expect("the log has the request");
    assert!(trace.cause().contains(expected), "{}", trace.cause());
    assert!(!trace.cause().contains("were spent at sidecar"), "{}", trace.cause());
}

/// Guards against an explanation that leaves out why a request was ordered as it was.
#[test]
fn cause_states_that_the_request_was_taken_for_a_call() {
    let log = log("2026-02-17T04:11:44.100Z INFO event=request id=a1 outcome=not-run \
                reason=queue-full attempts=0 call=true rank=2");
    let trace = RequestTrace::collect("a1", &log).expect("the log has the request");
    let cause = trace.cause();
    assert!(cause.contains("taken for a call of a running request of rank 2"), "{cause}");
}

// Guards against rejections for a key of which operators cannot tell whether the daemon was behind.
#[test_case("unknown-key", "policy=7 newest=7", "unknown in policy version 7"; "unknown key")]
#[test_case("policy-behind", "policy=7 newest=9", "could not get version 9"; "newer version not fetched")]
#[test_case("policy-behind", "attempts=1", "a sidecar did not get"; "sidecar behind")]
#[test_case("forbidden", "policy=7 newest=7", "another team"; "other team")]
fn cause_names_the_policy_version(reason: &str, fields: &str, expected: &str) {
    let text = format!(
        "2026-02-17T04:11:44.100Z INFO event=request id=a1 outcome=not-run reason={reason} {fields}"
    );
    let log = log(&text);
    let trace = RequestTrace::collect("a1", &log).expect("the log has the request");
    assert!(trace.cause().contains(expected), "{}", trace.cause());
}

#[test_case("rate-limited", "organisation 'mailers' was over its quota of 40 requests/s and a burst of 60"; "over the quota")]
#[test_case("quota-unavailable", "the owner of the quota of organisation 'mailers' did not respond"; "owner silent")]
fn cause_names_the_quota(reason: &str, expected: &str) {
    let text = format!(
        "2026-02-17T04:11:44.100Z INFO request rejected by ingress event=request id=a1 \
         outcome=not-run reason={reason} organisation=mailers rate=40 burst=60 owner=responds \
         room_ms=300\n"
    );
    let log = log(&text);
    let trace = RequestTrace::collect("a1", &log).expect("the log has the request");
    assert!(trace.cause().contains(expected), "{}", trace.cause());
}
