//! The answer's body at the gate: holds slot and connection until the answer is whole or given up.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::Body;
use hyper::body;
use lynxmast_state::clock;

use crate::body_error;
use crate::pool;
use crate::stalling;
use crate::upstream;

/// An exchange whose answer is being passed on.
#[derive(Debug)]
pub struct Exchange<C: clock::Clock> {
    /// Rest of the answer.
    pub incoming: body::Incoming,
    /// Connection that the answer comes on.
    pub connection: pool::Connection,
    /// Slot that the request runs in.
    pub slot: upstream::Slot<C>,
    /// Whether the answer returned its exchange id.
    pub returned_id: bool,
}

/// Bytes of an unwanted answer that are read to keep its connection.
const DISCARDED_MAX: usize = 16 * 1024;
/// Longest wait for the rest of an unwanted answer.
const DISCARD_MAX: time::Duration = time::Duration::from_secs(1);

/// Body that passes an answer on and ends the exchange with it.
#[derive(Debug)]
pub struct GateBody<C: clock::Clock> {
    cell: sync::Arc<Cell<C>>,
    timer: stalling::StallTimer,
    is_whole: bool,
}

#[derive(Debug)]
struct Cell<C: clock::Clock> {
    stall: time::Duration,
    state: sync::Mutex<State<C>>,
}

#[derive(Debug)]
struct State<C: clock::Clock> {
    exchange: Option<Exchange<C>>,
    progress: time::Instant,
}

/// Exchanges under watch, so that callers who stop reading do not hold slots.
#[derive(Debug)]
pub struct Watch<C: clock::Clock> {
    cells: sync::Mutex<Vec<sync::Weak<Cell<C>>>>,
}

impl<C: clock::Clock> Exchange<C> {
    /// Turns the exchange into a body; ends it at once if the answer has no body.
    pub fn into_body(
        self,
        stall: time::Duration,
        now: time::Instant,
        watch: &Watch<C>,
    ) -> GateBody<C> {
        let is_whole = self.incoming.is_end_stream();
        let state = State { exchange: Some(self), progress: now };
        let cell = sync::Arc::new(Cell { stall, state: sync::Mutex::new(state) });
        if is_whole {
            cell.finish();
        } else {
            watch.add(&cell);
        }
        GateBody { cell, timer: stalling::StallTimer::new(stall), is_whole }
    }

    /// Reads the rest of an answer that nobody waits for, so that the connection can be used again.
    pub fn discard(self) {
        if self.incoming.is_end_stream() {
            return self.finish();
        }
        tokio::spawn(async move {
            let mut exchange = self;
            let rest = http_body_util::Limited::new(&mut exchange.incoming, DISCARDED_MAX);
            let rest = http_body_util::BodyExt::collect(rest);
            if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_MAX, rest).await {
                exchange.finish();
            }
        });
    }

    /// Ends the exchange after a whole answer.
    fn finish(self) {
        let Exchange { connection, slot, returned_id, incoming: _ } = self;
        let pool = &slot.upstream().pool;
        if returned_id {
            pool.put_back(connection);
        } else {
            pool.note_without_id();
        }
    }
}

impl<C: clock::Clock> Cell<C> {
    fn lock(&self) -> sync::MutexGuard<'_, State<C>> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn finish(&self) {
        let exchange = self.lock().exchange.take();
        if let Some(exchange) = exchange {
            exchange.finish();
        }
    }

    fn abandon(&self) {
        let exchange = self.lock().exchange.take();
        drop(exchange);
    }
}

impl<C: clock::Clock> Default for Watch<C> {
    fn default() -> Self {
        Self { cells: Default::default() }
    }
}

impl<C: clock::Clock> Watch<C> {
    fn add(&self, cell: &sync::Arc<Cell<C>>) {
        self.lock().push(sync::Arc::downgrade(cell));
    }

    /// Ends exchanges without progress for their limit and returns how many those were.
    pub fn sweep(&self, now: time::Instant) -> usize {
        let mut cells = self.lock();
        cells.retain(|cell| cell.strong_count() > 0);
        let live: Vec<sync::Arc<Cell<C>>> = cells.iter().filter_map(sync::Weak::upgrade).collect();
        drop(cells);
        let is_stuck = |cell: &sync::Arc<Cell<C>>| {
            let state = cell.lock();
            let silent = now.saturating_duration_since(state.progress);
            state.exchange.is_some() && silent > cell.stall
        };
        let stuck: Vec<_> = live.into_iter().filter(is_stuck).collect();
        stuck.iter().for_each(|cell| cell.abandon());
        stuck.len()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<sync::Weak<Cell<C>>>> {
        self.cells.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl<C: clock::Clock> Body for GateBody<C> {
    type Data = Bytes;
    type Error = body_error::BodyError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> body_error::Polled {
        let this = &mut *self;
        if this.is_whole {
            return task::Poll::Ready(None);
        }
        let mut state = this.cell.lock();
        let Some(exchange) = &mut state.exchange else {
            return task::Poll::Ready(Some(Err(body_error::BodyError::Cancelled)));
        };
        let polled = pin::Pin::new(&mut exchange.incoming).poll_frame(cx);
        let is_last = exchange.incoming.is_end_stream();
        let result = match polled {
            task::Poll::Pending => {
                drop(state);
                std::task::ready!(this.timer.poll_stalled(cx));
                Some(Err(body_error::BodyError::Stalled))
            }
            task::Poll::Ready(frame) => {
                state.progress = exchange.slot.now();
                drop(state);
                this.timer.reset();
                frame.map(|f| f.map_err(|_| body_error::BodyError::Truncated))
            }
        };
        match &result {
            Some(Err(_)) => this.cell.abandon(),
            Some(Ok(_)) if !is_last => {}
            // Ends the exchange with the last byte, so that the slot is free at once.
            Some(Ok(_)) | None => {
                this.cell.finish();
                this.is_whole = true;
            }
        }
        task::Poll::Ready(result)
    }

    fn is_end_stream(&self) -> bool {
        self.is_whole
    }

    fn size_hint(&self) -> body::SizeHint {
        let state = self.cell.lock();
        match &state.exchange {
            Some(exchange) => exchange.incoming.size_hint(),
            None if self.is_whole => body::SizeHint::with_exact(0),
            None => body::SizeHint::default(),
        }
    }
}

impl<C: clock::Clock> Drop for GateBody<C> {
    fn drop(&mut self) {
        self.cell.abandon();
    }
}
