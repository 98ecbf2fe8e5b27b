//! A TCP relay that can fall silent in one or both directions while staying open.

use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;
use tokio::sync::watch;

/// Passes connections on to a target, until told otherwise.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    mode: sync::Arc<watch::Sender<Mode>>,
    task: tokio::task::AbortHandle,
}

/// What a relay passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mode {
    /// Bytes of connections opened before this number of the generation are dropped.
    pub silent_before: u64,
    /// Drops all bytes from the client to the target.
    pub drops_forward: bool,
    /// Drops all bytes from the target to the client.
    pub drops_backward: bool,
    /// Number given to connections opened now.
    pub generation: u64,
    /// Connections opened before this number of the generation are closed.
    pub closed_before: u64,
    /// Time by which bytes are held up.
    pub delay: time::Duration,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Panics
    ///
    /// Panics when no port can be opened.
    pub async fn start(target: net::SocketAddr) -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let mode = sync::Arc::new(watch::Sender::new(Mode::default()));
        let shared = mode.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let generation = shared.borrow().generation;
                let Ok(server) = tcp::TcpStream::connect(target).await else { continue };
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                let (forward, backward) = (shared.subscribe(), shared.subscribe());
                tokio::spawn(pass(from_client, to_server, forward, generation, true));
                tokio::spawn(pass(from_server, to_client, backward, generation, false));
            }
        });
        Self { address, mode, task: task.abort_handle() }
    }

    /// Makes the connections open now silent for good; new ones work.
    pub fn silence_open(&self) {
        self.mode.send_modify(|mode| {
            mode.generation += 1;
            mode.silent_before = mode.generation;
        });
    }

    /// Closes the connections open now; new ones work.
    pub fn close_open(&self) {
        self.mode.send_modify(|mode| {
            mode.generation += 1;
            mode.closed_before = mode.generation;
        });
    }

    /// Holds up bytes by `delay`.
    pub fn delay(&self, delay: time::Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Refuses new connections; open ones stay.
    pub fn stop_listening(&self) {
        self.task.abort();
    }

    /// Drops bytes by direction, on all connections.
    pub fn drop_bytes(&self, forward: bool, backward: bool) {
        self.mode.send_modify(|mode| {
            mode.drops_forward = forward;
            mode.drops_backward = backward;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(
    mut from: tcp::tcp::OwnedReadHalf,
    mut to: tcp::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    generation: u64,
    is_forward: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = mode.changed() => {
                if changed.is_err() || generation < mode.borrow().closed_before {
                    return;
                }
                continue;
            }
        };
        let Ok(count) = read else { return };
        let now = *mode.borrow();
        if generation < now.closed_before {
            return;
        }
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        let dropped = if is_forward { now.drops_forward } else { now.drops_backward };
        if generation < now.silent_before || dropped {
            if count == 0 {
                // A middlebox that lost the connection does not pass its end on either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
