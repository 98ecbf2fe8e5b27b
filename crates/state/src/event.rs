//! Typed events of one daemon's timeline, kept in a bounded ring buffer.

use std::collections;
use std::fmt;
use std::time;

use crate::fingerprint;
use crate::ids;

value! {
    /// A state change that appears on the timeline.
    #[serde(tag = "kind")]
    pub enum Kind {
        /// The daemon accepts requests.
        Started,
        /// The daemon stopped accepting new requests.
        ShutdownStarted,
        /// The sidecar rejects new requests, as the daemon shuts down.
        SidecarClosed,
        /// The daemon has no requests in flight any more.
        Stopped,
        /// A policy version became active.
        PolicyInForce {
            /// The version.
            version: ids::PolicyVersion,
        },
        /// The source of the policy (log or store) became unreachable.
        LogLost,
        /// The source of the policy is reachable again.
        LogBack,
        /// The source of the policy was restored from an older copy.
        SourceRestored {
            /// Epoch before.
            from: ids::SourceEpoch,
            /// Epoch since.
            to: ids::SourceEpoch,
        },
        /// A daemon joined or restarted.
        DaemonJoined {
            /// The daemon.
            daemon: ids::DaemonName,
        },
        /// A daemon announced its shutdown.
        DaemonLeaving {
            /// The daemon.
            daemon: ids::DaemonName,
        },
        /// A daemon was removed from the membership because no heartbeats arrived.
        DaemonGone {
            /// The daemon.
            daemon: ids::DaemonName,
        },
        /// An upstream accepts requests.
        UpstreamServing {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// An upstream no longer accepts new requests.
        UpstreamDraining {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// An upstream was removed from the membership.
        UpstreamGone {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// Copies of a request are rejected from now on, as upstreams have crashed while they ran
        /// it.
        RequestQuarantined {
            /// Fingerprint of the request.
            fingerprint: fingerprint::Fingerprint,
        },
        /// Enough responses have shown that a suspected request did not cause the crashes known so
        /// far.
        RequestCleared {
            /// Fingerprint of the request.
            fingerprint: fingerprint::Fingerprint,
        },
        /// This ingress backs off from an upstream that it cannot use.
        UpstreamAvoided {
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// A connection that made no progress was replaced.
        ConnectionReplaced {
            /// The upstream or sidecar at the other end.
            peer: String,
        },
        /// The VM resumed after a suspension.
        Resumed {
            /// Length of the suspension in milliseconds.
            suspended_ms: u64,
        },
    }

    /// An event with its position on the timeline.
    pub struct Event {
        /// Daemon that recorded the event.
        pub daemon: ids::DaemonName,
        /// Wall-clock time in microseconds since the Unix epoch.
        pub at_us: u64,
        /// Position on this daemon's timeline, counted from 0.
        pub sequence: u64,
        /// State change that the event records.
        #[serde(rename = "what")]
        pub kind: Kind,
    }
}

impl Kind {
    /// Returns the event's name in log lines. For `ShutdownStarted`, `LogLost` and `LogBack` it
    /// differs from the serialised name.
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
            Kind::SidecarClosed => "sidecar-closed",
            Kind::Stopped => "stopped",
            Kind::PolicyInForce { .. } => "policy-in-force",
            Kind::LogLost => "store-lost",
            Kind::LogBack => "store-back",
            Kind::SourceRestored { .. } => "source-restored",
            Kind::DaemonJoined { .. } => "daemon-joined",
            Kind::DaemonLeaving { .. } => "daemon-leaving",
            Kind::DaemonGone { .. } => "daemon-gone",
            Kind::UpstreamServing { .. } => "upstream-serving",
            Kind::UpstreamDraining { .. } => "upstream-draining",
            Kind::UpstreamGone { .. } => "upstream-gone",
            Kind::RequestQuarantined { .. } => "request-quarantined",
            Kind::RequestCleared { .. } => "request-cleared",
            Kind::UpstreamAvoided { .. } => "upstream-avoided",
            Kind::ConnectionReplaced { .. } => "connection-replaced",
            Kind::Resumed { .. } => "resumed",
        }
    }

    /// Returns the level of the event's log line, or `None` if the code that records the event logs
    /// a line with more fields itself.
    pub fn level(&self) -> Option<log::Level> {
        match self {
            Kind::Started | Kind::ShutdownStarted | Kind::Stopped => None,
            Kind::LogLost | Kind::LogBack => None,
            Kind::UpstreamAvoided { .. } | Kind::Resumed { .. } => None,
            // Frequent while a fleet starts.
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
            Kind::SidecarClosed => f.write_str("sidecar closed"),
            Kind::Stopped => f.write_str("stopped"),
            Kind::PolicyInForce { version } => write!(f, "policy version {version} is active"),
            Kind::LogLost => f.write_str("policy source is unreachable"),
            Kind::LogBack => f.write_str("policy source is reachable again"),
            Kind::SourceRestored { from, to } => {
                write!(f, "policy source was restored from an older copy, epoch {from} to {to}")
            }
            Kind::DaemonJoined { daemon } => write!(f, "daemon {daemon} joined"),
            Kind::DaemonLeaving { daemon } => write!(f, "daemon {daemon} is shutting down"),
            Kind::DaemonGone { daemon } => write!(f, "daemon {daemon} was removed"),
            Kind::UpstreamServing { upstream } => write!(f, "upstream {upstream} accepts requests"),
            Kind::UpstreamDraining { upstream } => write!(f, "upstream {upstream} is draining"),
            Kind::UpstreamGone { upstream } => write!(f, "upstream {upstream} was removed"),
            Kind::RequestQuarantined { fingerprint } => {
                write!(f, "request {fingerprint} crashes upstreams and is rejected")
            }
            Kind::RequestCleared { fingerprint } => {
                write!(f, "request {fingerprint} is cleared of crashes by its responses")
            }
            Kind::UpstreamAvoided { upstream } => write!(f, "upstream {upstream} is avoided"),
            Kind::ConnectionReplaced { peer } => {
                write!(f, "unresponsive connection to {peer} replaced")
            }
            Kind::Resumed { suspended_ms } => write!(f, "VM was suspended for {suspended_ms} ms"),
        }
    }
}

impl fmt::Display for ids::UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.address)
    }
}

/// Bounded timeline of one daemon. When it is full, each new event replaces the oldest one, which
/// is counted as dropped.
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
    /// Returns an empty ring that holds at most `capacity` events.
    pub fn new(daemon: ids::DaemonName, capacity: usize) -> Self {
        Self { daemon, capacity, next: 0, events: collections::VecDeque::new() }
    }

    /// Adds an event that occurred at the wall-clock time `wall`.
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

    /// Returns the events kept, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns the number of events dropped so far.
    pub fn dropped(&self) -> u64 {
        self.next - self.events.len() as u64
    }
}
