//! Bounded memory; alone in its process, so that nothing else grows beside it.

use lynxmast_testing::backend;
use lynxmast_testing::fleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

const ROUTE: &str = "deadline = '60s'";

/// Returns the resident memory of the process in MiB.
fn resident_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process has a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kib / 1024
}

/// A smaller upload than the 1 GiB of the measurement, under the same bound, so that the test is
/// short in debug builds; caller and backend server are part of the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_upload_passes_in_bounded_memory() {
    const CHUNK: usize = 64 * 1024;
    const CHUNKS: usize = 4096;
    let fleet = fleet::Fleet::start(&["a", "b"], &[&fleet::section(ROUTE)]).await;
    let backend = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let mut stream = tcp::TcpStream::connect(fleet.entry(0)).await.expect("the entry accepts");
    let length = CHUNK * CHUNKS;
    let head = format!("PUT / HTTP/1.1\r\nhost: h.example\r\ncontent-length: {length}\r\n\r\n");
    let before = resident_mib();
    stream.write_all(head.as_bytes()).await.expect("the entry reads");
    let (chunk, mut most) = (vec![7; CHUNK], before);
    for _ in 0..CHUNKS {
        stream.write_all(&chunk).await.expect("the entry reads");
        most = most.max(resident_mib());
    }
    let mut line = [0; 15];
    stream.read_exact(&mut line).await.expect("an answer");
    assert_eq!(&line, b"HTTP/1.1 200 OK");
    assert_eq!(backend.received(), length as u64);
    assert!(most - before <= 16, "grew by {} MiB", most - before);
}
