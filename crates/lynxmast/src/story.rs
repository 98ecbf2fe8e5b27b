//! What the logs of all daemons tell of one request: its attempts, what was known then of the
//! upstreams and gates asked, and the cause of its end.

use std::fmt;

use crate::log_line;

/// Story of one request.
#[derive(Debug)]
pub struct Story<'a> {
    /// Lines that name the request, and those on the upstreams and gates that it was sent to.
    lines: Vec<&'a log_line::LogLine>,
    /// Why it ended as it did.
    cause: String,
}

/// Event in which a gate tells of its upstream.
const OF_GATES: &str = "doubt";
/// Events in which the entry that asks tells what it has heard of an upstream.
const OF_ENTRIES: [&str; 2] = ["upstream-draining", "upstream-gone"];
/// Events in which a daemon tells of itself.
const OF_DAEMONS: [&str; 4] = ["started", "stopping", "stopped", "resumed"];

impl<'a> Story<'a> {
    /// Puts together what `log` tells of request `id`; `None` if no line names it.
    pub fn of(id: &str, log: &'a log_line::Log) -> Option<Self> {
        let mut lines: Vec<usize> = Vec::new();
        for (index, line) in log.lines.iter().enumerate() {
            if line.value("id") != id {
                continue;
            }
            let before = &log.lines[..index];
            let known: [fn(&log_line::LogLine, &log_line::LogLine) -> bool; 3] =
                [is_of_gate, is_of_entry, is_of_daemon];
            // Of each kind of news, the last one before the attempt ended is what counted.
            lines.extend(
                known.iter().filter_map(|is_known| {
                    before.iter().rposition(|earlier| is_known(earlier, line))
                }),
            );
            lines.push(index);
        }
        lines.sort_unstable();
        lines.dedup();
        let lines: Vec<&log_line::LogLine> = lines.iter().map(|&index| &log.lines[index]).collect();
        let own: Vec<&log_line::LogLine> =
            lines.iter().copied().filter(|line| line.value("id") == id).collect();
        own.first()?;
        let end = own.iter().find(|line| line.value("event") == "request");
        let cause = end.map_or_else(
            || "no line tells of the end: the caller left, the daemon ended, or the line was left out".to_owned(),
            |end| cause(end, &own),
        );
        Some(Self { lines, cause })
    }

    /// Returns why the request ended as it did.
    #[cfg(test)]
    pub fn cause(&self) -> &str {
        &self.cause
    }
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{}  {}  {}", line.time, line.origin, line.text)?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

fn is_of_gate(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    line.value("event") == OF_GATES && names_upstream(line, attempt)
}

fn is_of_entry(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    OF_ENTRIES.contains(&line.value("event"))
        && line.origin == attempt.origin
        && names_upstream(line, attempt)
}

fn is_of_daemon(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    let gate = attempt.value("gate");
    !gate.is_empty() && line.value("gate") == gate && OF_DAEMONS.contains(&line.value("event"))
}

/// Tells whether a line names the upstream that an attempt was made at.
fn names_upstream(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    let address = attempt.value("upstream");
    !address.is_empty() && line.text.split_whitespace().any(|word| is_at(word, address))
}

/// Tells whether a word is an upstream's id, which is its service, `@` and its address.
fn is_at(word: &str, address: &str) -> bool {
    word.rsplit_once('@').is_some_and(|(_, own)| own == address)
}

/// Says in words what the line on the request's end tells.
fn cause(end: &log_line::LogLine, own: &[&log_line::LogLine]) -> String {
    let (outcome, reason) = (end.value("outcome"), end.value("reason"));
    let attempts = end.number("attempts");
    let what = match (outcome, reason) {
        ("answered", _) => format!(
            "a backend server answered with status {}; it is the answer of the last one asked",
            end.value("status")
        ),
        ("not-run", "shed") => "backend servers rejected it without running it".to_owned(),
        ("not-run", "wait-too-long" | "queue-full") => {
            "no gate expected a free slot in time: the service is overloaded".to_owned()
        }
        ("not-run", "deadline-before-run") => {
            "it waited for a slot until its deadline: the service is overloaded".to_owned()
        }
        ("not-run", "doubtful") => {
            "every upstream left was doubted by its gate, and it must not run twice".to_owned()
        }
        ("not-run", "no-upstream" | "unreachable") => {
            "no upstream of the service could be reached from this daemon".to_owned()
        }
        ("not-run", "no-route") => "the policy in force has no route for it".to_owned(),
        ("not-run", "no-policy") => "the daemon had not heard any policy yet".to_owned(),
        ("may-have-run", "connection-lost") => {
            "the connection was lost after the request had been handed over".to_owned()
        }
        ("may-have-run", "deadline") => {
            "no answer came before the deadline, after it had been handed over".to_owned()
        }
        ("may-have-run", "bad-answer" | "truncated") => {
            "what came back was not a whole answer to this request".to_owned()
        }
        (outcome, reason) => format!("{outcome} {reason}"),
    };
    let mut parts = vec![what];
    if end.value("over_budget") == "true" {
        parts.push("another attempt was left out as the retry budget was empty".to_owned());
    } else if outcome != "not-run" && attempts <= 1 {
        parts.push("it was not sent again: it must not run twice, or no time was left".to_owned());
    }
    let attempts = own.iter().filter(|line| line.value("event") == "attempt");
    let refused = attempts.filter(|line| line.value("outcome") == "not-run");
    let slowest = refused.max_by_key(|line| line.number("took_ms"));
    if let Some(slowest) = slowest.filter(|line| 2 * line.number("took_ms") > end.number("took_ms"))
    {
        parts.push(format!(
            "most of its {} ms went to the gate {} ({})",
            end.number("took_ms"),
            slowest.value("gate"),
            slowest.value("reason")
        ));
    }
    parts.join("; ")
}

#[cfg(test)]
mod tests;
