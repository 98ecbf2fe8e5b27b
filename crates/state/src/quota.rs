//! Quotas of organisations, which hold over the whole fleet.
//!
//! The owner of an organisation lends batches of tokens, the ingresses spend them. The design and
//! the proof of the bound are in `docs/design/quotas.md`.

pub mod bounds;
pub mod message;
pub mod owner;
pub mod spender;

value! {
    /// Quota of one organisation in the whole fleet.
    #[derive(Copy)]
    pub struct Limit {
        /// Requests per second.
        pub rate: f64,
        /// Requests that may be sent at once in addition to `rate`.
        pub burst: f64,
    }
}

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
