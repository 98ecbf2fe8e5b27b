//! Tests of the fields that backend servers set in their responses.

use test_case::test_case;

use super::*;

fn headers(name: &HeaderName, values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(name, HeaderValue::from_str(value).expect("a valid value"));
    }
    headers
}

#[test_case(&[], LimitField::Absent; "absent")]
#[test_case(&["3.3"], LimitField::Limit(3.3); "decimal")]
#[test_case(&["5"], LimitField::Limit(5.0); "whole")]
#[test_case(&["0"], LimitField::Limit(0.0); "zero")]
#[test_case(&[" 2 "], LimitField::Limit(2.0); "with spaces")]
#[test_case(&["2", "1.5"], LimitField::Limit(1.5); "repeated")]
#[test_case(&["2", "x"], LimitField::Invalid; "repeated and malformed")]
#[test_case(&["-1"], LimitField::Invalid; "negative")]
#[test_case(&["NaN"], LimitField::Invalid; "not a number")]
#[test_case(&["inf"], LimitField::Invalid; "infinite")]
#[test_case(&["1e400"], LimitField::Invalid; "exponent")]
#[test_case(&[""], LimitField::Invalid; "empty")]
#[test_case(&["1.2.3"], LimitField::Invalid; "malformed")]
#[test_case(&["1, 2"], LimitField::Invalid; "list")]
fn limits_are_decimal_numbers(values: &[&str], expected: LimitField) {
    let scheme = HeaderScheme::default();
    assert_eq!(scheme.limit(&headers(&scheme.limit, values)), expected);
}

#[test]
fn a_limit_with_very_many_digits_is_invalid_or_finite() {
    let scheme = HeaderScheme::default();
    let digits = "9".repeat(400);
    assert_eq!(scheme.limit(&headers(&scheme.limit, &[&digits])), LimitField::Invalid);
}

#[test_case(&[], false; "absent")]
#[test_case(&["1"], true; "set")]
#[test_case(&["0"], false; "zero")]
#[test_case(&["0", "1"], true; "repeated")]
#[test_case(&["true"], false; "other value")]
fn a_leaving_notice_has_the_value_one(values: &[&str], expected: bool) {
    let scheme = HeaderScheme::default();
    assert_eq!(scheme.is_leaving(&headers(&scheme.leaving, values)), expected);
}
