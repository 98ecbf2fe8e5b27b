//! The daemon: settings, composition of ingress and sidecar, administration interface, shutdown.

pub mod admin;
pub mod daemon;
pub mod log_queue;
pub mod logging;
pub mod platform;
pub mod reload;
pub mod settings;
pub mod store_platform;
