//! Tests of the checks on request heads.

use test_case::test_case;

use super::*;

fn check(target: &str, lines: &[(&str, &str)]) -> Result<Asked, outcome::Refusal> {
    let mut builder = http::Request::builder().uri(target);
    for (name, value) in lines {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(()).expect("a request that the parser lets through");
    Asked::read(&request.into_parts().0, &header_scheme::HeaderScheme::default())
}

#[test]
fn a_plain_head_is_read() {
    let lines = [("host", "Shop.Example:8080"), ("lynxmast-timeout-ms", "250")];
    let asked = check("/cart?x=1", &lines);
    let timeout = Some(time::Duration::from_millis(250));
    let (host, path) = ("shop.example".into(), "/cart".into());
    assert_eq!(asked, Ok(Asked { host, path, key: None, timeout }));
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
fn heads_with_two_readings_are_refused(target: &str, lines: &[(&str, &str)]) {
    assert_eq!(check(target, lines), Err(outcome::Refusal::BadRequest));
}
