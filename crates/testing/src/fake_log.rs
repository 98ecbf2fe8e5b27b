//! Fake of the platform's log service: the published HTTP interface with in-memory storage and
//! fault injection.

use std::collections;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lynxmast_protocol::log as api;
use lynxmast_state::ids;
use lynxmast_transport::client;
use lynxmast_transport::server;
use tokio_util::sync::CancellationToken;

/// Fake log service, running until it is dropped.
#[derive(Debug)]
pub struct FakeLog {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    state: sync::Arc<State>,
    shutdown: CancellationToken,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Faults {
    /// Responds to every request with status 503.
    pub is_down: bool,
    /// Stores appended records but responds with status 503.
    pub loses_responses: bool,
    /// Delay before each request is processed.
    pub delay: time::Duration,
}

#[derive(Debug, Default)]
struct State {
    streams: sync::Mutex<collections::HashMap<String, Stream>>,
    faults: sync::Mutex<Faults>,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: ids::Offset,
    records: Vec<Vec<u8>>,
}

struct Handler(sync::Arc<State>);

const CONNECTIONS_MAX: usize = 10_000;
const PAGE_RECORDS_MAX: usize = 1024;

impl FakeLog {
    /// Starts a log service on a free loopback port, or on `port` if it is not 0.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be opened.
    pub async fn start(port: u16) -> Self {
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        let server = server::Server::bind(address, CONNECTIONS_MAX).await.expect("a free port");
        let address = server.address().expect("a bound port");
        let state = sync::Arc::new(State::default());
        let shutdown = CancellationToken::new();
        tokio::spawn(server.run(sync::Arc::new(Handler(state.clone())), shutdown.clone()));
        Self { address, state, shutdown }
    }

    /// Replaces the faults for requests that arrive from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.state.faults) = faults;
    }

    /// Drops the records of a stream before the offset `first`.
    pub fn trim(&self, stream: &str, first: ids::Offset) {
        let mut streams = lock(&self.state.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        let count = first.saturating_sub(stream.first_offset) as usize;
        let count = count.min(stream.records.len());
        stream.records.drain(..count);
        stream.first_offset += count as u64;
    }

    /// Returns the offset after the newest record of a stream; 0 for an unknown stream.
    pub fn end(&self, stream: &str) -> ids::Offset {
        let streams = lock(&self.state.streams);
        streams.get(stream).map_or(0, |stream| stream.first_offset + stream.records.len() as u64)
    }
}

impl Drop for FakeLog {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

impl server::Handler for Handler {
    type Body = client::FullBody;

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<client::FullBody> {
        let faults = lock(&self.0.faults).clone();
        tokio::time::sleep(faults.delay).await;
        let unavailable = || client::response(http::StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        if faults.is_down {
            return unavailable();
        }
        let (head, body) = request.into_parts();
        let Some(name) = head.uri.path().strip_prefix(api::STREAMS_PATH) else {
            return client::response(http::StatusCode::NOT_FOUND, Bytes::new());
        };
        let Ok(record) = body.collect().await else { return unavailable() };
        let mut streams = lock(&self.0.streams);
        let stream = streams.entry(name.to_owned()).or_default();
        if head.method == http::Method::POST {
            let appended = stream.append(record.to_bytes().to_vec());
            return if faults.loses_responses { unavailable() } else { encode_response(&appended) };
        }
        let parameter = |key| query_parameter(&head.uri, key).and_then(|value| value.parse().ok());
        stream.read(parameter("from").unwrap_or(0), parameter("max").unwrap_or(u64::MAX))
    }
}

impl Stream {
    fn append(&mut self, record: Vec<u8>) -> api::Appended {
        self.records.push(record);
        api::Appended { offset: self.first_offset + self.records.len() as u64 - 1 }
    }

    fn read(&self, from: ids::Offset, max: u64) -> http::Response<client::FullBody> {
        if from < self.first_offset {
            let mut trimmed = encode_response(&api::Trimmed { first: self.first_offset });
            *trimmed.status_mut() = http::StatusCode::GONE;
            return trimmed;
        }
        let end = self.first_offset + self.records.len() as u64;
        let skip = (from - self.first_offset) as usize;
        let take = (max as usize).min(PAGE_RECORDS_MAX);
        let records = self.records.iter().skip(skip).take(take).cloned().collect();
        encode_response(&api::Page { from, records, end })
    }
}

fn query_parameter<'a>(uri: &'a http::Uri, key: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn encode_response<T: serde::Serialize>(value: &T) -> http::Response<client::FullBody> {
    let body = rmp_serde::to_vec(value).expect("types of the log interface can be encoded");
    client::response(http::StatusCode::OK, Bytes::from(body))
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
