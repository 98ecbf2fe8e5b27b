//! Tests of parsing log lines.

use test_case::test_case;

use super::*;

#[test_case("2026-02-17T04:11:52.272Z INFO not served event=request id=a1 took_ms=7", "file"; "line without origin")]
#[test_case("  5.27 vm-3 2026-02-17T04:11:52.272Z INFO  event=request id=a1 took_ms=7", "vm-3"; "collected line with origin")]
fn line_is_split_into_time_origin_and_pairs(text: &str, origin: &str) {
    let line = LogLine::parse(text, "file").expect("the text is a log line");
    assert_eq!((line.time.as_str(), line.origin.as_str()), ("2026-02-17T04:11:52.272Z", origin));
    assert_eq!(
        (line.value("event"), line.value("id"), line.number("took_ms")),
        ("request", "a1", 7)
    );
    assert_eq!((line.value("none"), line.number("id")), ("", 0));
}

#[test]
fn quoted_values_may_contain_spaces() {
    let text = "2026-02-17T04:11:52.272Z WARN event=store-lost reason=\"no response: a=b\" x=1";
    let line = LogLine::parse(text, "file").expect("the text is a log line");
    assert_eq!((line.value("reason"), line.value("x")), ("no response: a=b", "1"));
}

#[test_case(""; "empty line")]
#[test_case("thread 'main' panicked at src/main.rs"; "panic message")]
#[test_case("INFO event=request"; "missing time")]
#[test_case("yesterday INFO event=request"; "time without date")]
fn text_without_time_and_level_is_not_a_log_line(text: &str) {
    assert_eq!(LogLine::parse(text, "file"), None);
}

#[test]
fn other_lines_are_skipped_and_counted() {
    let mut log = Log::default();
    let text: &[u8] = b"\xff\xfe\n\n2026-02-17T04:11:52.272Z INFO event=started\nnonsense\n";
    log.append(text, "file").expect("reading from memory succeeds");
    assert_eq!((log.lines.len(), log.skipped), (1, 2));
}
