//! Log lines with key-value pairs on standard output, at the level that `RUST_LOG` names.

use std::io::Write;

use env_logger::fmt;
use log::kv;

use crate::line_queue;

/// Levels unless `RUST_LOG` says otherwise; the RPC library would write lines for each message.
const DEFAULT_FILTER: &str = "info,tarpc=warn";

/// Starts logging; the result waits for lines on their way at the end of the process.
///
/// # Errors
///
/// Fails when the system starts no thread for the lines.
pub fn start() -> std::io::Result<line_queue::Waiting> {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let (queue, waiting) = line_queue::LineQueue::start(std::io::stdout())?;
    let target = env_logger::Target::Pipe(Box::new(queue));
    env_logger::Builder::from_env(env).format(write_line).target(target).init();
    Ok(waiting)
}

fn write_line(out: &mut fmt::Formatter, record: &log::Record<'_>) -> std::io::Result<()> {
    let time = out.timestamp_millis();
    write!(out, "{time} {} {}", record.level(), record.args())?;
    // Pairs that cannot be written leave the rest of the line intact.
    let _ = record.key_values().visit(&mut Pairs { out });
    writeln!(out)
}

struct Pairs<'a> {
    out: &'a mut fmt::Formatter,
}

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        // What would break up the line when it is read back is quoted.
        let is_plain = !text.contains(|c: char| c.is_whitespace() || c == '"');
        let written = if is_plain {
            write!(self.out, " {key}={text}")
        } else {
            write!(self.out, " {key}=\"{}\"", text.replace(['"', '\n'], "'"))
        };
        written.map_err(|_| kv::Error::msg("cannot write"))
    }
}
