//! TCP options for all connections.

use std::io;
use std::net;
use std::time;

use tokio::net as tcp;

/// `TCP_USER_TIMEOUT`: time after which unacknowledged data fails the connection.
const USER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Idle time before the kernel sends the first keep-alive probe.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// `TCP_NOTSENT_LOWAT`: bytes that the kernel queues behind those in flight. A small response waits for
/// at most this much of a large one, 31 ms at 17 Mbit/s, and a caller that reads slowly occupies no
/// more kernel memory. By default, the kernel queues up to 4 MiB for each connection.
const UNSENT_MAX: u32 = 64 * 1024;

/// Opens a connection and sets its options.
///
/// # Errors
///
/// Returns errors of the system's connect, or `TimedOut` after `timeout`.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<tcp::TcpStream> {
    let connecting = tokio::time::timeout(timeout, tcp::TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    set_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm, bounds the kernel's queue and enables its detection of dead connections.
///
/// # Errors
///
/// Returns an error if the system rejects an option.
pub fn set_options(stream: &tcp::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_notsent_lowat(UNSENT_MAX)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
