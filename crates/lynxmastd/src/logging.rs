//! Logging to standard output as lines with key-value pairs, filtered by `RUST_LOG`.

use std::io::Write;

use env_logger::fmt;
use log::kv;

use crate::log_queue;

/// Filter used if `RUST_LOG` is not set. The RPC library does not name the peer or the message in its
/// lines; the control client logs its failures instead.
const DEFAULT_FILTER: &str = "info,tarpc=off";

/// Installs the logger. The returned handle flushes pending lines before the process exits.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub fn start() -> std::io::Result<log_queue::PendingLines> {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let (queue, pending) = log_queue::LogQueue::start(std::io::stdout())?;
    let target = env_logger::Target::Pipe(Box::new(queue));
    env_logger::Builder::from_env(env).format(write_line).target(target).init();
    Ok(pending)
}

fn write_line(out: &mut fmt::Formatter, record: &log::Record<'_>) -> std::io::Result<()> {
    let time = out.timestamp_millis();
    write!(out, "{time} {} {}", record.level(), record.args())?;
    // If a pair cannot be written, the rest of the line is still logged.
    let _ = record.key_values().visit(&mut PairWriter { out });
    writeln!(out)
}

/// Writes key-value pairs to a log line.
struct PairWriter<'a> {
    out: &'a mut fmt::Formatter,
}

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        // Values with white space or quotes are quoted, so that the line can be parsed.
        let is_plain = !text.contains(|c: char| c.is_whitespace() || c == '"');
        let result = if is_plain {
            write!(self.out, " {key}={text}")
        } else {
            write!(self.out, " {key}=\"{}\"", text.replace(['"', '\n'], "'"))
        };
        result.map_err(|_| kv::Error::msg("cannot write"))
    }
}
