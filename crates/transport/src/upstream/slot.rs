//! Slot of an upstream, held by one request.

use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::running;

use crate::body_gate;
use crate::upstream;
use crate::upstream::retry_account;

/// A slot held by one request; released when dropped.
#[derive(Debug)]
pub struct Slot<C: clock::Clock> {
    upstream: sync::Arc<upstream::Upstream<C>>,
    class: admission::ShareClass,
    /// When the slot was acquired.
    pub(super) acquired: time::Instant,
    /// Slots in use when this one was acquired, including it.
    pub(super) in_use: u32,
    forwarded: atomic::AtomicBool,
    kind: retry_account::RequestKind,
    /// Number among the running requests of the upstream.
    running: Option<running::Number>,
    /// Permit for the request body, which the backend server may hold until it has responded.
    body: Option<body_gate::BodyPermit>,
}

impl<C: clock::Clock> Slot<C> {
    /// Creates the slot of a request that has been admitted.
    pub(super) fn new(
        upstream: sync::Arc<upstream::Upstream<C>>,
        class: admission::ShareClass,
        acquired: time::Instant,
    ) -> Self {
        let in_use = upstream.load(acquired).in_use;
        Self {
            upstream,
            class,
            acquired,
            in_use,
            forwarded: Default::default(),
            kind: Default::default(),
            running: None,
            body: None,
        }
    }

    /// Returns the upstream that the slot belongs to.
    pub fn upstream(&self) -> &sync::Arc<upstream::Upstream<C>> {
        &self.upstream
    }

    /// Sets the kind of the request that holds the slot.
    pub fn with_kind(mut self, kind: retry_account::RequestKind) -> Self {
        self.kind = kind;
        self.upstream.retries.start(kind);
        self
    }

    /// Makes the request that holds the slot known as one that may make calls.
    pub fn with_running(mut self, request: running::Running) -> Self {
        self.running = Some(self.upstream.lock_running().start(request));
        self
    }

    /// Holds the permit for the request body until the slot is released.
    pub fn with_body(mut self, body: Option<body_gate::BodyPermit>) -> Self {
        self.body = body;
        self
    }

    /// Returns the current time of the sidecar's clock.
    pub fn now(&self) -> time::Instant {
        self.upstream.now()
    }

    /// Records that the request is about to be forwarded.
    pub fn mark_forwarded(&self) {
        self.forwarded.store(true, atomic::Ordering::Release);
    }

    /// Records that the backend server did not run the request, whose time is then no service time.
    pub fn mark_not_run(&self) {
        self.forwarded.store(false, atomic::Ordering::Release);
    }
}

impl<C: clock::Clock> Drop for Slot<C> {
    fn drop(&mut self) {
        self.upstream.retries.end(self.kind);
        if let Some(number) = self.running {
            self.upstream.lock_running().end(number);
        }
        let now = self.upstream.now();
        let elapsed = now.saturating_duration_since(self.acquired);
        let elapsed = self.forwarded.load(atomic::Ordering::Acquire).then_some(elapsed);
        self.upstream.lock_admission().release(self.class, elapsed, now);
        self.upstream.admit_waiting(now);
    }
}
