//! Answers that lynxmast itself gives: refusals and failures, in a form fit for callers.

use bytes::Bytes;
use http::HeaderValue;
use http::header;
use lynxmast_protocol::header as names;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use rand::Rng;

use crate::body;

/// Part by which the times after which callers come back differ, so that they do not come at once.
const RETRY_SPREAD: f64 = 0.3;

/// Builds the answer that tells a caller of an outcome other than an answer.
///
/// The status, the outcome and reason headers, `Retry-After` where coming back can help, and a
/// line of text say the same thing.
pub fn to_caller<C: clock::Clock>(
    outcome: outcome::Outcome,
    dialect: &header_scheme::HeaderScheme,
) -> http::Response<body::AnswerBody<C>> {
    let (status, retry_after) = match outcome {
        outcome::Outcome::Answered => (200, None),
        outcome::Outcome::NotRun(refusal) => (refusal.status(), refusal.retry_after()),
        outcome::Outcome::MayHaveRun(failure) => (failure.status(), None),
    };
    let text = Bytes::from(format!("{outcome}\n"));
    let mut response = http::Response::new(body::AnswerBody::Whole(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(names::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(names::REASON, HeaderValue::from_static(outcome.reason()));
    if let Some(after) = retry_after {
        let spread =
            after.mul_f64(rand::rng().random_range(1.0 - RETRY_SPREAD..1.0 + RETRY_SPREAD));
        if let Ok(text) = HeaderValue::from_str(&dialect.format_seconds(spread)) {
            headers.insert(header::RETRY_AFTER, text);
        }
    }
    response
}
