//! Small HTTP exchanges with whole bodies: log, announcements and administration.

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

/// A whole body in memory.
pub type Whole = MapErr<Full<Bytes>, fn(std::convert::Infallible) -> body_error::BodyError>;

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ClientError {
    /// cannot connect
    Connect,
    /// the connection was lost before the answer was whole
    Lost,
    /// no answer in time
    Timeout,
}

impl std::error::Error for ClientError {}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Longest wait for a connection, however long the answer may take.
const CONNECT_MAX: time::Duration = time::Duration::from_secs(1);
/// Largest answer in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// `Connect` proves that the request was not sent; the other errors do not.
pub async fn exchange(
    address: net::SocketAddr,
    method: http::Method,
    target: &str,
    body: Bytes,
    limit: time::Duration,
) -> Result<Answer, ClientError> {
    let connect_limit = limit.min(CONNECT_MAX);
    let connecting = socket::connect(address, connect_limit);
    let stream = connecting.await.map_err(|_| ClientError::Connect)?;
    let exchange = send(stream, address, method, target, body);
    tokio::time::timeout(limit, exchange).await.map_err(|_| ClientError::Timeout)?
}

async fn send(
    stream: tokio::net::TcpStream,
    address: net::SocketAddr,
    method: http::Method,
    target: &str,
    body: Bytes,
) -> Result<Answer, ClientError> {
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| ClientError::Connect)?;
    let driver = tokio::spawn(connection);
    let request = http::Request::builder()
        .method(method)
        .uri(target)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|_| ClientError::Lost)?;
    let response = sender.send_request(request).await.map_err(|_| ClientError::Lost)?;
    let status = response.status();
    let collected = Limited::new(response.into_body(), ANSWER_MAX).collect().await;
    driver.abort();
    let body = collected.map_err(|_| ClientError::Lost)?.to_bytes();
    Ok(Answer { status, body })
}

/// Builds an answer with a whole body.
pub fn answer(status: http::StatusCode, body: Bytes) -> http::Response<Whole> {
    let never: fn(std::convert::Infallible) -> body_error::BodyError = |never| match never {};
    let mut response = http::Response::new(Full::new(body).map_err(never));
    *response.status_mut() = status;
    response
}

/// Encodes a value as JSON; values of this project's own types always encode.
pub fn json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
