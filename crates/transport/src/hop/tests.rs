//! Tests of the headers that a hop removes.

use http::HeaderValue;
use test_case::test_case;

use super::*;

fn check(lines: &[(&'static str, &[u8])], expected: &[&str]) {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let value = HeaderValue::from_bytes(value).expect("a valid value");
        headers.append(HeaderName::from_static(name), value);
    }
    strip_hop_by_hop_headers(&mut headers, &header_scheme::HeaderScheme::default());
    let left: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    assert_eq!(left, expected);
}

// Guards against listed headers that stay, as another part of the list cannot be read.
#[test_case(&[("connection", b"x-own, \xff"), ("x-own", b"1"), ("x-other", b"1")], &["x-other"]; "bytes outside ASCII")]
#[test_case(&[("connection", b"x own, x-own"), ("x-own", b"1"), ("x-other", b"1")], &["x-other"]; "not a name")]
#[test_case(&[("connection", b"\tx-own\t,"), ("x-own", b"1"), ("x-other", b"1")], &["x-other"]; "with tabs")]
#[test_case(&[("connection", b"close"), ("connection", b"x-own"), ("x-own", b"1"), ("x-own", b"2")], &[]; "on two lines")]
fn listed_headers_are_removed(lines: &[(&'static str, &[u8])], expected: &[&str]) {
    check(lines, expected);
}

// Guards against headers of one connection that local upstreams get and others do not, as HTTP/2 removes them.
#[test_case("connection"; "connection")]
#[test_case("keep-alive"; "keep alive")]
#[test_case("proxy-connection"; "proxy connection")]
#[test_case("te"; "te")]
#[test_case("trailer"; "trailer")]
#[test_case("transfer-encoding"; "transfer encoding")]
#[test_case("upgrade"; "upgrade")]
fn headers_of_one_connection_are_removed(name: &'static str) {
    check(&[(name, b"1"), ("x-other", b"1")], &["x-other"]);
}
