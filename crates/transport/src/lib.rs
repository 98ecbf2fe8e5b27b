//! HTTP shells around the decisions: entry, gate, connections and announcements.
//!
//! This layer moves bytes and asks `lynxmast-state` what to do. It neither reads the log nor
//! exchanges membership.

pub mod beside;
pub mod body;
pub mod body_error;
pub mod client;
pub mod doubt_trial;
pub mod entry;
pub mod exchange;
pub mod gate;
pub mod gate_server;
pub mod hop;
pub mod peers;
pub mod pool;
pub mod replay;
pub mod reply;
pub mod server;
pub mod socket;
pub mod stalling;
pub mod upstream;
