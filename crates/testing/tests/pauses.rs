//! A daemon that was paused starts no work that may no longer be started.

use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use tokio::runtime;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
hedge = false
[[route]]
service = 's'
host = 'h.example'
path = '/'
deadline = '300ms'
[[route]]
service = 's'
host = 'h.example'
path = '/slow'
deadline = '10s'
";
/// Length of a pause, longer than the short deadline and than the lease of an upstream.
const PAUSE: time::Duration = time::Duration::from_millis(4500);
/// Requests sent during a pause.
const REQUESTS: usize = 20;

async fn send(fleet: &fleet::Fleet, path: &'static str) -> caller::Response {
    let request = caller::Request { host: "h.example", path, ..Default::default() };
    caller::Caller::new(fleet.ingress_address(0)).send(&request).await
}

/// Blocks the only thread of a daemon's runtime for [`PAUSE`].
fn pause(runtime: &runtime::Runtime) {
    runtime.spawn(async { std::thread::sleep(PAUSE) });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_sidecar_runs_no_request_that_was_given_up() {
    let mut fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let sidecar = fleet.add_pausable_daemon("a").await;
    let backend = fleet.add_backend(1, "s", backend::Behaviour::default()).await;
    // The connection between the daemons is open before the pause.
    assert!(send(&fleet, "/").await.is_success());
    pause(&sidecar);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let responses = futures::future::join_all((0..REQUESTS).map(|_| send(&fleet, "/"))).await;
    assert!(responses.iter().all(|response| response.status == 504), "{responses:?}");
    tokio::time::sleep(PAUSE + time::Duration::from_millis(500)).await;
    assert_eq!(backend.runs(), 1, "requests were run after their deadline");
    assert!(send(&fleet, "/").await.is_success(), "the sidecar serves again");
    sidecar.shutdown_background();
}

// Guards against giving up the requests that run at the upstreams of a paused sidecar, and against
// forwarding to a backend server whose lease has run out meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_sidecar_delivers_running_responses_and_forwards_none_after_the_lease() {
    let mut fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let sidecar = fleet.add_pausable_daemon("a").await;
    let service_time = time::Duration::from_millis(500);
    let behaviour = backend::Behaviour { service_time, ..Default::default() };
    let backend = backend::Backend::start("s", behaviour).await;
    let version = fleet.daemons[0].shared.policy().version;
    fleet.wait_until(|fleet| fleet.daemons[1].shared.policy().version == version).await;
    fleet.announce_once(1, "s", backend.address).await;
    // More than the upstream has slots for: some wait when the pause begins.
    let requests = futures::future::join_all((0..REQUESTS).map(|_| send(&fleet, "/slow")));
    let paused = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        let running = backend.runs();
        pause(&sidecar);
        running
    };
    let (responses, running) = tokio::join!(requests, paused);
    assert!((1..REQUESTS as u64).contains(&running), "{running} requests were running");
    assert_eq!(backend.runs(), running, "requests were run after the lease");
    let served = responses.iter().filter(|response| response.is_success()).count();
    assert_eq!(served as u64, running, "responses that were ready are delivered: {responses:?}");
    let rejected = responses.iter().filter(|response| response.outcome == "not-run").count();
    assert_eq!(served + rejected, REQUESTS, "{responses:?}");
    sidecar.shutdown_background();
}
