//! Lines of daemons' logs, read back into their parts.

use std::io;
use std::io::BufRead;
use std::path;

/// One line of a daemon's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of day with date, as written; sorts in order of time.
    pub time: String,
    /// Where the line comes from: what stands before the time, or the file's name.
    pub origin: String,
    /// Text after the level, as written.
    pub text: String,
    /// Pairs of key and value.
    pairs: Vec<(String, String)>,
}

/// Lines of several files, and how many could not be read.
#[derive(Debug, Default)]
pub struct Log {
    /// Lines in order of time.
    pub lines: Vec<LogLine>,
    /// Lines that are not of a daemon's log.
    pub passed_over: usize,
}

const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

impl LogLine {
    /// Parses a line of the log of `origin`; `None` if it is not one.
    pub fn parse(text: &str, origin: &str) -> Option<Self> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let level = words.iter().position(|word| LEVELS.contains(word))?;
        let time = *words.get(level.checked_sub(1)?)?;
        if !is_time(time) {
            return None;
        }
        // Collected logs have the VM's name before the time.
        let origin = level.checked_sub(2).map_or(origin, |index| words[index]);
        let rest = text.split_once(words[level])?.1.trim();
        Some(Self {
            time: time.to_owned(),
            origin: origin.to_owned(),
            text: rest.to_owned(),
            pairs: pairs(rest),
        })
    }

    /// Returns the value of a key, empty if the line has none.
    pub fn value(&self, key: &str) -> &str {
        let found = self.pairs.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the value of a key as a number; 0 if there is none.
    pub fn number(&self, key: &str) -> u64 {
        self.value(key).parse().unwrap_or(0)
    }
}

impl Log {
    /// Reads files, or standard input if none is named.
    ///
    /// # Errors
    ///
    /// Names the file that cannot be read.
    pub fn read(files: &[path::PathBuf]) -> Result<Self, String> {
        let mut log = Self::default();
        if files.is_empty() {
            log.take(io::stdin().lock(), "-")
                .map_err(|error| format!("standard input: {error}"))?;
        }
        for file in files {
            let failed = |error: io::Error| format!("{}: {error}", file.display());
            let opened = std::fs::File::open(file).map_err(failed)?;
            let origin = file.file_stem().unwrap_or_default().to_string_lossy();
            log.take(io::BufReader::new(opened), &origin).map_err(failed)?;
        }
        log.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(log)
    }

    /// Takes in the lines of one origin.
    pub fn take(&mut self, source: impl BufRead, origin: &str) -> io::Result<()> {
        for line in source.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            match LogLine::parse(&text, origin) {
                Some(parsed) => self.lines.push(parsed),
                None if text.trim().is_empty() => {}
                None => self.passed_over += 1,
            }
        }
        Ok(())
    }
}

/// Tells whether a word looks like `2026-02-17T04:11:52.272Z`.
fn is_time(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() >= 20 && bytes[4] == b'-' && bytes[10] == b'T' && bytes.ends_with(b"Z")
}

/// Reads `key=value` and `key="value with spaces"`.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(char::is_whitespace).next().unwrap_or_default();
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(char::is_whitespace).unwrap_or((after, "")),
        };
        if !key.is_empty() {
            found.push((key.to_owned(), value.to_owned()));
        }
        rest = left;
    }
    found
}

#[cfg(test)]
mod tests;
