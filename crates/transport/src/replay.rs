//! A caller's request body that several attempts can send, as long as it is small.
//!
//! The body is buffered until its size exceeds [`BUFFER_SIZE_MAX`] or the daemon's byte budget has no
//! room for it. A sidecar reads nothing of a
//! body before the request has a slot, and until then HTTP/2 flow control withholds all but
//! [`crate::peers::STREAM_WINDOW`] bytes, so a rejected upload of any size can still be sent
//! elsewhere from its start.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::byte_budget;
use lynxmast_state::fingerprint;

use crate::body_error;
use crate::incoming_body;
use crate::stall_timeout;

/// Largest size in bytes that is buffered for another attempt; well above the flow-control window
/// plus one read.
pub const BUFFER_SIZE_MAX: usize = 256 * 1024;

/// A caller's request body at the ingress.
#[derive(Debug, Clone)]
pub struct ReplayBuffer {
    inner: sync::Arc<sync::Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    incoming: incoming_body::IncomingBody,
    timer: stall_timeout::StallTimer,
    buffered: Vec<Bytes>,
    /// Counts the buffered bytes in the daemon's byte budget.
    held: byte_budget::Held,
    /// Size of the body received so far while all of it is buffered.
    buffered_size: usize,
    state: ReadState,
    /// Number of the attempt that may read from the caller.
    reader: u64,
    size_hint: body::SizeHint,
    hasher: fingerprint::BodyHasher,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    /// Still being received; all of it is buffered so far.
    Reading,
    /// Completely received and buffered.
    Complete,
    /// Larger than the buffer, so that no further attempt can send it.
    Overflowed,
    /// The caller failed to send the whole body.
    Failed(body_error::BodyError),
}

/// The request body as sent by one attempt.
#[derive(Debug)]
pub struct AttemptBody {
    inner: sync::Arc<sync::Mutex<Inner>>,
    /// Number of this attempt.
    reader: u64,
    /// Next buffered chunk to send.
    position: usize,
}

impl ReplayBuffer {
    /// Wraps a caller's body, which is hashed with `key` as it arrives; it fails after
    /// `stall_timeout` without progress. `held` counts what is buffered.
    pub fn new(
        incoming: incoming_body::IncomingBody,
        stall_timeout: time::Duration,
        key: fingerprint::Key,
        held: byte_budget::Held,
    ) -> Self {
        let state = if incoming.is_end_stream() { ReadState::Complete } else { ReadState::Reading };
        let size_hint = incoming.size_hint();
        let inner = Inner {
            incoming,
            timer: stall_timeout::StallTimer::new(stall_timeout),
            buffered: Vec::new(),
            held,
            buffered_size: 0,
            state,
            reader: 0,
            size_hint,
            hasher: fingerprint::BodyHasher::new(key),
        };
        Self { inner: sync::Arc::new(sync::Mutex::new(inner)) }
    }

    /// Returns the body for a new attempt. Bodies of earlier attempts can no longer read from the
    /// caller.
    pub fn attempt(&self) -> AttemptBody {
        let mut inner = lock(&self.inner);
        inner.reader += 1;
        AttemptBody { inner: self.inner.clone(), reader: inner.reader, position: 0 }
    }

    /// Returns whether another attempt can send the body from its start.
    pub fn is_replayable(&self) -> bool {
        matches!(lock(&self.inner).state, ReadState::Reading | ReadState::Complete)
    }

    /// Returns whether the body is completely received and buffered.
    pub fn is_complete(&self) -> bool {
        lock(&self.inner).state == ReadState::Complete
    }

    /// Reads from the caller until [`body_hash`](Self::body_hash) is known. Bodies of earlier
    /// attempts can no longer read from the caller.
    ///
    /// # Errors
    ///
    /// Fails if the caller does not send that much of the body.
    pub async fn read_prefix(&self) -> Result<(), body_error::BodyError> {
        lock(&self.inner).reader += 1;
        std::future::poll_fn(|cx| lock(&self.inner).poll_prefix(cx)).await
    }

    /// Returns the hash of the body for the request's fingerprint; `None` if too little of the body
    /// has arrived.
    pub fn body_hash(&self) -> Option<u64> {
        let inner = lock(&self.inner);
        let is_known = inner.state == ReadState::Complete || inner.hasher.is_full();
        is_known.then(|| inner.hasher.hash())
    }

    /// Returns whether the caller failed to send the whole body.
    pub fn has_failed(&self) -> bool {
        matches!(lock(&self.inner).state, ReadState::Failed(_))
    }
}

impl Inner {
    /// Reads from the caller. If `keeps_data`, the budget cannot refuse the buffer.
    fn poll_incoming(
        &mut self,
        cx: &mut task::Context<'_>,
        keeps_data: bool,
    ) -> task::Poll<Option<Result<Bytes, body_error::BodyError>>> {
        loop {
            let frame = match pin::Pin::new(&mut self.incoming).poll_frame(cx) {
                task::Poll::Ready(frame) => frame,
                task::Poll::Pending => {
                    std::task::ready!(self.timer.poll_stalled(cx));
                    return task::Poll::Ready(Some(self.fail(body_error::BodyError::Stalled)));
                }
            };
            self.timer.reset();
            match frame {
                None => {
                    if self.state == ReadState::Reading {
                        self.state = ReadState::Complete;
                    }
                    return task::Poll::Ready(None);
                }
                Some(Err(_)) => {
                    return task::Poll::Ready(Some(self.fail(body_error::BodyError::Truncated)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.hasher.update(&data);
                    self.buffer(&data, keeps_data);
                    return task::Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }

    fn poll_prefix(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), body_error::BodyError>> {
        while !self.hasher.is_full() {
            match self.state {
                ReadState::Complete => break,
                ReadState::Failed(error) => return task::Poll::Ready(Err(error)),
                ReadState::Reading | ReadState::Overflowed => {}
            }
            if let Some(Err(error)) = std::task::ready!(self.poll_incoming(cx, true)) {
                return task::Poll::Ready(Err(error));
            }
        }
        task::Poll::Ready(Ok(()))
    }

    /// Buffers data unless the body is too large or, if not `keeps_data`, the budget has no room.
    /// Data that was read for the fingerprint has not been sent, so it must be kept.
    fn buffer(&mut self, data: &Bytes, keeps_data: bool) {
        if self.state != ReadState::Reading {
            return;
        }
        self.buffered_size += data.len();
        let has_room =
            self.buffered_size <= BUFFER_SIZE_MAX && (keeps_data || self.held.try_grow(data.len()));
        if !has_room {
            self.buffered = Vec::new();
            self.held.clear();
            self.state = ReadState::Overflowed;
            return;
        }
        if keeps_data {
            self.held.grow(data.len());
        }
        self.buffered.push(data.clone());
    }

    fn fail(&mut self, error: body_error::BodyError) -> Result<Bytes, body_error::BodyError> {
        self.state = ReadState::Failed(error);
        Err(error)
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        let this = &mut *self;
        let mut inner = lock(&this.inner);
        if let Some(data) = inner.buffered.get(this.position) {
            this.position += 1;
            return task::Poll::Ready(Some(Ok(body::Frame::data(data.clone()))));
        }
        match inner.state {
            ReadState::Complete => return task::Poll::Ready(None),
            ReadState::Failed(error) => return task::Poll::Ready(Some(Err(error))),
            ReadState::Reading | ReadState::Overflowed => {}
        }
        if inner.reader != this.reader {
            return task::Poll::Ready(Some(Err(body_error::BodyError::Superseded)));
        }
        let data = std::task::ready!(inner.poll_incoming(cx, false));
        this.position = inner.buffered.len();
        task::Poll::Ready(data.map(|result| result.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        let inner = lock(&self.inner);
        inner.state == ReadState::Complete && self.position == inner.buffered.len()
    }

    fn size_hint(&self) -> body::SizeHint {
        let inner = lock(&self.inner);
        if self.position == 0 { inner.size_hint } else { body::SizeHint::default() }
    }
}

fn lock(inner: &sync::Mutex<Inner>) -> sync::MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
