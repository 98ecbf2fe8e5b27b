//! A body that fails if it makes no progress within a timeout.

use std::future::Future;
use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::Body;
use hyper::body;

use crate::body_error;
use crate::incoming_body;

/// Timer that runs while a body is pending.
#[derive(Debug)]
pub struct StallTimer {
    timeout: time::Duration,
    /// Time before which it does not expire.
    earliest: Option<time::Instant>,
    sleep: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

/// Longest pause within a response after the deadline of its request. A pause before the deadline may
/// last until then. It covers a lost packet, which TCP sends again after 200 ms.
pub const LATE_PAUSE_MAX: time::Duration = time::Duration::from_millis(400);

impl StallTimer {
    /// Creates a timer that expires after `timeout` without progress.
    pub fn new(timeout: time::Duration) -> Self {
        Self { timeout, earliest: None, sleep: None }
    }

    /// Creates the timer of a response. It expires at the `deadline` of the request, or later once
    /// there has been no progress for [`LATE_PAUSE_MAX`].
    pub fn for_response(deadline: time::Instant) -> Self {
        Self { timeout: LATE_PAUSE_MAX, earliest: Some(deadline), sleep: None }
    }

    /// Restarts the timer after progress.
    pub fn reset(&mut self) {
        self.sleep = None;
    }

    /// Polls the timer while the body is pending; ready once the timeout has passed without
    /// progress.
    pub fn poll_stalled(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let (timeout, earliest) = (self.timeout, self.earliest);
        let sleep = self.sleep.get_or_insert_with(|| {
            let expiry = tokio::time::Instant::now() + timeout;
            let expiry = earliest.map_or(expiry, |earliest| expiry.max(earliest.into()));
            Box::pin(tokio::time::sleep_until(expiry))
        });
        sleep.as_mut().poll(cx)
    }
}

/// A body of an HTTP/2 stream from a peer under a [`StallTimer`].
#[derive(Debug)]
pub struct StallTimeoutBody {
    inner: body::Incoming,
    timer: StallTimer,
}

impl StallTimeoutBody {
    /// Wraps `inner`, which fails when `timer` expires.
    pub fn new(inner: body::Incoming, timer: StallTimer) -> Self {
        Self { inner, timer }
    }
}

impl Body for StallTimeoutBody {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> body_error::PolledFrame {
        match incoming_body::poll_stream(&mut self.inner, cx) {
            task::Poll::Ready(frame) => {
                self.timer.reset();
                task::Poll::Ready(frame)
            }
            task::Poll::Pending => {
                let stalled = self.timer.poll_stalled(cx);
                stalled.map(|()| Some(Err(body_error::BodyError::Stalled)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}
