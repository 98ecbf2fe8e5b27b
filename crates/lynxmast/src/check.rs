//! `check`: validates section files or a configuration before it is sent, and shows what differs from
//! the version in force.

use std::collections;
use std::net;
use std::path;

use lynxmast_platform::configuration;
use lynxmast_protocol::admin as api;
use lynxmast_state::ids;
use lynxmast_state::policy::change;
use lynxmast_state::policy::document;
use lynxmast_state::policy::edit;
use lynxmast_state::policy::finding;
use lynxmast_state::policy::section;
use lynxmast_state::policy::service;
use lynxmast_state::validation;

use crate::admin;
use crate::arguments;
use crate::error;

/// One line of the command's output.
#[derive(Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
struct Line {
    /// `error`, `warning`, `change` or `valid`.
    kind: &'static str,
    /// File that the line is about; `None` for a change.
    file: Option<String>,
    /// Key path of the entry, if known.
    key: Option<String>,
    /// Line number in the file, if known.
    line: Option<usize>,
    text: String,
}

/// Document in force, and what is known about the upstreams.
#[derive(Default)]
struct InForce {
    document: Option<document::Document>,
    pools: finding::Pools,
}

/// Validates the files, alone and together, and compares them with the version in force.
///
/// # Errors
///
/// Returns an error if a file is invalid or, with `--strict`, if there are warnings. All errors,
/// warnings and changes are printed.
pub async fn check(options: &arguments::Check) -> Result<(), error::CliError> {
    let mut lines = Vec::new();
    let in_force = read_in_force(options).await?;
    let document = if options.configuration {
        read_configurations(&options.files, &mut lines)
    } else {
        read_sections(&options.files, in_force.document.as_ref(), &mut lines)
    };
    add_findings(&document, &in_force.pools, &mut lines);
    let is_valid = lines.iter().all(|line| line.kind != "error");
    if let Some(old) = in_force.document.as_ref().filter(|_| is_valid) {
        add_changes(old, &document, &mut lines);
    }
    let count = |kind| lines.iter().filter(|line| line.kind == kind).count();
    let (errors, warnings) = (count("error"), count("warning"));
    lines.iter().for_each(|line| line.print(options.json));
    if errors > 0 {
        return Err(error::CliError::new(error::EXIT_USAGE, format!("errors: {errors}")));
    }
    if warnings > 0 && options.strict {
        return Err(error::CliError::new(error::EXIT_WARNINGS, format!("warnings: {warnings}")));
    }
    Ok(())
}

/// Reads the section files. Names must also be unique among the sections of other teams that are
/// `in_force`, which are not part of the result.
fn read_sections(
    files: &[path::PathBuf],
    in_force: Option<&document::Document>,
    lines: &mut Vec<Line>,
) -> document::Document {
    let mut document = in_force.cloned().unwrap_or_default();
    let mut teams = collections::HashSet::new();
    for file in files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => teams.extend(add_section(&mut document, &name, &text, lines)),
            Err(error) => lines.push(Line::error(&name, None, None, error.to_string())),
        }
    }
    document.sections.retain(|team, _| teams.contains(team));
    document
}

/// Adds a section to `document` and returns its team if it is valid. `file` is the name of the file that
/// contains `text`.
fn add_section(
    document: &mut document::Document,
    file: &str,
    text: &str,
    lines: &mut Vec<Line>,
) -> Option<ids::TeamName> {
    let mut report = |problem: validation::Problem| {
        lines.push(Line::error(file, Some(problem.key), problem.line, problem.reason));
    };
    if text.len() > edit::Edit::TEXT_MAX_BYTES {
        let reason = format!("larger than {} bytes", edit::Edit::TEXT_MAX_BYTES);
        report(validation::Problem { key: String::new(), line: None, reason });
        return None;
    }
    let parsed = section::Section::parse(text);
    let section = parsed.map_err(|problems| problems.into_iter().for_each(&mut report)).ok()?;
    let conflicts = document.name_conflicts(&section);
    if !conflicts.is_empty() {
        conflicts.into_iter().for_each(report);
        return None;
    }
    lines.push(Line::valid(file, &section));
    let team = section.team.clone();
    document.sections.insert(team.clone(), section);
    Some(team)
}

/// Reads whole configurations of the users' platform; the last one counts.
fn read_configurations(files: &[path::PathBuf], lines: &mut Vec<Line>) -> document::Document {
    let mut document = document::Document::default();
    for file in files {
        let name = file.display().to_string();
        match read_configuration(file) {
            Ok(decoded) => {
                lines.extend(decoded.sections.values().map(|section| Line::valid(&name, section)));
                document = decoded;
            }
            Err(text) => lines.push(Line::error(&name, None, None, text)),
        }
    }
    document
}

fn read_configuration(file: &path::Path) -> Result<document::Document, String> {
    let bytes = std::fs::read(file).map_err(|error| error.to_string())?;
    // A configuration does not contain these values, so nothing can contradict them.
    let service = service::Service {
        max_wait: std::time::Duration::ZERO,
        retry_ratio: 1.0,
        ..service::Service::default()
    };
    let defaults = configuration::Defaults { service };
    let decoded = configuration::decode(&bytes, &defaults).map_err(|error| error.to_string())?;
    Ok(decoded.document)
}

/// Returns the document in force, from the daemon or the files that the options name.
async fn read_in_force(options: &arguments::Check) -> Result<InForce, error::CliError> {
    if let Some(daemon) = options.daemon {
        if options.configuration {
            let message = "a configuration is compared with a file: use --against FILE";
            return Err(error::CliError::new(error::EXIT_USAGE, message));
        }
        return read_daemon(daemon).await;
    }
    let Some(file) = &options.against else { return Ok(InForce::default()) };
    let files = std::slice::from_ref(file);
    let mut lines = Vec::new();
    let document = if options.configuration {
        read_configurations(files, &mut lines)
    } else {
        read_sections(files, None, &mut lines)
    };
    let errors: Vec<String> =
        lines.iter().filter(|line| line.kind == "error").map(Line::to_text).collect();
    if !errors.is_empty() {
        return Err(error::CliError::new(error::EXIT_USAGE, errors.join("\n")));
    }
    Ok(InForce { document: Some(document), pools: finding::Pools::new() })
}

async fn read_daemon(daemon: net::SocketAddr) -> Result<InForce, error::CliError> {
    let active: Vec<api::Section> = admin::get(daemon, api::POLICY_PATH).await?;
    let mut sections = Vec::new();
    for section in active {
        let decoded = toml::from_str::<section::Section>(&section.text);
        sections.push(decoded.map_err(|error| {
            // The error's full text quotes the line, which may hold the hash of a key.
            let reason = error.message();
            let message = format!("daemon {daemon}: section of {}: {reason}", section.team);
            error::CliError::new(error::EXIT_UNREACHABLE, message)
        })?);
    }
    let status: api::Status = admin::get(daemon, api::STATUS_PATH).await?;
    let mut pools = finding::Pools::new();
    for upstream in status.members.iter().flat_map(|member| &member.upstreams) {
        *pools.entry(upstream.id.service.clone()).or_default() += upstream.slots;
    }
    Ok(InForce { document: Some(document::Document::new(sections)), pools })
}

fn add_findings(document: &document::Document, pools: &finding::Pools, lines: &mut Vec<Line>) {
    for section in document.sections.values() {
        lines.extend(finding::find(section, pools).into_iter().map(|finding| Line {
            kind: "warning",
            file: None,
            text: format!("{} ({})", finding.reason.as_str(), finding.detail),
            key: Some(format!("{}: {}", section.team, finding.key)),
            line: None,
        }));
    }
}

/// Adds the differences of the teams whose sections were read; publishing one section leaves those of
/// other teams as they are.
fn add_changes(old: &document::Document, new: &document::Document, lines: &mut Vec<Line>) {
    let teams: collections::HashSet<_> = new.sections.keys().collect();
    let same_teams = old.sections.values().filter(|section| teams.contains(&section.team));
    let mut old_part = document::Document::new(same_teams.cloned());
    old_part.limits = old.limits.clone();
    let changes = change::compare(&old_part, new);
    lines.extend(changes.into_iter().map(|change| Line {
        kind: "change",
        file: None,
        key: None,
        line: None,
        text: change.to_string(),
    }));
}

impl Line {
    fn error(file: &str, key: Option<String>, line: Option<usize>, text: String) -> Self {
        Self { kind: "error", file: Some(file.to_owned()), key, line, text }
    }

    fn valid(file: &str, section: &section::Section) -> Self {
        let text = format!(
            "{}: {} services, {} routes, {} organisations: valid",
            section.team,
            section.service.len(),
            section.route.len(),
            section.organisation.len()
        );
        Self { kind: "valid", file: Some(file.to_owned()), key: None, line: None, text }
    }

    /// Returns the line for a person.
    fn to_text(&self) -> String {
        if self.kind == "valid" {
            return self.text.clone();
        }
        let file = self.file.iter().map(|file| format!("{file}: "));
        let line = self.line.iter().map(|line| format!("line {line}: "));
        let key = self.key.iter().filter(|key| !key.is_empty()).map(|key| format!("{key}: "));
        let location: String = file.chain(line).chain(key).collect();
        format!("{}: {location}{}", self.kind, self.text)
    }

    fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        } else if self.kind == "error" {
            eprintln!("{}", self.to_text());
        } else {
            println!("{}", self.to_text());
        }
    }
}

#[cfg(test)]
mod tests;
