//! Memory: of idle connections, and while a large upload passes.

use std::sync::atomic;
use std::time;

use lynxmast_testing::backend;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

use crate::data_path;
use crate::process;
use crate::report;

const CONNECTIONS: usize = 2000;
const UPLOAD: usize = 1 << 30;
const CHUNK: usize = 64 * 1024;
const MIB: f64 = 1024.0 * 1024.0;

/// Measures the memory of a caller's idle connection; the callers' own ends are in the figure.
pub fn connections(_seed: u64, _span: time::Duration) {
    let bench = data_path::Bench::start(&data_path::section(), 3, &backend::Behaviour::default());
    let entry = bench.fleet.entry(0);
    let request = b"GET / HTTP/1.1\r\nhost: h.example\r\n\r\n";
    let before = process::resident();
    let open: Vec<tcp::TcpStream> = bench.load.block_on(async {
        let mut open = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut stream = tcp::TcpStream::connect(entry).await.expect("the entry accepts");
            stream.write_all(request).await.expect("the entry reads");
            let mut buffer = [0; 2048];
            let _ = stream.read(&mut buffer).await;
            open.push(stream);
        }
        open
    });
    let grown = process::resident().saturating_sub(before) as f64;
    report::line("connections.idle", open.len() as f64, "connections");
    report::line("connections.memory", grown / 1024.0 / open.len() as f64, "KiB/connection");
}

/// Measures how far the process grows while 1 GiB is uploaded through two daemons.
pub fn upload(_seed: u64, _span: time::Duration) {
    let bench = data_path::Bench::start(&data_path::section(), 0, &backend::Behaviour::default());
    let target = bench.fleet.add_backend(1, "s", backend::Behaviour::default());
    let target = bench.daemon.block_on(target);
    let entry = bench.fleet.entry(0);
    let before = process::resident();
    let most = atomic::AtomicU64::new(before);
    let started = time::Instant::now();
    let status = bench.load.block_on(async {
        let mut stream = tcp::TcpStream::connect(entry).await.expect("the entry accepts");
        let head =
            format!("POST / HTTP/1.1\r\nhost: h.example\r\ncontent-length: {UPLOAD}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the entry reads");
        let chunk = vec![7; CHUNK];
        for index in 0..UPLOAD / CHUNK {
            stream.write_all(&chunk).await.expect("the entry reads");
            if index % 64 == 0 {
                most.fetch_max(process::resident(), atomic::Ordering::Relaxed);
            }
        }
        let mut line = [0; 12];
        stream.read_exact(&mut line).await.expect("an answer");
        String::from_utf8_lossy(&line[9..]).parse::<f64>().unwrap_or(0.0)
    });
    let grown = most.load(atomic::Ordering::Relaxed) - before;
    report::line("streaming.status", status, "status");
    report::line("streaming.received", target.received() as f64 / MIB, "MiB");
    report::line("streaming.growth", grown as f64 / MIB, "MiB");
    report::line("streaming.rate", UPLOAD as f64 / MIB / started.elapsed().as_secs_f64(), "MiB/s");
}
