//! Tree in which daemons pass on confirmations of their policy, from those that read its source.
//!
//! Each failure domain has a tree of its own, in the order of the daemons' names, so that most messages
//! stay in the domain. The first daemons of the domains form another tree above these. Each daemon finds
//! its place by itself; views that differ cost messages, but no confirmation gets newer on its way.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::net;
use std::time;

use crate::ids;
use crate::member;
use crate::membership;

/// Place of a daemon in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Daemon to ask; `None` at the root.
    pub parent: Option<Parent>,
    /// Whether the daemon waits for news at the source.
    pub is_reader: bool,
    /// Time that the daemon leaves to those above it before it reads an overdue confirmation itself.
    pub delay: time::Duration,
}

/// Daemon that is asked for confirmations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// Name of the daemon.
    pub daemon: ids::DaemonName,
    /// Address for control messages.
    pub control: net::SocketAddr,
}

/// Daemons that ask the same one, which bounds its load in a fleet of any size.
pub(crate) const CHILDREN_MAX: usize = 8;
/// Daemons per failure domain that wait for news at the source. The number is limited because calls to
/// the source are charged.
pub(crate) const READERS: usize = 3;
/// Delay of a daemon for each level of the tree above it, as one read confirms the policy of all daemons
/// below the one that makes it.
const LEVEL_DELAY: time::Duration = time::Duration::from_millis(80);
/// Number of levels with different delays.
const LEVELS_MAX: u32 = 4;
/// Time over which the reads of one level are spread; the rest of [`LEVEL_DELAY`] is left for the reads.
const SPREAD: time::Duration = time::Duration::from_millis(40);
/// Longest delay of a daemon.
pub(crate) const DELAY_MAX: time::Duration =
    LEVEL_DELAY.saturating_mul(LEVELS_MAX).saturating_add(SPREAD);

impl Relay {
    /// Returns the place of the daemon with the record `own` among `members`, without those in
    /// `suspects`. A daemon that cannot read the source, as `is_failing` tells, asks others in turn, as
    /// those before it may rely on it.
    pub fn new<'a>(
        own: &member::Record,
        members: impl Iterator<Item = &'a member::Record>,
        suspects: &[ids::DaemonName],
        is_failing: bool,
    ) -> Self {
        let is_own = |record: &&member::Record| record.daemon == own.daemon;
        let is_usable = |record: &&member::Record| {
            is_own(record) || !(record.leaving || suspects.contains(&record.daemon))
        };
        let mut members: Vec<&member::Record> = members.filter(is_usable).collect();
        members.sort_by_key(|record| (&record.domain, &record.daemon));
        let domains: Vec<&[&member::Record]> =
            members.chunk_by(|a, b| a.domain == b.domain).collect();
        let find = |members: &&[&member::Record]| members.iter().position(is_own);
        let found = domains.iter().enumerate().find_map(|(i, domain)| Some((i, find(domain)?)));
        let (domain, position) = found.unwrap_or_default();
        let parent = match (domain, position) {
            _ if is_failing => other_member(&members, own, suspects.len()),
            (0, 0) => None,
            (_, 0) => domains[(domain - 1) / CHILDREN_MAX].first().copied(),
            _ => domains[domain].get((position - 1) / CHILDREN_MAX).copied(),
        };
        let level = depth(domain) + depth(position);
        let spread = SPREAD.mul_f64(spread(&own.daemon));
        Self {
            parent: parent
                .map(|record| Parent { daemon: record.daemon.clone(), control: record.control }),
            is_reader: position < READERS,
            delay: LEVEL_DELAY * level.min(LEVELS_MAX) + spread,
        }
    }
}

impl membership::Membership {
    /// Returns this daemon's place in the tree, see [`Relay::new`].
    pub fn relay(
        &self,
        suspects: &[ids::DaemonName],
        is_failing: bool,
        now: time::Instant,
    ) -> Relay {
        Relay::new(&self.own_record, self.live_records(now), suspects, is_failing)
    }
}

/// Returns another member than `own`: the one after it in order, or one half of the list away at each
/// second attempt, which is mostly in another failure domain.
fn other_member<'a>(
    members: &[&'a member::Record],
    own: &member::Record,
    attempt: usize,
) -> Option<&'a member::Record> {
    let others = members.len().checked_sub(1).filter(|others| *others > 0)?;
    let position = members.iter().position(|record| record.daemon == own.daemon)?;
    let distance = 1 + attempt % 2 * others / 2;
    Some(members[(position + distance) % members.len()])
}

/// Returns a number between 0 and 1 that differs between daemons.
fn spread(daemon: &str) -> f64 {
    let mut hasher = hash::DefaultHasher::new();
    daemon.hash(&mut hasher);
    (hasher.finish() % 1000) as f64 / 1000.0
}

/// Returns the depth of a position in a tree that is numbered level by level.
fn depth(mut position: usize) -> u32 {
    let mut depth = 0;
    while position > 0 {
        position = (position - 1) / CHILDREN_MAX;
        depth += 1;
    }
    depth
}
