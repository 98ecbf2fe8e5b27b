//! Parser of the log lines that daemons write.

use std::io;
use std::io::BufRead;
use std::path;

/// One line of a daemon's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Timestamp in RFC 3339 format, as written; sorts in chronological order as text.
    pub time: String,
    /// Source of the line: the word before the timestamp if there is one, else the name of the file
    /// without its extension, or `-` for standard input.
    pub origin: String,
    /// Message and key-value pairs: everything after the level, as written.
    pub text: String,
    /// Key-value pairs.
    pairs: Vec<(String, String)>,
}

/// Lines of several log files.
#[derive(Debug, Default)]
pub struct Log {
    /// Lines in chronological order.
    pub lines: Vec<LogLine>,
    /// Number of non-empty lines that are not daemon log lines.
    pub skipped: usize,
}

const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

impl LogLine {
    /// Parses one line of the log of `origin`; returns `None` if it is not a daemon log line.
    pub fn parse(text: &str, origin: &str) -> Option<Self> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let level = words.iter().position(|word| LEVELS.contains(word))?;
        let time = *words.get(level.checked_sub(1)?)?;
        if !is_timestamp(time) {
            return None;
        }
        // Collected logs have the name of the VM before the timestamp.
        let origin = level.checked_sub(2).map_or(origin, |index| words[index]);
        let rest = text.split_once(words[level])?.1.trim();
        Some(Self {
            time: time.to_owned(),
            origin: origin.to_owned(),
            text: rest.to_owned(),
            pairs: parse_pairs(rest),
        })
    }

    /// Returns the value of `key`; an empty string if the line does not have the key.
    pub fn value(&self, key: &str) -> &str {
        let found = self.pairs.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the value of `key` as a number; 0 if it is missing or not a number.
    pub fn number(&self, key: &str) -> u64 {
        self.value(key).parse().unwrap_or(0)
    }
}

impl Log {
    /// Reads log files, or standard input if `files` is empty.
    ///
    /// # Errors
    ///
    /// Returns a message that names the file that cannot be read.
    pub fn read(files: &[path::PathBuf]) -> Result<Self, String> {
        let mut log = Self::default();
        if files.is_empty() {
            log.append(io::stdin().lock(), "-")
                .map_err(|error| format!("standard input: {error}"))?;
        }
        for file in files {
            let to_message = |error: io::Error| format!("{}: {error}", file.display());
            let opened = std::fs::File::open(file).map_err(to_message)?;
            let origin = file.file_stem().unwrap_or_default().to_string_lossy();
            log.append(io::BufReader::new(opened), &origin).map_err(to_message)?;
        }
        log.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(log)
    }

    /// Parses the lines of `source` and appends them to the log. Does not sort the lines.
    ///
    /// # Errors
    ///
    /// Returns the error of reading `source`.
    pub fn append(&mut self, source: impl BufRead, origin: &str) -> io::Result<()> {
        for line in source.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            match LogLine::parse(&text, origin) {
                Some(parsed) => self.lines.push(parsed),
                None if text.trim().is_empty() => {}
                None => self.skipped += 1,
            }
        }
        Ok(())
    }
}

/// Returns whether a word looks like `2026-02-17T04:11:52.272Z`.
fn is_timestamp(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() >= 20 && bytes[4] == b'-' && bytes[10] == b'T' && bytes.ends_with(b"Z")
}

/// Parses all `key=value` and `key="value with spaces"` pairs of a text.
fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(char::is_whitespace).next().unwrap_or_default();
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(char::is_whitespace).unwrap_or((after, "")),
        };
        if !key.is_empty() {
            pairs.push((key.to_owned(), value.to_owned()));
        }
        rest = remainder;
    }
    pairs
}

#[cfg(test)]
mod tests;
