//! Tests of the validation of request heads.

use test_case::test_case;

use super::*;

fn parse(target: &str, headers: &[(&str, &str)]) -> Result<RequestHead, outcome::Rejection> {
    let mut builder = http::Request::builder().uri(target);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(()).expect("a request that the HTTP parser accepts");
    RequestHead::parse(&request.into_parts().0, &header_scheme::HeaderScheme::default(), true)
}

#[test]
fn well_formed_heads_are_parsed() {
    let headers = [("host", "Shop.Example:8080"), ("lynxmast-timeout-ms", "250")];
    let parsed = parse("/cart?x=1", &headers);
    let timeout = Some(time::Duration::from_millis(250));
    let (host, path) = ("shop.example".into(), "/cart".into());
    assert_eq!(parsed, Ok(RequestHead { host, path, key: None, timeout }));
}

#[test_case("/", &[]; "no host")]
#[test_case("/", &[("host", "a"), ("host", "b")]; "two hosts")]
#[test_case("http://a/", &[("host", "b")]; "hosts that differ")]
#[test_case("/", &[("host", "user@a")]; "user in host")]
#[test_case("/", &[("host", "a"), ("upgrade", "websocket")]; "upgrade")]
#[test_case("/", &[("host", "a"), ("lynxmast-key", "x"), ("lynxmast-key", "y")]; "two keys")]
#[test_case("/", &[("host", "a"), ("lynxmast-timeout-ms", "soon")]; "timeout that is no number")]
#[test_case("/cart/../checkout", &[("host", "a")]; "dot segments")]
#[test_case("/cart/%2e%2e/checkout", &[("host", "a")]; "encoded dot segments")]
#[test_case("//checkout", &[("host", "a")]; "empty segment")]
#[test_case("/cart%2fx", &[("host", "a")]; "encoded slash")]
fn malformed_or_ambiguous_heads_are_rejected(target: &str, headers: &[(&str, &str)]) {
    assert_eq!(parse(target, headers), Err(outcome::Rejection::BadRequest));
}
