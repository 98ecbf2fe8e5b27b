//! What a registry outside the fleet has of a daemon's departures.

use crate::ids;
use crate::member;

/// Departures in a registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The departures.
    pub departed: Vec<member::Departure>,
    /// Epoch of the registry that holds them. In a registration, the epoch in which it has all departures
    /// that the daemon had acknowledged by then; 0 if it may lack some.
    pub epoch: ids::SourceEpoch,
}

/// Result of a lookup of a daemon's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The daemon is not registered.
    Absent,
    /// There is a registration that cannot be decoded.
    Unreadable,
    /// The departures in the registration and the epoch that it states.
    Found(Held),
}
