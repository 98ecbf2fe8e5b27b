//! An ingress learns how large the responses of a route are.

use lynxmast_state::response_size;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::scripted_backend;
use lynxmast_testing::scripted_backend::Step;
use test_case::test_case;

// Guards against transfers of large responses that are counted as free.
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", 200, 5; "length known in advance")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n4\r\n you\r\n0\r\n\r\n", 200, 9; "length known at the end")]
#[test_case("HTTP/1.1 404 Not Found\r\ncontent-length: 4\r\n\r\nnone", 404, 4; "client error")]
#[test_case("HTTP/1.1 500 Error\r\ncontent-length: 6\r\n\r\nfailed", 500, 0; "server errors are not typical")]
#[tokio::test(flavor = "multi_thread")]
async fn the_size_of_a_response_is_learned(response: &'static str, status: u16, expected: u64) {
    let fleet = fleet::Fleet::start(&["a"], &[&fleet::section("")]).await;
    let script = vec![vec![Step::Send(response)]];
    let scripted = scripted_backend::ScriptedBackend::start(script).await;
    fleet.announce_once(0, "s", scripted.address).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    let request = caller::Request { host: "h.example", path: "/", ..Default::default() };
    assert_eq!(caller.send(&request).await.status, status);
    let shared = &fleet.daemons[0].shared;
    let matched = shared.policy().match_request("h.example", "/", "GET", None).expect("a route");
    let route = response_size::route_key("s", &matched.route);
    assert_eq!(shared.response_sizes().expected(route), expected);
}
