//! Interface of the platform's log service: streams of records over HTTP, bodies in MessagePack.
//!
//! `POST /streams/NAME` appends a record and returns [`Appended`]. `GET /streams/NAME?from=N&max=M`
//! returns a [`Page`], or status 410 with [`Trimmed`] if the records at that offset have been
//! trimmed by retention.

use lynxmast_state::ids;

/// Path prefix of streams.
pub const STREAMS_PATH: &str = "/streams/";
/// Stream of edits of the policy document.
pub const POLICY_STREAM: &str = "policy";

/// Stream of policy snapshots.
pub const SNAPSHOT_STREAM: &str = "policy-snapshots";

lynxmast_state::value! {
    /// Response to an append.
    pub struct Appended {
        /// Offset assigned to the record.
        pub offset: ids::Offset,
    }

    /// Response to a read.
    pub struct Page {
        /// Offset of the first record in the page; the requested offset if the page is empty.
        pub from: ids::Offset,
        /// Records in stream order.
        pub records: Vec<Vec<u8>>,
        /// Offset after the newest record of the stream.
        pub end: ids::Offset,
    }

    /// Response to a read of an offset that has been trimmed.
    pub struct Trimmed {
        /// Oldest offset still kept.
        pub first: ids::Offset,
    }
}
