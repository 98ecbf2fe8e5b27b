//! Interface to the platform's append-only log.

use std::future;

use bytes::Bytes;
use displaydoc::Display;
use lynxmast_state::ids;

/// Client of a log whose streams of records are kept for a limited time.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record to a stream.
    fn append(&self, stream: &str, record: Bytes) -> impl future::Future<Output = Append> + Send;

    /// Reads a bounded number of records, starting at an offset.
    ///
    /// # Errors
    ///
    /// Fails when the log does not respond or its response is malformed.
    fn read(
        &self,
        stream: &str,
        from: ids::Offset,
    ) -> impl future::Future<Output = Result<Read, PlatformError>> + Send;
}

/// Outcome of an append.
#[derive(Debug, Clone, PartialEq)]
pub enum Append {
    /// The record was appended at this offset.
    Appended(ids::Offset),
    /// The record was not appended, for the given reason.
    Rejected(String),
    /// The record may or may not have been appended.
    Unknown,
}

/// Outcome of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum Read {
    /// Records, starting at the requested offset; none at the end of the stream.
    Records {
        /// Records in stream order.
        records: Vec<Vec<u8>>,
        /// Offset after the newest record of the stream.
        end: ids::Offset,
    },
    /// The record at the requested offset has been trimmed.
    Trimmed {
        /// Oldest offset still kept.
        first: ids::Offset,
    },
}

/// Error of a call to the platform's log or store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// the platform's log or store did not respond or rejected the call
    CallFailed,
    /// the platform's log or store sent a malformed response
    MalformedResponse,
    /// the platform's store was restored from an older copy
    Restored,
    /// the platform's store has had a higher revision of the record
    Outdated,
}

impl std::error::Error for PlatformError {}
