//! Tests of the bounded hand-over of log lines.

use std::io::Write;

use super::*;

/// An output that nobody reads.
struct Stuck(mpsc::Receiver<()>);

impl io::Write for Stuck {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Returns once the test drops its end.
        let _ = self.0.recv();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn writers_never_wait_for_an_output_that_is_not_read() {
    let (reader, stuck) = mpsc::channel();
    let (mut queue, waiting) = LineQueue::start(Stuck(stuck)).expect("a thread");
    let started = time::Instant::now();
    for _ in 0..10_000 {
        queue.write_all(b"line\n").expect("lines are taken or left out");
    }
    waiting.flush();
    assert!(started.elapsed() < time::Duration::from_secs(2));
    assert!(queue.left_out >= 10_000 - 2 * u64::from(LINES_PER_SECOND) - WAITING_MAX as u64);
    drop(reader);
}

#[test]
fn lines_beyond_the_rate_are_counted() {
    let (mut queue, waiting) = LineQueue::start(io::sink()).expect("a thread");
    for _ in 0..LINES_PER_SECOND + 7 {
        queue.write_all(b"line\n").expect("lines are taken or left out");
    }
    waiting.flush();
    assert_eq!(queue.left_out, 7);
}
