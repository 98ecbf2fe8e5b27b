//! Fakes of the services around lynxmast, and load generators, for tests, the quickstart and
//! measurements. The binaries do not depend on this crate.

pub mod backend;
pub mod caller;
pub mod crashing_backend;
pub mod crashing_requests;
pub mod fake_log;
pub mod fault_proxy;
pub mod fleet;
pub mod holding_backend;
pub mod load;
pub mod narrow_link;
pub mod paced_backend;
pub mod scripted_backend;
