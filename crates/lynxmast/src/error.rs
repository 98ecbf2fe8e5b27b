//! Errors of commands and their exit codes, which scripts rely on.

use std::fmt;

/// Exit code for invalid arguments or files.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a daemon or log that does not respond.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for an edit that was rejected.
pub const EXIT_REJECTED: u8 = 4;
/// Exit code for an edit that was not confirmed in time.
pub const EXIT_UNCONFIRMED: u8 = 5;

/// Exit code of `check --strict` for files that are valid and have warnings.
pub const EXIT_WARNINGS: u8 = 6;

/// Error of a command.
#[derive(Debug)]
pub struct CliError {
    /// Exit code of the process.
    pub code: u8,
    /// Message that says what failed and, if possible, what to do about it.
    pub message: String,
}

impl CliError {
    /// Creates an error with an exit code and a message.
    pub fn new(code: u8, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}
