//! A body that is passed on in small frames.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;

use crate::body_error;

/// Splits the frames of a body. HTTP/2 sends one frame of each stream in turn, and a response needs up to
/// three turns (head, body, end), so the size of the frames decides how long a small response waits
/// beside large ones.
#[derive(Debug)]
pub struct SmallFrames<B> {
    body: B,
    /// Part of the last frame that has not been passed on.
    rest: Bytes,
}

/// Largest frame in bytes; 2 ms at 17 Mbit/s.
pub const FRAME_SIZE_MAX: usize = 4 * 1024;

impl<B> SmallFrames<B> {
    /// Wraps `body`.
    pub fn new(body: B) -> Self {
        Self { body, rest: Bytes::new() }
    }
}

impl<B> Body for SmallFrames<B>
where
    B: Body<Data = Bytes, Error = body_error::BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        let this = &mut *self;
        if this.rest.is_empty() {
            match std::task::ready!(pin::Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) if frame.is_data() => {
                    this.rest = frame.into_data().unwrap_or_default();
                }
                other => return task::Poll::Ready(other),
            }
        }
        let size = this.rest.len().min(FRAME_SIZE_MAX);
        task::Poll::Ready(Some(Ok(body::Frame::data(this.rest.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        let (rest, inner) = (self.rest.len() as u64, self.body.size_hint());
        let mut hint = body::SizeHint::new();
        hint.set_lower(rest + inner.lower());
        if let Some(upper) = inner.upper() {
            hint.set_upper(rest + upper);
        }
        hint
    }
}
