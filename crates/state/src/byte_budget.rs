//! Bytes that a daemon holds in memory for callers, other daemons and backend servers.
//!
//! All kinds share one limit. Each may fill it up to its own mark, so that under pressure the daemon
//! first stops reading what can wait, then rejects new large requests, and last stops keeping bodies
//! of requests.

use std::sync;

/// Purpose of held bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Part of a request body that is kept so that the request can be sent again.
    Replay,
    /// Part of a response that is kept until the response is complete.
    Response,
    /// Part of a response that was read ahead of its caller.
    ReadAhead,
}

/// Bytes held of each kind, and the limit for all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ByteBudget {
    limit: usize,
    held: [usize; Kind::ALL.len()],
}

/// The budget of a daemon. Clones share it.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    budget: sync::Arc<sync::Mutex<ByteBudget>>,
}

/// Bytes counted in the budget until this guard is dropped.
#[derive(Debug)]
pub struct Held {
    owner: HeldBytes,
    kind: Kind,
    bytes: usize,
}

/// Limit in bytes if the machine's memory is not known.
pub const LIMIT_DEFAULT: usize = 16 * 1024 * 1024;
/// Smallest default limit in bytes.
pub const LIMIT_MIN: usize = 4 * 1024 * 1024;
/// Part of the machine's memory that the default limit is: one in this many bytes.
const MEMORY_PART: usize = 16;
/// Size in bytes above which a request body is large: more than HTTP/2 flow control withholds.
pub const LARGE_BODY: u64 = 64 * 1024;
/// Denominator of the marks.
const MARK_UNIT: usize = 8;
/// Mark up to which large requests are accepted.
const REQUEST_MARK: usize = 7;
/// Part of the limit that a single response may take, so that several can be held at a time.
const RESPONSE_PART: usize = 8;

/// Returns the default limit in bytes for a machine with `memory_mb` MB.
///
/// # Examples
///
/// ```
/// use lynxmast_state::byte_budget;
/// assert_eq!(byte_budget::default_limit(Some(160)), 10 * 1024 * 1024);
/// assert_eq!(byte_budget::default_limit(Some(32)), 4 * 1024 * 1024);
/// assert_eq!(byte_budget::default_limit(None), 16 * 1024 * 1024);
/// ```
pub fn default_limit(memory_mb: Option<usize>) -> usize {
    let part = |mb: usize| mb.saturating_mul(1024 * 1024) / MEMORY_PART;
    memory_mb.map_or(LIMIT_DEFAULT, |mb| part(mb).max(LIMIT_MIN))
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Replay, Kind::Response, Kind::ReadAhead];

    /// Returns the name in metrics and the status.
    pub fn as_str(&self) -> &'static str {
        match self {
            Kind::Replay => "replay",
            Kind::Response => "response",
            Kind::ReadAhead => "read-ahead",
        }
    }

    /// Returns the part of the limit, in eighths, up to which this kind may fill the budget.
    fn mark(&self) -> usize {
        match self {
            Kind::Replay => MARK_UNIT,
            Kind::Response => 6,
            Kind::ReadAhead => 4,
        }
    }
}

impl ByteBudget {
    /// Creates an empty budget with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: Default::default() }
    }

    /// Changes the limit. What is held stays, even if it is more.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes held of one kind.
    pub fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize]
    }

    /// Returns the bytes held of all kinds.
    pub fn total(&self) -> usize {
        self.held.iter().sum()
    }

    /// Counts `bytes` if the budget has room for them below the mark of `kind`, and returns whether
    /// it has.
    pub fn try_hold(&mut self, kind: Kind, bytes: usize) -> bool {
        self.try_grow(kind, 0, bytes)
    }

    /// Counts `bytes` for a response or request that holds `own` bytes already, if there is room.
    fn try_grow(&mut self, kind: Kind, own: usize, bytes: usize) -> bool {
        let is_too_large =
            kind != Kind::Replay && own.saturating_add(bytes) > self.limit / RESPONSE_PART;
        let has_room = !is_too_large && self.fits(bytes, kind.mark());
        if has_room {
            self.hold(kind, bytes);
        }
        has_room
    }

    /// Counts `bytes` that are in memory in any case, also beyond the limit.
    pub fn hold(&mut self, kind: Kind, bytes: usize) {
        let held = &mut self.held[kind as usize];
        *held = held.saturating_add(bytes);
    }

    /// Returns `bytes` that were counted before.
    pub fn release(&mut self, kind: Kind, bytes: usize) {
        let held = &mut self.held[kind as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Returns whether a request with a body of `body_size` bytes may be accepted. Small ones always
    /// may.
    pub fn admits_request(&self, body_size: u64) -> bool {
        body_size <= LARGE_BODY || self.fits(0, REQUEST_MARK)
    }

    fn fits(&self, bytes: usize, mark: usize) -> bool {
        let room = self.limit / MARK_UNIT * mark;
        self.total().checked_add(bytes).is_some_and(|total| total <= room)
    }
}

impl HeldBytes {
    /// Creates an empty budget with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self { budget: sync::Arc::new(sync::Mutex::new(ByteBudget::new(limit))) }
    }

    /// Runs `f` on the budget.
    pub fn with<R>(&self, f: impl FnOnce(&mut ByteBudget) -> R) -> R {
        f(&mut self.budget.lock().unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Counts `bytes` until the returned guard is dropped; `None` if the budget has no room.
    pub fn try_hold(&self, kind: Kind, bytes: usize) -> Option<Held> {
        let has_room = self.with(|budget| budget.try_hold(kind, bytes));
        has_room.then(|| Held { owner: self.clone(), kind, bytes })
    }

    /// Returns a guard that holds nothing yet.
    pub fn empty(&self, kind: Kind) -> Held {
        Held { owner: self.clone(), kind, bytes: 0 }
    }
}

impl Held {
    /// Counts `bytes` more if the budget has room for them, and returns whether it has.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let has_room = self.owner.with(|budget| budget.try_grow(self.kind, self.bytes, bytes));
        self.bytes += if has_room { bytes } else { 0 };
        has_room
    }

    /// Counts `bytes` more that are in memory in any case.
    pub fn grow(&mut self, bytes: usize) {
        self.owner.with(|budget| budget.hold(self.kind, bytes));
        self.bytes += bytes;
    }

    /// Returns `bytes` to the budget, at most what the guard holds.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.owner.with(|budget| budget.release(self.kind, bytes));
        self.bytes -= bytes;
    }

    /// Returns everything to the budget.
    pub fn clear(&mut self) {
        self.shrink(self.bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.clear();
    }
}

#[cfg(test)]
mod tests;
