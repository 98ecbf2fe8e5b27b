//! Time at which a response body of unknown length is ended.

use std::future::Future;
use std::pin;
use std::task;
use std::time;

/// Ends a body at the deadline of its request; without a deadline, the body may take any time.
#[derive(Debug, Default)]
pub struct Cutoff {
    sleep: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl Cutoff {
    /// Returns the cutoff at a request's deadline.
    pub fn at(deadline: time::Instant) -> Self {
        Self { sleep: Some(Box::pin(tokio::time::sleep_until(deadline.into()))) }
    }

    /// Polls the cutoff; ready once its time has come.
    pub fn poll_reached(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        match &mut self.sleep {
            Some(sleep) => sleep.as_mut().poll(cx),
            None => task::Poll::Pending,
        }
    }
}
