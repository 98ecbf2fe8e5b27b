//! The policy document: one section per team, validation, the reducer that applies edits from the
//! log, and the compiled form used on the request path.

pub mod change;
pub mod compiled;
pub mod document;
pub mod edit;
pub mod finding;
pub mod organisation;
pub mod reducer;
pub mod route;
pub mod section;
pub mod service;
pub mod sharded_map;
pub mod signature;

#[cfg(test)]
mod tests;
