//! Messages between the fleet's processes, backend servers and operators, and their headers.
//!
//! This crate names and encodes; it opens no connection and takes no decision.

pub mod admin;
pub mod announce;
pub mod control;
pub mod dialect;
pub mod envelope;
pub mod header;
pub mod log;
