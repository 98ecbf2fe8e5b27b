//! Trace of one request from the logs of all daemons: its attempts, the state of the upstreams and
//! sidecars that were tried, and the cause of its outcome.

use std::fmt;

use crate::log_line;

/// Log lines about one request and the cause of its outcome.
#[derive(Debug)]
pub struct RequestTrace<'a> {
    /// Lines with the request's id, and lines about the upstreams and sidecars that it was sent to.
    lines: Vec<&'a log_line::LogLine>,
    /// Cause of the outcome.
    cause: String,
}

/// Event that a sidecar logs about a local upstream.
const SIDECAR_EVENT: &str = "doubt";
/// Events that an ingress logs when the gossiped state of an upstream changes.
const INGRESS_EVENTS: [&str; 2] = ["upstream-draining", "upstream-gone"];
/// Events that a daemon logs about itself.
const DAEMON_EVENTS: [&str; 4] = ["started", "stopping", "stopped", "resumed"];

impl<'a> RequestTrace<'a> {
    /// Collects the lines of `log` about request `id`; returns `None` if no line has the id.
    pub fn collect(id: &str, log: &'a log_line::Log) -> Option<Self> {
        let mut lines: Vec<usize> = Vec::new();
        for (index, line) in log.lines.iter().enumerate() {
            if line.value("id") != id {
                continue;
            }
            let before = &log.lines[..index];
            let filters: [fn(&log_line::LogLine, &log_line::LogLine) -> bool; 3] =
                [is_sidecar_event, is_ingress_event, is_daemon_event];
            // Of each kind of event, only the last one before the end of the attempt is relevant.
            lines.extend(filters.iter().filter_map(|is_relevant| {
                before.iter().rposition(|earlier| is_relevant(earlier, line))
            }));
            lines.push(index);
        }
        lines.sort_unstable();
        lines.dedup();
        let lines: Vec<&log_line::LogLine> = lines.iter().map(|&index| &log.lines[index]).collect();
        let request_lines: Vec<&log_line::LogLine> =
            lines.iter().copied().filter(|line| line.value("id") == id).collect();
        request_lines.first()?;
        let end = request_lines.iter().find(|line| line.value("event") == "request");
        let cause = end.map_or_else(
            || {
                "no line reports the end of the request: the caller disconnected, the daemon \
                 stopped, or the line was dropped"
                    .to_owned()
            },
            |end| cause(end, &request_lines),
        );
        Some(Self { lines, cause })
    }

    /// Returns the cause of the outcome.
    #[cfg(test)]
    pub fn cause(&self) -> &str {
        &self.cause
    }
}

impl fmt::Display for RequestTrace<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{}  {}  {}", line.time, line.origin, line.text)?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

/// Returns whether `line` is a sidecar's event about the upstream of `attempt`.
fn is_sidecar_event(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    line.value("event") == SIDECAR_EVENT && names_upstream(line, attempt)
}

/// Returns whether `line` is an event about the upstream of `attempt`, logged by the same daemon.
fn is_ingress_event(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    INGRESS_EVENTS.contains(&line.value("event"))
        && line.origin == attempt.origin
        && names_upstream(line, attempt)
}

/// Returns whether `line` is an event about the daemon whose sidecar `attempt` was sent to.
fn is_daemon_event(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    let sidecar = attempt.value("gate");
    !sidecar.is_empty()
        && line.value("gate") == sidecar
        && DAEMON_EVENTS.contains(&line.value("event"))
}

/// Returns whether `line` contains the id of the upstream of `attempt`.
fn names_upstream(line: &log_line::LogLine, attempt: &log_line::LogLine) -> bool {
    let address = attempt.value("upstream");
    !address.is_empty() && line.text.split_whitespace().any(|word| is_upstream_at(word, address))
}

/// Returns whether a word is the id of the upstream at `address`: `service@address`.
fn is_upstream_at(word: &str, address: &str) -> bool {
    word.rsplit_once('@').is_some_and(|(_, found)| found == address)
}

/// Describes the cause of the outcome in `end`, the line with the event `request`.
fn cause(end: &log_line::LogLine, request_lines: &[&log_line::LogLine]) -> String {
    let (outcome, reason) = (end.value("outcome"), end.value("reason"));
    let attempts = end.number("attempts");
    let description = match (outcome, reason) {
        ("answered", _) => format!(
            "a backend server responded with status {}; this is the response of the last attempt",
            end.value("status")
        ),
        ("not-run", "shed") => "backend servers rejected it without running it".to_owned(),
        ("not-run", "wait-too-long" | "queue-full") => {
            "no sidecar expected a free slot in time: the service is overloaded".to_owned()
        }
        ("not-run", "deadline-before-run") => {
            "it waited for a slot until its deadline: the service is overloaded".to_owned()
        }
        ("not-run", "doubtful") => {
            "every remaining upstream was suspected, and the request is not idempotent".to_owned()
        }
        ("not-run", "calls-rejected") => {
            "the calls that requests of its route make were being rejected: the called service is \
             overloaded"
                .to_owned()
        }
        ("not-run", "limited") => {
            "the upstreams get as many requests per second as the limits allow that they name"
                .to_owned()
        }
        ("not-run", "quota-unavailable") => format!(
            "the owner of the quota of organisation '{}' did not respond in time",
            end.value("organisation")
        ),
        ("not-run", "rate-limited") => format!(
            "organisation '{}' was over its quota of {} requests/s and a burst of {} in the whole \
             fleet; there was room {} ms later",
            end.value("organisation"),
            end.value("rate"),
            end.value("burst"),
            end.value("room_ms")
        ),
        ("not-run", "quarantined") => {
            "upstreams had crashed while they ran copies of it, so it is quarantined".to_owned()
        }
        ("not-run", "no-upstream" | "unreachable") => {
            "no upstream of the service could be reached from this daemon".to_owned()
        }
        ("not-run", "no-route") => "the active policy has no route for it".to_owned(),
        ("not-run", "no-policy") => "the daemon had not received any policy yet".to_owned(),
        ("not-run", "unknown-key") => format!(
            "its key was missing, or unknown in policy version {}; the daemon knew of no newer one",
            end.value("policy")
        ),
        ("not-run", "policy-behind") if !end.value("newest").is_empty() => format!(
            "its key was unknown in policy version {}, and the daemon could not get version {} in \
             time",
            end.value("policy"),
            end.value("newest")
        ),
        ("not-run", "policy-behind") => {
            "a sidecar did not get the policy version of the ingress in time".to_owned()
        }
        ("not-run", "forbidden") => format!(
            "its organisation belongs to another team than the route in policy version {}",
            end.value("policy")
        ),
        ("may-have-run", "connection-lost") => {
            "the connection was lost after the request had been forwarded".to_owned()
        }
        ("may-have-run", "deadline") => {
            "no response arrived before the deadline, after it had been forwarded".to_owned()
        }
        ("may-have-run", "bad-answer" | "truncated") => {
            "the response was incomplete, malformed or belonged to another request".to_owned()
        }
        (outcome, reason) => format!("{outcome} {reason}"),
    };
    let mut parts = vec![description];
    if end.value("quarantined") == "true" {
        parts.push("it was not retried because it crashes upstreams".to_owned());
    } else if end.value("over_budget") == "true" {
        parts.push(
            "it was not retried because the retry budget was empty or kept for greater need"
                .to_owned(),
        );
    } else if outcome != "not-run" && attempts <= 1 {
        parts.push("it was not retried: it is not idempotent, or no time was left".to_owned());
    }
    if end.value("call") == "true" {
        let rank = end.value("rank");
        parts.push(format!("it was taken for a call of a running request of rank {rank}"));
    }
    let attempts = request_lines.iter().filter(|line| line.value("event") == "attempt");
    let not_run = attempts.filter(|line| line.value("outcome") == "not-run");
    let slowest = not_run.max_by_key(|line| line.number("took_ms"));
    if let Some(slowest) = slowest.filter(|line| 2 * line.number("took_ms") > end.number("took_ms"))
    {
        parts.push(format!(
            "most of its {} ms were spent at sidecar {} ({})",
            end.number("took_ms"),
            slowest.value("gate"),
            slowest.value("reason")
        ));
    }
    parts.join("; ")
}

#[cfg(test)]
mod tests;
