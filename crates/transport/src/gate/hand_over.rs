//! Handing one request to a backend server over one connection, and judging the answer's head.

use std::time;

use http::HeaderValue;
use http::header;
use hyper::body::Incoming;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::body;
use crate::hop;
use crate::pool;
use crate::upstream;

/// Connections tried for one request that none of them took.
const HAND_OVERS_MAX: u32 = 3;
/// Multiple of the usual time after which a connection without an answer counts as silent.
const SILENCE_FACTOR: u32 = 10;
const SILENCE_MIN: time::Duration = time::Duration::from_millis(100);

/// How a request is marked for its backend server.
#[derive(Debug, Clone, Copy)]
pub struct Marks<'a> {
    /// Headers spoken.
    pub dialect: &'a header_scheme::HeaderScheme,
    /// Id that the answer returns.
    pub exchange: &'a HeaderValue,
    /// Backend server that is meant.
    pub instance: Option<&'a str>,
}

/// Replaces the fleet's headers by those meant for the backend server.
pub fn prepare(
    mut request: http::Request<body::RequestBody>,
    left: time::Duration,
    marks: &Marks<'_>,
) -> http::Request<body::RequestBody> {
    let headers = request.headers_mut();
    hop::strip_own_headers(headers);
    hop::strip_hop_headers(headers);
    marks.dialect.write_time_left(headers, left);
    headers.insert(&marks.dialect.exchange_id, marks.exchange.clone());
    if let (Some(name), Some(instance)) = (&marks.dialect.instance, marks.instance)
        && let Ok(instance) = HeaderValue::from_str(instance)
    {
        headers.insert(name, instance);
    }
    *request.version_mut() = http::Version::HTTP_11;
    request
}

/// Returns how long an idle connection may take to show a sign of life before it is replaced.
pub fn patience<C: clock::Clock>(
    upstream: &upstream::Upstream<C>,
    left: time::Duration,
) -> time::Duration {
    let usual = upstream.service_time().unwrap_or_default();
    (usual * SILENCE_FACTOR).max(SILENCE_MIN).min(left / 2)
}

/// Copies a request without body.
pub fn copy_head(request: &http::Request<body::RequestBody>) -> http::Request<body::RequestBody> {
    let mut copy = http::Request::new(body::RequestBody::Empty);
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.version_mut() = request.version();
    *copy.headers_mut() = request.headers().clone();
    copy
}

/// An answer's head with the connection that it came on.
pub type Answer = (http::Response<Incoming>, pool::Connection);

/// Hands a request over and waits for the answer's head.
///
/// The hand-over is recorded before the first byte is sent. A connection that turns out to be
/// closed gives the request back unsent, which then goes to a new connection.
pub async fn hand_over<C: clock::Clock>(
    slot: &upstream::Slot<C>,
    mut connection: pool::Connection,
    request: http::Request<body::RequestBody>,
) -> Result<Answer, retry::AttemptEnd> {
    let mut request = request;
    for _ in 0..HAND_OVERS_MAX {
        if connection.sender.ready().await.is_ok() {
            slot.hand_over();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(lost(error.error())),
                },
            }
        }
        metrics::counter!("lynxmast_dead_connections_total").increment(1);
        let fresh = slot.upstream().pool.connect().await;
        connection = fresh.map_err(retry::AttemptEnd::NotRun)?;
    }
    Err(retry::AttemptEnd::NotRun(outcome::Refusal::Unreachable))
}

fn lost(error: &hyper::Error) -> retry::AttemptEnd {
    let failure = if error.is_parse() || error.is_parse_too_large() {
        outcome::Failure::BadResponse
    } else if error.is_user() || error.is_body_write_aborted() {
        outcome::Failure::CallerGone
    } else {
        outcome::Failure::ConnectionLost
    };
    retry::AttemptEnd::MayHaveRun(failure)
}

/// Checks that an answer is framed and belongs to the exchange; tells whether it proved so by id.
pub fn check_answer(
    response: &http::Response<Incoming>,
    connection: &pool::Connection,
    marks: &Marks<'_>,
    no_body: bool,
) -> Result<bool, retry::AttemptEnd> {
    let bad = Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::BadResponse));
    let headers = response.headers();
    let returned = headers.get(&marks.dialect.exchange_id).map(|value| value == marks.exchange);
    let is_foreign = match returned {
        Some(same) => !same,
        None => connection.exchanges > 0,
    };
    let status = response.status();
    let bodiless = no_body
        || status == http::StatusCode::NO_CONTENT
        || status == http::StatusCode::NOT_MODIFIED;
    let length = headers.contains_key(header::CONTENT_LENGTH);
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let unframed_ok = marks.dialect.close_delimited && !length && !chunked;
    let is_framed = bodiless || unframed_ok || (length != chunked);
    if is_foreign || !is_framed || status == http::StatusCode::SWITCHING_PROTOCOLS {
        metrics::counter!("lynxmast_bad_answers_total").increment(1);
        return bad;
    }
    Ok(returned.is_some())
}

/// Tells whether an answer proves that the backend server has not run the request.
pub fn not_run(response: &http::Response<Incoming>, marks: &Marks<'_>) -> Option<outcome::Refusal> {
    let is_misdirected = response.status() == http::StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected && marks.dialect.instance.is_some() {
        return Some(outcome::Refusal::Misdirected);
    }
    marks.dialect.is_not_run(response.headers()).then_some(outcome::Refusal::Shed)
}
