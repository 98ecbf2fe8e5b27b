//! Policy of one service.

use std::time;

use crate::checked;
use crate::ids;

value! {
    /// Which of the two measures a service weighs more.
    #[derive(Copy, Eq, Default)]
    pub enum Preset {
        /// Short detection time; more false ejections.
        Fast,
        /// Few false ejections; longer detection time.
        #[default]
        Steady,
    }

    /// Policy of one service, as its team writes it.
    #[serde(default, deny_unknown_fields)]
    pub struct Service {
        /// Name, unique in the document.
        pub name: ids::ServiceName,
        /// Healthy slots that ejections must leave in service.
        pub floor: u32,
        /// Share of the slots of live upstreams that ejections must leave in service.
        pub floor_share: f64,
        /// Requests that one upstream runs at a time.
        pub slots: u32,
        /// Connections that one upstream accepts.
        pub connections: u32,
        /// Requests that may wait for one upstream.
        pub queue: u32,
        /// Longest time that a request may wait for a slot.
        #[serde(with = "humantime_serde")]
        pub max_wait: time::Duration,
        /// Time over which a cold upstream is opened to its full slots.
        #[serde(with = "humantime_serde")]
        pub ramp: time::Duration,
        /// Retries and hedges allowed for each first attempt, 0 to 1.
        pub retry_ratio: f64,
        /// Retries that the whole fleet may make beyond the ratio within `retry_window`; `None` leaves
        /// each daemon its own small reserve.
        pub retry_reserve: Option<u32>,
        /// Time for which that bound holds.
        #[serde(with = "humantime_serde")]
        pub retry_window: time::Duration,
        /// Whether a slow idempotent request is tried a second time in parallel.
        pub hedge: bool,
        /// Multiple of the usual time after which that is done.
        pub hedge_after: f64,
        /// Threshold of the gray failure detector.
        pub preset: Preset,
        /// Longest time without progress on a body before the exchange is given up.
        #[serde(with = "humantime_serde")]
        pub stall: time::Duration,
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
            stall: time::Duration::from_secs(10),
        }
    }
}

const SLOTS_MAX: u32 = 4096;
const CONNECTIONS_MAX: u32 = 65_536;
const QUEUE_MAX: u32 = 4096;
const WAIT_MAX: time::Duration = time::Duration::from_secs(600);
const HEDGE_AFTER_MAX: f64 = 100.0;
const STALL_MIN: time::Duration = time::Duration::from_millis(100);

impl Service {
    /// Reports every value out of range.
    pub fn check(&self, place: &checked::Place, reader: &mut checked::Reader<'_>) {
        let mut rule = |holds: bool, key: &str, reason: String| {
            if !holds {
                reader.report(place, key, reason);
            }
        };
        rule(!self.name.is_empty(), "name", "a service needs a name".into());
        let slots_ok = (1..=SLOTS_MAX).contains(&self.slots);
        rule(slots_ok, "slots", format!("{} is not in 1 to {SLOTS_MAX}", self.slots));
        let connections_ok = (self.slots..=CONNECTIONS_MAX).contains(&self.connections);
        let bounds = format!("{} (slots) to {CONNECTIONS_MAX}", self.slots);
        rule(connections_ok, "connections", format!("{} is not in {bounds}", self.connections));
        rule(self.queue <= QUEUE_MAX, "queue", format!("{} is over {QUEUE_MAX}", self.queue));
        let ratio_ok = (0.0..=1.0).contains(&self.retry_ratio);
        rule(ratio_ok, "retry-ratio", format!("{} is not in 0 to 1", self.retry_ratio));
        let window_ok = (STALL_MIN..=WAIT_MAX).contains(&self.retry_window);
        rule(window_ok, "retry-window", "is not in 100ms to 600s".into());
        let share_ok = (0.0..=1.0).contains(&self.floor_share);
        rule(share_ok, "floor-share", format!("{} is not in 0 to 1", self.floor_share));
        let after_ok = (1.0..=HEDGE_AFTER_MAX).contains(&self.hedge_after);
        rule(after_ok, "hedge-after", format!("{} is not in 1 to 100", self.hedge_after));
        rule(self.max_wait <= WAIT_MAX, "max-wait", format!("is over {}s", WAIT_MAX.as_secs()));
        rule(self.ramp <= WAIT_MAX, "ramp", format!("is over {}s", WAIT_MAX.as_secs()));
        let stall_ok = (STALL_MIN..=WAIT_MAX).contains(&self.stall);
        rule(stall_ok, "stall", "is not in 100ms to 600s".into());
    }
}
