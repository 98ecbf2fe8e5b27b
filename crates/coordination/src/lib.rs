//! Coordination between daemons and with the platform: the policy log or store, membership,
//! discovery and tokens of quotas.
//!
//! This layer moves messages and records and updates the shared state of `lynxmast-state`. It is
//! never on the request path.

pub mod confirmation_relay;
pub mod confirmations;
pub mod control_client;
pub mod control_server;
pub mod discovery;
pub mod document_follower;
pub mod document_source;
pub mod gossip;
pub mod history;
pub mod http_log;
pub mod log_follower;
pub mod peer_sync;
pub mod platform_log;
pub mod quota_borrower;
pub mod restore_monitor;
pub mod snapshots;
