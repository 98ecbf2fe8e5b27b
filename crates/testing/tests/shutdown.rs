//! Graceful shutdown cuts no request in flight, a long upload included; new work stops in 3 s.

use std::net;
use std::sync;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmastd::daemon;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as tcp;

const ROUTE: &str = "deadline = '20s'";

/// Time in which new work stops on every entry.
const STOP_WITHIN: time::Duration = time::Duration::from_secs(3);
const CHUNKS: usize = 40;
const CHUNK: usize = 10_000;

fn ask() -> caller::Ask {
    caller::Ask { method: "POST", host: "h.example", path: "/", ..Default::default() }
}

/// Uploads slowly, for about four seconds, and returns the status line.
async fn upload(entry: net::SocketAddr) -> String {
    let mut stream = tcp::TcpStream::connect(entry).await.expect("the entry accepts");
    let length = CHUNKS * CHUNK;
    let head = format!("POST / HTTP/1.1\r\nhost: h.example\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the entry reads");
    for _ in 0..CHUNKS {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        stream.write_all(&[1; CHUNK]).await.expect("the upload is not cut");
    }
    let mut line = [0; 15];
    stream.read_exact(&mut line).await.expect("the upload is answered");
    String::from_utf8_lossy(&line).into_owned()
}

/// Asks again and again, alternating between entries, and counts what was not answered.
async fn load(entries: Vec<net::SocketAddr>, until: time::Instant) -> usize {
    let callers: Vec<_> = entries.into_iter().map(caller::Caller::new).collect();
    let mut failed = 0;
    while time::Instant::now() < until {
        for caller in &callers {
            failed += usize::from(!caller.ask(&ask()).await.is_good());
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    failed
}

#[tokio::test(flavor = "multi_thread")]
async fn a_departing_upstream_finishes_uploads_and_gets_nothing_new() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[&fleet::section(ROUTE)]).await;
    let leaves = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    let uploading = tokio::spawn(upload(fleet.entry(0)));
    fleet.settle(|_| leaves.runs() == 1).await;
    let _stays = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let until = time::Instant::now() + time::Duration::from_secs(3);
    let loading = tokio::spawn(load(vec![fleet.entry(0), fleet.entry(1)], until));
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let beside = fleet.daemons[1].listen.beside;
    let departing = leaves.depart(beside, time::Duration::from_secs(10));
    tokio::pin!(departing);
    let soon = tokio::time::timeout(time::Duration::from_millis(50), &mut departing).await;
    assert!(soon.is_err(), "the upload is still in flight");
    let runs = leaves.runs();
    assert!(departing.await, "nothing is in flight after the upload");
    assert_eq!(leaves.runs(), runs, "no new work after the announcement");
    assert_eq!(uploading.await.expect("the upload ends"), "HTTP/1.1 200 OK");
    assert_eq!(loading.await.expect("the load ends"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_shuts_down_cuts_nothing() {
    let fleet =
        sync::Arc::new(fleet::Fleet::start(&["a", "b", "c"], &[&fleet::section(ROUTE)]).await);
    let mut backends = Vec::new();
    for daemon in 0..3 {
        backends.push(fleet.add_backend(daemon, "s", backend::Behaviour::default()).await);
    }
    // One upload enters through the daemon that leaves, others may run at its upstream.
    let uploads: Vec<_> = (0..3).map(|n| tokio::spawn(upload(fleet.entry(n)))).collect();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let until = time::Instant::now() + time::Duration::from_secs(5);
    let loading = tokio::spawn(load(vec![fleet.entry(0), fleet.entry(1)], until));
    let leaving = fleet.clone();
    let shutdown = tokio::spawn(async move { leaving.daemons[2].shutdown().await });
    let started = time::Instant::now();
    fleet.await_upstream("s", backends[2].address, false).await;
    assert!(started.elapsed() < STOP_WITHIN, "{:?}", started.elapsed());
    for upload in uploads {
        assert_eq!(upload.await.expect("the upload ends"), "HTTP/1.1 200 OK");
    }
    assert_eq!(shutdown.await.expect("the shutdown ends"), daemon::Shutdown::Complete);
    assert_eq!(loading.await.expect("the load ends"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_ends_at_its_limit() {
    let mut fleet = fleet::Fleet::start(&["a"], &[&fleet::section(ROUTE)]).await;
    fleet.set_shutdown_limit(time::Duration::from_millis(500));
    fleet.add_daemon("b").await;
    let stuck = backend::Behaviour { silence: 1.0, ..Default::default() };
    let stuck = fleet.add_backend(1, "s", stuck).await;
    let entry = fleet.entry(1);
    tokio::spawn(async move { caller::Caller::new(entry).ask(&ask()).await });
    fleet.settle(|_| stuck.runs() == 1).await;
    let started = time::Instant::now();
    assert_eq!(fleet.daemons[1].shutdown().await, daemon::Shutdown::TimedOut { in_flight: 1 });
    assert!(started.elapsed() < time::Duration::from_secs(2));
}
