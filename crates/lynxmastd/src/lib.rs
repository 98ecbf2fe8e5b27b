//! The daemon: settings, composition of entry and gate, administration interface, shutdown.

pub mod admin;
pub mod daemon;
pub mod line_queue;
pub mod logging;
pub mod on_store;
pub mod platform;
pub mod reload;
pub mod settings;
