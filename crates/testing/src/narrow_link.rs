//! TCP proxy that carries a limited number of bytes per second to its clients, over all connections.

use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

/// Proxy to one target over a narrow link.
#[derive(Debug)]
pub struct NarrowLink {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    task: tokio::task::AbortHandle,
}

/// Bytes forwarded at a time.
const CHUNK: usize = 4 * 1024;
/// Socket buffer of the proxy; a larger one would hide the queue of the sender.
const RECEIVE_BUFFER: usize = 16 * 1024;

impl NarrowLink {
    /// Starts a proxy to `target` that carries `rate` bytes per second from the target to all clients.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(target: net::SocketAddr, rate: f64) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let link = sync::Arc::new(tokio::sync::Mutex::new(time::Instant::now()));
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, rate, link.clone()));
            }
        });
        Self { address, task: task.abort_handle() }
    }
}

impl Drop for NarrowLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    client: tcp::TcpStream,
    target: net::SocketAddr,
    rate: f64,
    link: sync::Arc<tokio::sync::Mutex<time::Instant>>,
) -> std::io::Result<()> {
    let socket = tcp::TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER as u32)?;
    let server = socket.connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut from_client, &mut to_server).await });
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from_server.read(&mut chunk).await?;
        if read == 0 {
            return Ok(());
        }
        // The time at which the link is free again; connections take turns.
        let mut free_at = link.lock().await;
        *free_at = (*free_at).max(time::Instant::now())
            + time::Duration::from_secs_f64(read as f64 / rate);
        tokio::time::sleep_until((*free_at).into()).await;
        drop(free_at);
        to_client.write_all(&chunk[..read]).await?;
    }
}
