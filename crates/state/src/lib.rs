//! Pure decision core of lynxmast: domain types, shared tables and the rules over them.
//!
//! Everything here takes its input as values, the time and the random seed included, and returns
//! outcomes. Nothing in this crate opens a socket, spawns a task, reads a clock or draws from a
//! global random source, so that daemons, tests and measurements run the same decisions.

#[macro_use]
mod macros;

pub mod admission;
pub mod clock;
pub mod doubt;
pub mod event;
pub mod fair_queue;
pub mod health;
pub mod ids;
pub mod latency;
pub mod load;
pub mod member;
pub mod members;
pub mod outcome;
pub mod policy;
pub mod precedence;
pub mod retry;
pub mod router;
pub mod sampling;
pub mod suspension;
pub mod tables;
pub mod token_bucket;
pub mod urgency;
pub mod usage;
pub mod validation;
