//! Errors of request and response bodies that are forwarded.

use std::error::Error;
use std::sync;
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

/// HTTP/2 error code with which a stream to a peer is reset after [`BodyError::Stalled`]. All other errors
/// have the code `INTERNAL_ERROR`.
const STALLED_CODE: u32 = 0x6c79_0001;

/// Source of [`BodyError::Stalled`]; hyper takes the code from it.
static STALLED_RESET: sync::LazyLock<h2::Error> =
    sync::LazyLock::new(|| h2::Reason::from(STALLED_CODE).into());

impl BodyError {
    /// Returns why a body that is read from a peer ended early.
    pub fn from_peer(error: &hyper::Error) -> Self {
        let reset = error.source().and_then(|source| source.downcast_ref::<h2::Error>());
        match reset.and_then(h2::Error::reason).map(u32::from) {
            Some(STALLED_CODE) => Self::Stalled,
            _ => Self::Truncated,
        }
    }
}

impl Error for BodyError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Stalled => Some(&*STALLED_RESET),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
