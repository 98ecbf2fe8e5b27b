//! Bodies of responses to callers.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::clock;
use lynxmast_state::router;

use crate::body_error;
use crate::cutoff;
use crate::exchange;
use crate::held_body;
use crate::outstanding_request;
use crate::read_ahead_body;
use crate::stall_timeout;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody<C: clock::Clock> {
    /// No body.
    Empty,
    /// A complete body in memory.
    Full(Bytes),
    /// A complete response that was held.
    Held(held_body::HeldBody),
    /// The beginning of a response that was held, and the rest, which is streamed.
    Begun(held_body::HeldBody, Box<ResponseBody<C>>),
    /// A response that is read ahead of its caller.
    ReadAhead(read_ahead_body::ReadAheadBody),
    /// From the local sidecar.
    Local(exchange::SidecarBody<C>, outstanding_request::OutstandingRequest<C>, cutoff::Cutoff),
    /// From another daemon's sidecar.
    Remote(
        stall_timeout::StallTimeoutBody,
        outstanding_request::OutstandingRequest<C>,
        cutoff::Cutoff,
    ),
}

/// Polls a response body, unless its time is over.
fn poll_before_cutoff(
    body: pin::Pin<&mut impl Body<Data = Bytes, Error = body_error::BodyError>>,
    cutoff: &mut cutoff::Cutoff,
    cx: &mut task::Context<'_>,
) -> body_error::PolledFrame {
    match cutoff.poll_reached(cx) {
        task::Poll::Ready(()) => task::Poll::Ready(Some(Err(body_error::BodyError::Endless))),
        task::Poll::Pending => body.poll_frame(cx),
    }
}

/// Counts the bytes of a response body, and reports one that is stalled, truncated or endless as a
/// failure of its upstream.
fn report_progress<C: clock::Clock>(
    polled: body_error::PolledFrame,
    outstanding: &mut outstanding_request::OutstandingRequest<C>,
) -> body_error::PolledFrame {
    use body_error::BodyError::{Endless, Stalled, Truncated};
    if matches!(polled, task::Poll::Ready(Some(Err(Stalled | Truncated | Endless)))) {
        outstanding.set_result(router::AttemptResult::Failed);
    }
    match &polled {
        task::Poll::Ready(Some(Ok(frame))) => {
            outstanding.count_bytes(frame.data_ref().map_or(0, Bytes::len));
        }
        task::Poll::Ready(None) => outstanding.end_body(),
        _ => {}
    }
    polled
}

impl<C: clock::Clock> ResponseBody<C> {
    /// Reports a response that is given up before its end as a failure of its upstream.
    pub fn record_failure(&mut self) {
        if let ResponseBody::Local(_, outstanding, _) | ResponseBody::Remote(_, outstanding, _) =
            self
        {
            outstanding.set_result(router::AttemptResult::Failed);
        }
    }
}

impl<C: clock::Clock> Body for ResponseBody<C> {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        match &mut *self {
            ResponseBody::Empty => task::Poll::Ready(None),
            ResponseBody::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                let frame = (!bytes.is_empty()).then(|| Ok(body::Frame::data(bytes)));
                task::Poll::Ready(frame)
            }
            ResponseBody::Held(body) => pin::Pin::new(body).poll_frame(cx),
            ResponseBody::ReadAhead(body) => pin::Pin::new(body).poll_frame(cx),
            ResponseBody::Begun(body, _) if !body.is_end_stream() => {
                pin::Pin::new(body).poll_frame(cx)
            }
            ResponseBody::Begun(_, rest) => {
                *self = std::mem::replace(&mut **rest, ResponseBody::Empty);
                self.poll_frame(cx)
            }
            ResponseBody::Local(body, outstanding, cutoff) => {
                let polled = poll_before_cutoff(pin::Pin::new(body), cutoff, cx);
                report_progress(polled, outstanding)
            }
            ResponseBody::Remote(body, outstanding, cutoff) => {
                let polled = poll_before_cutoff(pin::Pin::new(body), cutoff, cx);
                report_progress(polled, outstanding)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Empty => true,
            ResponseBody::Full(bytes) => bytes.is_empty(),
            ResponseBody::Held(body) => body.is_end_stream(),
            ResponseBody::ReadAhead(body) => body.is_end_stream(),
            ResponseBody::Begun(body, rest) => body.is_end_stream() && rest.is_end_stream(),
            ResponseBody::Local(body, ..) => body.is_end_stream(),
            ResponseBody::Remote(body, ..) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            ResponseBody::Empty => body::SizeHint::with_exact(0),
            ResponseBody::Full(bytes) => body::SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Held(body) => body.size_hint(),
            ResponseBody::ReadAhead(body) => body.size_hint(),
            ResponseBody::Begun(body, rest) => {
                let known = body.size_hint().exact().zip(rest.size_hint().exact());
                known.map_or_else(Default::default, |(begun, rest)| {
                    body::SizeHint::with_exact(begun + rest)
                })
            }
            ResponseBody::Local(body, ..) => body.size_hint(),
            ResponseBody::Remote(body, ..) => body.size_hint(),
        }
    }
}
