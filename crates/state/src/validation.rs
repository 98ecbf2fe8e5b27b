//! Validating TOML reader that reports all problems of a text instead of stopping at the first.

use std::fmt;

use serde::de;

/// A problem in a settings file or a policy section.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Key path, such as `service[1].floor`.
    pub key: String,
    /// Line number, counted from 1; `None` if the line is not known.
    pub line: Option<usize>,
    /// Description of the error and of the expected value.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

/// Keys whose values must not appear in messages: messages of deserialisation errors quote values.
const SECRET_KEYS: [&str; 3] = ["key-hash", "key-hashes", "secret"];

/// Deserialises tables of one TOML text and collects all problems.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    /// Problems in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `text`, which has no problems yet.
    pub fn new(text: &'a str) -> Self {
        Self { text, problems: Vec::new() }
    }

    /// Parses the text. On a syntax error, records a problem and returns an empty table.
    pub fn parse(&mut self) -> toml::Table {
        match self.text.parse() {
            Ok(table) => table,
            Err(error) => {
                let error: toml::de::Error = error;
                let line = error.span().map(|span| line_at(self.text, span.start));
                let reason = error.message().to_owned();
                self.problems.push(Problem { key: String::new(), line, reason });
                toml::Table::new()
            }
        }
    }

    /// Deserialises `table`, found at `location`, into `T`.
    ///
    /// Each key is deserialised on its own first, so that every invalid key is reported as a
    /// separate problem. The fields of invalid keys keep their default values.
    pub fn read<T>(&mut self, table: toml::Table, location: &Location) -> T
    where
        T: de::DeserializeOwned + Default,
    {
        let mut valid = toml::Table::new();
        for (key, value) in table {
            let single: toml::Table = [(key.clone(), value.clone())].into_iter().collect();
            match T::deserialize(single) {
                Ok(_) => {
                    valid.insert(key, value);
                }
                Err(_) if SECRET_KEYS.contains(&key.as_str()) => {
                    self.report(location, &key, "has the wrong type".to_owned());
                }
                Err(error) => self.report(location, &key, error.message().trim().to_owned()),
            }
        }
        T::deserialize(valid).unwrap_or_default()
    }

    /// Records a problem with `key` of the table at `location`.
    pub fn report(&mut self, location: &Location, key: &str, reason: String) {
        let line = location.find_line(self.text, key);
        self.problems.push(Problem { key: location.key_path(key), line, reason });
    }
}

/// Location of a table in a TOML text.
#[derive(Debug, Clone, PartialEq)]
pub struct Location {
    /// Header without brackets; empty for the top level.
    pub header: &'static str,
    /// Index in an array of tables, counted from 0; `None` for a table that is not in an array.
    pub index: Option<usize>,
}

impl Location {
    /// The top level of the text.
    pub const TOP: Location = Location { header: "", index: None };

    /// Returns the path of `key` for messages, such as `service[1].floor`.
    fn key_path(&self, key: &str) -> String {
        let separator = if self.header.is_empty() || key.is_empty() { "" } else { "." };
        match self.index {
            Some(index) => format!("{}[{index}]{separator}{key}", self.header),
            None => format!("{}{separator}{key}", self.header),
        }
    }

    /// Returns the line of `key`, or of the table's header if the key is absent; `None` if neither
    /// is found. Lines are counted from 1.
    fn find_line(&self, text: &str, key: &str) -> Option<usize> {
        let header = match self.index {
            Some(_) => format!("[[{}]]", self.header),
            None => format!("[{}]", self.header),
        };
        let mut in_table = self.header.is_empty();
        let mut header_line = None;
        let mut headers_seen = 0;
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                if in_table && header_line.is_some() {
                    break;
                }
                let is_match = line.replace(' ', "").starts_with(&header);
                in_table = is_match && self.index.is_none_or(|i| i == headers_seen);
                headers_seen += usize::from(is_match);
                header_line = in_table.then_some(index + 1);
                continue;
            }
            let name = line.split('=').next().unwrap_or_default().trim().trim_matches('"');
            if in_table && !key.is_empty() && name == key {
                return Some(index + 1);
            }
        }
        header_line
    }
}

/// Returns the number of the line, counted from 1, that contains byte offset `byte`.
fn line_at(text: &str, byte: usize) -> usize {
    text.bytes().take(byte).filter(|&b| b == b'\n').count() + 1
}
