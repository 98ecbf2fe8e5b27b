//! The platform's log over its HTTP interface.

use std::net;
use std::time;

use bytes::Bytes;
use lynxmast_protocol::log as api;
use lynxmast_state::ids;
use lynxmast_transport::client;

use crate::platform_log;

/// Client of a log service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    address: net::SocketAddr,
    limit: time::Duration,
}

/// Records asked for at a time.
const PAGE_MAX: usize = 256;
const ANSWER_WITHIN: time::Duration = time::Duration::from_secs(2);

impl HttpLog {
    /// Returns a client of the log service at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, limit: ANSWER_WITHIN }
    }

    async fn exchange(
        &self,
        method: http::Method,
        target: &str,
        body: Bytes,
    ) -> Result<client::Response, client::ClientError> {
        client::exchange(self.address, method, target, body, self.limit).await
    }
}

impl platform_log::Log for HttpLog {
    async fn append(&self, stream: &str, record: Bytes) -> platform_log::Append {
        let target = format!("{}{stream}", api::STREAMS_PATH);
        let answer = match self.exchange(http::Method::POST, &target, record).await {
            Ok(answer) => answer,
            Err(client::ClientError::Connect) => {
                return platform_log::Append::Refused("cannot connect to the log".into());
            }
            Err(_) => return platform_log::Append::Unknown,
        };
        if answer.status.is_success() {
            let appended = rmp_serde::from_slice::<api::Appended>(&answer.body);
            return appended
                .map_or(platform_log::Append::Unknown, |a| platform_log::Append::At(a.offset));
        }
        if answer.status.is_client_error() {
            return platform_log::Append::Refused(
                String::from_utf8_lossy(&answer.body).into_owned(),
            );
        }
        platform_log::Append::Unknown
    }

    async fn read(
        &self,
        stream: &str,
        from: ids::Offset,
    ) -> Result<platform_log::Read, platform_log::Unavailable> {
        let target = format!("{}{stream}?from={from}&max={PAGE_MAX}", api::STREAMS_PATH);
        let answer = self.exchange(http::Method::GET, &target, Bytes::new()).await;
        let answer = answer.map_err(|_| platform_log::Unavailable::NoAnswer)?;
        let bad = |_| platform_log::Unavailable::BadAnswer;
        if answer.status == http::StatusCode::GONE {
            let trimmed: api::Trimmed = rmp_serde::from_slice(&answer.body).map_err(bad)?;
            return Ok(platform_log::Read::Trimmed { first: trimmed.first });
        }
        if !answer.status.is_success() {
            return Err(platform_log::Unavailable::NoAnswer);
        }
        let page: api::Page = rmp_serde::from_slice(&answer.body).map_err(bad)?;
        if page.from != from {
            return Err(platform_log::Unavailable::BadAnswer);
        }
        Ok(platform_log::Read::Records { records: page.records, end: page.end })
    }
}
