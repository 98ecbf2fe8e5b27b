//! `explain`: the story of one request over the logs of all daemons.

use crate::arguments;
use crate::fail;
use crate::log_line;
use crate::story;

/// Prints what the logs tell of a request.
///
/// # Errors
///
/// Fails when a file cannot be read, or when no line names the request.
pub fn explain(options: &arguments::Explain) -> Result<(), fail::Fail> {
    let log = read(&options.files)?;
    let Some(story) = story::Story::of(&options.id, &log) else {
        let text = format!(
            "no line names request '{}' in {} lines; requests that were answered well leave a line \
             only now and then",
            options.id,
            log.lines.len()
        );
        return Err(fail::Fail::new(fail::USAGE, text));
    };
    print!("{story}");
    Ok(())
}

/// Reads log files and says how many of their lines are none of a daemon's.
///
/// # Errors
///
/// Names the file that cannot be read.
pub fn read(files: &[std::path::PathBuf]) -> Result<log_line::Log, fail::Fail> {
    let log = log_line::Log::read(files).map_err(|text| fail::Fail::new(fail::USAGE, text))?;
    if log.passed_over > 0 {
        eprintln!("{} lines are not of a daemon's log and were passed over", log.passed_over);
    }
    Ok(log)
}
