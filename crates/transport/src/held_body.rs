//! A complete body, or the beginning of one, that counts in the daemon's byte budget.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::byte_budget;

use crate::body_error;

/// Bytes of a body that are in memory. They are passed on in frames of bounded size, so that a large
/// body does not delay the others of its connection, and count in the budget until the body is
/// dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _held: byte_budget::Held,
}

/// Largest frame in bytes.
pub const FRAME_SIZE_MAX: usize = 16 * 1024;

impl HeldBody {
    /// Wraps `bytes`, which `held` counts.
    pub fn new(bytes: Bytes, held: byte_budget::Held) -> Self {
        Self { bytes, _held: held }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        if self.bytes.is_empty() {
            return task::Poll::Ready(None);
        }
        let size = self.bytes.len().min(FRAME_SIZE_MAX);
        task::Poll::Ready(Some(Ok(body::Frame::data(self.bytes.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.bytes.len() as u64)
    }
}
