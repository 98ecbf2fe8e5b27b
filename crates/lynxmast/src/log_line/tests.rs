//! Tests of reading log lines back.

use test_case::test_case;

use super::*;

#[test_case("2026-02-17T04:11:52.272Z INFO not served event=request id=a1 took_ms=7", "file"; "a plain line")]
#[test_case("  5.27 vm-3 2026-02-17T04:11:52.272Z INFO  event=request id=a1 took_ms=7", "vm-3"; "a collected line")]
fn a_line_has_time_origin_and_pairs(text: &str, origin: &str) {
    let line = LogLine::parse(text, "file").expect("a line");
    assert_eq!((line.time.as_str(), line.origin.as_str()), ("2026-02-17T04:11:52.272Z", origin));
    assert_eq!(
        (line.value("event"), line.value("id"), line.number("took_ms")),
        ("request", "a1", 7)
    );
    assert_eq!((line.value("none"), line.number("id")), ("", 0));
}

#[test]
fn values_may_hold_spaces() {
    let text = "2026-02-17T04:11:52.272Z WARN event=store-lost reason=\"no answer: a=b\" x=1";
    let line = LogLine::parse(text, "file").expect("a line");
    assert_eq!((line.value("reason"), line.value("x")), ("no answer: a=b", "1"));
}

#[test_case(""; "nothing")]
#[test_case("thread 'main' panicked at src/main.rs"; "no log line")]
#[test_case("INFO event=request"; "no time")]
#[test_case("yesterday INFO event=request"; "no date")]
fn other_text_is_no_line(text: &str) {
    assert_eq!(LogLine::parse(text, "file"), None);
}

#[test]
fn lines_that_cannot_be_read_are_counted() {
    let mut log = Log::default();
    let text: &[u8] = b"\xff\xfe\n\n2026-02-17T04:11:52.272Z INFO event=started\nnonsense\n";
    log.take(text, "file").expect("bytes in memory");
    assert_eq!((log.lines.len(), log.passed_over), (1, 2));
}
