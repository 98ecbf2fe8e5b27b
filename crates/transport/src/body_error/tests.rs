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
