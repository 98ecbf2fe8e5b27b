//! `key`: keys of teams in files.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path;

use lynxmast_state::policy::signature;

use crate::fail;

/// Mode of a private key's file: its owner alone reads it.
const PRIVATE_MODE: u32 = 0o600;

/// Makes a key, writes the private half to a new file and prints the public half.
///
/// # Errors
///
/// Fails when the file exists or cannot be written.
pub fn create(file: &path::Path) -> Result<(), fail::Fail> {
    let key = signature::TeamKey::new(rand::random());
    let mut options = fs::OpenOptions::new();
    let opened = options.write(true).create_new(true).mode(PRIVATE_MODE).open(file);
    let written = opened.and_then(|mut opened| writeln!(opened, "{}", key.private_hex()));
    written
        .map_err(|error| fail::Fail::new(fail::USAGE, format!("{}: {error}", file.display())))?;
    println!("{}", key.public_hex());
    Ok(())
}

/// Reads a private key.
///
/// # Errors
///
/// Names the file that cannot be read or holds no key.
pub fn read(file: &path::Path) -> Result<signature::TeamKey, fail::Fail> {
    let name = file.display();
    let text = fs::read_to_string(file)
        .map_err(|error| fail::Fail::new(fail::USAGE, format!("{name}: {error}")))?;
    signature::TeamKey::parse(&text)
        .map_err(|error| fail::Fail::new(fail::USAGE, format!("{name}: {error}")))
}
