//! Typed events of one daemon's time line, kept in a bounded ring.

use std::collections;
use std::fmt;
use std::time;

use crate::ids;

value! {
    /// A change of state worth a line.
    #[serde(tag = "kind")]
    pub enum Kind {
        /// The daemon takes requests.
        Started,
        /// The daemon stops taking new requests.
        ShutdownStarted,
        /// The daemon has nothing in flight any more.
        Stopped,
        /// A policy version came into force.
        PolicyInForce {
            /// The version.
            version: ids::PolicyVersion,
        },
        /// The log stopped answering.
        LogLost,
        /// The log answers again.
        LogBack,
        /// A daemon joined or was started anew.
        DaemonJoined {
            /// The daemon.
            daemon: ids::DaemonName,
        },
        /// A daemon announced its shutdown.
        DaemonLeaving {
            /// The daemon.
            daemon: ids::DaemonName,
        },
        /// A daemon fell silent and was forgotten.
        DaemonGone {
            /// The daemon.
            daemon: ids::DaemonName,
        },
        /// An upstream takes work.
        UpstreamServing {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// An upstream takes no new work.
        UpstreamDraining {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// An upstream is no longer known.
        UpstreamGone {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// This entry avoids an upstream that it cannot use.
        UpstreamAvoided {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// A connection without progress was replaced.
        ConnectionReplaced {
            /// The upstream or gate.
            peer: String,
        },
        /// The VM was suspended and runs again.
        Resumed {
            /// Milliseconds that it was suspended.
            suspended_ms: u64,
        },
    }

    /// An event with its place on the time line.
    pub struct Event {
        /// Daemon that saw it.
        pub daemon: ids::DaemonName,
        /// Microseconds of wall-clock time since the epoch.
        pub at_us: u64,
        /// Position on the daemon's own time line.
        pub sequence: u64,
        #[serde(rename = "what")]
        /// What happened.
        pub kind: Kind,
    }
}

impl Kind {
    /// Returns the name under which log lines carry the event.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::event;
    /// assert_eq!(event::Kind::PolicyInForce { version: 3 }.as_str(), "policy-in-force");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Kind::Started => "started",
            Kind::ShutdownStarted => "stopping",
            Kind::Stopped => "stopped",
            Kind::PolicyInForce { .. } => "policy-in-force",
            Kind::LogLost => "store-lost",
            Kind::LogBack => "store-back",
            Kind::DaemonJoined { .. } => "daemon-joined",
            Kind::DaemonLeaving { .. } => "daemon-leaving",
            Kind::DaemonGone { .. } => "daemon-gone",
            Kind::UpstreamServing { .. } => "upstream-serving",
            Kind::UpstreamDraining { .. } => "upstream-draining",
            Kind::UpstreamGone { .. } => "upstream-gone",
            Kind::UpstreamAvoided { .. } => "upstream-avoided",
            Kind::ConnectionReplaced { .. } => "connection-replaced",
            Kind::Resumed { .. } => "resumed",
        }
    }

    /// Returns the level of the event's log line; `None` where a line with more fields is written
    /// at the place where it happens.
    pub fn level(&self) -> Option<log::Level> {
        match self {
            Kind::Started | Kind::ShutdownStarted | Kind::Stopped => None,
            Kind::LogLost | Kind::LogBack => None,
            Kind::UpstreamAvoided { .. } | Kind::Resumed { .. } => None,
            // They come in numbers when a fleet starts.
            Kind::DaemonJoined { .. } | Kind::UpstreamServing { .. } => Some(log::Level::Debug),
            _ => Some(log::Level::Info),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Started => f.write_str("started"),
            Kind::ShutdownStarted => f.write_str("shutdown started"),
            Kind::Stopped => f.write_str("stopped"),
            Kind::PolicyInForce { version } => write!(f, "policy version {version} in force"),
            Kind::LogLost => f.write_str("log does not answer"),
            Kind::LogBack => f.write_str("log answers"),
            Kind::DaemonJoined { daemon } => write!(f, "daemon {daemon} joined"),
            Kind::DaemonLeaving { daemon } => write!(f, "daemon {daemon} is leaving"),
            Kind::DaemonGone { daemon } => write!(f, "daemon {daemon} is gone"),
            Kind::UpstreamServing { upstream } => write!(f, "upstream {upstream} serves"),
            Kind::UpstreamDraining { upstream } => write!(f, "upstream {upstream} drains"),
            Kind::UpstreamGone { upstream } => write!(f, "upstream {upstream} is gone"),
            Kind::UpstreamAvoided { upstream } => write!(f, "upstream {upstream} is avoided"),
            Kind::ConnectionReplaced { peer } => write!(f, "silent connection to {peer} replaced"),
            Kind::Resumed { suspended_ms } => write!(f, "VM was suspended for {suspended_ms} ms"),
        }
    }
}

impl fmt::Display for ids::UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.address)
    }
}

/// Bounded time line of one daemon; the oldest events are dropped first and counted.
///
/// # Examples
///
/// ```
/// use lynxmast_state::event;
/// let mut ring = event::Ring::new("d1".into(), 1);
/// ring.push(event::Kind::Started, std::time::SystemTime::UNIX_EPOCH);
/// ring.push(event::Kind::Stopped, std::time::SystemTime::UNIX_EPOCH);
/// assert_eq!(ring.dropped(), 1);
/// assert_eq!(ring.events().next().map(|e| e.sequence), Some(1));
/// ```
#[derive(Debug)]
pub struct Ring {
    daemon: ids::DaemonName,
    capacity: usize,
    next: u64,
    events: collections::VecDeque<Event>,
}

impl Ring {
    /// Returns an empty ring of at most `capacity` events.
    pub fn new(daemon: ids::DaemonName, capacity: usize) -> Self {
        Self { daemon, capacity, next: 0, events: collections::VecDeque::new() }
    }

    /// Adds an event.
    pub fn push(&mut self, kind: Kind, wall: time::SystemTime) {
        let since_epoch = wall.duration_since(time::SystemTime::UNIX_EPOCH).unwrap_or_default();
        let at_us = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        let event = Event { daemon: self.daemon.clone(), at_us, sequence: self.next, kind };
        self.events.push_back(event);
        self.next += 1;
    }

    /// Iterates over the events kept, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns how many events were dropped.
    pub fn dropped(&self) -> u64 {
        self.next - self.events.len() as u64
    }
}
