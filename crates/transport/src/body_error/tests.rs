//! Tests of the errors that a daemon reads from the body of a peer.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::StreamBody;
use hyper::body;
use hyper::client::conn::http2;
use hyper_util::rt;
use test_case::test_case;
use tokio::net as tcp;
use tokio_util::sync::CancellationToken;

use super::*;
use crate::server;
use crate::stall_timeout;

/// Responds with a part of a body, which then ends with an error.
struct Failing(BodyError);

type Frames = stream::BoxStream<'static, Result<body::Frame<Bytes>, BodyError>>;

/// Time after which the part has been sent.
const PAUSE: time::Duration = time::Duration::from_millis(50);

impl server::Handler for Failing {
    type Body = StreamBody<Frames>;

    async fn handle(
        &self,
        _: http::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        let part = stream::iter([Ok(body::Frame::data(Bytes::from_static(b"begun")))]);
        let error = self.0;
        let end = stream::once(async move {
            tokio::time::sleep(PAUSE).await;
            Err(error)
        });
        http::Response::new(StreamBody::new(part.chain(end).boxed()))
    }
}

/// Guards against a response that went silent being reported as truncated: the timers of both daemons end
/// at the same deadline, and whichever expires first decided it.
#[test_case(BodyError::Stalled, BodyError::Stalled; "silent")]
#[test_case(BodyError::Truncated, BodyError::Truncated; "truncated")]
#[test_case(BodyError::Cancelled, BodyError::Truncated; "cancelled")]
#[tokio::test]
async fn a_peer_tells_why_a_body_ends(sent: BodyError, expected: BodyError) {
    let localhost = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let server = server::Server::bind(localhost, 10).await.expect("a port");
    let address = server.address().expect("an address");
    let stop = CancellationToken::new();
    let serving = tokio::spawn(server.run(sync::Arc::new(Failing(sent)), stop.clone()));

    let stream = tcp::TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) =
        http2::handshake(rt::TokioExecutor::new(), rt::TokioIo::new(stream))
            .await
            .expect("an HTTP/2 connection");
    tokio::spawn(connection);
    let request = http::Request::get("http://peer/").body(Empty::<Bytes>::new());
    let response = sender.send_request(request.expect("a request")).await.expect("a response");
    let timer = stall_timeout::StallTimer::new(time::Duration::from_secs(10));
    let mut body = stall_timeout::StallTimeoutBody::new(response.into_body(), timer);
    let error = loop {
        match body.frame().await.expect("an error before the end") {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert_eq!(error, expected);

    drop(sender);
    stop.cancel();
    serving.await.expect("the server ends");
}

/// How a peer ends a response that is not complete.
#[derive(Debug, Clone, Copy)]
enum End {
    /// As a server whose pings were not answered.
    Shutdown,
    Reset(h2::Reason),
    Drop,
}

/// Guards against a part of a response that looks complete as its peer ends the connection or the stream.
#[test_case(End::Shutdown; "shutdown")]
#[test_case(End::Reset(h2::Reason::CANCEL); "reset")]
#[test_case(End::Reset(h2::Reason::NO_ERROR); "reset without an error")]
#[test_case(End::Drop; "dropped")]
#[tokio::test]
async fn a_response_that_its_peer_leaves_is_truncated(end: End) {
    let listener = tcp::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (ends, ended) = tokio::sync::oneshot::channel::<()>();
    let serving = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut connection = h2::server::handshake(stream).await.expect("an HTTP/2 connection");
        let (_, mut respond) = connection.accept().await.expect("a request").expect("a request");
        let mut body = respond.send_response(http::Response::new(()), false).expect("a head");
        body.send_data(Bytes::from_static(b"begun"), false).expect("a part");
        let mut ended = std::pin::pin!(ended);
        tokio::select! {
            _ = connection.accept() => {}
            _ = &mut ended => {}
        }
        match end {
            End::Shutdown => connection.abrupt_shutdown(h2::Reason::NO_ERROR),
            End::Reset(reason) => body.send_reset(reason),
            End::Drop => return,
        }
        let _ = tokio::time::timeout(PAUSE, connection.accept()).await;
    });
    let stream = tcp::TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) =
        http2::handshake(rt::TokioExecutor::new(), rt::TokioIo::new(stream))
            .await
            .expect("an HTTP/2 connection");
    tokio::spawn(connection);
    let request = http::Request::get("http://peer/").body(Empty::<Bytes>::new());
    let response = sender.send_request(request.expect("a request")).await.expect("a response");
    let timer = stall_timeout::StallTimer::new(time::Duration::from_secs(10));
    let mut body = stall_timeout::StallTimeoutBody::new(response.into_body(), timer);
    assert!(body.frame().await.is_some_and(|frame| frame.is_ok()), "the part");
    ends.send(()).expect("the server waits");
    let rest = body.frame().await.map(|frame| frame.map(|_| "a frame"));
    assert_eq!(rest, Some(Err(BodyError::Truncated)));
    serving.await.expect("the server ends");
}

/// Guards against a complete response being reported as truncated: a server that has answered resets the
/// stream without an error if it does not read the rest of the request.
#[tokio::test]
async fn a_response_beside_an_unread_upload_is_complete() {
    let listener = tcp::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut connection = h2::server::handshake(stream).await.expect("an HTTP/2 connection");
        let accepted = connection.accept().await.expect("a request").expect("a request");
        let (request, mut respond) = accepted;
        let mut body = respond.send_response(http::Response::new(()), false).expect("a head");
        body.send_data(Bytes::from_static(b"whole"), true).expect("the body");
        drop((request, respond, body));
        let _ = tokio::time::timeout(PAUSE, connection.accept()).await;
    });
    let stream = tcp::TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) =
        http2::handshake(rt::TokioExecutor::new(), rt::TokioIo::new(stream))
            .await
            .expect("an HTTP/2 connection");
    tokio::spawn(connection);
    let upload: Frames = stream::pending().boxed();
    let request = http::Request::post("http://peer/").body(StreamBody::new(upload));
    let response = sender.send_request(request.expect("a request")).await.expect("a response");
    // The reset arrives before the body is read.
    tokio::time::sleep(PAUSE).await;
    let timer = stall_timeout::StallTimer::new(time::Duration::from_secs(10));
    let body = stall_timeout::StallTimeoutBody::new(response.into_body(), timer);
    let received = body.collect().await.map(http_body_util::Collected::to_bytes);
    assert_eq!(received, Ok(Bytes::from_static(b"whole")));
    serving.await.expect("the server ends");
}
