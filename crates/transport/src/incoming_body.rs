//! Body of a request that a server has received.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;

use crate::body_error;

/// Body of a received request.
#[derive(Debug)]
pub enum IncomingBody {
    /// No body.
    Empty,
    /// Body that is received while it is read.
    Streamed(body::Incoming),
    /// Body of an HTTP/2 stream that is received while it is read.
    Multiplexed(body::Incoming),
}

/// Polls the body of an HTTP/2 stream. The HTTP implementation takes a reset without an error for the end of
/// the body, but only a stream that its sender has ended is complete.
pub fn poll_stream(
    body: &mut body::Incoming,
    cx: &mut task::Context<'_>,
) -> body_error::PolledFrame {
    task::Poll::Ready(match std::task::ready!(pin::Pin::new(&mut *body).poll_frame(cx)) {
        None if !body.is_end_stream() => Some(Err(body_error::BodyError::Truncated)),
        frame => frame.map(|f| f.map_err(|error| body_error::BodyError::from_peer(&error))),
    })
}

impl IncomingBody {
    /// Wraps the body of a request of that version of HTTP.
    pub fn new(incoming: body::Incoming, version: http::Version) -> Self {
        match version {
            http::Version::HTTP_2 => IncomingBody::Multiplexed(incoming),
            _ => IncomingBody::Streamed(incoming),
        }
    }
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        match &mut *self {
            IncomingBody::Empty => task::Poll::Ready(None),
            IncomingBody::Streamed(incoming) => {
                let frame = std::task::ready!(pin::Pin::new(incoming).poll_frame(cx));
                let truncated = |_| body_error::BodyError::Truncated;
                task::Poll::Ready(frame.map(|frame| frame.map_err(truncated)))
            }
            IncomingBody::Multiplexed(incoming) => poll_stream(incoming, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            IncomingBody::Empty => true,
            IncomingBody::Streamed(incoming) | IncomingBody::Multiplexed(incoming) => {
                incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            IncomingBody::Empty => body::SizeHint::with_exact(0),
            IncomingBody::Streamed(incoming) | IncomingBody::Multiplexed(incoming) => {
                incoming.size_hint()
            }
        }
    }
}

#[cfg(test)]
mod tests;
