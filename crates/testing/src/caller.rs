//! A caller: sends requests over its own connections and checks that answers are its own.

use std::net;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use lynxmast_protocol::header;

use crate::backend;

/// Sends requests to one entry over HTTP/1.1, one connection a caller.
#[derive(Debug)]
pub struct Caller {
    entry: net::SocketAddr,
    sender: tokio::sync::Mutex<Option<http1::SendRequest<Full<Bytes>>>>,
}

/// What a caller asks.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// Method; GET if empty.
    pub method: &'static str,
    /// Host.
    pub host: &'static str,
    /// Path and query.
    pub path: &'static str,
    /// The organisation's key.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub struct Got {
    /// Tag that the request had.
    pub tag: String,
    /// HTTP status; 0 if the connection broke.
    pub status: u16,
    /// Outcome header.
    pub outcome: String,
    /// Reason header.
    pub reason: String,
    /// Body as far as it came.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub is_whole: bool,
    /// Whether a whole answer repeats the request's own tag.
    pub is_own: bool,
    /// Time from sending to the end of the answer.
    pub took: time::Duration,
}

static TAGS: atomic::AtomicU64 = atomic::AtomicU64::new(1);

impl Got {
    fn broken(tag: String, took: time::Duration) -> Self {
        let (outcome, reason) = (String::new(), String::new());
        let (body, is_whole, is_own) = (Bytes::new(), false, false);
        Self { tag, status: 0, outcome, reason, body, is_whole, is_own, took }
    }

    /// Tells whether this is a backend server's good answer, whole and the caller's own.
    pub fn is_good(&self) -> bool {
        self.status == 200 && self.is_whole && self.is_own
    }

    /// Tells whether a wrong or cut body was passed as a complete answer.
    pub fn is_wrong(&self) -> bool {
        self.status == 200 && self.is_whole && !self.is_own
    }
}

impl Caller {
    /// Returns a caller of an entry, not connected yet.
    pub fn new(entry: net::SocketAddr) -> Self {
        Self { entry, sender: Default::default() }
    }

    /// Sends a request and reads the whole answer.
    pub async fn ask(&self, ask: &Ask) -> Got {
        let started = time::Instant::now();
        let tag = format!("tag-{}", TAGS.fetch_add(1, atomic::Ordering::Relaxed));
        let mut sender = self.sender.lock().await;
        if sender.as_mut().is_none_or(|sender| sender.is_closed()) {
            *sender = connect(self.entry).await;
        }
        let Some(open) = sender.as_mut() else { return Got::broken(tag, started.elapsed()) };
        let sent = async {
            open.ready().await?;
            open.send_request(request(ask, &tag)).await
        };
        let Ok(response) = sent.await else {
            *sender = None;
            return Got::broken(tag, started.elapsed());
        };
        let (head, incoming) = response.into_parts();
        let (body, is_whole) = read(incoming).await;
        if !is_whole {
            *sender = None;
        }
        let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let is_own = body == backend::answer_for(&tag, body.len());
        Got {
            tag,
            status: head.status.as_u16(),
            outcome: text(header::OUTCOME).to_owned(),
            reason: text(header::REASON).to_owned(),
            body,
            is_whole,
            is_own,
            took: started.elapsed(),
        }
    }
}

async fn read(mut incoming: hyper::body::Incoming) -> (Bytes, bool) {
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => body.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => return (Bytes::from(body), false),
        }
    }
    (Bytes::from(body), true)
}

async fn connect(entry: net::SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let stream = tokio::net::TcpStream::connect(entry).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn request(ask: &Ask, tag: &str) -> http::Request<Full<Bytes>> {
    let method = if ask.method.is_empty() { "GET" } else { ask.method };
    let mut builder = http::Request::builder()
        .method(method)
        .uri(ask.path)
        .header(http::header::HOST, ask.host)
        .header(backend::TAG, tag);
    if let Some(key) = &ask.key {
        builder = builder.header(header::ORGANISATION_KEY, key);
    }
    for (name, value) in &ask.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(ask.body.clone())).expect("a well-formed request")
}
