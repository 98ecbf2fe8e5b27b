//! Body of a request that a server has received.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;

/// Body of a received request.
#[derive(Debug)]
pub enum IncomingBody {
    /// No body.
    Empty,
    /// Body that is received while it is read.
    Streamed(body::Incoming),
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            IncomingBody::Empty => task::Poll::Ready(None),
            IncomingBody::Streamed(incoming) => pin::Pin::new(incoming).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            IncomingBody::Empty => true,
            IncomingBody::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            IncomingBody::Empty => body::SizeHint::with_exact(0),
            IncomingBody::Streamed(incoming) => incoming.size_hint(),
        }
    }
}
