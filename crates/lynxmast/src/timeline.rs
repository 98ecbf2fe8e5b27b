//! `timeline`: the events of all reachable daemons, merged in chronological order.

use lynxmast_protocol::admin as api;
use lynxmast_state::event;
use lynxmast_state::shared_state;

use crate::admin;
use crate::arguments;
use crate::error;
use crate::explain;
use crate::log_line;

/// Prints the merged timeline. Daemons that do not respond and the number of dropped events are
/// reported on standard error.
///
/// # Errors
///
/// Returns an error if the daemon given on the command line does not respond.
pub async fn show(options: &arguments::Timeline) -> Result<(), error::CliError> {
    if !options.files.is_empty() {
        return show_files(options);
    }
    let daemon = admin::required(options.daemon, "daemon")?;
    let status: api::Status = admin::get(daemon, api::STATUS_PATH).await?;
    let mut events: Vec<event::Event> = Vec::new();
    for member in &status.members {
        let response = admin::get::<shared_state::Timeline>(member.admin, api::TIMELINE_PATH).await;
        match response {
            Ok(timeline) => {
                if timeline.dropped > 0 {
                    let (name, dropped) = (&member.daemon, timeline.dropped);
                    eprintln!("{name}: the oldest {dropped} events have been dropped");
                }
                events.extend(timeline.events);
            }
            Err(error) => eprintln!("{}: timeline is not available: {error}", member.daemon),
        }
    }
    events.sort_by_key(|event| (event.at_us, event.sequence));
    let only = options.only.as_deref().unwrap_or_default();
    for event in &events {
        let line = format!("{}  {}  {}", format_time(event.at_us), event.daemon, event.kind);
        if !line.contains(only) {
            continue;
        }
        if options.json {
            println!("{}", serde_json::to_string(event).unwrap_or_default());
        } else {
            println!("{line}");
        }
    }
    Ok(())
}

/// Prints the lines of log files that report changes of state. Lines about single requests are
/// omitted.
fn show_files(options: &arguments::Timeline) -> Result<(), error::CliError> {
    let log = explain::read_logs(&options.files)?;
    let only = options.only.as_deref().unwrap_or_default();
    let has_request_id = |line: &log_line::LogLine| !line.value("id").is_empty();
    for line in log.lines.iter().filter(|line| !has_request_id(line)) {
        let text = format!("{}  {}  {}", line.time, line.origin, line.text);
        if text.contains(only) {
            println!("{text}");
        }
    }
    Ok(())
}

/// Formats microseconds since the epoch as time of day in UTC, with milliseconds.
fn format_time(at_us: u64) -> String {
    let seconds = at_us / 1_000_000;
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:03}", seconds % 60, at_us / 1000 % 1000)
}
