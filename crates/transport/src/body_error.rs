//! Errors of request and response bodies that are forwarded.

use std::task;

use bytes::Bytes;
use displaydoc::Display;
use hyper::body;

/// Result of polling a body for its next frame.
pub type PolledFrame = task::Poll<Option<Result<body::Frame<Bytes>, BodyError>>>;

/// Why a body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BodyError {
    /// body made no progress within the stall timeout
    Stalled,
    /// sender ended the body early
    Truncated,
    /// a later attempt has taken over reading the body
    Superseded,
    /// exchange ended before the body was complete
    Cancelled,
    /// body of unknown length had not ended at the deadline
    Endless,
}

impl std::error::Error for BodyError {}
