//! What daemons agree on and keep: the platform's log, the policy that follows from it, membership
//! and shares of rate limits.
//!
//! This layer moves messages and records and feeds the tables of `lynxmast-state`; it is never on
//! the path of a request.

pub mod control_client;
pub mod control_server;
pub mod directory;
pub mod document_follower;
pub mod document_source;
pub mod follower;
pub mod gossip;
pub mod history;
pub mod http_log;
pub mod peer_policy;
pub mod platform_log;
pub mod snapshots;
pub mod usage;
