//! Body that holds a value until it ends.

use std::pin;
use std::task;

use http_body::Body;
use hyper::body;

/// Body with a guard that is dropped with it.
#[derive(Debug)]
pub struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Attaches `guard` to `body`.
    pub fn new(body: B, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Self::Data>, Self::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
