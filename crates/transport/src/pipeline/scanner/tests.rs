//! Tests of the boundaries between requests.

use test_case::test_case;

use super::*;

const HEAD_SIZE_MAX: usize = 1024;

/// Scans `text` in pieces of `step` bytes, as if it arrived that way. Returns the lengths of the
/// complete requests, and whether the connection became opaque.
fn scan(text: &str, step: usize) -> (Vec<usize>, bool) {
    let mut scanner = Scanner::new(HEAD_SIZE_MAX);
    let (mut lengths, mut current, mut position) = (Vec::new(), 0, 0);
    let mut arrived = 0;
    while arrived < text.len() {
        arrived = (arrived + step).min(text.len());
        loop {
            let (taken, is_end) = scanner.advance(&text.as_bytes()[position..arrived]);
            position += taken;
            current += taken;
            if is_end {
                lengths.push(std::mem::take(&mut current));
            }
            if taken == 0 || position == arrived {
                break;
            }
        }
    }
    (lengths, scanner.is_opaque())
}

fn check(requests: &[&str], is_opaque: bool) {
    let text = requests.concat();
    for step in [1, 2, 7, text.len()] {
        let (lengths, opaque) = scan(&text, step);
        let expected: Vec<usize> = if is_opaque {
            requests[..requests.len() - 1].iter().map(|request| request.len()).collect()
        } else {
            requests.iter().map(|request| request.len()).collect()
        };
        assert_eq!((lengths, opaque), (expected, is_opaque), "in steps of {step}");
    }
}

const GET: &str = "GET /a?b=c HTTP/1.1\r\nHost: shop.example\r\n\r\n";
const LENGTH: &str = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
const EMPTY: &str = "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
const CHUNKS: &str = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
    5;name=value\r\nhello\r\n0A\r\n0123456789\r\n0\r\nx-sum: 1\r\n\r\n";

#[test_case(&[GET, GET, GET]; "without bodies")]
#[test_case(&[LENGTH, GET, EMPTY, LENGTH]; "with lengths")]
#[test_case(&[CHUNKS, GET, CHUNKS, CHUNKS]; "with chunks")]
fn requests_end_where_the_next_begins(requests: &[&str]) {
    check(requests, false);
}

#[test_case("GET / HTTP/1.0\r\n\r\n"; "old version")]
#[test_case("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"; "preface of HTTP 2")]
#[test_case("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"; "last request")]
#[test_case("GET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n"; "upgrade")]
#[test_case("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na"; "expectation")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"; "length and chunks")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello"; "two lengths")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello"; "length with a sign")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"; "other encoding")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello"; "chunk without carriage return")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"; "chunk too large")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n"; "chunk without size")]
#[test_case("GET / HTTP/1.1\r\nbad header\r\n\r\n"; "malformed head")]
fn a_request_of_uncertain_length_makes_the_connection_opaque(request: &str) {
    check(&[GET, LENGTH, request], true);
}

#[test]
fn a_long_head_makes_the_connection_opaque() {
    let long = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(HEAD_SIZE_MAX));
    check(&[GET, &long], true);
}

#[test_case(GET, true; "request without body")]
#[test_case(EMPTY, true; "empty body")]
#[test_case("GET / HTTP/1.1\r\nConnection: Keep-Alive\r\n\r\n", true; "explicit keep-alive")]
#[test_case(LENGTH, false; "body")]
#[test_case(CHUNKS, false; "chunks")]
#[test_case("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false; "last request")]
#[test_case("GET / HTTP/1.1\r\nHost: a", false; "incomplete")]
fn only_a_complete_request_without_body_can_be_started_early(request: &str, expected: bool) {
    let head = Scanner::new(HEAD_SIZE_MAX).bodiless_head(request.as_bytes());
    assert_eq!(head.is_some(), expected);
    assert!(head.is_none_or(|head| head.length == request.len()));
}
