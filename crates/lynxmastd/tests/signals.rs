//! Tests of the daemon process: SIGHUP reloads the settings, SIGTERM shuts it down, and rejected
//! requests are logged.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

/// Longest time that the process may take to start or exit.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Number of ports for each process of tests.
const PORTS_MAX: u32 = 16;

/// Ports handed out so far.
static PORTS: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Returns a free port below those that the system assigns by itself, which other sockets may take before
/// the daemon opens it.
fn free_port() -> u16 {
    let first = 10_000 + (process::id() * PORTS_MAX % 20_000) as u16;
    let mut ports = (0..PORTS_MAX).map(|_| first + PORTS.fetch_add(1, atomic::Ordering::Relaxed));
    let is_free = |port: &u16| net::TcpListener::bind(("127.0.0.1", *port)).is_ok();
    ports.find(is_free).expect("a port is free")
}

/// Sends a GET request and returns the response; empty if there is none.
fn get(port: u16, path: &str, headers: &str) -> String {
    let Ok(mut stream) = net::TcpStream::connect(("127.0.0.1", port)) else { return String::new() };
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    let mut response = String::new();
    let received =
        stream.write_all(request.as_bytes()).and_then(|()| stream.read_to_string(&mut response));
    received.map(|_| response).unwrap_or_default()
}

fn is_live(admin: u16) -> bool {
    get(admin, "/live", "").starts_with("HTTP/1.1 200")
}

/// Writes settings of a daemon to a temporary file. Its `source` of the policy, a log or a store, is
/// unreachable.
fn write_settings(test: &str, source: &str, listen: &str) -> path::PathBuf {
    let file = std::env::temp_dir().join(format!("lynxmast-{test}-{}.toml", process::id()));
    let text = format!(
        "name = 'd1'\ndomain = 'a'\nsecret = '0123456789abcdef'\n{source} = '127.0.0.1:1'\n\
         [listen]\n{listen}\n[limits]\nshutdown = '6s'\n"
    );
    fs::write(&file, text).expect("the temporary file is written");
    file
}

/// Polls `condition` until it holds; returns `false` on a timeout.
fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while time::Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}

fn signal(child: &process::Child, name: &str) {
    let status = process::Command::new("kill").arg(name).arg(child.id().to_string()).status();
    assert!(status.expect("kill runs").success());
}

#[test]
fn hangup_keeps_the_daemon_running_and_termination_ends_it() {
    let admin = free_port();
    let file = write_settings("signals", "store", &format!("admin = '127.0.0.1:{admin}'"));
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_lynxmastd"))
        .arg("--settings")
        .arg(&file)
        .stdout(process::Stdio::null())
        .spawn()
        .expect("the daemon starts");
    assert!(wait_until(|| is_live(admin)), "the daemon is live");
    for _ in 0..3 {
        signal(&child, "-HUP");
        std::thread::sleep(10 * POLL_INTERVAL);
        assert!(
            child.try_wait().expect("the state of the process is known").is_none(),
            "SIGHUP must not end the daemon"
        );
        assert!(is_live(admin));
    }
    signal(&child, "-TERM");
    assert!(
        wait_until(|| child.try_wait().expect("the state of the process is known").is_some()),
        "the daemon exits"
    );
    assert_eq!(child.wait().expect("the state of the process is known").code(), Some(0));
    fs::remove_file(&file).expect("the file exists");
}

// Guards against a rejection that cannot be found by the id of its request.
#[test]
fn a_request_rejected_before_routing_is_logged_with_its_id() {
    let (admin, entry) = (free_port(), free_port());
    let listen = format!("admin = '127.0.0.1:{admin}'\nentry = '127.0.0.1:{entry}'");
    let file = write_settings("rejection", "log", &listen);
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_lynxmastd"))
        .arg("--settings")
        .arg(&file)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    assert!(wait_until(|| is_live(admin)), "the daemon is live");
    let response = get(entry, "/", "lynxmast-exchange: a-request\r\n");
    assert!(response.starts_with("HTTP/1.1 503"), "the daemon has no policy: {response}");
    signal(&child, "-TERM");
    let mut output = String::new();
    let stdout = child.stdout.as_mut().expect("the output is piped");
    stdout.read_to_string(&mut output).expect("the output is text");
    child.wait().expect("the daemon exits");
    fs::remove_file(&file).expect("the file exists");
    let line = output.lines().find(|line| line.contains("event=request"));
    let line = line.expect("the rejection is logged");
    for field in ["id=a-request", "outcome=not-run", "reason=no-policy"] {
        assert!(line.contains(field), "{line}");
    }
}
