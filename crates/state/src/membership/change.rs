//! Changes in the state of a peer, for the timeline.

use std::collections;

use crate::ids;
use crate::member;

/// Change in the state of a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A daemon joined, or rejoined after a restart.
    DaemonJoined(ids::DaemonName),
    /// A daemon announced its shutdown.
    DaemonLeaving(ids::DaemonName),
    /// No heartbeat of a daemon arrived for [`super::REMOVAL_TIMEOUT`].
    DaemonGone(ids::DaemonName),
    /// An upstream accepts requests.
    UpstreamServing(ids::UpstreamId),
    /// An upstream no longer accepts new requests.
    UpstreamDraining(ids::UpstreamId),
    /// An upstream was removed from its daemon's record.
    UpstreamGone(ids::UpstreamId),
}

/// Adds the changes from the `old` record of a daemon, if there is one, to the `new` one.
pub(super) fn collect(
    old: Option<&member::Record>,
    new: &member::Record,
    changes: &mut Vec<Change>,
) {
    if old.is_none_or(|old| old.incarnation != new.incarnation) {
        changes.push(Change::DaemonJoined(new.daemon.clone()));
    }
    if new.leaving && old.is_none_or(|old| !old.leaving) {
        changes.push(Change::DaemonLeaving(new.daemon.clone()));
    }
    let old_upstreams = old.map_or(&[][..], |old| &old.upstreams);
    let was_draining: collections::HashMap<&ids::UpstreamId, bool> =
        old_upstreams.iter().map(|upstream| (&upstream.id, upstream.draining)).collect();
    for upstream in &new.upstreams {
        match (was_draining.get(&upstream.id), upstream.draining) {
            (Some(before), after) if *before == after => {}
            (_, true) => changes.push(Change::UpstreamDraining(upstream.id.clone())),
            (_, false) => changes.push(Change::UpstreamServing(upstream.id.clone())),
        }
    }
    let kept: collections::HashSet<&ids::UpstreamId> =
        new.upstreams.iter().map(|upstream| &upstream.id).collect();
    let removed = old_upstreams.iter().filter(|upstream| !kept.contains(&upstream.id));
    changes.extend(removed.map(|upstream| Change::UpstreamGone(upstream.id.clone())));
}
