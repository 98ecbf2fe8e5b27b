//! Responses that lynxmast itself generates for rejected and failed requests.

use std::time;

use bytes::Bytes;
use http::HeaderValue;
use http::header;
use lynxmast_protocol::header as names;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use rand::Rng;

use crate::response_body;

/// Relative jitter of `Retry-After`, so that callers do not all retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.3;

/// Builds the response to a caller whose request was rejected or has failed.
///
/// Reports the outcome in the status, in the outcome and reason headers and in a text body, with
/// `Retry-After` if a later retry can succeed: after `room`, if it is known when there is room, or
/// else after the time that fits the rejection.
pub fn for_outcome<C: clock::Clock>(
    outcome: outcome::Outcome,
    room: Option<time::Duration>,
    scheme: &header_scheme::HeaderScheme,
) -> http::Response<response_body::ResponseBody<C>> {
    let (status, retry_after) = match outcome {
        outcome::Outcome::Answered => (200, None),
        outcome::Outcome::NotRun(rejection) => {
            (rejection.status(), room.or(rejection.retry_after()))
        }
        outcome::Outcome::MayHaveRun(failure) => (failure.status(), None),
    };
    let text = Bytes::from(format!("{outcome}\n"));
    let mut response = http::Response::new(response_body::ResponseBody::Full(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(names::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(names::REASON, HeaderValue::from_static(outcome.reason()));
    if let Some(after) = retry_after {
        let jittered = after
            .mul_f64(rand::rng().random_range(1.0 - RETRY_AFTER_JITTER..1.0 + RETRY_AFTER_JITTER));
        if let Ok(text) = HeaderValue::from_str(&scheme.format_seconds(jittered)) {
            headers.insert(header::RETRY_AFTER, text);
        }
    }
    response
}
