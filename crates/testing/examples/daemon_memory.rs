//! Measures the memory of two daemon processes, idle and while callers load responses of 90 kB through
//! them. The ingress of the first daemon serves the callers, the sidecar of the second one the backend
//! server.
//!
//! `cargo run --release --example daemon_memory -- target/release/lynxmastd [CALLERS]`

use std::net;
use std::process;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fake_log;
use lynxmast_testing::fleet;

const RESPONSE_SIZE: usize = 90_000;
const IDLE: time::Duration = time::Duration::from_secs(6);
const LOAD: time::Duration = time::Duration::from_secs(8);
/// Time between the requests of one caller.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// A daemon process, killed when dropped.
struct Daemon {
    process: process::Child,
    ports: Vec<net::SocketAddr>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Daemon {
    fn start(binary: &str, name: &str, log: net::SocketAddr, peers: &[net::SocketAddr]) -> Self {
        let listeners: Vec<_> =
            (0..5).map(|_| net::TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let ports: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("a port")).collect();
        drop(listeners);
        let peers: Vec<_> = peers.iter().map(|peer| format!("'{peer}'")).collect();
        let settings = format!(
            "name = '{name}'\ndomain = 'a'\nsecret = '{}'\nlog = '{log}'\npeers = [{}]\n[listen]\n\
             entry = '{}'\ngate = '{}'\ncontrol = '{}'\nbeside = '{}'\nadmin = '{}'\n\
             [limits]\nmemory-mb = 160\n",
            fleet::SECRET,
            peers.join(", "),
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4]
        );
        let file = std::env::temp_dir().join(format!("lynxmast-memory-{}-{name}", process::id()));
        std::fs::write(&file, settings).expect("a settings file");
        let mut command = process::Command::new(binary);
        command.arg("--settings").arg(&file).stdout(process::Stdio::null());
        Self { process: command.spawn().expect("the daemon starts"), ports }
    }

    /// Returns the values of `/proc/PID/status` that tell what the memory is used for.
    fn memory(&self) -> String {
        let file = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(file).unwrap_or_default();
        let keys = ["VmHWM", "VmRSS", "RssAnon", "RssFile", "Threads"];
        let lines = status.lines().filter(|line| keys.iter().any(|key| line.starts_with(key)));
        lines.map(|line| line.split_whitespace().take(2).collect::<Vec<_>>().join(" ")).fold(
            String::new(),
            |text, line| if text.is_empty() { line } else { format!("{text}, {line}") },
        )
    }
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let binary = arguments.next().expect("the path of the daemon");
    let callers: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(50);
    let log = fake_log::FakeLog::start(0).await;
    let route = "idempotent = true\ndeadline = '4s'\nobjective = '1s'";
    fleet::publish(&log, &fleet::section(route), 0).await;
    let first = Daemon::start(&binary, "d1", log.address, &[]);
    let second = Daemon::start(&binary, "d2", log.address, &[first.ports[2]]);
    tokio::time::sleep(IDLE).await;
    println!("idle, ingress: {}", first.memory());
    println!("idle, sidecar: {}", second.memory());
    let behaviour = backend::Behaviour { body_size: RESPONSE_SIZE, ..Default::default() };
    let backend = backend::Backend::start("s", behaviour).await;
    backend.announce(second.ports[3]).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let until = time::Instant::now() + LOAD;
    let load = (0..callers).map(|_| async {
        let caller = caller::Caller::new(first.ports[0]);
        let request = caller::Request { host: "h.example", path: "/", ..Default::default() };
        let (mut served, mut failed) = (0, 0);
        while time::Instant::now() < until {
            let is_success = caller.send(&request).await.is_success();
            *(if is_success { &mut served } else { &mut failed }) += 1;
            tokio::time::sleep(PAUSE).await;
        }
        (served, failed)
    });
    let counts = futures::future::join_all(load).await;
    let (served, failed) =
        counts.into_iter().fold((0, 0), |(s, f), (served, failed)| (s + served, f + failed));
    println!("{callers} callers, {served} served, {failed} failed");
    println!("load, ingress: {}", first.memory());
    println!("load, sidecar: {}", second.memory());
    tokio::time::sleep(IDLE).await;
    println!("after, ingress: {}", first.memory());
    println!("after, sidecar: {}", second.memory());
}
