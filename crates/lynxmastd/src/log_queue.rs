//! Bounded queue of log lines with a writer thread, so that logging never blocks on a slow reader
//! of standard output.

use std::io;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::time;

/// Maximum number of lines written per second: several times what a daemon logs when every request
/// fails.
pub const LINES_PER_SECOND: u32 = 200;
/// Maximum number of lines in the queue.
const PENDING_MAX: usize = 1024;
/// Longest time that [`PendingLines::flush`] waits.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Sending side of the queue. Each call of `write` is one line; lines beyond the rate limit or the
/// capacity are dropped and counted.
#[derive(Debug)]
pub struct LogQueue {
    lines: mpsc::SyncSender<Vec<u8>>,
    pending: PendingLines,
    /// Start of the current one-second window of the rate limit.
    window_start: time::Instant,
    /// Lines sent in the current window.
    sent: u32,
    /// Lines dropped since the last line that reported dropped lines.
    dropped: u64,
}

/// Counter of the lines that the writer thread has not written yet.
#[derive(Debug, Clone, Default)]
pub struct PendingLines(sync::Arc<atomic::AtomicUsize>);

impl PendingLines {
    /// Waits until all pending lines are written, for 200 ms at most.
    pub fn flush(&self) {
        let deadline = time::Instant::now() + FLUSH_TIMEOUT;
        while self.0.load(atomic::Ordering::Acquire) > 0 && time::Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl LogQueue {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(mut out: impl io::Write + Send + 'static) -> io::Result<(Self, PendingLines)> {
        let (lines, receiver) = mpsc::sync_channel::<Vec<u8>>(PENDING_MAX);
        let pending = PendingLines::default();
        let unwritten = pending.clone();
        let write = move || {
            for line in receiver {
                // Errors are ignored: if standard output is closed, they cannot be logged either.
                let _ = out.write_all(&line).and_then(|()| out.flush());
                unwritten.0.fetch_sub(1, atomic::Ordering::AcqRel);
            }
        };
        std::thread::Builder::new().name("log-writer".into()).spawn(write)?;
        let window_start = time::Instant::now();
        let queue = Self { lines, pending: pending.clone(), window_start, sent: 0, dropped: 0 };
        Ok((queue, pending))
    }

    /// Queues a line; returns whether the queue had room for it.
    fn send(&mut self, line: Vec<u8>) -> bool {
        self.pending.0.fetch_add(1, atomic::Ordering::AcqRel);
        let is_sent = self.lines.try_send(line).is_ok();
        if !is_sent {
            self.pending.0.fetch_sub(1, atomic::Ordering::AcqRel);
        }
        is_sent
    }

    /// Starts a new window of the rate limit if one second has passed, and reports dropped lines.
    fn start_window(&mut self) {
        if self.window_start.elapsed() < time::Duration::from_secs(1) {
            return;
        }
        (self.window_start, self.sent) = (time::Instant::now(), 0);
        if self.dropped > 0 {
            let line = format!("WARN event=left-out lines={}\n", self.dropped);
            if self.send(line.into_bytes()) {
                self.dropped = 0;
            }
        }
    }
}

impl io::Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.start_window();
        if self.sent < LINES_PER_SECOND && self.send(line.to_vec()) {
            self.sent += 1;
        } else {
            self.dropped += 1;
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
