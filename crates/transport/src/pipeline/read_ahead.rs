//! Stream of a connection that reads ahead while a response is outstanding.

use std::io;
use std::pin;
use std::sync;
use std::task;

use bytes::Buf;
use bytes::BytesMut;
use http::request;
use hyper::rt;
use hyper_util::rt as tokio_rt;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

use crate::pipeline::scanner;
use crate::pipeline::started;
use crate::shared_stream;

/// Stream that hands requests to the HTTP implementation one at a time and passes the heads of those
/// behind them to `start`, which returns `false` if a request must wait for its turn.
///
/// While a response is outstanding, the HTTP implementation polls for the end of the stream, and each
/// poll reads ahead.
pub struct ReadAhead<R, F> {
    stream: tokio_rt::TokioIo<shared_stream::SharedStream>,
    started: sync::Arc<started::Started<R>>,
    start: F,
    /// Bytes that were read and not handed over.
    buffer: BytesMut,
    /// Position of the bytes at the start of `buffer`.
    scanner: scanner::Scanner,
    /// Number of bytes at the start of `buffer` that may be handed over. `scanner` is behind them.
    approved: usize,
    /// Number of bytes at the start of `buffer` that belong to requests that were started early.
    started_bytes: usize,
    /// Whether the next request must wait for its turn.
    is_blocked: bool,
    is_closed: bool,
}

/// Maximum number of requests of one connection that are started early.
const REQUESTS_MAX: usize = 8;
/// Number of bytes that may wait on one connection behind a response that is outstanding.
const BUFFER_SIZE_MAX: usize = 32 * 1024;
/// Number of bytes read at a time.
const READ_SIZE: usize = 8 * 1024;

impl<R, F: FnMut(request::Parts) -> bool> ReadAhead<R, F> {
    /// Wraps a stream. Heads of more than `head_size_max` bytes end the reading ahead.
    pub fn new(
        stream: shared_stream::SharedStream,
        head_size_max: usize,
        started: sync::Arc<started::Started<R>>,
        start: F,
    ) -> Self {
        Self {
            stream: tokio_rt::TokioIo::new(stream),
            started,
            start,
            buffer: BytesMut::new(),
            scanner: scanner::Scanner::new(head_size_max),
            approved: 0,
            started_bytes: 0,
            is_blocked: false,
            is_closed: false,
        }
    }

    /// Reads from the connection while there is room. Returns whether anything was read or the
    /// connection was closed.
    fn poll_fill(&mut self, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        if self.is_closed {
            return task::Poll::Ready(Ok(()));
        }
        // The head of the current request may be larger.
        if self.buffer.len() >= BUFFER_SIZE_MAX && self.started.is_responding() {
            return task::Poll::Pending;
        }
        let mut chunk = [0; READ_SIZE];
        let mut read = ReadBuf::new(&mut chunk);
        let polled = pin::Pin::new(self.stream.inner_mut()).poll_read(cx, &mut read);
        std::task::ready!(polled)?;
        self.is_closed = read.filled().is_empty();
        self.buffer.extend_from_slice(read.filled());
        task::Poll::Ready(Ok(()))
    }

    /// Starts the requests behind the current one.
    fn start_requests(&mut self) {
        while !self.is_blocked
            && !self.started.is_stopping()
            && self.started.len() < REQUESTS_MAX
            && let Some(head) = self.scanner.bodiless_head(&self.buffer[self.started_bytes..])
        {
            let length = head.length;
            if (self.start)(head.parts) {
                self.started_bytes += length;
            } else {
                self.is_blocked = true;
            }
        }
    }

    /// Hands over bytes of the current request, or of the next one if the response to the current
    /// one is complete. Returns whether there were any.
    fn deliver(&mut self, target: &mut rt::ReadBufCursor<'_>) -> bool {
        if self.approved == 0 {
            self.approve();
        }
        let length = self.approved.min(target.remaining());
        target.put_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        self.approved -= length;
        self.started_bytes = self.started_bytes.saturating_sub(length);
        length > 0
    }

    /// Determines how many bytes may be handed over.
    fn approve(&mut self) {
        let is_next = self.scanner.is_at_head();
        // While stopping, what was not started is not read.
        let is_left = self.started.is_stopping() && self.started_bytes == 0;
        if is_next && (self.started.is_responding() || is_left) {
            return;
        }
        let (length, _) = self.scanner.advance(&self.buffer);
        // An incomplete head is handed over only with the end of the stream.
        self.approved = if self.is_closed { length.max(self.buffer.len()) } else { length };
        if is_next && self.approved > 0 {
            self.started.record_delivery();
            self.is_blocked = false;
        }
    }
}

impl<R, F: FnMut(request::Parts) -> bool + Unpin> rt::Read for ReadAhead<R, F> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        mut target: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = &mut *self;
        if this.scanner.is_opaque() && this.buffer.is_empty() {
            return pin::Pin::new(&mut this.stream).poll_read(cx, target);
        }
        this.started.register(cx.waker());
        loop {
            if this.deliver(&mut target) {
                return task::Poll::Ready(Ok(()));
            }
            if this.is_closed {
                // The caller has gone, and nobody is left to receive the responses.
                return task::Poll::Ready(Ok(()));
            }
            if this.started.is_responding() && this.scanner.is_at_head() {
                this.start_requests();
            }
            std::task::ready!(this.poll_fill(cx))?;
        }
    }
}

impl<R, F: Unpin> rt::Write for ReadAhead<R, F> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }
}
