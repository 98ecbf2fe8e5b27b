//! TCP options common to all connections.

use std::io;
use std::net;
use std::time;

use tokio::net as tcp;

/// Time until data that nobody acknowledges fails the connection.
const UNACKNOWLEDGED_MAX: time::Duration = time::Duration::from_secs(5);
/// Idle time before the kernel asks whether the other end is there.
const KEEPALIVE_AFTER: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_EVERY: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_TRIES: u32 = 2;

/// Opens a tuned connection.
///
/// # Errors
///
/// Fails like the system's connect, or with `TimedOut` after `limit`.
pub async fn connect(
    address: net::SocketAddr,
    limit: time::Duration,
) -> io::Result<tcp::TcpStream> {
    let connecting = tokio::time::timeout(limit, tcp::TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    tune(&stream)?;
    Ok(stream)
}

/// Turns off batching of small writes and lets the kernel find dead connections.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn tune(stream: &tcp::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(KEEPALIVE_TRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
