//! Load of an upstream, as its sidecar reports it with every response.

use std::fmt;
use std::str;

value! {
    /// Slot usage and queue length of an upstream.
    #[derive(Copy, Eq, Default)]
    pub struct Load {
        /// Requests being run.
        pub in_use: u32,
        /// Requests waiting for a slot.
        pub queued: u32,
        /// Slots open at the moment; fewer than configured during a cold start.
        pub slots: u32,
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.in_use, self.queued, self.slots)
    }
}

impl str::FromStr for Load {
    type Err = std::num::ParseIntError;

    /// Parses `in-use/queued/slots`, the form that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '/');
        let mut next = || parts.next().unwrap_or_default().parse();
        Ok(Load { in_use: next()?, queued: next()?, slots: next()? })
    }
}
