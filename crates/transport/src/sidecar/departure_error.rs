//! Reasons for which a departure is not acknowledged.

use displaydoc::Display;

/// Why a departure is not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DepartureError {
    /// {0}
    Rejected(String),
    /// the departure has taken effect, but is not stored yet
    NotStored,
}

impl std::error::Error for DepartureError {}
