//! Bounded hand-over of log lines to the thread that writes them, so that nothing waits for a
//! reader of standard output.

use std::io;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::time;

/// Lines written a second at most; several times what a daemon logs when every request fails.
pub const LINES_PER_SECOND: u32 = 200;
/// Lines that wait for the writing thread at most.
const WAITING_MAX: usize = 1024;
/// Longest wait for the last lines when the process ends.
const FLUSH_MAX: time::Duration = time::Duration::from_millis(200);
const FLUSH_STEP: time::Duration = time::Duration::from_millis(5);

/// Sending end; each write is one line.
#[derive(Debug)]
pub struct LineQueue {
    lines: mpsc::SyncSender<Vec<u8>>,
    waiting: Waiting,
    second: time::Instant,
    sent: u32,
    left_out: u64,
}

/// Number of lines that the writing thread has not written yet.
#[derive(Debug, Clone, Default)]
pub struct Waiting(sync::Arc<atomic::AtomicUsize>);

impl Waiting {
    /// Waits for the lines that are on their way, but not for long.
    pub fn flush(&self) {
        let until = time::Instant::now() + FLUSH_MAX;
        while self.0.load(atomic::Ordering::Acquire) > 0 && time::Instant::now() < until {
            std::thread::sleep(FLUSH_STEP);
        }
    }
}

impl LineQueue {
    /// Starts a thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails when the system starts no thread.
    pub fn start(mut out: impl io::Write + Send + 'static) -> io::Result<(Self, Waiting)> {
        let (lines, received) = mpsc::sync_channel::<Vec<u8>>(WAITING_MAX);
        let waiting = Waiting::default();
        let left = waiting.clone();
        let write = move || {
            for line in received {
                // A closed standard output leaves nowhere to report its loss.
                let _ = out.write_all(&line).and_then(|()| out.flush());
                left.0.fetch_sub(1, atomic::Ordering::AcqRel);
            }
        };
        std::thread::Builder::new().name("log-writer".into()).spawn(write)?;
        let second = time::Instant::now();
        let queue = Self { lines, waiting: waiting.clone(), second, sent: 0, left_out: 0 };
        Ok((queue, waiting))
    }

    fn send(&mut self, line: Vec<u8>) -> bool {
        self.waiting.0.fetch_add(1, atomic::Ordering::AcqRel);
        let is_sent = self.lines.try_send(line).is_ok();
        if !is_sent {
            self.waiting.0.fetch_sub(1, atomic::Ordering::AcqRel);
        }
        is_sent
    }

    fn start_second(&mut self) {
        if self.second.elapsed() < time::Duration::from_secs(1) {
            return;
        }
        (self.second, self.sent) = (time::Instant::now(), 0);
        if self.left_out > 0 {
            let line = format!("WARN event=left-out lines={}\n", self.left_out);
            if self.send(line.into_bytes()) {
                self.left_out = 0;
            }
        }
    }
}

impl io::Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.start_second();
        if self.sent < LINES_PER_SECOND && self.send(line.to_vec()) {
            self.sent += 1;
        } else {
            self.left_out += 1;
            metrics::counter!("lynxmast_log_lines_left_out_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
