//! Pipelined requests: several requests on an HTTP/1.1 connection before the first response.
//!
//! The HTTP implementation reads a request after the response to the previous one. This module reads
//! ahead on the connection and starts the requests that the handler allows; their responses are sent
//! in the order of the requests. A request whose response would follow one that closes the connection
//! is either not started, or answered before the connection is closed in a shutdown.

mod read_ahead;
pub mod scanner;
mod started;

pub use read_ahead::ReadAhead;
pub use started::Started;
