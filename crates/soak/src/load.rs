//! Callers that go on through every fault.

use std::net;
use std::sync;
use std::time;

use lynxmast_testing::caller;
use tokio::task;

use crate::fleet;

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    tasks: task::JoinSet<Vec<Seen>>,
}

/// A request with what its caller got.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Whether it must not run twice.
    pub once: bool,
    /// What came back.
    pub got: caller::Got,
}

/// Callers of each entry.
const CALLERS: usize = 3;
/// Pause of a caller between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(15);
/// Requests to each entry after the faults.
const PROBES: usize = 20;

impl Callers {
    /// Starts callers of each entry; they keep their connections open until those break.
    pub fn start(entries: &[net::SocketAddr]) -> Self {
        let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let mut tasks = task::JoinSet::new();
        for (number, entry) in entries.iter().cycle().take(CALLERS * entries.len()).enumerate() {
            tasks.spawn(call(*entry, number, stop.clone()));
        }
        Self { stop, tasks }
    }

    /// Ends the callers and returns all that they saw.
    pub async fn stop(self) -> Vec<Seen> {
        self.stop.store(true, sync::atomic::Ordering::Release);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

async fn call(
    entry: net::SocketAddr,
    number: usize,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<Seen> {
    let caller = caller::Caller::new(entry);
    let mut seen = Vec::new();
    let mut turn = number;
    while !stop.load(sync::atomic::Ordering::Acquire) {
        turn += 1;
        let once = turn.is_multiple_of(2);
        seen.push(Seen { once, got: caller.ask(&ask(once)).await });
        tokio::time::sleep(PAUSE).await;
    }
    seen
}

fn ask(once: bool) -> caller::Ask {
    let (method, path) = if once { ("POST", fleet::ONCE) } else { ("GET", fleet::REPEATABLE) };
    caller::Ask { method, host: fleet::HOST, path, ..caller::Ask::default() }
}

/// Sends some requests to each entry and returns the share that each served well.
pub async fn probe(entries: &[net::SocketAddr]) -> Vec<f64> {
    let mut shares = Vec::new();
    for entry in entries {
        let caller = caller::Caller::new(*entry);
        let mut good = 0;
        for _ in 0..PROBES {
            good += usize::from(caller.ask(&ask(false)).await.is_good());
        }
        shares.push(good as f64 / PROBES as f64);
    }
    shares
}
