//! Quotas of organisations, which hold over the whole fleet.

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
