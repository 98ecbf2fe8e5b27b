//! HTTP/1.1 client that tags each request and checks that the response belongs to it.

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

/// Client of one ingress, with one connection that is reopened after a failure.
#[derive(Debug)]
pub struct Caller {
    ingress: net::SocketAddr,
    sender: tokio::sync::Mutex<Option<http1::SendRequest<Full<Bytes>>>>,
}

/// Request to send.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// HTTP method; GET if empty.
    pub method: &'static str,
    /// Value of the `host` header.
    pub host: &'static str,
    /// Path with query.
    pub path: &'static str,
    /// Key of the organisation, sent in the header `lynxmast-key`.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

/// Response as seen by a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Tag of the request.
    pub tag: String,
    /// HTTP status; 0 if no response head was received.
    pub status: u16,
    /// Value of the outcome header; empty if absent.
    pub outcome: String,
    /// Value of the reason header; empty if absent.
    pub reason: String,
    /// Body bytes received, possibly truncated.
    pub body: Bytes,
    /// Whether the whole body was received.
    pub is_complete: bool,
    /// Whether the body received repeats the tag of the request.
    pub echoes_tag: bool,
    /// Time from the start of sending to the end of the response.
    pub elapsed: time::Duration,
}

static NEXT_TAG: atomic::AtomicU64 = atomic::AtomicU64::new(1);

impl Response {
    fn failed(tag: String, elapsed: time::Duration) -> Self {
        let (outcome, reason) = (String::new(), String::new());
        let (body, is_complete, echoes_tag) = (Bytes::new(), false, false);
        Self { tag, status: 0, outcome, reason, body, is_complete, echoes_tag, elapsed }
    }

    /// Returns `true` for a complete 200 response whose body belongs to the request.
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_complete && self.echoes_tag
    }

    /// Returns `true` for a complete 200 response whose body does not repeat the tag: the body of
    /// another request, or a body truncated within the first line.
    pub fn is_mismatched(&self) -> bool {
        self.status == 200 && self.is_complete && !self.echoes_tag
    }
}

impl Caller {
    /// Returns a caller of an ingress; it connects when the first request is sent.
    pub fn new(ingress: net::SocketAddr) -> Self {
        Self { ingress, sender: Default::default() }
    }

    /// Sends a request with a new tag and reads the response to its end.
    pub async fn send(&self, request: &Request) -> Response {
        let started = time::Instant::now();
        let tag = format!("tag-{}", NEXT_TAG.fetch_add(1, atomic::Ordering::Relaxed));
        let mut sender = self.sender.lock().await;
        if sender.as_mut().is_none_or(|sender| sender.is_closed()) {
            *sender = connect(self.ingress).await;
        }
        let Some(conn) = sender.as_mut() else { return Response::failed(tag, started.elapsed()) };
        let exchange = async {
            conn.ready().await?;
            conn.send_request(build_request(request, &tag)).await
        };
        let Ok(received) = exchange.await else {
            *sender = None;
            return Response::failed(tag, started.elapsed());
        };
        let (head, incoming) = received.into_parts();
        let (body, is_complete) = read_body(incoming).await;
        if !is_complete {
            *sender = None;
        }
        let header_text =
            |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let echoes_tag = body == backend::response_body(&tag, body.len());
        Response {
            tag,
            status: head.status.as_u16(),
            outcome: header_text(header::OUTCOME).to_owned(),
            reason: header_text(header::REASON).to_owned(),
            body,
            is_complete,
            echoes_tag,
            elapsed: started.elapsed(),
        }
    }
}

async fn read_body(mut incoming: hyper::body::Incoming) -> (Bytes, bool) {
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

async fn connect(ingress: net::SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let stream = tokio::net::TcpStream::connect(ingress).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn build_request(request: &Request, tag: &str) -> http::Request<Full<Bytes>> {
    let method = if request.method.is_empty() { "GET" } else { request.method };
    let mut builder = http::Request::builder()
        .method(method)
        .uri(request.path)
        .header(http::header::HOST, request.host)
        .header(backend::TAG, tag);
    if let Some(key) = &request.key {
        builder = builder.header(header::ORGANISATION_KEY, key);
    }
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(request.body.clone())).expect("a well-formed request")
}
