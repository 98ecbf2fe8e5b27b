//! Fake backend server that keeps request bodies in memory, and ends when they exceed its memory.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;
use tokio_util::sync::CancellationToken;

/// Fake backend server.
#[derive(Debug)]
pub struct HoldingBackend {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Cancelled when the bodies have exceeded the memory; the server closes all connections then.
    pub ended: CancellationToken,
    state: sync::Arc<State>,
}

#[derive(Debug)]
struct State {
    memory: usize,
    service_time: time::Duration,
    held: atomic::AtomicUsize,
    peak: atomic::AtomicUsize,
    runs: atomic::AtomicU64,
}

impl HoldingBackend {
    /// Starts a backend server that holds `memory` bytes of request bodies, each for `service_time`
    /// after it was received.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(memory: usize, service_time: time::Duration) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (held, peak, runs) = Default::default();
        let state = sync::Arc::new(State { memory, service_time, held, peak, runs });
        let ended = CancellationToken::new();
        let (serving, stop) = (state.clone(), ended.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = serve(stream, serving.clone(), stop.clone());
                tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
            }
        }));
        Self { address, ended, state }
    }

    /// Returns the largest number of bytes held at a time.
    pub fn peak(&self) -> usize {
        self.state.peak.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of requests that were run.
    pub fn runs(&self) -> u64 {
        self.state.runs.load(atomic::Ordering::SeqCst)
    }
}

async fn serve(mut stream: tcp::TcpStream, state: sync::Arc<State>, ended: CancellationToken) {
    while let Some((id, length)) = read_head(&mut stream).await {
        let (mut chunk, mut size) = (vec![0; 16 * 1024], 0);
        while size < length {
            let Ok(read @ 1..) = stream.read(&mut chunk).await else { break };
            size += read;
            let held = state.held.fetch_add(read, atomic::Ordering::SeqCst) + read;
            state.peak.fetch_max(held, atomic::Ordering::SeqCst);
            if held > state.memory {
                return ended.cancel();
            }
        }
        tokio::time::sleep(state.service_time).await;
        state.held.fetch_sub(size, atomic::Ordering::SeqCst);
        state.runs.fetch_add(1, atomic::Ordering::SeqCst);
        let name = header::EXCHANGE_ID;
        let response = format!("HTTP/1.1 200 OK\r\n{name}: {id}\r\ncontent-length: 2\r\n\r\nok");
        if size < length || stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a request head and returns its exchange id and length; `None` if the connection ends.
async fn read_head(stream: &mut tcp::TcpStream) -> Option<(String, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let value = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
    };
    let length = value("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    Some((value(header::EXCHANGE_ID).unwrap_or_default(), length))
}
