//! Stand-ins of the review's scripts: the platform with its store, backend servers and callers.
//! It starts the daemons as separate processes and plays one case, named by its first argument.
//!
//! Usage: rig-2 CASE RECORD, in the root of the repository. Exits with 0 if the rule held, 1 if it was broken
//! and 2 if the case could not run.

mod caller;
mod cases;
mod daemon;
mod http;
mod record;
mod server;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("usage: rig-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(file);
    record.line(format!("case {case}, disruption {}", if is_disrupted { "on" } else { "off" }));
    let played = std::panic::catch_unwind(|| cases::play(case, &record, is_disrupted));
    let result = played.unwrap_or_else(|_| Err("a stand-in panicked".into()));
    record.line(match &result {
        Ok(true) => "result: the rule held".to_owned(),
        Ok(false) => "result: the rule was broken".to_owned(),
        Err(reason) => format!("result: the case could not run: {reason}"),
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
