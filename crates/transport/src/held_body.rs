//! A complete body, or the beginning of one, that counts in the daemon's byte budget.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::byte_budget;

use crate::body_error;

/// Bytes of a body that are in memory. They are passed on in frames of bounded size, so that a large
/// body does not delay the others of its connection, and count in the budget until the last frame is
/// dropped, which is after it has been written to the socket.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
}

/// Bytes that count in the budget until they are dropped.
struct CountedBytes {
    bytes: Vec<u8>,
    _held: byte_budget::Held,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Largest frame in bytes.
pub const FRAME_SIZE_MAX: usize = 16 * 1024;

impl HeldBody {
    /// Wraps `bytes`, which `held` counts.
    pub fn new(bytes: Vec<u8>, held: byte_budget::Held) -> Self {
        Self { bytes: Bytes::from_owner(CountedBytes { bytes, _held: held }) }
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
