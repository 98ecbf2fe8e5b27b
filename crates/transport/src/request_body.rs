//! Bodies of requests to backend servers.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;

use crate::body_error;
use crate::replay;
use crate::stall_timeout;

/// Body of a request to a backend server.
#[derive(Debug)]
pub enum RequestBody {
    /// No body.
    Empty,
    /// From a caller of this daemon.
    Local(replay::AttemptBody),
    /// From another daemon's ingress.
    Remote(stall_timeout::StallTimeoutBody),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        match &mut *self {
            RequestBody::Empty => task::Poll::Ready(None),
            RequestBody::Local(body) => pin::Pin::new(body).poll_frame(cx),
            RequestBody::Remote(body) => pin::Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Empty => true,
            RequestBody::Local(body) => body.is_end_stream(),
            RequestBody::Remote(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            RequestBody::Empty => body::SizeHint::with_exact(0),
            RequestBody::Local(body) => body.size_hint(),
            RequestBody::Remote(body) => body.size_hint(),
        }
    }
}
