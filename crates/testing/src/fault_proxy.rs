//! TCP proxy that injects network faults: delays, closed connections, and connections that stay
//! open but lose bytes in one or both directions.

use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;
use tokio::sync::watch;

/// TCP proxy to one target with fault injection.
#[derive(Debug)]
pub struct FaultProxy {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    faults: sync::Arc<watch::Sender<Faults>>,
    task: tokio::task::AbortHandle,
}

/// Faults that the proxy injects. A connection keeps the generation number at which it was
/// accepted, so that a fault can apply to the connections open at its start but not to later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Generation below which connections lose all bytes.
    pub blackholed_before: u64,
    /// Drops all bytes from the client to the target.
    pub drops_forward: bool,
    /// Drops all bytes from the target to the client.
    pub drops_backward: bool,
    /// Generation of connections accepted from now on.
    pub generation: u64,
    /// Generation below which connections are closed.
    pub closed_before: u64,
    /// Delay before bytes are forwarded.
    pub delay: time::Duration,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(target: net::SocketAddr) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let faults = sync::Arc::new(watch::Sender::new(Faults::default()));
        let current = faults.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let generation = current.borrow().generation;
                let Ok(server) = tcp::TcpStream::connect(target).await else { continue };
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                let (forward, backward) = (current.subscribe(), current.subscribe());
                tokio::spawn(forward_bytes(from_client, to_server, forward, generation, true));
                tokio::spawn(forward_bytes(from_server, to_client, backward, generation, false));
            }
        });
        Self { address, faults, task: task.abort_handle() }
    }

    /// Drops all further bytes of the open connections without closing them; new connections work.
    pub fn blackhole_connections(&self) {
        self.faults.send_modify(|faults| {
            faults.generation += 1;
            faults.blackholed_before = faults.generation;
        });
    }

    /// Closes the open connections; new connections work.
    pub fn close_connections(&self) {
        self.faults.send_modify(|faults| {
            faults.generation += 1;
            faults.closed_before = faults.generation;
        });
    }

    /// Sets the delay before bytes are forwarded, on all connections.
    pub fn set_delay(&self, delay: time::Duration) {
        self.faults.send_modify(|faults| faults.delay = delay);
    }

    /// Closes the listener, so that new connections are refused; open connections stay.
    pub fn stop_listening(&self) {
        self.task.abort();
    }

    /// Sets whether bytes to the target (`forward`) and from it (`backward`) are dropped, on all
    /// connections.
    pub fn drop_bytes(&self, forward: bool, backward: bool) {
        self.faults.send_modify(|faults| {
            faults.drops_forward = forward;
            faults.drops_backward = backward;
        });
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_bytes(
    mut from: tcp::tcp::OwnedReadHalf,
    mut to: tcp::tcp::OwnedWriteHalf,
    mut faults: watch::Receiver<Faults>,
    generation: u64,
    is_forward: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = faults.changed() => {
                if changed.is_err() || generation < faults.borrow().closed_before {
                    return;
                }
                continue;
            }
        };
        let Ok(length) = read else { return };
        let current = *faults.borrow();
        if generation < current.closed_before {
            return;
        }
        if !current.delay.is_zero() {
            tokio::time::sleep(current.delay).await;
        }
        let is_dropped = if is_forward { current.drops_forward } else { current.drops_backward };
        if generation < current.blackholed_before || is_dropped {
            if length == 0 {
                // Keeps the connection open: a middlebox that lost the state of the connection does
                // not forward its FIN either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
