//! Interface to a source of complete, versioned policy documents, used instead of a log of edits.

use std::future;
use std::time;

use lynxmast_state::ids;
use lynxmast_state::policy::document;

use crate::platform_log;

/// A complete policy document and its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    /// Version of the document; a larger version is newer.
    pub version: ids::PolicyVersion,
    /// The document.
    pub document: document::Document,
}

/// Source to which complete policy documents are published.
pub trait DocumentSource: Send + 'static {
    /// Returns the newest document, or `None` if no valid one has been published.
    ///
    /// # Errors
    ///
    /// Fails when the source does not respond or its response is malformed.
    fn newest(
        &mut self,
    ) -> impl future::Future<Output = Result<Option<Revision>, platform_log::PlatformError>> + Send;

    /// Waits for at most `wait` for a document published after the previous call. Returns `None` if
    /// no valid one was published until the end of the whole wait.
    ///
    /// # Errors
    ///
    /// Fails when the source does not end the long poll in time or its response is malformed, or
    /// when the source no longer keeps what was published after the previous call.
    fn wait_for_update(
        &mut self,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<Option<Revision>, platform_log::PlatformError>> + Send;
}
