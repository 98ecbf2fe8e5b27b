//! Small responses beside large ones on a link of 17 Mbit/s between two daemons.

use std::net;
use std::time;

use lynxmast_testing::backend;
use lynxmast_testing::caller;
use lynxmast_testing::fleet;
use lynxmast_testing::narrow_link;

const SECTION: &str = "
team = 't'
[[service]]
name = 'large'
ramp = '0s'
slots = 64
hedge = false
[[service]]
name = 'small'
ramp = '0s'
slots = 64
hedge = false
[[route]]
service = 'large'
host = 'h.example'
path = '/large'
idempotent = true
deadline = '20s'
objective = '4s'
[[route]]
service = 'small'
host = 'h.example'
path = '/small'
idempotent = true
deadline = '4s'
objective = '500ms'
";

/// 17 Mbit/s in bytes per second.
const RATE: f64 = 17e6 / 8.0;
const DOWNLOADS: usize = 8;
const RUN: time::Duration = time::Duration::from_secs(4);
/// With frames of 16 KiB the median was 268 ms: three turns of all downloads (head, body, end) and the
/// queues, as much as the eight windows of 64 KiB. With frames of 4 KiB it is 97 to 125 ms.
const MEDIAN_MAX: time::Duration = time::Duration::from_millis(200);

/// Guards against small responses that wait behind all bytes of large ones that the daemons have read
/// ahead.
#[tokio::test(flavor = "multi_thread")]
async fn small_responses_do_not_wait_behind_downloads() {
    let mut fleet = fleet::Fleet::start(&["a"], &[SECTION]).await;
    let reserved = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let gate = reserved.local_addr().expect("a bound port");
    drop(reserved);
    let link = narrow_link::NarrowLink::start(gate, RATE).await;
    fleet
        .add_daemon_with("a", |settings| {
            settings.listen.gate = gate;
            settings.advertise.gate = Some(link.address);
        })
        .await;
    let download = backend::Behaviour { body_size: 540_000, ..Default::default() };
    let _large = fleet.add_backend(1, "large", download).await;
    let _small = fleet.add_backend(1, "small", backend::Behaviour::default()).await;
    let until = time::Instant::now() + RUN;
    let downloads = (0..DOWNLOADS).map(|_| async {
        let caller = caller::Caller::new(fleet.ingress_address(0));
        let mut complete = 0;
        while time::Instant::now() < until {
            let path = "/large";
            let request = caller::Request { host: "h.example", path, ..Default::default() };
            complete += usize::from(caller.send(&request).await.is_success());
        }
        complete
    });
    let small = async {
        let caller = caller::Caller::new(fleet.ingress_address(0));
        let mut times = Vec::new();
        while time::Instant::now() < until {
            let path = "/small";
            let request = caller::Request { host: "h.example", path, ..Default::default() };
            let response = caller.send(&request).await;
            assert!(response.is_success(), "{} {}", response.status, response.reason);
            times.push(response.elapsed);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        times
    };
    let (mut times, downloads) = tokio::join!(small, futures::future::join_all(downloads));
    times.sort();
    let complete: usize = downloads.iter().sum();
    let (median, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!("{} small: median {median:?}, p99 {p99:?}; {complete} downloads", times.len());
    assert!(complete >= DOWNLOADS, "{complete} downloads");
    assert!(median <= MEDIAN_MAX, "median of small responses {median:?}");
}
