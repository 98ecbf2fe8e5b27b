//! Fake backend server whose responses arrive slowly, end early, or are cut off if nobody reads them.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

/// What a [`PacedBackend`] sends.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Size of each response body in bytes, as stated in its head.
    pub size: usize,
    /// Bytes sent before the connection is closed.
    pub sent: usize,
    /// Bytes sent per second.
    pub rate: usize,
    /// Time without progress after which the connection of a response is closed.
    pub unread_max: time::Duration,
}

/// Fake backend server. Each byte of a response is the number of its run, so that a body of two runs
/// shows.
#[derive(Debug)]
pub struct PacedBackend {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Number of requests received.
    pub runs: sync::Arc<atomic::AtomicU64>,
    /// Number of responses that were cut off because nobody read them.
    pub cut: sync::Arc<atomic::AtomicU64>,
    task: tokio::task::AbortHandle,
}

/// Time between two writes of a response.
const STEP: time::Duration = time::Duration::from_millis(10);

impl PacedBackend {
    /// Starts a backend server.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(pace: Pace) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (runs, cut) = <(sync::Arc<atomic::AtomicU64>, sync::Arc<atomic::AtomicU64>)>::default();
        let (counted, counted_cut) = (runs.clone(), cut.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, pace, counted.clone(), counted_cut.clone()));
            }
        });
        Self { address, runs, cut, task: task.abort_handle() }
    }
}

impl Drop for PacedBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: tcp::TcpStream,
    pace: Pace,
    runs: sync::Arc<atomic::AtomicU64>,
    cut: sync::Arc<atomic::AtomicU64>,
) {
    while let Some(id) = read_head(&mut stream).await {
        let run = runs.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let (name, size) = (header::EXCHANGE_ID, pace.size);
        let head = format!("HTTP/1.1 200 OK\r\n{name}: {id}\r\ncontent-length: {size}\r\n\r\n");
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        let step = (pace.rate as f64 * STEP.as_secs_f64()).ceil() as usize;
        let body = vec![run as u8; pace.sent];
        for chunk in body.chunks(step.max(1)) {
            match tokio::time::timeout(pace.unread_max, stream.write_all(chunk)).await {
                Ok(Ok(())) => tokio::time::sleep(STEP).await,
                Ok(Err(_)) => return,
                Err(_) => {
                    cut.fetch_add(1, atomic::Ordering::SeqCst);
                    return;
                }
            }
        }
        if pace.sent < pace.size {
            return;
        }
    }
}

/// Reads a request head and returns its exchange id; `None` if the connection ends.
async fn read_head(stream: &mut tcp::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let id = lines.find(|(name, _)| name.eq_ignore_ascii_case(header::EXCHANGE_ID));
    Some(id.map(|(_, id)| id.to_owned()).unwrap_or_default())
}
