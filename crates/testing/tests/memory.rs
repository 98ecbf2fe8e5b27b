//! Memory bound of uploads. The only test of its process, as other tests would distort the
//! measurement.

use lynxmast_testing::backend;
use lynxmast_testing::fleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

const ROUTE: &str = "deadline = '60s'";

/// Returns the resident memory of the process in MiB.
fn resident_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a readable status file");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kib / 1024
}

/// Uploads 256 MiB instead of the 1 GiB of the `streaming` measurement, so that the test is short
/// in debug builds; the bound is the same. The bound includes the memory of the caller and the
/// backend server, which run in the same process.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_upload_uses_bounded_memory() {
    const CHUNK_BYTES: usize = 64 * 1024;
    const CHUNKS: usize = 4096;
    let fleet = fleet::Fleet::start(&["a", "b"], &[&fleet::section(ROUTE)]).await;
    let backend = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let mut stream = tcp::TcpStream::connect(fleet.ingress_address(0))
        .await
        .expect("the ingress accepts connections");
    let length = CHUNK_BYTES * CHUNKS;
    let head = format!("PUT / HTTP/1.1\r\nhost: h.example\r\ncontent-length: {length}\r\n\r\n");
    let baseline_mib = resident_mib();
    stream.write_all(head.as_bytes()).await.expect("the ingress reads the request");
    let (chunk, mut peak_mib) = (vec![7; CHUNK_BYTES], baseline_mib);
    for _ in 0..CHUNKS {
        stream.write_all(&chunk).await.expect("the ingress reads the request");
        peak_mib = peak_mib.max(resident_mib());
    }
    let mut line = [0; 15];
    stream.read_exact(&mut line).await.expect("a response");
    assert_eq!(&line, b"HTTP/1.1 200 OK");
    assert_eq!(backend.received_bytes(), length as u64);
    assert!(
        peak_mib - baseline_mib <= 16,
        "memory grew by {} MiB, limit 16 MiB",
        peak_mib - baseline_mib
    );
}
