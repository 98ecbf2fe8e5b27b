//! A source of whole policy documents with versions, in place of a log of edits.

use std::future;

use lynxmast_state::ids;
use lynxmast_state::policy::document;

use crate::platform_log;

/// A policy document with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned {
    /// Version; a larger one is newer.
    pub version: ids::PolicyVersion,
    /// Whole document.
    pub document: document::Document,
}

/// Where whole documents are published.
pub trait DocumentSource: Send + 'static {
    /// Returns the newest document, or `None` while there is none.
    ///
    /// # Errors
    ///
    /// Says that the source does not answer, or not in a way that can be read.
    fn newest(
        &mut self,
    ) -> impl future::Future<Output = Result<Option<Versioned>, platform_log::Unavailable>> + Send;

    /// Waits for a document that was published after the last call, for as long as the source
    /// keeps a waiting call open; `None` if there was none.
    ///
    /// # Errors
    ///
    /// Says that the source does not answer, or no longer knows what came after the last call.
    fn wait(
        &mut self,
    ) -> impl future::Future<Output = Result<Option<Versioned>, platform_log::Unavailable>> + Send;
}
