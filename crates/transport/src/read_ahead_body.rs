//! A response body that is read ahead of its caller, within the daemon's byte budget.
//!
//! A caller that reads slowly would otherwise occupy a slot and a connection of the backend server for
//! as long as it reads, and backend servers cut off responses that nobody reads.

use std::collections::VecDeque;
use std::pin;
use std::sync;
use std::task;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body;
use lynxmast_state::byte_budget;
use tokio_util::task::AbortOnDropHandle;

use crate::body_error;

/// Frames read ahead by a task, which ends with this body. Beyond the budget, the task waits until all
/// of them have been passed on.
#[derive(Debug)]
pub struct ReadAheadBody {
    queue: sync::Arc<Queue>,
    /// Bytes that are left, if the length is known.
    left: Option<u64>,
    _reader: AbortOnDropHandle<()>,
}

#[derive(Debug)]
struct Queue {
    state: sync::Mutex<State>,
    /// Notified when the queue has become empty.
    drained: tokio::sync::Notify,
}

#[derive(Debug)]
struct State {
    frames: VecDeque<Result<body::Frame<Bytes>, body_error::BodyError>>,
    /// Counts the bytes in `frames`.
    held: byte_budget::Held,
    /// Whether the body has been read to its end.
    is_complete: bool,
    waker: Option<task::Waker>,
}

impl ReadAheadBody {
    /// Starts to read `body`. `held` counts what is read ahead.
    pub fn new<B>(body: B, held: byte_budget::Held) -> Self
    where
        B: Body<Data = Bytes, Error = body_error::BodyError> + Send + Unpin + 'static,
    {
        let left = body.size_hint().exact();
        let state = State { frames: VecDeque::new(), held, is_complete: false, waker: None };
        let queue = Queue { state: sync::Mutex::new(state), drained: Default::default() };
        let queue = sync::Arc::new(queue);
        let reader = tokio::spawn(read(body, queue.clone()));
        Self { queue, left, _reader: AbortOnDropHandle::new(reader) }
    }
}

async fn read<B>(mut body: B, queue: sync::Arc<Queue>)
where
    B: Body<Data = Bytes, Error = body_error::BodyError> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let is_error = frame.is_err();
        let has_room = queue.push(frame);
        if is_error {
            return;
        }
        if !has_room {
            queue.drained.notified().await;
        }
    }
    // The body is dropped first: it holds the slot at the backend server.
    drop(body);
    queue.finish();
}

impl Queue {
    /// Adds a frame and returns whether the budget had room for it.
    fn push(&self, frame: Result<body::Frame<Bytes>, body_error::BodyError>) -> bool {
        let mut state = self.lock();
        let size = data_size(&frame);
        let has_room = state.held.try_grow(size);
        if !has_room {
            state.held.grow(size);
        }
        state.frames.push_back(frame);
        state.wake();
        has_room
    }

    fn finish(&self) {
        let mut state = self.lock();
        state.is_complete = true;
        state.wake();
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

fn data_size(frame: &Result<body::Frame<Bytes>, body_error::BodyError>) -> usize {
    let data = frame.as_ref().ok().and_then(|frame| frame.data_ref());
    data.map_or(0, Bytes::len)
}

impl Body for ReadAheadBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        let this = &mut *self;
        let mut state = this.queue.lock();
        let Some(frame) = state.frames.pop_front() else {
            if state.is_complete {
                return task::Poll::Ready(None);
            }
            state.waker = Some(cx.waker().clone());
            return task::Poll::Pending;
        };
        let size = data_size(&frame);
        state.held.shrink(size);
        if state.frames.is_empty() {
            // Stores a permit if the task does not wait yet; it then reads one frame more.
            this.queue.drained.notify_one();
        }
        drop(state);
        this.left = this.left.map(|left| left.saturating_sub(size as u64));
        task::Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.queue.lock();
        state.is_complete && state.frames.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.left.map_or_else(Default::default, body::SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests;
