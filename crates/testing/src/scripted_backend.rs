//! Fake backend server that sends scripted bytes, to test malformed, late and surplus responses.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use lynxmast_protocol::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

/// Step of a scripted response.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Sends the text, with `{id}` replaced by the exchange id of the request.
    Send(&'static str),
    /// Waits before the next step.
    Wait(time::Duration),
    /// Sends that many bytes.
    Fill(usize),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Fake backend server that responds to requests with scripts.
#[derive(Debug)]
pub struct ScriptedBackend {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Number of requests received.
    pub requests: sync::Arc<atomic::AtomicU64>,
    task: tokio::task::AbortHandle,
}

impl ScriptedBackend {
    /// Starts a backend server that responds to the n-th request on a connection with the n-th
    /// script, and with the last script to all further requests.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        Self::start_with_id(scripts, header::EXCHANGE_ID).await
    }

    /// Starts a backend server like [`ScriptedBackend::start`], to which the header `id_name` states the
    /// exchange id.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start_with_id(scripts: Vec<Vec<Step>>, id_name: &'static str) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tcp::TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let requests = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = requests.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, scripts.clone(), counter.clone(), id_name));
            }
        });
        Self { address, requests, task: task.abort_handle() }
    }
}

impl Drop for ScriptedBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_connection(
    mut stream: tcp::TcpStream,
    scripts: Vec<Vec<Step>>,
    requests: sync::Arc<atomic::AtomicU64>,
    id_name: &'static str,
) {
    let mut index = 0;
    while let Some(head) = read_head(&mut stream).await {
        requests.fetch_add(1, atomic::Ordering::SeqCst);
        let script = scripts.get(index).or(scripts.last()).cloned().unwrap_or_default();
        index += 1;
        let id = exchange_id(&head, id_name);
        for step in script {
            match step {
                Step::Send(text) => {
                    let bytes = text.replace("{id}", &id);
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::Fill(size) => {
                    if stream.write_all(&vec![b'.'; size]).await.is_err() {
                        return;
                    }
                }
                Step::Close => return,
                Step::Reset => {
                    let _ = stream.set_zero_linger();
                    return;
                }
            }
        }
    }
}

/// Reads a request head; `None` if the connection ends or the head is not UTF-8. A body is left unread.
async fn read_head(stream: &mut tcp::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Returns the exchange id in a request head; empty if absent.
fn exchange_id(head: &str, name: &str) -> String {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let line = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
    line.map(|(_, id)| id.to_owned()).unwrap_or_default()
}
