//! Tests of the end of a request's body.

use std::net;
use std::sync;
use std::time;

use http_body_util::BodyExt;
use test_case::test_case;
use tokio::net as tcp;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::*;
use crate::client;
use crate::server;

/// Reads the bodies of requests and reports how they end.
struct Reader(mpsc::UnboundedSender<Result<usize, body_error::BodyError>>);

impl server::Handler for Reader {
    type Body = client::FullBody;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        let version = request.version();
        let body = IncomingBody::new(request.into_body(), version);
        let end = body.collect().await.map(|body| body.to_bytes().len());
        let _ = self.0.send(end);
        client::response(http::StatusCode::OK, Bytes::new())
    }
}

// Guards against an upload that looks complete as its caller resets the stream without an error.
#[test_case(None, Ok(5); "ended")]
#[test_case(Some(h2::Reason::NO_ERROR), Err(body_error::BodyError::Truncated); "reset without an error")]
#[test_case(Some(h2::Reason::CANCEL), Err(body_error::BodyError::Truncated); "cancelled")]
#[tokio::test]
async fn an_upload_is_complete_only_if_its_caller_ends_the_stream(
    reset: Option<h2::Reason>,
    expected: Result<usize, body_error::BodyError>,
) {
    let localhost = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let server = server::Server::bind(localhost, 10).await.expect("a port");
    let address = server.address().expect("an address");
    let (sender, mut ends) = mpsc::unbounded_channel();
    let stop = CancellationToken::new();
    let serving = tokio::spawn(server.run(sync::Arc::new(Reader(sender)), stop.clone()));

    let stream = tcp::TcpStream::connect(address).await.expect("a connection");
    let (caller, connection) = h2::client::handshake(stream).await.expect("an HTTP/2 connection");
    tokio::spawn(connection);
    let mut caller = caller.ready().await.expect("an HTTP/2 connection");
    let request = http::Request::post("http://h.example/").body(()).expect("a request");
    let (_response, mut body) = caller.send_request(request, false).expect("a stream");
    body.send_data(Bytes::from_static(b"begun"), reset.is_none()).expect("a part");
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    if let Some(reason) = reset {
        body.send_reset(reason);
    }
    assert_eq!(ends.recv().await, Some(expected));

    drop((caller, body));
    stop.cancel();
    serving.await.expect("the server ends");
}
