//! Pure decision core of lynxmast: domain types, shared tables and the rules over them.
//!
//! Everything here takes its input as values, the time and the random seed included, and returns
//! outcomes. Nothing in this crate opens a socket, spawns a task, reads a clock or draws from a
//! global random source, so that daemons, tests and measurements run the same decisions.

#[macro_use]
mod macros;

pub mod admission;
pub mod backoff;
pub mod checked;
pub mod clock;
pub mod event;
pub mod fair_queue;
pub mod ids;
pub mod load;
pub mod member;
pub mod membership;
pub mod outcome;
pub mod outlier;
pub mod policy;
pub mod priority;
pub mod rate_limit;
pub mod retry;
pub mod router;
pub mod sampling;
pub mod shared_state;
pub mod slot_usage;
pub mod statistics;
pub mod suspension;
pub mod token_bucket;
