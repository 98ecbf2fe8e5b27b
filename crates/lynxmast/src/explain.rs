//! `explain`: the course of one request, taken from the logs of all daemons.

use crate::arguments;
use crate::error;
use crate::log_line;
use crate::request_trace;

/// Prints the log lines that concern a request and the cause of its outcome.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line has the request's id.
pub fn explain(options: &arguments::Explain) -> Result<(), error::CliError> {
    let log = read_logs(&options.files)?;
    let Some(trace) = request_trace::RequestTrace::collect(&options.id, &log) else {
        let message = format!(
            "request '{}' not found in {} log lines; only a sample of the successful requests is \
             logged",
            options.id,
            log.lines.len()
        );
        return Err(error::CliError::new(error::EXIT_USAGE, message));
    };
    print!("{trace}");
    Ok(())
}

/// Reads log files; prints a warning with the number of skipped lines to standard error.
///
/// # Errors
///
/// Returns an error that names the file that cannot be read.
pub fn read_logs(files: &[std::path::PathBuf]) -> Result<log_line::Log, error::CliError> {
    let log = log_line::Log::read(files)
        .map_err(|message| error::CliError::new(error::EXIT_USAGE, message))?;
    if log.skipped > 0 {
        eprintln!("skipped {} lines that are not daemon log lines", log.skipped);
    }
    Ok(log)
}
