//! Tests of the story of a request.

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
    log.take(text.as_bytes(), "vm").expect("bytes in memory");
    log
}

#[test]
fn a_story_has_the_attempts_and_what_was_known_of_their_upstreams() {
    let log = log(LOG);
    let story = Story::of("a1", &log).expect("a story");
    let text = story.to_string();
    assert_eq!(text.lines().count(), 6, "{text}");
    assert!(text.contains("10.0.0.1:80 is_doubted=true") && text.contains("event=stopping"));
    assert!(!text.contains("10.0.0.9") && !text.contains("is_doubted=false"), "{text}");
    assert!(story.cause().contains("status 500"), "{text}");
    assert!(story.cause().contains("budget was empty"), "{text}");
    assert!(story.cause().contains("went to the gate 10.0.0.2:81 (unreachable)"), "{text}");
}

#[test]
fn a_suspension_of_the_gates_vm_is_part_of_the_story() {
    let resumed = "2026-02-17T04:11:42.500Z INFO event=resumed daemon=d2 gate=10.0.0.2:81 \
                   suspended_ms=900\n";
    let log =
        log(&LOG.replacen("2026-02-17T04:11:43", &format!("{resumed}2026-02-17T04:11:43"), 1));
    let story = Story::of("a1", &log).expect("a story").to_string();
    assert!(story.contains("event=resumed"), "{story}");
}

#[test]
fn an_unknown_request_has_no_story() {
    assert!(Story::of("a2", &log(LOG)).is_none());
}

#[test_case("not-run", "wait-too-long", "overloaded"; "refused in overload")]
#[test_case("not-run", "shed", "rejected"; "shed")]
#[test_case("not-run", "doubtful", "doubted"; "nothing but doubted upstreams")]
#[test_case("may-have-run", "connection-lost", "connection was lost"; "unknown outcome")]
#[test_case("may-have-run", "stalled", "may-have-run stalled"; "a reason without words of its own")]
fn the_end_tells_the_cause(outcome: &str, reason: &str, expected: &str) {
    let text = format!(
        "2026-02-17T04:11:44.100Z INFO event=request id=a1 outcome={outcome} reason={reason} attempts=1"
    );
    let log = log(&text);
    let story = Story::of("a1", &log).expect("a story");
    assert!(story.cause().contains(expected), "{}", story.cause());
    assert!(!story.cause().contains("went to the gate"), "{}", story.cause());
}
