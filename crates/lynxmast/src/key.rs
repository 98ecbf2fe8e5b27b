//! `key`: generates key pairs of teams; reads their private key files.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path;

use lynxmast_state::policy::signature;

use crate::error;

/// File mode of a private key: readable and writable by its owner only.
const PRIVATE_MODE: u32 = 0o600;

/// Generates a key pair, writes the private key to a new file and prints the public key.
///
/// # Errors
///
/// Returns an error if the file exists already or cannot be written.
pub fn create(file: &path::Path) -> Result<(), error::CliError> {
    let key = signature::TeamKey::new(rand::random());
    let mut options = fs::OpenOptions::new();
    let opened = options.write(true).create_new(true).mode(PRIVATE_MODE).open(file);
    let written = opened.and_then(|mut created| writeln!(created, "{}", key.private_hex()));
    written.map_err(|error| {
        error::CliError::new(error::EXIT_USAGE, format!("{}: {error}", file.display()))
    })?;
    println!("{}", key.public_hex());
    Ok(())
}

/// Reads a private key file.
///
/// # Errors
///
/// Returns an error that names the file if it cannot be read or does not contain a private key.
pub fn read(file: &path::Path) -> Result<signature::TeamKey, error::CliError> {
    let name = file.display();
    let text = fs::read_to_string(file)
        .map_err(|error| error::CliError::new(error::EXIT_USAGE, format!("{name}: {error}")))?;
    signature::TeamKey::parse(&text)
        .map_err(|error| error::CliError::new(error::EXIT_USAGE, format!("{name}: {error}")))
}
