//! Forwarding of one request to a backend server, and validation of the response head.

use std::ops;
use std::time;

use http::HeaderValue;
use http::header;
use hyper::body::Incoming;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::hop;
use crate::pool;
use crate::request_body;
use crate::upstream;
use crate::upstream::slot;

/// Maximum number of connections tried for a request that could not be sent on any of them.
const CONNECTIONS_TRIED_MAX: u32 = 3;
/// Multiple of the mean service time after which a connection without a response counts as
/// unresponsive.
const SILENCE_TIMEOUT_FACTOR: u32 = 10;
/// Shortest time after which a connection without a response counts as unresponsive.
const SILENCE_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(100);

/// Statuses of final responses (RFC 9110, 15). One above neither succeeded nor failed by any class, and an
/// interim one that is handed on as the response switches protocols.
const FINAL_STATUSES: ops::Range<u16> = 200..600;

/// Headers that are added to a request for its backend server.
#[derive(Debug, Clone, Copy)]
pub struct ForwardHeaders<'a> {
    /// Names and units of the headers.
    pub scheme: &'a header_scheme::HeaderScheme,
    /// Exchange id, which the response should return.
    pub exchange_id: &'a HeaderValue,
    /// Instance of the backend server that the request is meant for, if it has a name.
    pub instance: Option<&'a str>,
}

/// Removes internal and hop-by-hop headers and adds those meant for the backend server.
pub fn prepare_request(
    mut request: http::Request<request_body::RequestBody>,
    time_left: time::Duration,
    forwarded: &ForwardHeaders<'_>,
) -> http::Request<request_body::RequestBody> {
    let headers = request.headers_mut();
    hop::strip_internal_headers(headers);
    hop::strip_hop_by_hop_headers(headers, forwarded.scheme);
    forwarded.scheme.write_time_left(headers, time_left);
    headers.insert(&forwarded.scheme.exchange_id, forwarded.exchange_id.clone());
    if let (Some(name), Some(instance)) = (&forwarded.scheme.instance, forwarded.instance)
        && let Ok(instance) = HeaderValue::from_str(instance)
    {
        headers.insert(name, instance);
    }
    *request.version_mut() = http::Version::HTTP_11;
    request
}

/// Returns the time after which a reused connection without a response is replaced; at most half of
/// `time_left`.
pub fn silence_timeout<C: clock::Clock>(
    upstream: &upstream::Upstream<C>,
    time_left: time::Duration,
) -> time::Duration {
    let service_time = upstream.service_time().unwrap_or_default();
    (service_time * SILENCE_TIMEOUT_FACTOR).max(SILENCE_TIMEOUT_MIN).min(time_left / 2)
}

/// Copies a request without its body.
pub fn copy_head(
    request: &http::Request<request_body::RequestBody>,
) -> http::Request<request_body::RequestBody> {
    let mut copy = http::Request::new(request_body::RequestBody::Empty);
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.version_mut() = request.version();
    *copy.headers_mut() = request.headers().clone();
    copy
}

/// A response head with the connection on which it arrived.
pub type ResponseHead = (http::Response<Incoming>, pool::Connection);

/// Forwards a request and waits for the response head.
///
/// The slot is marked as forwarded before the first byte is sent. If the connection turns out to be
/// closed and the request was not sent, the request is sent on a new connection.
pub async fn forward<C: clock::Clock>(
    slot: &slot::Slot<C>,
    mut connection: pool::Connection,
    request: http::Request<request_body::RequestBody>,
) -> Result<ResponseHead, retry::AttemptEnd> {
    let mut request = request;
    for _ in 0..CONNECTIONS_TRIED_MAX {
        if connection.sender.ready().await.is_ok() {
            slot.mark_forwarded();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(send_error_end(error.error())),
                },
            }
        }
        metrics::counter!("lynxmast_dead_connections_total").increment(1);
        let fresh = slot.upstream().pool.connect().await;
        connection = fresh.map_err(retry::AttemptEnd::NotRun)?;
    }
    Err(retry::AttemptEnd::NotRun(outcome::Rejection::Unreachable))
}

/// Classifies an error that occurred after the request was possibly sent.
fn send_error_end(error: &hyper::Error) -> retry::AttemptEnd {
    let failure = if error.is_parse() || error.is_parse_too_large() {
        outcome::Failure::BadResponse
    } else if error.is_user() || error.is_body_write_aborted() {
        outcome::Failure::CallerGone
    } else {
        outcome::Failure::ConnectionLost
    };
    retry::AttemptEnd::MayHaveRun(failure)
}

/// Checks that a response is framed and belongs to the exchange. Returns whether the response
/// contains the exchange id.
///
/// # Errors
///
/// Returns `BadResponse` if the response has another id, has none on a reused connection, is not
/// framed or has a transfer coding other than `chunked`, or has a status that HTTP does not define for a final response.
pub fn check_response(
    response: &http::Response<Incoming>,
    connection: &pool::Connection,
    forwarded: &ForwardHeaders<'_>,
    no_body: bool,
) -> Result<bool, retry::AttemptEnd> {
    let malformed = Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::BadResponse));
    let headers = response.headers();
    let returned =
        headers.get(&forwarded.scheme.exchange_id).map(|value| value == forwarded.exchange_id);
    let is_foreign = match returned {
        Some(same) => !same,
        None => connection.exchanges > 0,
    };
    let status = response.status();
    let has_no_body = no_body
        || status == http::StatusCode::NO_CONTENT
        || status == http::StatusCode::NOT_MODIFIED;
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    let is_coded = headers.contains_key(header::TRANSFER_ENCODING);
    let is_framed = match is_coded {
        _ if has_no_body => true,
        true => !has_length && hop::is_transfer_decoded(headers),
        false => has_length || forwarded.scheme.close_delimited,
    };
    if is_foreign || !is_framed || !FINAL_STATUSES.contains(&status.as_u16()) {
        metrics::counter!("lynxmast_bad_answers_total").increment(1);
        return malformed;
    }
    Ok(returned.is_some())
}

/// Returns the rejection if a response states that the backend server did not run the request,
/// otherwise `None`.
pub fn rejection(
    response: &http::Response<Incoming>,
    forwarded: &ForwardHeaders<'_>,
) -> Option<outcome::Rejection> {
    let is_misdirected = response.status() == http::StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected && forwarded.scheme.instance.is_some() {
        return Some(outcome::Rejection::Misdirected);
    }
    forwarded.scheme.is_not_run(response.headers()).then_some(outcome::Rejection::Shed)
}
