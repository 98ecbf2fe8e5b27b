//! Response body at the sidecar; holds the slot and connection until the response is complete or
//! abandoned.
//!
//! An exchange is one request to a backend server together with its response. It has an id, which
//! the backend server should return in the response.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::clock;

use crate::body_error;
use crate::hop;
use crate::pool;
use crate::result_recorder;
use crate::stall_timeout;
use crate::upstream::slot;

type FrameResult = Result<body::Frame<Bytes>, body_error::BodyError>;

/// An exchange whose response body is being forwarded.
#[derive(Debug)]
pub struct Exchange<C: clock::Clock> {
    /// Remaining response body.
    pub incoming: body::Incoming,
    /// Connection that carries the response.
    pub connection: pool::Connection,
    /// Slot held by the request.
    pub slot: slot::Slot<C>,
    /// Whether the response contained the exchange id.
    pub returned_id: bool,
}

/// Largest size in bytes of a discarded response body that is read so that its connection can be
/// reused.
const DISCARD_SIZE_MAX: usize = 16 * 1024;
/// Longest wait for the rest of a discarded response body.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time for which a response is left unread from which on the backend server may cut it off for that.
const UNREAD_MAX: time::Duration = time::Duration::from_secs(1);

/// Limits on the time that a response body may take.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Longest time for which the body may be left unread.
    pub stall: time::Duration,
    /// Deadline of the request, after which the backend server may not be silent.
    pub deadline: time::Instant,
}

/// Body that forwards a response and ends the exchange with its last byte.
#[derive(Debug)]
pub struct SidecarBody<C: clock::Clock> {
    tracked: sync::Arc<TrackedExchange<C>>,
    timer: stall_timeout::StallTimer,
    is_complete: bool,
}

/// An exchange shared between its body and the stall monitor.
#[derive(Debug)]
struct TrackedExchange<C: clock::Clock> {
    stall_timeout: time::Duration,
    state: sync::Mutex<State<C>>,
}

#[derive(Debug)]
struct State<C: clock::Clock> {
    /// `None` once the exchange has ended.
    exchange: Option<Exchange<C>>,
    /// Why the exchange ended before the response was complete.
    abandoned: Option<body_error::BodyError>,
    recorder: result_recorder::ResultRecorder<C>,
    /// Whether the reader waits for the backend server.
    is_waiting: bool,
    /// Whether the body was left unread for over [`UNREAD_MAX`].
    is_unread: bool,
    /// Last time at which a part of the body was read.
    last_progress: time::Instant,
}

/// Monitor that abandons stalled exchanges, so that callers who stop reading do not hold slots.
#[derive(Debug)]
pub struct StallMonitor<C: clock::Clock> {
    exchanges: sync::Mutex<Vec<sync::Weak<TrackedExchange<C>>>>,
}

impl<C: clock::Clock> Exchange<C> {
    /// Converts the exchange into a body; if the response has no body, the exchange ends at once.
    /// `recorder` gets the result if the backend server does not complete the body.
    pub fn into_body(
        self,
        recorder: result_recorder::ResultRecorder<C>,
        limits: BodyLimits,
        monitor: &StallMonitor<C>,
    ) -> SidecarBody<C> {
        let is_complete = self.incoming.is_end_stream();
        let last_progress = self.slot.now();
        let state = State {
            exchange: Some(self),
            abandoned: None,
            recorder,
            is_waiting: false,
            is_unread: false,
            last_progress,
        };
        let state = sync::Mutex::new(state);
        let tracked = sync::Arc::new(TrackedExchange { stall_timeout: limits.stall, state });
        if is_complete {
            tracked.finish();
        } else {
            monitor.add(&tracked);
        }
        let timer = stall_timeout::StallTimer::for_response(limits.deadline);
        SidecarBody { tracked, timer, is_complete }
    }

    /// Reads and discards the rest of a small response, so that the connection can be reused.
    pub fn discard(self) {
        if self.incoming.is_end_stream() {
            return self.finish();
        }
        tokio::spawn(async move {
            let mut exchange = self;
            let rest = http_body_util::Limited::new(&mut exchange.incoming, DISCARD_SIZE_MAX);
            let rest = http_body_util::BodyExt::collect(rest);
            if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, rest).await {
                exchange.finish();
            }
        });
    }

    /// Ends the exchange after a complete response: frees the slot, and returns the connection to
    /// the pool if the response contained the exchange id.
    fn finish(self) {
        let Exchange { connection, slot, returned_id, incoming: _ } = self;
        let pool = &slot.upstream().pool;
        if returned_id {
            pool.put_back(connection);
        } else {
            pool.record_missing_id();
        }
    }
}

impl<C: clock::Clock> TrackedExchange<C> {
    fn lock(&self) -> sync::MutexGuard<'_, State<C>> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn finish(&self) {
        let exchange = self.lock().exchange.take();
        if let Some(exchange) = exchange {
            exchange.finish();
        }
    }

    /// Ends the exchange before the response is complete: frees the slot and closes the connection.
    fn abandon(&self, reason: body_error::BodyError) {
        let mut state = self.lock();
        let exchange = state.exchange.take();
        if state.abandoned.is_none() && state.is_upstream_failure(reason) {
            state.recorder.record(false);
        }
        state.recorder.pause();
        state.abandoned.get_or_insert(reason);
        drop(state);
        drop(exchange);
    }
}

impl<C: clock::Clock> State<C> {
    /// Returns whether the backend server is the cause if the body ends for `reason`.
    fn is_upstream_failure(&self, reason: body_error::BodyError) -> bool {
        match reason {
            body_error::BodyError::Stalled => self.is_waiting,
            body_error::BodyError::Truncated => !self.is_unread,
            _ => false,
        }
    }

    /// Records that the reader waits for the backend server.
    fn record_wait(&mut self) {
        self.is_waiting = true;
        self.recorder.resume();
    }

    /// Records that a part of the body was read, or its end.
    fn record_progress(&mut self, now: time::Instant) {
        let was_unread = now.saturating_duration_since(self.last_progress) > UNREAD_MAX;
        self.is_unread |= was_unread && !self.is_waiting;
        self.is_waiting = false;
        self.recorder.pause();
        self.last_progress = now;
    }
}

impl<C: clock::Clock> Default for StallMonitor<C> {
    fn default() -> Self {
        Self { exchanges: Default::default() }
    }
}

impl<C: clock::Clock> StallMonitor<C> {
    fn add(&self, tracked: &sync::Arc<TrackedExchange<C>>) {
        self.lock().push(sync::Arc::downgrade(tracked));
    }

    /// Abandons exchanges whose bodies were not read within their stall timeout, and returns their
    /// number.
    pub fn sweep(&self, now: time::Instant) -> usize {
        let mut exchanges = self.lock();
        exchanges.retain(|tracked| tracked.strong_count() > 0);
        let live: Vec<sync::Arc<TrackedExchange<C>>> =
            exchanges.iter().filter_map(sync::Weak::upgrade).collect();
        drop(exchanges);
        let is_stalled = |tracked: &sync::Arc<TrackedExchange<C>>| {
            let state = tracked.lock();
            let idle = now.saturating_duration_since(state.last_progress);
            state.exchange.is_some() && !state.is_waiting && idle > tracked.stall_timeout
        };
        let stalled: Vec<_> = live.into_iter().filter(is_stalled).collect();
        stalled.iter().for_each(|tracked| tracked.abandon(body_error::BodyError::Stalled));
        stalled.len()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<sync::Weak<TrackedExchange<C>>>> {
        self.exchanges.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Removes what only lynxmast may state from the trailers of a response, which callers of HTTP/2 get.
fn strip_trailers(frame: Option<FrameResult>) -> Option<FrameResult> {
    let mut frame = frame;
    if let Some(trailers) = frame.as_mut().and_then(|f| f.as_mut().ok()?.trailers_mut()) {
        hop::strip_internal_headers(trailers);
    }
    frame
}

impl<C: clock::Clock> Body for SidecarBody<C> {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        let this = &mut *self;
        if this.is_complete {
            return task::Poll::Ready(None);
        }
        let mut state = this.tracked.lock();
        let Some(exchange) = &mut state.exchange else {
            let reason = state.abandoned.unwrap_or(body_error::BodyError::Cancelled);
            return task::Poll::Ready(Some(Err(reason)));
        };
        let polled = pin::Pin::new(&mut exchange.incoming).poll_frame(cx);
        let is_last = exchange.incoming.is_end_stream();
        let result = match polled {
            task::Poll::Pending => {
                state.record_wait();
                drop(state);
                std::task::ready!(this.timer.poll_stalled(cx));
                Some(Err(body_error::BodyError::Stalled))
            }
            task::Poll::Ready(frame) => {
                let now = exchange.slot.now();
                state.record_progress(now);
                drop(state);
                this.timer.reset();
                let frame = frame.map(|f| f.map_err(|_| body_error::BodyError::Truncated));
                strip_trailers(frame)
            }
        };
        match &result {
            Some(Err(error)) => this.tracked.abandon(*error),
            Some(Ok(_)) if !is_last => {}
            // The exchange ends with the last byte, so that the slot is free at once.
            Some(Ok(_)) | None => {
                this.tracked.finish();
                this.is_complete = true;
            }
        }
        task::Poll::Ready(result)
    }

    fn is_end_stream(&self) -> bool {
        self.is_complete
    }

    fn size_hint(&self) -> body::SizeHint {
        let state = self.tracked.lock();
        match &state.exchange {
            Some(exchange) => exchange.incoming.size_hint(),
            None if self.is_complete => body::SizeHint::with_exact(0),
            None => body::SizeHint::default(),
        }
    }
}

impl<C: clock::Clock> Drop for SidecarBody<C> {
    fn drop(&mut self) {
        self.tracked.abandon(body_error::BodyError::Cancelled);
    }
}
