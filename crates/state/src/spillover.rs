//! Which part of the requests of a service leaves the failure domain.

use std::time;

use crate::ids;

/// Demand and room of a service in one failure domain, as far as a daemon knows them.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainLoad {
    /// Failure domain.
    pub domain: ids::DomainName,
    /// Requests of the domain's callers per second.
    pub demand: f64,
    /// Slots of the domain's upstreams that accept requests.
    pub slots: u32,
    /// Slots in use and requests that wait for one.
    pub occupied: u32,
    /// Time since the oldest of the reports that were added up.
    pub age: time::Duration,
}
