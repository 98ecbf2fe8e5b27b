//! Connections to one upstream, and the rule on when one may be used again.
//!
//! A connection is used again only after a whole answer that returned its exchange id, and from
//! then on only passes answers that return theirs. Backend servers that do not return ids get a
//! connection opened in advance for each request. Either way, bytes that a backend server owes to
//! one exchange cannot reach another.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt;
use lynxmast_state::clock;
use lynxmast_state::outcome;

use crate::body;
use crate::socket;

/// Connections to one upstream.
#[derive(Debug)]
pub struct Pool<C> {
    clock: C,
    address: net::SocketAddr,
    limit: atomic::AtomicU32,
    open: sync::Arc<atomic::AtomicU32>,
    idle: sync::Mutex<Vec<Idle>>,
    returns_ids: atomic::AtomicBool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: time::Instant,
}

/// A connection with nothing owed on it.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: http1::SendRequest<body::RequestBody>,
    /// Exchanges completed on it.
    pub exchanges: u32,
    /// Whether it has been idle since it was opened, and may have fallen silent meanwhile.
    pub was_idle: bool,
    /// Idle time after which it is no longer trusted.
    idle_max: time::Duration,
    _driver: Driver,
}

impl Connection {
    /// Learns how long the backend server keeps the connection while it is idle.
    pub fn heed_keep_alive(&mut self, headers: &http::HeaderMap) {
        if let Some(kept) = headers.get("keep-alive").and_then(keep_alive_timeout) {
            self.idle_max = kept.saturating_sub(KEEP_ALIVE_MARGIN).max(kept / 2);
        }
    }
}

/// Reads the `timeout` parameter of a `Keep-Alive` header.
fn keep_alive_timeout(value: &http::HeaderValue) -> Option<time::Duration> {
    let parameters = value.to_str().ok()?.split(',');
    let mut timeouts = parameters.filter_map(|p| p.trim().strip_prefix("timeout="));
    timeouts.next()?.trim().parse().ok().map(time::Duration::from_secs)
}

/// Ends the connection's task, and with it the connection, when dropped.
#[derive(Debug)]
struct Driver {
    task: tokio::task::AbortHandle,
    open: sync::Arc<atomic::AtomicU32>,
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.task.abort();
        self.open.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

const CONNECT_MAX: time::Duration = time::Duration::from_secs(1);
/// Idle time after which a connection is no longer trusted to be alive; well below the time after
/// which backend servers close idle connections themselves.
const IDLE_MAX: time::Duration = time::Duration::from_secs(2);
/// Time by which a connection is given up before the backend server closes it.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Size of the read buffer, which bounds an answer's head.
const READ_BUFFER: usize = 64 * 1024;

impl<C: clock::Clock> Pool<C> {
    /// Returns a pool without connections that may open one.
    pub fn new(address: net::SocketAddr, clock: C) -> Self {
        Self {
            clock,
            address,
            limit: atomic::AtomicU32::new(1),
            open: Default::default(),
            idle: Default::default(),
            returns_ids: Default::default(),
        }
    }

    /// Sets the number of connections that may be open.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit, atomic::Ordering::Release);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        self.open.load(atomic::Ordering::Acquire)
    }

    /// Takes a connection, opening one if none is idle.
    ///
    /// # Errors
    ///
    /// Refuses when the limit is reached or the upstream does not accept.
    pub async fn take(self: &sync::Arc<Self>) -> Result<Connection, outcome::Refusal> {
        let taken = self.take_idle();
        let connection = match taken {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        if connection.exchanges == 0 && !self.returns_ids.load(atomic::Ordering::Acquire) {
            self.prepare_spare();
        }
        Ok(connection)
    }

    /// Gives a connection back after a whole answer that returned its exchange id.
    pub fn put_back(&self, mut connection: Connection) {
        self.returns_ids.store(true, atomic::Ordering::Release);
        connection.exchanges += 1;
        self.keep(connection);
    }

    /// Notes an answer without exchange id, after which the connection is not used again.
    pub fn note_without_id(&self) {
        self.returns_ids.store(false, atomic::Ordering::Release);
    }

    /// Closes idle connections, after one was found silent or the backend server restarted.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self, now: time::Instant) {
        self.lock()
            .retain(|idle| now.saturating_duration_since(idle.since) < idle.connection.idle_max);
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Refuses when the limit is reached or the upstream does not accept.
    pub async fn connect(&self) -> Result<Connection, outcome::Refusal> {
        let open = Reservation::take(&self.open, self.limit.load(atomic::Ordering::Acquire))
            .ok_or(outcome::Refusal::QueueFull)?;
        let unreachable = |_| outcome::Refusal::Unreachable;
        let stream = socket::connect(self.address, CONNECT_MAX).await.map_err(unreachable)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER);
        let handshake = builder.handshake(rt::TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(|_| outcome::Refusal::Unreachable)?;
        let task = tokio::spawn(async move {
            // The end of the connection shows at the sender and the answer's body.
            let _ = driver.await;
        });
        let driver = Driver { task: task.abort_handle(), open: open.keep() };
        Ok(Connection {
            sender,
            exchanges: 0,
            was_idle: false,
            idle_max: IDLE_MAX,
            _driver: driver,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        while let Some(Idle { mut connection, since }) = idle.pop() {
            let is_fresh = now.saturating_duration_since(since) < connection.idle_max;
            if is_fresh && !connection.sender.is_closed() {
                connection.was_idle = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection for the next request, away from the request path.
    fn prepare_spare(self: &sync::Arc<Self>) {
        let pool = self.clone();
        tokio::spawn(async move {
            if let Ok(connection) = pool.connect().await {
                pool.keep(connection);
            }
        });
    }

    fn keep(&self, connection: Connection) {
        self.lock().push(Idle { connection, since: self.clock.now() });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A place under the connection limit, freed unless kept.
struct Reservation {
    open: Option<sync::Arc<atomic::AtomicU32>>,
}

impl Reservation {
    fn take(open: &sync::Arc<atomic::AtomicU32>, limit: u32) -> Option<Self> {
        let raise = |count: u32| (count < limit).then_some(count + 1);
        let (release, acquire) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        open.fetch_update(release, acquire, raise).ok()?;
        Some(Self { open: Some(open.clone()) })
    }

    fn keep(mut self) -> sync::Arc<atomic::AtomicU32> {
        self.open.take().unwrap_or_default()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            open.fetch_sub(1, atomic::Ordering::AcqRel);
        }
    }
}
