//! Decision logic of lynxmast without I/O: domain types, shared state and the rules on them.
//!
//! All inputs are passed in as values, including the time and the source of randomness. Apart from
//! [`clock::SystemClock`], nothing in this crate opens a socket, spawns a task, reads a global
//! clock or uses a global random number generator, so daemons, tests and measurements run the same
//! code.

#[macro_use]
mod macros;

pub mod admission;
pub mod backoff;
pub mod body_window;
pub mod byte_budget;
pub mod clock;
pub mod concurrency_limit;
pub mod departures;
pub mod drain_time;
pub mod event;
pub mod fair_queue;
pub mod fingerprint;
pub mod freshness;
pub mod ids;
pub mod key_wait;
pub mod load;
pub mod load_report;
pub mod member;
pub mod membership;
pub mod outcome;
pub mod outlier;
pub mod parent_admission;
pub mod policy;
pub mod precedence;
pub mod priority;
pub mod progress;
pub mod quarantine;
pub mod quota;
pub mod request_limit;
pub mod response_hold;
pub mod response_size;
pub mod retry;
pub mod retry_need;
pub mod revision;
pub mod router;
pub mod running;
pub mod sampling;
pub mod shared_state;
pub mod slot_usage;
pub mod spillover;
pub mod startup;
pub mod statistics;
pub mod suspension;
pub mod token_bucket;
pub mod upstream_budget;
pub mod validation;
