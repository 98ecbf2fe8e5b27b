//! Client of the platform's log over HTTP.

use std::net;
use std::time;

use bytes::Bytes;
use lynxmast_protocol::log as api;
use lynxmast_state::ids;
use lynxmast_transport::client;

use crate::platform_log;

/// Client of a log service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    address: net::SocketAddr,
    timeout: time::Duration,
}

/// Records requested per read.
const PAGE_RECORDS: usize = 256;
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

impl HttpLog {
    /// Returns a client of the log service at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, timeout: RESPONSE_TIMEOUT }
    }

    async fn send(
        &self,
        method: http::Method,
        target: &str,
        body: Bytes,
    ) -> Result<client::Response, client::ClientError> {
        client::exchange(self.address, method, target, body, self.timeout).await
    }
}

impl platform_log::Log for HttpLog {
    async fn append(&self, stream: &str, record: Bytes) -> platform_log::Append {
        let target = format!("{}{stream}", api::STREAMS_PATH);
        let response = match self.send(http::Method::POST, &target, record).await {
            Ok(response) => response,
            Err(client::ClientError::Connect) => {
                return platform_log::Append::Rejected("cannot connect to the log".into());
            }
            Err(_) => return platform_log::Append::Unknown,
        };
        if response.status.is_success() {
            let appended = rmp_serde::from_slice::<api::Appended>(&response.body);
            return appended.map_or(platform_log::Append::Unknown, |a| {
                platform_log::Append::Appended(a.offset)
            });
        }
        if response.status.is_client_error() {
            return platform_log::Append::Rejected(
                String::from_utf8_lossy(&response.body).into_owned(),
            );
        }
        platform_log::Append::Unknown
    }

    async fn read(
        &self,
        stream: &str,
        from: ids::Offset,
    ) -> Result<platform_log::Read, platform_log::PlatformError> {
        let target = format!("{}{stream}?from={from}&max={PAGE_RECORDS}", api::STREAMS_PATH);
        let response = self.send(http::Method::GET, &target, Bytes::new()).await;
        let response = response.map_err(|_| platform_log::PlatformError::CallFailed)?;
        let malformed = |_| platform_log::PlatformError::MalformedResponse;
        if response.status == http::StatusCode::GONE {
            let trimmed: api::Trimmed = rmp_serde::from_slice(&response.body).map_err(malformed)?;
            return Ok(platform_log::Read::Trimmed { first: trimmed.first });
        }
        if !response.status.is_success() {
            return Err(platform_log::PlatformError::CallFailed);
        }
        let page: api::Page = rmp_serde::from_slice(&response.body).map_err(malformed)?;
        if page.from != from {
            return Err(platform_log::PlatformError::MalformedResponse);
        }
        Ok(platform_log::Read::Records { records: page.records, end: page.end })
    }
}
