//! Requests that wait for a slot of an upstream.

use std::sync;
use std::time;

use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use tokio::sync::oneshot;

use crate::upstream;
use crate::upstream::slot;

/// Sends a waiting request its slot or the reason for its rejection.
pub(super) type SlotSender<C> = oneshot::Sender<Result<slot::Slot<C>, outcome::Rejection>>;

impl<C: clock::Clock> upstream::Upstream<C> {
    /// Rejects new requests from now on, and all that are waiting in the queue.
    pub fn drain(&self) {
        let waiting = self.lock_admission().drain();
        reject(waiting, outcome::Rejection::Draining);
    }

    /// Rejects queued requests that do not tolerate a suspected upstream.
    pub(super) fn reject_intolerant(&self) {
        let intolerant = self.lock_admission().take_intolerant();
        reject(intolerant, outcome::Rejection::Suspected);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the queue is full, the wait is too long, the deadline passes, or the
    /// upstream is draining.
    pub async fn admit(
        self: &sync::Arc<Self>,
        arrival: &admission::Arrival,
        is_redirected: bool,
        now: time::Instant,
    ) -> Result<slot::Slot<C>, outcome::Rejection> {
        let (sender, receiver) = oneshot::channel();
        let decision = match is_redirected {
            true => self.lock_admission().admit_redirected(arrival, Some(sender), now),
            false => self.lock_admission().admit(arrival, Some(sender), now),
        };
        match decision {
            admission::Decision::Admit(_, class) => Ok(slot::Slot::new(self.clone(), class, now)),
            admission::Decision::Reject(_, rejection) => Err(rejection),
            admission::Decision::Queue { ticket, until, evicted } => {
                reject(evicted, outcome::Rejection::QueueFull);
                self.admit_waiting(now);
                self.await_slot(ticket, receiver, until, arrival.deadline).await
            }
        }
    }

    async fn await_slot(
        self: &sync::Arc<Self>,
        ticket: admission::Ticket,
        receiver: oneshot::Receiver<Result<slot::Slot<C>, outcome::Rejection>>,
        until: time::Instant,
        deadline: time::Instant,
    ) -> Result<slot::Slot<C>, outcome::Rejection> {
        let _queued = QueuedRequest { upstream: self, ticket };
        match tokio::time::timeout_at(until.into(), receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(outcome::Rejection::Draining),
            Err(_) if until < deadline => Err(outcome::Rejection::WaitTooLong),
            Err(_) => Err(outcome::Rejection::DeadlineBeforeRun),
        }
    }

    /// Admits waiting requests to free slots, and rejects those that have waited too long.
    pub fn admit_waiting(self: &sync::Arc<Self>, now: time::Instant) {
        let dequeued = self.lock_admission().dequeue(now);
        for request in dequeued {
            match request {
                admission::Dequeued::Admit(sender, class) => {
                    let slot = slot::Slot::new(self.clone(), class, now);
                    // If the request no longer waits, sending fails and drops the slot, which frees
                    // it.
                    let _ = sender.map(|sender| sender.send(Ok(slot)));
                }
                admission::Dequeued::Reject(sender, rejection) => reject([sender], rejection),
            }
        }
    }
}

/// Rejects waiting requests. Those that no longer wait are passed over.
fn reject<C: clock::Clock>(
    waiting: impl IntoIterator<Item = Option<SlotSender<C>>>,
    rejection: outcome::Rejection,
) {
    for sender in waiting.into_iter().flatten() {
        let _ = sender.send(Err(rejection));
    }
}

/// Guard that removes a request from the queue when it stops waiting.
struct QueuedRequest<'a, C: clock::Clock> {
    upstream: &'a upstream::Upstream<C>,
    ticket: admission::Ticket,
}

impl<C: clock::Clock> Drop for QueuedRequest<'_, C> {
    fn drop(&mut self) {
        self.upstream.lock_admission().cancel(self.ticket);
    }
}
