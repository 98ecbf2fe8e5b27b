//! Tests of the envelope's headers.

use http::header::HeaderMap;
use http::header::HeaderValue;
use lynxmast_state::outcome;
use lynxmast_state::retry;
use test_case::test_case;

use super::*;

fn check(ended: Option<retry::AttemptEnd>) {
    let load = Some(load::Load { in_use: 1, queued: 2, slots: 4 });
    let took = ended.is_none().then(|| time::Duration::from_micros(1500));
    let sent = Verdict { ended, load, took, doubt: Some(40), of_call: true, policy: 9 };
    let mut headers = HeaderMap::new();
    sent.write(&mut headers);
    assert_eq!(Verdict::read(&headers), Ok(sent));
}

#[test]
fn verdicts_survive_the_headers() {
    check(None);
    outcome::Refusal::ALL.into_iter().for_each(|r| check(Some(retry::AttemptEnd::NotRun(r))));
    outcome::Failure::ALL.into_iter().for_each(|f| check(Some(retry::AttemptEnd::MayHaveRun(f))));
}

#[test_case(&[], header::OUTCOME; "nothing at all")]
#[test_case(&[("lynxmast-outcome", "not-run"), ("lynxmast-reason", "odd")], header::REASON; "unknown reason")]
#[test_case(&[("lynxmast-outcome", "done"), ("lynxmast-reason", "")], header::OUTCOME; "unknown outcome")]
fn bad_verdicts_are_refused(lines: &[(&'static str, &'static str)], blamed: &'static str) {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(*name, HeaderValue::from_static(value));
    }
    assert_eq!(Verdict::read(&headers), Err(HeaderError::Malformed(blamed)));
}

#[test]
fn repeated_headers_are_refused() {
    let mut headers = HeaderMap::new();
    headers.append(header::LEFT_US, HeaderValue::from_static("5"));
    headers.append(header::LEFT_US, HeaderValue::from_static("6"));
    assert!(get::<u64>(&headers, header::LEFT_US).is_err());
}
