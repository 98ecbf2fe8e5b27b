//! Calls of running requests go before new requests at a service that is short of slots.

use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;

/// Requests of `pages` call `files`, which has a single slot.
const SECTION: &str = "
team = 't'
[[service]]
name = 'pages'
ramp = '0s'
hedge = false
[[service]]
name = 'files'
ramp = '0s'
hedge = false
slots = 1
max-wait = '4s'
[[route]]
service = 'pages'
host = 'h.example'
path = '/pages'
deadline = '6s'
[[route]]
service = 'files'
host = 'h.example'
path = '/files'
deadline = '6s'
";

const PARENT_TIMEOUT: time::Duration = time::Duration::from_secs(4);
const PARENT_TIME: time::Duration = time::Duration::from_secs(3);
const FILE_TIME: time::Duration = time::Duration::from_millis(150);
/// New requests that wait for the slot before the call.
const WAITING: usize = 6;

fn request(path: &'static str, timeout: time::Duration) -> caller::Request {
    let headers = vec![("lynxmast-timeout-ms", timeout.as_millis().to_string())];
    caller::Request { host: "h.example", path, headers, ..Default::default() }
}

/// Sends a request from the VM on which a request of `pages` runs, behind [`WAITING`] others, and
/// returns how many of these respond after it. It expires `later` than the running one.
async fn overtaken(later: time::Duration) -> usize {
    let fleet = fleet::Fleet::start(&["a", "a"], &[SECTION]).await;
    let behaviour = |service_time| backend::Behaviour { service_time, ..Default::default() };
    let pages = fleet.add_backend(0, "pages", behaviour(PARENT_TIME)).await;
    let _files = fleet.add_backend(1, "files", behaviour(FILE_TIME)).await;
    let [beside, other] = [0, 1].map(|daemon| fleet.ingress_address(daemon));
    let parent = tokio::spawn(async move {
        caller::Caller::new(other).send(&request("/pages", PARENT_TIMEOUT)).await
    });
    let waiting: Vec<_> = (0..WAITING)
        .map(|_| {
            tokio::spawn(async move {
                let timeout = time::Duration::from_secs(5);
                let response = caller::Caller::new(other).send(&request("/files", timeout)).await;
                assert!(response.is_success(), "{response:?}");
                time::Instant::now()
            })
        })
        .collect();
    tokio::time::sleep(FILE_TIME / 2).await;
    // The backend server passes on what is left of the time that it was given.
    let started = loop {
        match pages.arrivals().first() {
            Some(arrival) => break *arrival,
            None => tokio::time::sleep(time::Duration::from_millis(5)).await,
        }
    };
    let call = request("/files", PARENT_TIMEOUT + later - started.elapsed());
    let response = caller::Caller::new(beside).send(&call).await;
    let ended = time::Instant::now();
    assert!(response.is_success(), "{response:?}");
    let mut overtaken = 0;
    for response in waiting {
        overtaken += usize::from(response.await.expect("no panic") > ended);
    }
    parent.abort();
    overtaken
}

/// Guards against calls that are ordered like new requests while their parents wait for them.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_running_request_overtakes_new_requests() {
    let overtaken = overtaken(time::Duration::ZERO).await;
    assert!(overtaken >= WAITING - 2, "{overtaken} of {WAITING}");
}

/// Guards against new requests that are taken for calls since a request runs beside their ingress.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_expires_later_than_the_running_one_waits_its_turn() {
    let overtaken = overtaken(time::Duration::from_millis(300)).await;
    assert!(overtaken <= 1, "{overtaken} of {WAITING}");
}
