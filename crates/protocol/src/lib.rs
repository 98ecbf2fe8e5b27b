//! Wire types and HTTP header names used between daemons, backend servers and operators.
//!
//! This crate only defines and encodes messages; it opens no connections and makes no decisions.

pub mod admin;
pub mod announce;
pub mod control;
pub mod envelope;
pub mod header;
pub mod header_scheme;
pub mod log;
