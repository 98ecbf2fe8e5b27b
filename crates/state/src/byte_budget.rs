//! Bytes that a daemon holds in memory for callers, other daemons and backend servers.

/// Purpose of held bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Part of a request body that is kept so that the request can be sent again.
    Replay,
    /// Part of a response that is kept until the response is complete.
    Response,
    /// Part of a response that was read ahead of its caller.
    ReadAhead,
}
