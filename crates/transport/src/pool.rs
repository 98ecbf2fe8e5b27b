//! Connection pool of one upstream, and the rules for reusing a connection.
//!
//! A connection is reused only after a complete response that contained its exchange id, and every
//! later response on it must contain its id too. For backend servers that do not return ids, each
//! request uses a new connection, which is opened in advance. In both cases, late bytes of one
//! response cannot be taken for the response to another request.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt;
use lynxmast_state::clock;
use lynxmast_state::outcome;

use crate::request_body;
use crate::socket;

/// Connection pool of one upstream.
#[derive(Debug)]
pub struct Pool<C> {
    clock: C,
    address: net::SocketAddr,
    limit: atomic::AtomicU32,
    /// Number of open connections, including those that are being opened.
    open: sync::Arc<atomic::AtomicU32>,
    idle: sync::Mutex<Vec<IdleConnection>>,
    /// Whether the last complete response contained its exchange id.
    echoes_ids: atomic::AtomicBool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: time::Instant,
}

/// A connection without an outstanding response.
#[derive(Debug)]
pub struct Connection {
    /// Sender; takes one request at a time.
    pub sender: http1::SendRequest<request_body::RequestBody>,
    /// Exchanges completed on the connection.
    pub exchanges: u32,
    /// Whether the connection has been idle in the pool, and may have become unresponsive there.
    pub was_idle: bool,
    /// Idle time after which the connection is not reused.
    idle_timeout: time::Duration,
    _driver: Driver,
}

impl Connection {
    /// Adjusts the idle timeout to the `Keep-Alive` header of a response, so that the connection is
    /// closed here before the backend server closes it.
    pub fn apply_keep_alive(&mut self, headers: &http::HeaderMap) {
        if let Some(timeout) = headers.get("keep-alive").and_then(keep_alive_timeout) {
            self.idle_timeout = timeout.saturating_sub(KEEP_ALIVE_MARGIN).max(timeout / 2);
        }
    }
}

/// Returns the `timeout` parameter of a `Keep-Alive` header; `None` if it is missing or malformed.
fn keep_alive_timeout(value: &http::HeaderValue) -> Option<time::Duration> {
    let parameters = value.to_str().ok()?.split(',');
    let mut timeouts = parameters.filter_map(|p| p.trim().strip_prefix("timeout="));
    timeouts.next()?.trim().parse().ok().map(time::Duration::from_secs)
}

/// Handle of the task that drives a connection; aborts the task, and with it the connection, when
/// dropped.
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

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Default idle time after which a connection is not reused; well below the time after which
/// backend servers close idle connections themselves.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Margin by which the idle timeout is shorter than the keep-alive timeout of the backend server.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Largest read buffer in bytes; bounds the size of a response head.
const READ_BUFFER_MAX: usize = 64 * 1024;

impl<C: clock::Clock> Pool<C> {
    /// Creates an empty pool with a limit of one connection.
    pub fn new(address: net::SocketAddr, clock: C) -> Self {
        Self {
            clock,
            address,
            limit: atomic::AtomicU32::new(1),
            open: Default::default(),
            idle: Default::default(),
            echoes_ids: Default::default(),
        }
    }

    /// Sets the maximum number of open connections.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit, atomic::Ordering::Release);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.open.load(atomic::Ordering::Acquire)
    }

    /// Returns an idle connection, or opens one if there is none.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if the connection limit is reached, and `Unreachable` if the upstream
    /// does not accept the connection.
    pub async fn acquire(self: &sync::Arc<Self>) -> Result<Connection, outcome::Rejection> {
        let idle = self.take_idle();
        let connection = match idle {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        if connection.exchanges == 0 && !self.echoes_ids.load(atomic::Ordering::Acquire) {
            self.open_spare();
        }
        Ok(connection)
    }

    /// Returns a connection to the pool after a complete response that contained its exchange id.
    pub fn put_back(&self, mut connection: Connection) {
        self.echoes_ids.store(true, atomic::Ordering::Release);
        connection.exchanges += 1;
        self.add_idle(connection);
    }

    /// Records a response without an exchange id; its connection is not reused.
    pub fn record_missing_id(&self) {
        self.echoes_ids.store(false, atomic::Ordering::Release);
    }

    /// Closes all idle connections, after one was found unresponsive or the backend server
    /// restarted.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub fn close_expired(&self, now: time::Instant) {
        self.lock().retain(|idle| {
            now.saturating_duration_since(idle.since) < idle.connection.idle_timeout
        });
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if the connection limit is reached, and `Unreachable` if the upstream
    /// does not accept the connection.
    pub async fn connect(&self) -> Result<Connection, outcome::Rejection> {
        let reservation = Reservation::take(&self.open, self.limit.load(atomic::Ordering::Acquire))
            .ok_or(outcome::Rejection::QueueFull)?;
        let unreachable = |_| outcome::Rejection::Unreachable;
        let stream = socket::connect(self.address, CONNECT_TIMEOUT).await.map_err(unreachable)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_MAX);
        let handshake = builder.handshake(rt::TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(|_| outcome::Rejection::Unreachable)?;
        let task = tokio::spawn(async move {
            // Errors of the connection are reported by the sender and the response body.
            let _ = driver.await;
        });
        let driver = Driver { task: task.abort_handle(), open: reservation.commit() };
        Ok(Connection {
            sender,
            exchanges: 0,
            was_idle: false,
            idle_timeout: IDLE_TIMEOUT,
            _driver: driver,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        while let Some(IdleConnection { mut connection, since }) = idle.pop() {
            let is_fresh = now.saturating_duration_since(since) < connection.idle_timeout;
            if is_fresh && !connection.sender.is_closed() {
                connection.was_idle = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection for the next request in the background.
    fn open_spare(self: &sync::Arc<Self>) {
        let pool = self.clone();
        tokio::spawn(async move {
            if let Ok(connection) = pool.connect().await {
                pool.add_idle(connection);
            }
        });
    }

    /// Adds a connection that was opened without a request.
    pub fn add_idle(&self, connection: Connection) {
        self.lock().push(IdleConnection { connection, since: self.clock.now() });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reservation of one connection under the limit; released when dropped, unless committed.
struct Reservation {
    open: Option<sync::Arc<atomic::AtomicU32>>,
}

impl Reservation {
    fn take(open: &sync::Arc<atomic::AtomicU32>, limit: u32) -> Option<Self> {
        let increment = |count: u32| (count < limit).then_some(count + 1);
        let (set_order, fetch_order) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        open.fetch_update(set_order, fetch_order, increment).ok()?;
        Some(Self { open: Some(open.clone()) })
    }

    fn commit(mut self) -> sync::Arc<atomic::AtomicU32> {
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
