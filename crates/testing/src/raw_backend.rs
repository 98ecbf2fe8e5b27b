//! Stand-in for a backend server that sends bytes as told, however wrong.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

/// One step of a scripted answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Sends bytes; `{id}` stands for the exchange id of the request.
    Send(&'static str),
    /// Waits.
    Wait(time::Duration),
    /// Closes the connection.
    Close,
}

/// Listens and answers every request with the script.
#[derive(Debug)]
pub struct RawBackend {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Requests received.
    pub runs: sync::Arc<atomic::AtomicU64>,
    task: tokio::task::AbortHandle,
}

impl RawBackend {
    /// Starts a backend server that answers the n-th request of a connection with the n-th
    /// script, and further ones with the last.
    ///
    /// # Panics
    ///
    /// Panics when no port can be opened.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let runs = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = runs.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(converse(stream, scripts.clone(), counter.clone()));
            }
        });
        Self { address, runs, task: task.abort_handle() }
    }
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn converse(
    mut stream: tcp::TcpStream,
    scripts: Vec<Vec<Step>>,
    runs: sync::Arc<atomic::AtomicU64>,
) {
    let mut turn = 0;
    while let Some(head) = read_head(&mut stream).await {
        runs.fetch_add(1, atomic::Ordering::SeqCst);
        let script = scripts.get(turn).or(scripts.last()).cloned().unwrap_or_default();
        turn += 1;
        let id = exchange_id(&head);
        for step in script {
            match step {
                Step::Send(text) => {
                    let bytes = text.replace("{id}", &id);
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::Close => return,
            }
        }
    }
}

/// Reads a request head; requests to this stand-in have no body.
async fn read_head(stream: &mut tcp::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn exchange_id(head: &str) -> String {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let line = lines.find(|(name, _)| name.eq_ignore_ascii_case(header::EXCHANGE_ID));
    line.map(|(_, id)| id.to_owned()).unwrap_or_default()
}
