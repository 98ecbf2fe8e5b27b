//! Tests of encoding and decoding metadata in headers.

use http::header::HeaderMap;
use http::header::HeaderValue;
use lynxmast_state::outcome;
use lynxmast_state::retry;
use test_case::test_case;

use super::*;

fn assert_round_trip(end: Option<retry::AttemptEnd>) {
    let load = Some(load::Load { in_use: 1, queued: 2, slots: 4 });
    let elapsed = end.is_none().then(|| time::Duration::from_micros(1500));
    let report = AttemptReport {
        end,
        load,
        elapsed,
        failure_percent: Some(40),
        dependency_failed: true,
        crashed: Some(3),
        room: Some(request_limit::Room { rate: 3.3, wait: time::Duration::from_millis(20) }),
        leaving: Some(4),
        retries_left: Some(2),
        policy: 9,
    };
    let mut headers = HeaderMap::new();
    report.write(&mut headers);
    assert_eq!(AttemptReport::read(&headers), Ok(report));
}

#[test]
fn reports_round_trip_through_headers() {
    assert_round_trip(None);
    outcome::Rejection::ALL
        .into_iter()
        .for_each(|rejection| assert_round_trip(Some(retry::AttemptEnd::NotRun(rejection))));
    outcome::Failure::ALL
        .into_iter()
        .for_each(|failure| assert_round_trip(Some(retry::AttemptEnd::MayHaveRun(failure))));
}

#[test_case(&[], header::OUTCOME; "no headers")]
#[test_case(&[("lynxmast-outcome", "not-run"), ("lynxmast-reason", "odd")], header::REASON; "unknown reason")]
#[test_case(&[("lynxmast-outcome", "done"), ("lynxmast-reason", "")], header::OUTCOME; "unknown outcome")]
fn malformed_reports_are_rejected(
    fields: &[(&'static str, &'static str)],
    malformed: &'static str,
) {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(*name, HeaderValue::from_static(value));
    }
    assert_eq!(AttemptReport::read(&headers), Err(HeaderError::Malformed(malformed)));
}

#[test]
fn repeated_headers_are_rejected() {
    let mut headers = HeaderMap::new();
    headers.append(header::TIME_LEFT_US, HeaderValue::from_static("5"));
    headers.append(header::TIME_LEFT_US, HeaderValue::from_static("6"));
    assert!(get::<u64>(&headers, header::TIME_LEFT_US).is_err());
}

/// Guards against a retry of which the sidecar learns neither that it is one nor how much it needs it.
#[test_case(false, false; "first attempt")]
#[test_case(true, false; "an earlier attempt may have run")]
#[test_case(true, true; "no earlier attempt has run")]
fn a_retry_round_trips_through_headers(is_retry: bool, not_run: bool) {
    let address = std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 1));
    let envelope = Envelope {
        upstream: ids::UpstreamId { service: "media".into(), address },
        organisation: "public".into(),
        time_left: time::Duration::from_millis(250),
        policy: 7,
        may_resend: false,
        is_redirected: is_retry,
        is_retry,
        not_run,
        retry_probability: 0.0,
        risk: Default::default(),
        rank: 1,
        objective: None,
        is_call: true,
    };
    let mut headers = HeaderMap::new();
    envelope.write(&mut headers);
    assert_eq!(Envelope::read(&headers), Ok(envelope));
}
