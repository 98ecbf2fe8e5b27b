//! Tests of the bounded queue of log lines.

use std::io::Write;

use super::*;

/// Output on which writes block, as on a pipe that is not read.
struct BlockedOutput(mpsc::Receiver<()>);

impl io::Write for BlockedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Blocks until the test drops the sender.
        let _ = self.0.recv();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn writers_are_not_blocked_by_an_output_that_is_not_read() {
    let (unblock, blocked) = mpsc::channel();
    let (mut queue, pending) = LogQueue::start(BlockedOutput(blocked)).expect("the thread starts");
    let started = time::Instant::now();
    for _ in 0..10_000 {
        queue.write_all(b"line\n").expect("lines are queued or dropped");
    }
    pending.flush();
    assert!(started.elapsed() < time::Duration::from_secs(2));
    assert!(queue.dropped >= 10_000 - 2 * u64::from(LINES_PER_SECOND) - PENDING_MAX as u64);
    drop(unblock);
}

#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let (mut queue, pending) = LogQueue::start(io::sink()).expect("the thread starts");
    for _ in 0..LINES_PER_SECOND + 7 {
        queue.write_all(b"line\n").expect("lines are queued or dropped");
    }
    pending.flush();
    assert_eq!(queue.dropped, 7);
}
