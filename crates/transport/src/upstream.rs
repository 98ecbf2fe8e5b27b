//! One upstream at its gate: admission, connections and lease.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::load;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use tokio::sync::oneshot;

use crate::pool;

/// Wakes a waiting request with its slot or its refusal.
type Waker<C> = oneshot::Sender<Result<Slot<C>, outcome::Refusal>>;

/// An upstream beside this daemon.
#[derive(Debug)]
pub struct Upstream<C: clock::Clock> {
    /// Service and address.
    pub id: ids::UpstreamId,
    /// Connections to it.
    pub pool: sync::Arc<pool::Pool<C>>,
    clock: C,
    admission: sync::Mutex<admission::Admission<Option<Waker<C>>>>,
    lease: sync::Mutex<Lease>,
    /// Whether another instance has answered at the address since the last announcement.
    lapsed: atomic::AtomicBool,
    doubt: sync::Mutex<outlier::Detector>,
    /// Requests being run that had been tried before.
    repeats: atomic::AtomicU32,
    /// Requests being run that may be repeated, those that have been included.
    repeatable: atomic::AtomicU32,
    /// Requests being run that have not taken too long yet, by number, oldest first.
    trials: sync::Mutex<Trials>,
}

#[derive(Debug, Default)]
struct Trials {
    next: u64,
    open: collections::VecDeque<(u64, time::Instant)>,
}

/// Multiple of the usual time from which a request without an answer counts as failed.
const OVERDUE_FACTOR: u32 = 3;
/// Shortest time after which a request without an answer counts as failed.
const OVERDUE_MIN: time::Duration = time::Duration::from_millis(500);

/// What the backend server last announced.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Start of the backend server.
    pub incarnation: ids::Incarnation,
    /// Name of this start, if it has one.
    pub instance: Option<ids::InstanceName>,
    /// Number of the last announcement of this start.
    pub sequence: u64,
    /// Slots it announced, if it did.
    pub slots: Option<u32>,
    /// Time of the last announcement.
    pub renewed: time::Instant,
}

/// A slot taken for one request; given back when dropped.
#[derive(Debug)]
pub struct Slot<C: clock::Clock> {
    upstream: sync::Arc<Upstream<C>>,
    class: admission::Class,
    taken: time::Instant,
    handed_over: atomic::AtomicBool,
    kind: Kind,
}

/// Whether a request may be, or has been, handed to a backend server more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Kind {
    /// It must not be.
    #[default]
    Once,
    /// It may be, and this is the first time.
    Repeatable,
    /// It has been.
    Repeat,
}

impl<C: clock::Clock> Upstream<C> {
    /// Returns an upstream without load.
    pub fn new(id: ids::UpstreamId, limits: admission::Limits, lease: Lease, clock: C) -> Self {
        let pool = sync::Arc::new(pool::Pool::new(id.address, clock.clone()));
        let admission = admission::Admission::new(limits, lease.renewed);
        let admission = sync::Mutex::new(admission);
        let doubt = sync::Mutex::new(outlier::Detector::new(lease.renewed));
        Self {
            id,
            pool,
            clock,
            admission,
            lease: sync::Mutex::new(lease),
            lapsed: Default::default(),
            doubt,
            repeats: Default::default(),
            repeatable: Default::default(),
            trials: Default::default(),
        }
    }

    /// Returns the number of requests being run that had been tried before.
    pub fn repeats(&self) -> u32 {
        self.repeats.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of requests being run that may be repeated.
    pub fn repeatable(&self) -> u32 {
        self.repeatable.load(atomic::Ordering::Acquire)
    }

    /// Returns slots in use, waiting requests and open slots.
    pub fn load(&self, now: time::Instant) -> load::Load {
        lock(&self.admission).load(now)
    }

    /// Returns the mean time that recent requests took.
    pub fn service_time(&self) -> Option<time::Duration> {
        lock(&self.admission).service_time()
    }

    /// Tells whether new work is refused.
    pub fn is_draining(&self) -> bool {
        lock(&self.admission).is_draining()
    }

    /// Returns what was last announced.
    pub fn lease(&self) -> Lease {
        lock(&self.lease).clone()
    }

    /// Renews the lease; a newer start begins a new ramp.
    pub fn renew(&self, lease: Lease) {
        let (incarnation, renewed) = (lease.incarnation, lease.renewed);
        self.lapsed.store(false, atomic::Ordering::Release);
        let old = std::mem::replace(&mut *lock(&self.lease), lease);
        if incarnation > old.incarnation {
            lock(&self.admission).restart_ramp(renewed);
            *lock(&self.doubt) = outlier::Detector::new(renewed);
            self.pool.clear();
        }
    }

    /// Ends the lease of `instance`, if it is still that one's: another instance has answered at its
    /// address. An announcement renews it.
    pub fn lapse(&self, instance: Option<&ids::InstanceName>) {
        if lock(&self.lease).instance.as_ref() == instance {
            self.lapsed.store(true, atomic::Ordering::Release);
        }
    }

    /// Tells whether the lease has ended: `patience` has passed without an announcement, or another
    /// instance has the address.
    pub fn has_lapsed(&self, patience: time::Duration, now: time::Instant) -> bool {
        self.lapsed.load(atomic::Ordering::Acquire)
            || now.saturating_duration_since(lock(&self.lease).renewed) >= patience
    }

    /// Reads the clock of the gate.
    pub fn now(&self) -> time::Instant {
        self.clock.now()
    }

    /// Takes the result of a request as evidence on whether the upstream is failing.
    pub fn record_result(&self, worked: bool) {
        let now = self.clock.now();
        let mut doubt = lock(&self.doubt);
        let before = doubt.is_suspected(now);
        doubt.record(worked, now);
        let after = doubt.is_suspected(now);
        if before != after {
            let likelihood = doubt.failure_probability(now);
            log::info!(event = "doubt", upstream:% = self.id, is_doubted = after, likelihood; "");
        }
    }

    /// Notes that a request has been handed over; the number names it.
    pub fn start_trial(&self) -> u64 {
        let mut trials = lock(&self.trials);
        let number = trials.next;
        trials.next += 1;
        trials.open.push_back((number, self.clock.now()));
        number
    }

    /// Notes that a request has ended; `false` if it had taken too long already, or had ended.
    pub fn end_trial(&self, number: u64) -> bool {
        let mut trials = lock(&self.trials);
        let place = trials.open.iter().position(|(open, _)| *open == number);
        place.and_then(|place| trials.open.remove(place)).is_some()
    }

    /// Counts requests that have been running for far longer than usual as failed, so that an
    /// upstream that hangs is known before its callers give up.
    pub fn note_overdue(&self, now: time::Instant) {
        let usual = self.service_time().unwrap_or_default();
        let patience = (usual * OVERDUE_FACTOR).max(OVERDUE_MIN);
        loop {
            let mut trials = lock(&self.trials);
            let oldest = trials.open.front().map(|(_, started)| *started);
            if oldest.is_none_or(|at| now.saturating_duration_since(at) < patience) {
                return;
            }
            trials.open.pop_front();
            drop(trials);
            self.record_result(false);
        }
    }

    /// Tells whether the belief about the upstream lets a request run there.
    pub fn allows(&self, risk: outlier::RiskTolerance, now: time::Instant) -> bool {
        lock(&self.doubt).admit(risk, now)
    }

    /// Returns the likelihood that the upstream is failing, in percent.
    pub fn doubt_percent(&self, now: time::Instant) -> u8 {
        (lock(&self.doubt).failure_probability(now) * 100.0).round() as u8
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> admission::Limits {
        lock(&self.admission).limits()
    }

    /// Puts new limits into force.
    pub fn set_limits(&self, limits: admission::Limits) {
        lock(&self.admission).set_limits(limits);
    }

    /// Stops new work and refuses all that waits.
    pub fn drain(&self) {
        let waiting = lock(&self.admission).drain();
        for waker in waiting.into_iter().flatten() {
            let _ = waker.send(Err(outcome::Refusal::Draining));
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Refuses when the queue, the wait or the deadline do not allow it.
    pub async fn admit(
        self: &sync::Arc<Self>,
        arrival: &admission::Arrival,
        now: time::Instant,
    ) -> Result<Slot<C>, outcome::Refusal> {
        let (waker, woken) = oneshot::channel();
        let offer = lock(&self.admission).admit(arrival, Some(waker), now);
        match offer {
            admission::Decision::Admit(_, class) => Ok(self.slot(class, now)),
            admission::Decision::Refuse(_, refusal) => Err(refusal),
            admission::Decision::Queue { ticket, until, evicted: displaced } => {
                if let Some(waker) = displaced.flatten() {
                    let _ = waker.send(Err(outcome::Refusal::QueueFull));
                }
                self.start_ready(now);
                self.await_turn(ticket, woken, until, arrival.deadline).await
            }
        }
    }

    async fn await_turn(
        self: &sync::Arc<Self>,
        ticket: admission::Ticket,
        woken: oneshot::Receiver<Result<Slot<C>, outcome::Refusal>>,
        until: time::Instant,
        deadline: time::Instant,
    ) -> Result<Slot<C>, outcome::Refusal> {
        let _place = QueuePlace { upstream: self, ticket };
        match tokio::time::timeout_at(until.into(), woken).await {
            Ok(Ok(granted)) => granted,
            Ok(Err(_)) => Err(outcome::Refusal::Draining),
            Err(_) if until < deadline => Err(outcome::Refusal::WaitTooLong),
            Err(_) => Err(outcome::Refusal::DeadlineBeforeRun),
        }
    }

    /// Starts waiting requests for which there are slots, and refuses those that are too late.
    pub fn start_ready(self: &sync::Arc<Self>, now: time::Instant) {
        let steps = lock(&self.admission).dequeue(now);
        for step in steps {
            match step {
                admission::Dequeued::Admit(waker, class) => {
                    let slot = self.slot(class, now);
                    // A slot that nobody waits for any more comes back and is freed here.
                    let _ = waker.map(|w| w.send(Ok(slot)));
                }
                admission::Dequeued::Refuse(waker, refusal) => {
                    let _ = waker.map(|w| w.send(Err(refusal)));
                }
            }
        }
    }

    fn slot(self: &sync::Arc<Self>, class: admission::Class, taken: time::Instant) -> Slot<C> {
        Slot {
            upstream: self.clone(),
            class,
            taken,
            handed_over: Default::default(),
            kind: Kind::Once,
        }
    }
}

impl<C: clock::Clock> Slot<C> {
    /// Returns the upstream that the slot is of.
    pub fn upstream(&self) -> &sync::Arc<Upstream<C>> {
        &self.upstream
    }

    /// Says what kind of request the slot is taken for.
    pub fn of_kind(mut self, kind: Kind) -> Self {
        self.kind = kind;
        for counter in self.counters() {
            counter.fetch_add(1, atomic::Ordering::AcqRel);
        }
        self
    }

    /// Counters that the request is counted in.
    fn counters(&self) -> impl Iterator<Item = &atomic::AtomicU32> {
        let repeatable = (self.kind != Kind::Once).then_some(&self.upstream.repeatable);
        let repeats = (self.kind == Kind::Repeat).then_some(&self.upstream.repeats);
        repeatable.into_iter().chain(repeats)
    }

    /// Reads the clock of the gate.
    pub fn now(&self) -> time::Instant {
        self.upstream.clock.now()
    }

    /// Records that the request is about to be handed over.
    pub fn hand_over(&self) {
        self.handed_over.store(true, atomic::Ordering::Release);
    }
}

impl<C: clock::Clock> Drop for Slot<C> {
    fn drop(&mut self) {
        for counter in self.counters() {
            counter.fetch_sub(1, atomic::Ordering::AcqRel);
        }
        let now = self.upstream.clock.now();
        let took = now.saturating_duration_since(self.taken);
        let took = self.handed_over.load(atomic::Ordering::Acquire).then_some(took);
        lock(&self.upstream.admission).release(self.class, took, now);
        self.upstream.start_ready(now);
    }
}

/// Leaves the queue when its holder stops waiting.
struct QueuePlace<'a, C: clock::Clock> {
    upstream: &'a Upstream<C>,
    ticket: admission::Ticket,
}

impl<C: clock::Clock> Drop for QueuePlace<'_, C> {
    fn drop(&mut self) {
        lock(&self.upstream.admission).cancel(self.ticket);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
