//! Requests of one connection that were started before the responses to the previous ones were
//! complete.

use std::collections;
use std::sync;
use std::task;

use http::request;
use tokio_util::task::AbortOnDropHandle;

/// Requests that were started early, oldest first, and the progress of the connection. Shared by the
/// connection's stream, which starts requests, and its service, which takes them over.
#[derive(Debug)]
pub struct Started<R> {
    state: sync::Mutex<State<R>>,
    /// Notified when the last request started early is taken over after [`Started::stop`].
    drained: tokio::sync::Notify,
}

#[derive(Debug)]
struct State<R> {
    requests: collections::VecDeque<EarlyRequest<R>>,
    /// Number of requests that were handed to the HTTP implementation.
    delivered: u64,
    /// Number of responses that are complete.
    finished: u64,
    is_stopping: bool,
    /// Wakes the connection, which waits for the response to be complete.
    waker: Option<task::Waker>,
}

/// A request that was started early.
#[derive(Debug)]
struct EarlyRequest<R> {
    head: request::Parts,
    response: AbortOnDropHandle<R>,
}

/// Marks the response to a request as complete when dropped.
#[derive(Debug)]
pub struct FinishGuard<R>(sync::Arc<Started<R>>);

impl<R> Default for Started<R> {
    fn default() -> Self {
        let state = State {
            requests: collections::VecDeque::new(),
            delivered: 0,
            finished: 0,
            is_stopping: false,
            waker: None,
        };
        Self { state: sync::Mutex::new(state), drained: tokio::sync::Notify::new() }
    }
}

impl<R> Started<R> {
    /// Adds a request that was started early.
    pub fn push(&self, head: request::Parts, response: AbortOnDropHandle<R>) {
        self.lock().requests.push_back(EarlyRequest { head, response });
    }

    /// Takes over the response to the next request, if it was started early. A request with another
    /// head than expected is not the one that was started, and discards all.
    pub fn take(&self, head: &request::Parts) -> Option<AbortOnDropHandle<R>> {
        let mut state = self.lock();
        let early = state.requests.pop_front()?;
        let is_same = early.head.method == head.method
            && early.head.uri == head.uri
            && early.head.headers == head.headers;
        if !is_same {
            state.requests.clear();
        }
        if state.is_stopping && state.requests.is_empty() {
            self.drained.notify_one();
        }
        is_same.then_some(early.response)
    }

    /// Returns the number of requests that were started early and not taken over yet.
    pub fn len(&self) -> usize {
        self.lock().requests.len()
    }

    /// Returns whether no request was started early that was not taken over yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a request was handed to the HTTP implementation.
    pub fn record_delivery(&self) {
        self.lock().delivered += 1;
    }

    /// Returns whether the response to a request that was handed over is not complete.
    pub fn is_responding(&self) -> bool {
        let state = self.lock();
        state.delivered > state.finished
    }

    /// Sets the task that is woken when a response is complete.
    pub fn register(&self, waker: &task::Waker) {
        let mut state = self.lock();
        if !state.waker.as_ref().is_some_and(|registered| registered.will_wake(waker)) {
            state.waker = Some(waker.clone());
        }
    }

    /// Returns a guard that marks the response to the next request as complete.
    pub fn finish_guard(self: &sync::Arc<Self>) -> FinishGuard<R> {
        FinishGuard(self.clone())
    }

    /// Returns whether no further request is to be started early.
    pub fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Starts no further request early, and waits until all that were started are taken over, so
    /// that the connection can be closed after the last response.
    pub async fn stop(&self) {
        let is_drained = {
            let mut state = self.lock();
            state.is_stopping = true;
            state.requests.is_empty()
        };
        if !is_drained {
            self.drained.notified().await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State<R>> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl<R> Drop for FinishGuard<R> {
    fn drop(&mut self) {
        let waker = {
            let mut state = self.0.lock();
            state.finished += 1;
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}
