//! Memory use of idle connections and of a large upload.

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
const UPLOAD_BYTES: usize = 1 << 30;
const CHUNK_BYTES: usize = 64 * 1024;
const MIB: f64 = 1024.0 * 1024.0;

/// Measures the memory per idle caller connection, including the caller's end, which is in the same
/// process.
pub fn idle_connections(_seed: u64, _duration: time::Duration) {
    let bench = data_path::Bench::start(&data_path::section(), 3, &backend::Behaviour::default());
    let ingress = bench.fleet.ingress_address(0);
    let request = b"GET / HTTP/1.1\r\nhost: h.example\r\n\r\n";
    let baseline = process::resident_bytes();
    let connections: Vec<tcp::TcpStream> = bench.caller_runtime.block_on(async {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut stream =
                tcp::TcpStream::connect(ingress).await.expect("the ingress accepts connections");
            stream.write_all(request).await.expect("the ingress reads the request");
            let mut buffer = [0; 2048];
            let _ = stream.read(&mut buffer).await;
            connections.push(stream);
        }
        connections
    });
    let growth = process::resident_bytes().saturating_sub(baseline) as f64;
    report::figure("connections.idle", connections.len() as f64, "connections");
    report::figure(
        "connections.memory",
        growth / 1024.0 / connections.len() as f64,
        "KiB/connection",
    );
}

/// Measures the memory growth of the process while 1 GiB is uploaded through two daemons.
pub fn large_upload(_seed: u64, _duration: time::Duration) {
    let bench = data_path::Bench::start(&data_path::section(), 0, &backend::Behaviour::default());
    let backend = bench.fleet.add_backend(1, "s", backend::Behaviour::default());
    let backend = bench.daemon_runtime.block_on(backend);
    let ingress = bench.fleet.ingress_address(0);
    let baseline = process::resident_bytes();
    let peak = atomic::AtomicU64::new(baseline);
    let started = time::Instant::now();
    let status = bench.caller_runtime.block_on(async {
        let mut stream =
            tcp::TcpStream::connect(ingress).await.expect("the ingress accepts connections");
        let head =
            format!("POST / HTTP/1.1\r\nhost: h.example\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the ingress reads the request");
        let chunk = vec![7; CHUNK_BYTES];
        for index in 0..UPLOAD_BYTES / CHUNK_BYTES {
            stream.write_all(&chunk).await.expect("the ingress reads the request");
            if index % 64 == 0 {
                peak.fetch_max(process::resident_bytes(), atomic::Ordering::Relaxed);
            }
        }
        let mut line = [0; 12];
        stream.read_exact(&mut line).await.expect("a response");
        String::from_utf8_lossy(&line[9..]).parse::<f64>().unwrap_or(0.0)
    });
    let growth = peak.load(atomic::Ordering::Relaxed) - baseline;
    report::figure("streaming.status", status, "status");
    report::figure("streaming.received", backend.received_bytes() as f64 / MIB, "MiB");
    report::figure("streaming.growth", growth as f64 / MIB, "MiB");
    report::figure(
        "streaming.rate",
        UPLOAD_BYTES as f64 / MIB / started.elapsed().as_secs_f64(),
        "MiB/s",
    );
}
