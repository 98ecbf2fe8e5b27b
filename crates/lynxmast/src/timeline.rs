//! `timeline`: the events of all reachable daemons in one order.

use lynxmast_protocol::admin as api;
use lynxmast_state::event;
use lynxmast_state::shared_state;

use crate::admin;
use crate::arguments;
use crate::explain;
use crate::fail;
use crate::log_line;

/// Shows the merged time line; daemons that do not answer, and events no longer kept, are named.
///
/// # Errors
///
/// Fails when the daemon that was named does not answer.
pub async fn show(options: &arguments::Timeline) -> Result<(), fail::Fail> {
    if !options.files.is_empty() {
        return show_files(options);
    }
    let daemon = admin::required(options.daemon, "daemon")?;
    let status: api::Status = admin::get(daemon, api::STATUS_PATH).await?;
    let mut events: Vec<event::Event> = Vec::new();
    for member in &status.members {
        let asked = admin::get::<shared_state::Timeline>(member.admin, api::TIMELINE_PATH).await;
        match asked {
            Ok(timeline) => {
                if timeline.dropped > 0 {
                    let (name, dropped) = (&member.daemon, timeline.dropped);
                    eprintln!("{name}: the oldest {dropped} events are no longer kept");
                }
                events.extend(timeline.events);
            }
            Err(fail) => eprintln!("{} could not be asked: {fail}", member.daemon),
        }
    }
    events.sort_by_key(|event| (event.at_us, event.sequence));
    let only = options.only.as_deref().unwrap_or_default();
    for event in &events {
        let line = format!("{}  {}  {}", time_of(event.at_us), event.daemon, event.kind);
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

/// Shows what log files tell of changes of state; lines on single requests are left out.
fn show_files(options: &arguments::Timeline) -> Result<(), fail::Fail> {
    let log = explain::read(&options.files)?;
    let only = options.only.as_deref().unwrap_or_default();
    let is_of_request = |line: &log_line::LogLine| !line.value("id").is_empty();
    for line in log.lines.iter().filter(|line| !is_of_request(line)) {
        let text = format!("{}  {}  {}", line.time, line.origin, line.text);
        if text.contains(only) {
            println!("{text}");
        }
    }
    Ok(())
}

/// Writes the time of day in UTC with milliseconds.
fn time_of(at_us: u64) -> String {
    let seconds = at_us / 1_000_000;
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:03}", seconds % 60, at_us / 1000 % 1000)
}
