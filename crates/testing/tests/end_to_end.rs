//! Whole path of a request: from the caller through an ingress and another daemon's sidecar to the
//! backend server, and back.

use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;

const SECTION: &str = "
team = 'strapline'
[[service]]
name = 'storefront'
floor = 4
ramp = '0s'
[[route]]
service = 'storefront'
host = 'shop.example'
path = '/'
idempotent = true
deadline = '2s'
[[route]]
service = 'storefront'
host = 'shop.example'
path = '/checkout'
methods = ['POST']
deadline = '2s'
";

fn request(path: &'static str) -> caller::Request {
    caller::Request { host: "shop.example", path, ..Default::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_return_through_another_daemons_sidecar() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let backend = fleet.add_backend(1, "storefront", backend::Behaviour::default()).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..20 {
        let response = caller.send(&request("/orders")).await;
        assert!(response.is_success(), "{response:?}");
        assert_eq!(response.outcome, "answered");
    }
    assert_eq!(backend.runs(), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_departed_upstream_gets_no_more_requests() {
    let fleet = fleet::Fleet::start(&["a", "b"], &[SECTION]).await;
    let remaining = fleet.add_backend(0, "storefront", backend::Behaviour::default()).await;
    let departed = fleet.add_backend(1, "storefront", backend::Behaviour::default()).await;
    let drained =
        departed.depart(fleet.daemons[1].listen.beside, time::Duration::from_secs(5)).await;
    assert!(drained);
    fleet.await_upstream("storefront", departed.address, false).await;
    let runs_before = departed.runs();
    let caller = caller::Caller::new(fleet.ingress_address(1));
    for _ in 0..20 {
        assert!(caller.send(&request("/orders")).await.is_success());
    }
    assert_eq!(departed.runs(), runs_before);
    assert_eq!(remaining.runs(), 20);
}
