//! Late, reordered, truncated or surplus response bytes never reach another caller and are never
//! passed as a complete response.

use std::sync::atomic;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::scripted_backend;
use lynxmast_testing::scripted_backend::Step;
use test_case::test_case;

const SECTION: &str = "
team = 't'
[[service]]
name = 's'
ramp = '0s'
stall = '500ms'
hedge = false
[[route]]
service = 's'
host = 'h.example'
path = '/'
deadline = '1s'
[[route]]
service = 's'
host = 'h.example'
path = '/again'
idempotent = true
deadline = '1s'
";

const WITH_ID: &str = "HTTP/1.1 200 OK\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok";
const SURPLUS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nSURPLUS";

async fn start(scripts: Vec<Vec<Step>>) -> (fleet::Fleet, scripted_backend::ScriptedBackend) {
    let fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let scripted = scripted_backend::ScriptedBackend::start(scripts).await;
    fleet.announce_once(0, "s", scripted.address).await;
    (fleet, scripted)
}

fn request(path: &'static str) -> caller::Request {
    caller::Request { host: "h.example", path, ..Default::default() }
}

/// Sends two requests and checks the statuses and reasons, and that no response contains surplus
/// bytes.
async fn check_two_requests(scripts: Vec<Vec<Step>>, expected: [(u16, &str); 2]) {
    let (fleet, _scripted) = start(scripts).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for (status, reason) in expected {
        let response = caller.send(&request("/")).await;
        assert_eq!((response.status, response.reason.as_str()), (status, reason), "{response:?}");
        assert!(!String::from_utf8_lossy(&response.body).contains("SURPLUS"));
        if response.status == 200 {
            assert_eq!((&response.body[..], response.is_complete), (&b"ok"[..], true));
        }
        tokio::time::sleep(time::Duration::from_millis(150)).await;
    }
}

const PAUSE: Step = Step::Wait(time::Duration::from_millis(100));

#[test_case(vec![Step::Send(WITH_ID)], [(200, ""), (200, "")]; "valid responses on one connection")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")], [(200, ""), (200, "")]; "valid responses without exchange ids")]
#[test_case(vec![Step::Send(WITH_ID), Step::Send(SURPLUS)], [(200, ""), (200, "")]; "surplus response at once")]
#[test_case(vec![Step::Send(WITH_ID), PAUSE, Step::Send(SURPLUS)], [(200, ""), (200, "")]; "surplus response after a pause")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\nlynxmast-exchange: other\r\ncontent-length: 2\r\n\r\nok")], [(502, "bad-answer"), (502, "bad-answer")]; "response of another exchange")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"), Step::Close], [(502, "truncated"), (502, "truncated")]; "truncated by length")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\n\r\nok"), Step::Close], [(502, "bad-answer"), (502, "bad-answer")]; "no length and no chunks")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nSURPLUS")], [(200, ""), (200, "")]; "chunked encoding overrides a length")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok")], [(502, "bad-answer"), (502, "bad-answer")]; "two lengths")]
#[test_case(vec![Step::Send("rubbish\r\n\r\n")], [(502, "bad-answer"), (502, "bad-answer")]; "not HTTP")]
#[test_case(vec![Step::Close], [(502, "connection-lost"), (502, "connection-lost")]; "closed without a response")]
#[test_case(vec![Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"), Step::Wait(time::Duration::from_secs(5))], [(504, "stalled"), (504, "stalled")]; "stalled within the body")]
#[test_case(vec![Step::Wait(time::Duration::from_secs(5))], [(504, "deadline"), (504, "deadline")]; "no response")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_invalid_responses_are_reported(
    script: Vec<Step>,
    expected: [(u16, &'static str); 2],
) {
    check_two_requests(vec![script], expected).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_never_reaches_the_next_request() {
    // The first request gets a second response, which arrives when the next request is sent.
    let first = vec![Step::Send(WITH_ID), Step::Wait(time::Duration::from_millis(20))];
    let second = vec![Step::Send(SURPLUS)];
    let (fleet, _scripted) = start(vec![first, second]).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..20 {
        let response = caller.send(&request("/")).await;
        assert!(!String::from_utf8_lossy(&response.body).contains("SURPLUS"), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_chunked_response_is_not_passed_as_complete() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
    let (fleet, _scripted) = start(vec![vec![Step::Send(head), PAUSE, Step::Close]]).await;
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/")).await;
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_retried_after_truncated_responses() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\nok";
    let (fleet, scripted) = start(vec![vec![Step::Send(truncated), Step::Close]]).await;
    let good = fleet.add_backend(0, "s", backend::Behaviour::default()).await;
    let caller = caller::Caller::new(fleet.ingress_address(0));
    for _ in 0..10 {
        let response = caller.send(&request("/again")).await;
        assert!(response.is_success(), "{response:?}");
    }
    assert_eq!(good.runs(), 10);
    assert!(
        scripted.requests.load(atomic::Ordering::SeqCst) > 0,
        "the upstream with truncated responses got requests as well"
    );
}

// Guards against statuses that HTTP does not have, which callers would get as answers.
#[test_case("HTTP/1.1 000 x\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok"; "000")]
#[test_case("HTTP/1.1 099 x\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok"; "099")]
#[test_case("HTTP/1.1 600 x\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok"; "600")]
#[test_case("HTTP/1.1 999 x\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok"; "999")]
#[test_case("HTTP/1.1 20 x\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok"; "two digits")]
#[test_case("HTTP/1.1 2000 x\r\nlynxmast-exchange: {id}\r\ncontent-length: 2\r\n\r\nok"; "four digits")]
#[test_case("HTTP/1.1 101 x\r\nlynxmast-exchange: {id}\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"; "101")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_invalid_status_is_no_answer(text: &'static str) {
    check_two_requests(vec![vec![Step::Send(text)]], [(502, "bad-answer"); 2]).await;
}

// Guards against bodies of which a transfer coding was not removed.
#[test_case("gzip", "\x1f\x08bytes"; "other coding")]
#[test_case("gzip, chunked", "2\r\nok\r\n0\r\n\r\n"; "other coding before chunked")]
#[test_case("chunked, gzip", "2\r\nok\r\n0\r\n\r\n"; "other coding after chunked")]
#[test_case("chunked, chunked", "2\r\nok\r\n0\r\n\r\n"; "twice")]
#[test_case("identity", "ok"; "identity")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_unknown_transfer_coding_is_no_answer(coding: &str, body: &str) {
    let head = "HTTP/1.1 200 OK\r\nlynxmast-exchange: {id}\r\ntransfer-encoding: ";
    let text: &'static str = format!("{head}{coding}\r\n\r\n{body}").leak();
    let script = vec![Step::Send(text), Step::Close];
    check_two_requests(vec![script], [(502, "bad-answer"); 2]).await;
}

// Guards against callers that get an interim response, or none, in place of the final one.
#[test_case("HTTP/1.1 100 Continue\r\n\r\n"; "100")]
#[test_case("HTTP/1.1 103 Early Hints\r\nlink: x\r\nlynxmast-exchange: {id}\r\n\r\n"; "103")]
#[test_case("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 x\r\n\r\n"; "two")]
#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_are_passed_over(interim: &'static str) {
    let script = vec![Step::Send(interim), PAUSE, Step::Send(WITH_ID)];
    check_two_requests(vec![script], [(200, ""); 2]).await;
    let script = vec![Step::Send(interim), PAUSE, Step::Close];
    check_two_requests(vec![script], [(502, "connection-lost"); 2]).await;
}

// Guards against lengths by which a body is taken for complete, or that hide a response behind it.
#[test_case("content-length: 3\r\n\r\nok", (502, "truncated"); "too long")]
#[test_case("content-length: +2\r\n\r\nok", (502, "bad-answer"); "signed")]
#[test_case("content-length: 2, 2\r\n\r\nok", (200, ""); "repeated in a list")]
#[test_case("content-length: 2\r\ncontent-length: 2\r\n\r\nok", (200, ""); "repeated")]
#[test_case("content-length: 2, 3\r\n\r\nok", (502, "bad-answer"); "list of two")]
#[test_case("content-length: 18446744073709551616\r\n\r\nok", (502, "bad-answer"); "beyond 64 bits")]
#[test_case("content-length: 18446744073709551615\r\n\r\nok", (502, "bad-answer"); "largest")]
#[test_case("content-length: \r\n\r\nok", (502, "bad-answer"); "empty")]
#[test_case("transfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nok", (200, ""); "chunk beyond all memory")]
#[test_case("transfer-encoding: chunked\r\n\r\n3\r\nok\r\n0\r\n\r\n", (200, ""); "chunk too long")]
#[tokio::test(flavor = "multi_thread")]
async fn lengths_that_do_not_fit_are_reported(rest: &str, expected: (u16, &'static str)) {
    let head = "HTTP/1.1 200 OK\r\nlynxmast-exchange: {id}\r\n";
    let script = vec![Step::Send(format!("{head}{rest}").leak()), PAUSE, Step::Close];
    let (fleet, _scripted) = start(vec![script]).await;
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/")).await;
    assert_eq!((response.status, response.reason.as_str()), expected, "{response:?}");
    if response.status == 200 && rest.starts_with("transfer") {
        assert!(!response.is_complete, "{response:?}");
    }
}

// Guards against trailers by which a response changes its length, its id or its outcome.
#[tokio::test(flavor = "multi_thread")]
async fn trailers_change_nothing() {
    let text = "HTTP/1.1 200 OK\r\nlynxmast-exchange: {id}\r\ntrailer: content-length\r\n\
        transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\ncontent-length: 9\r\n\
        lynxmast-outcome: not-run\r\nlynxmast-exchange: other\r\n\r\n";
    check_two_requests(vec![vec![Step::Send(text)]], [(200, ""); 2]).await;
    let cut = text.strip_suffix("\r\n").expect("an end");
    let (fleet, _scripted) = start(vec![vec![Step::Send(cut), PAUSE, Step::Close]]).await;
    let response = caller::Caller::new(fleet.ingress_address(0)).send(&request("/")).await;
    assert!(!response.is_complete, "{response:?}");
}
