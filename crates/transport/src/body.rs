//! The bodies that lynxmast sends: requests to backend servers and answers to callers.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::clock;
use lynxmast_state::router;

use crate::body_error;
use crate::entry;
use crate::exchange;
use crate::replay;
use crate::stalling;

/// Body of a request on its way to a backend server.
#[derive(Debug)]
pub enum RequestBody {
    /// No body.
    Empty,
    /// From a caller of this daemon.
    Local(replay::Attempt),
    /// From another daemon's entry.
    Remote(stalling::Stalling),
}

/// Body of an answer on its way to a caller.
#[derive(Debug)]
pub enum AnswerBody<C: clock::Clock> {
    /// Nothing more.
    Empty,
    /// A whole answer in memory.
    Whole(Bytes),
    /// An answer through this daemon's own gate.
    Local(exchange::GateBody<C>, entry::Outstanding<C>),
    /// An answer through another daemon's gate.
    Remote(stalling::Stalling, entry::Outstanding<C>),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> body_error::Polled {
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

/// Counts an answer that breaks off against its upstream.
fn watched<C: clock::Clock>(
    polled: body_error::Polled,
    outstanding: &mut entry::Outstanding<C>,
) -> body_error::Polled {
    use body_error::BodyError::{Stalled, Truncated};
    if matches!(polled, task::Poll::Ready(Some(Err(Stalled | Truncated)))) {
        outstanding.will_end(router::AttemptResult::Failed);
    }
    polled
}

impl<C: clock::Clock> Body for AnswerBody<C> {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> body_error::Polled {
        match &mut *self {
            AnswerBody::Empty => task::Poll::Ready(None),
            AnswerBody::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                let frame = (!bytes.is_empty()).then(|| Ok(body::Frame::data(bytes)));
                task::Poll::Ready(frame)
            }
            AnswerBody::Local(body, outstanding) => {
                watched(pin::Pin::new(body).poll_frame(cx), outstanding)
            }
            AnswerBody::Remote(body, outstanding) => {
                watched(pin::Pin::new(body).poll_frame(cx), outstanding)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Empty => true,
            AnswerBody::Whole(bytes) => bytes.is_empty(),
            AnswerBody::Local(body, _) => body.is_end_stream(),
            AnswerBody::Remote(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            AnswerBody::Empty => body::SizeHint::with_exact(0),
            AnswerBody::Whole(bytes) => body::SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Local(body, _) => body.size_hint(),
            AnswerBody::Remote(body, _) => body.size_hint(),
        }
    }
}
