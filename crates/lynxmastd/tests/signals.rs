//! Tests of the daemon process: SIGHUP reloads the settings, SIGTERM shuts it down.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net;
use std::process;
use std::time;

/// Longest time that the process may take to start or exit.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

fn free_port() -> u16 {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address").port()
}

fn is_live(admin: u16) -> bool {
    let Ok(mut stream) = net::TcpStream::connect(("127.0.0.1", admin)) else { return false };
    let request = "GET /live HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let mut response = String::new();
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_to_string(&mut response).is_ok()
        && response.starts_with("HTTP/1.1 200")
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
    let file = std::env::temp_dir().join(format!("lynxmast-signals-{}.toml", process::id()));
    let text = format!(
        "name = 'd1'\ndomain = 'a'\nsecret = '0123456789abcdef'\nstore = '127.0.0.1:1'\n\
         [listen]\nadmin = '127.0.0.1:{admin}'\n[limits]\nshutdown = '6s'\n"
    );
    fs::write(&file, text).expect("the temporary file is written");
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
