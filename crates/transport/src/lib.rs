//! HTTP data path of the proxy: ingress, sidecar, connection pools and the announcement server.
//!
//! This layer transfers requests and responses and leaves routing, admission and retry decisions to
//! `lynxmast-state`. It neither reads the policy log nor takes part in membership gossip.

pub mod announcement_server;
pub mod body_error;
pub mod body_gate;
pub mod client;
pub mod cutoff;
pub mod departure_tracker;
pub mod error_response;
pub mod exchange;
pub mod guarded_body;
pub mod held_body;
pub mod hop;
pub mod incoming_body;
pub mod ingress;
pub mod outstanding_request;
pub mod peers;
pub mod pipeline;
pub mod pool;
pub mod quota_signals;
pub mod read_ahead_body;
pub mod replay;
pub mod request_body;
pub mod response_body;
pub mod result_recorder;
pub mod server;
pub mod shared_stream;
pub mod sidecar;
pub mod sidecar_server;
pub mod small_frames;
pub mod socket;
pub mod stall_timeout;
pub mod upstream;
