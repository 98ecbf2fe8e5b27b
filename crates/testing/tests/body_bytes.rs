//! Bytes of request bodies in flight to one backend server are bounded.

use std::time;

use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::holding_backend;
use test_case::test_case;

const MB: usize = 1_000_000;

/// Sends ten uploads of 2 MB at once to two backend servers that end when they hold more than 8 MB,
/// and returns the number of complete responses, how many servers have ended and the largest peak.
async fn upload_ten(service: &str) -> (usize, usize, usize) {
    let section = format!(
        "team = 't'\n[[service]]\nname = 's'\nramp = '0s'\nslots = 16\nhedge = false\n{service}\n\
         [[route]]\nservice = 's'\nhost = 'h.example'\npath = '/'\ndeadline = '10s'\n"
    );
    let fleet = fleet::Fleet::start(&["a", "a"], &[&section]).await;
    let service_time = time::Duration::from_millis(300);
    let mut backends = Vec::new();
    for daemon in 0..2 {
        let backend = holding_backend::HoldingBackend::start(8 * MB, service_time).await;
        fleet.announce_once(daemon, "s", backend.address).await;
        backends.push(backend);
    }
    let uploads = (0..10).map(|_| async {
        let caller = caller::Caller::new(fleet.ingress_address(0));
        let body = vec![7; 2 * MB].into();
        let (method, host, path) = ("PUT", "h.example", "/");
        let request = caller::Request { method, host, path, body, ..Default::default() };
        let response = caller.send(&request).await;
        println!("{} {} {:?}", response.status, response.reason, response.elapsed);
        response.status == 200 && response.is_complete
    });
    let served = futures::future::join_all(uploads).await;
    let ended = backends.iter().filter(|backend| backend.ended.is_cancelled()).count();
    let peak = backends.iter().map(|backend| backend.peak()).max().unwrap_or(0);
    (served.into_iter().filter(|is_served| *is_served).count(), ended, peak)
}

/// Guards against uploads that end a backend server because they exceed its memory together.
#[test_case("body-bytes = 6000000", 6 * MB; "three at a time")]
#[test_case("body-bytes = 1000000", 2 * MB; "larger than the limit")]
#[tokio::test(flavor = "multi_thread")]
async fn ten_large_uploads_are_queued_and_spread(service: &str, peak_max: usize) {
    let (served, ended, peak) = upload_ten(service).await;
    assert_eq!(ended, 0, "backend servers ended; peak {peak}");
    assert!(peak <= peak_max, "{peak} bytes held");
    assert!(served >= 4, "{served} served");
    if peak_max > 2 * MB {
        assert_eq!(served, 10);
    }
}
