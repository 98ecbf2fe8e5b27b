//! Policy of a service: slots, queue, retries, hedging and outlier detection.

use std::time;

use crate::ids;
use crate::validation;

value! {
    /// Trade-off of outlier detection between detection time and false positives.
    #[derive(Copy, Eq, Default)]
    pub enum Preset {
        /// Shorter detection time, more false positives.
        Fast,
        /// Fewer false positives, longer detection time.
        #[default]
        Steady,
    }

    /// Policy of a service, as written in its team's section.
    #[serde(default, deny_unknown_fields)]
    pub struct Service {
        /// Name, unique in the policy document.
        pub name: ids::ServiceName,
        /// Minimum number of slots of the service that must remain selectable when upstreams are
        /// avoided.
        pub floor: u32,
        /// The same minimum as a fraction of the slots of all live upstreams, 0 to 1; the larger one
        /// applies.
        pub floor_share: f64,
        /// Requests that one upstream may run at the same time.
        pub slots: u32,
        /// Maximum number of connections to one upstream.
        pub connections: u32,
        /// Maximum length of the request queue of one upstream.
        pub queue: u32,
        /// Longest time that a request may wait in the queue for a slot.
        #[serde(with = "humantime_serde")]
        pub max_wait: time::Duration,
        /// Slow start: time over which the open slots of a cold upstream grow from one to all.
        #[serde(with = "humantime_serde")]
        pub ramp: time::Duration,
        /// Retry budget: retries and hedges per first attempt, 0 to 1.
        pub retry_ratio: f64,
        /// Retries beyond the ratio that the whole fleet may make within `retry_window`; with
        /// `None`, each daemon has a small reserve of its own.
        pub retry_reserve: Option<f64>,
        /// Time window of `retry_reserve`.
        #[serde(with = "humantime_serde")]
        pub retry_window: time::Duration,
        /// Whether slow idempotent requests are hedged: sent to a second upstream in parallel.
        pub hedge: bool,
        /// Delay before hedging, as a multiple of the 95th percentile of the time to the response's
        /// head.
        pub hedge_after: f64,
        /// Sensitivity of outlier detection, which finds upstreams with gray failures. Has no effect
        /// at present.
        pub preset: Preset,
        /// What the transfer of a gigabyte (10^9 bytes) to another failure domain may cost in
        /// latency, in seconds per gigabyte, 0 to 3600; with `None`, 1 s per 128 KiB.
        pub transfer_cost: Option<f64>,
        /// Longest pause within a request body, and longest time for which a response is left unread,
        /// before the request is aborted. A response may pause until the deadline, unless the request
        /// can be retried.
        #[serde(with = "humantime_serde")]
        pub stall: time::Duration,
        /// Bytes of request bodies that one upstream may hold at the same time; `None` for no limit.
        pub body_bytes: Option<u64>,
    }
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: "".into(),
            floor: 0,
            floor_share: 0.0,
            slots: 4,
            connections: 350,
            queue: 32,
            max_wait: time::Duration::from_secs(1),
            ramp: time::Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_reserve: None,
            retry_window: time::Duration::from_secs(10),
            hedge: true,
            hedge_after: 1.0,
            preset: Preset::Steady,
            transfer_cost: None,
            stall: time::Duration::from_secs(10),
            body_bytes: None,
        }
    }
}

const SLOTS_MAX: u32 = 4096;
const CONNECTIONS_MAX: u32 = 65_536;
const QUEUE_MAX: u32 = 4096;
const RETRY_RESERVE_MAX: f64 = 1_000_000.0;
/// Longest `max_wait`, `ramp`, `stall` and `retry_window`.
const DURATION_MAX: time::Duration = time::Duration::from_secs(600);
/// Smallest `body_bytes`. Smaller requests are not held back before they have a slot.
const BODY_BYTES_MIN: u64 = 64 * 1024;
const HEDGE_AFTER_MAX: f64 = 100.0;
/// Highest `transfer_cost` in seconds per gigabyte.
const TRANSFER_COST_MAX: f64 = 3600.0;
/// Bytes in the gigabyte of `transfer_cost`.
const GIGABYTE: f64 = 1e9;
/// Seconds of latency that a byte sent to another failure domain may cost if the policy does not
/// state it: 1 s per 128 KiB, which is above [`TRANSFER_COST_MAX`].
const TRANSFER_COST_PER_BYTE: f64 = 1.0 / (128.0 * 1024.0);
/// Shortest `stall` and `retry_window`.
const DURATION_MIN: time::Duration = time::Duration::from_millis(100);

impl Service {
    /// Returns what a byte sent to another failure domain may cost in latency, in seconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::service;
    /// let service = service::Service { transfer_cost: Some(100.0), ..Default::default() };
    /// assert!((service.transfer_cost_per_byte() * 1e9 - 100.0).abs() < 1e-6);
    /// ```
    pub fn transfer_cost_per_byte(&self) -> f64 {
        self.transfer_cost.map_or(TRANSFER_COST_PER_BYTE, |cost| cost / GIGABYTE)
    }

    /// Reports every invalid value to `reader`.
    pub fn validate(&self, location: &validation::Location, reader: &mut validation::Reader<'_>) {
        let mut require = |is_valid: bool, key: &str, reason: String| {
            if !is_valid {
                reader.report(location, key, reason);
            }
        };
        require(!self.name.is_empty(), "name", "a service needs a name".into());
        let slots_ok = (1..=SLOTS_MAX).contains(&self.slots);
        require(slots_ok, "slots", format!("{} is not in the range 1 to {SLOTS_MAX}", self.slots));
        let connections_ok = (self.slots..=CONNECTIONS_MAX).contains(&self.connections);
        let bounds = format!("{} (slots) to {CONNECTIONS_MAX}", self.slots);
        require(
            connections_ok,
            "connections",
            format!("{} is not in the range {bounds}", self.connections),
        );
        require(
            self.queue <= QUEUE_MAX,
            "queue",
            format!("{} is greater than {QUEUE_MAX}", self.queue),
        );
        let ratio_ok = (0.0..=1.0).contains(&self.retry_ratio);
        require(
            ratio_ok,
            "retry-ratio",
            format!("{} is not in the range 0 to 1", self.retry_ratio),
        );
        let reserve_ok = self.retry_reserve.is_none_or(|r| (0.0..=RETRY_RESERVE_MAX).contains(&r));
        require(
            reserve_ok,
            "retry-reserve",
            format!("is not in the range 0 to {RETRY_RESERVE_MAX}"),
        );
        let window_ok = (DURATION_MIN..=DURATION_MAX).contains(&self.retry_window);
        require(window_ok, "retry-window", "is not in the range 100ms to 600s".into());
        let share_ok = (0.0..=1.0).contains(&self.floor_share);
        require(
            share_ok,
            "floor-share",
            format!("{} is not in the range 0 to 1", self.floor_share),
        );
        let after_ok = (1.0..=HEDGE_AFTER_MAX).contains(&self.hedge_after);
        require(
            after_ok,
            "hedge-after",
            format!("{} is not in the range 1 to 100", self.hedge_after),
        );
        require(
            self.max_wait <= DURATION_MAX,
            "max-wait",
            format!("is greater than {}s", DURATION_MAX.as_secs()),
        );
        require(
            self.ramp <= DURATION_MAX,
            "ramp",
            format!("is greater than {}s", DURATION_MAX.as_secs()),
        );
        let cost_ok =
            self.transfer_cost.is_none_or(|cost| (0.0..=TRANSFER_COST_MAX).contains(&cost));
        require(
            cost_ok,
            "transfer-cost",
            format!("is not in the range 0 to {TRANSFER_COST_MAX} (seconds per gigabyte)"),
        );
        let stall_ok = (DURATION_MIN..=DURATION_MAX).contains(&self.stall);
        require(stall_ok, "stall", "is not in the range 100ms to 600s".into());
        let body_ok = self.body_bytes.is_none_or(|bytes| bytes >= BODY_BYTES_MIN);
        require(body_ok, "body-bytes", format!("is less than {BODY_BYTES_MIN}"));
    }
}
