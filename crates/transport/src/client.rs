//! HTTP client for small requests with complete bodies: policy log, announcements and
//! administration.

use std::net;
use std::time;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::MapErr;
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::body_error;
use crate::socket;

/// A complete body in memory.
pub type FullBody = MapErr<Full<Bytes>, fn(std::convert::Infallible) -> body_error::BodyError>;

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ClientError {
    /// cannot connect
    Connect,
    /// connection lost before the response was complete
    Lost,
    /// timed out waiting for the response
    Timeout,
}

impl std::error::Error for ClientError {}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Time allowed for a response, counted from the end of connecting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time until the head of the response has arrived.
    pub start: time::Duration,
    /// Time until the whole response has arrived.
    pub total: time::Duration,
}

impl Timeouts {
    /// Allows `timeout` for the whole response.
    pub fn same(timeout: time::Duration) -> Self {
        Self { start: timeout, total: timeout }
    }
}

/// Longest wait for a connection, independent of the time allowed for the response.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Largest response body in bytes.
const RESPONSE_SIZE_MAX: usize = 64 * 1024 * 1024;

/// Sends one request on a new connection and reads the complete response within `timeout`.
///
/// # Errors
///
/// `Connect` means that the request was not sent; after the other errors it may have been.
pub async fn exchange(
    address: net::SocketAddr,
    method: http::Method,
    target: &str,
    body: Bytes,
    timeout: time::Duration,
) -> Result<Response, ClientError> {
    exchange_within(address, method, target, body, Timeouts::same(timeout)).await
}

/// Sends one request on a new connection and reads the complete response within `timeouts`.
///
/// # Errors
///
/// `Connect` means that the request was not sent; after the other errors it may have been.
pub async fn exchange_within(
    address: net::SocketAddr,
    method: http::Method,
    target: &str,
    body: Bytes,
    timeouts: Timeouts,
) -> Result<Response, ClientError> {
    let connect_timeout = timeouts.start.min(CONNECT_TIMEOUT);
    let connecting = socket::connect(address, connect_timeout);
    let stream = connecting.await.map_err(|_| ClientError::Connect)?;
    let response = send(stream, address, method, target, body, timeouts.start);
    tokio::time::timeout(timeouts.total, response).await.map_err(|_| ClientError::Timeout)?
}

async fn send(
    stream: tokio::net::TcpStream,
    address: net::SocketAddr,
    method: http::Method,
    target: &str,
    body: Bytes,
    start_timeout: time::Duration,
) -> Result<Response, ClientError> {
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| ClientError::Connect)?;
    let driver = tokio::spawn(connection);
    let request = http::Request::builder()
        .method(method)
        .uri(target)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|_| ClientError::Lost)?;
    let response = tokio::time::timeout(start_timeout, sender.send_request(request)).await;
    let response = response.map_err(|_| ClientError::Timeout)?.map_err(|_| ClientError::Lost)?;
    let (head, incoming) = response.into_parts();
    let collected = Limited::new(incoming, RESPONSE_SIZE_MAX).collect().await;
    driver.abort();
    let body = collected.map_err(|_| ClientError::Lost)?.to_bytes();
    Ok(Response { status: head.status, headers: head.headers, body })
}

/// Builds a response with a complete body.
pub fn response(status: http::StatusCode, body: Bytes) -> http::Response<FullBody> {
    let never: fn(std::convert::Infallible) -> body_error::BodyError = |never| match never {};
    let mut response = http::Response::new(Full::new(body).map_err(never));
    *response.status_mut() = status;
    response
}

/// Encodes a value as JSON. Returns an empty body if the value cannot be encoded, which does not
/// happen for the types of this workspace.
pub fn json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
