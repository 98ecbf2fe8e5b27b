//! `publish` and `show`: commands for the policy document.

use std::collections;
use std::net;
use std::path;
use std::time;

use bytes::Bytes;
use lynxmast_coordination::http_log;
use lynxmast_coordination::platform_log;
use lynxmast_coordination::platform_log::Log;
use lynxmast_protocol::admin as api;
use lynxmast_protocol::log;
use lynxmast_state::policy::edit;
use lynxmast_state::policy::section;

use crate::admin;
use crate::arguments;
use crate::error;
use crate::key;

/// Interval at which a daemon is polled for a verdict or for the active version.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Delay before an append whose response was lost is retried with the same id.
const APPEND_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Reads and validates a section file; returns the section and the text of the file.
fn read_section(file: &path::Path) -> Result<(section::Section, String), error::CliError> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|error| error::CliError::new(error::EXIT_USAGE, format!("{name}: {error}")))?;
    let section = section::Section::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|p| format!("{name}: {p}")).collect();
        error::CliError::new(error::EXIT_USAGE, lines.join("\n"))
    })?;
    Ok((section, text))
}

/// Publishes a section: appends an edit to the log, waits for its verdict, then waits until the new
/// version is active on all daemons.
///
/// # Errors
///
/// Returns an error with its own exit code for a rejected edit, for a log or daemon that does not
/// respond, and for a missing confirmation.
pub async fn publish(options: &arguments::Publish) -> Result<(), error::CliError> {
    let daemon = admin::required(options.daemon, "daemon")?;
    let log = http_log::HttpLog::new(admin::required(options.log, "log")?);
    let (section, text) = read_section(&options.file)?;
    let base = match options.base {
        Some(base) => base,
        None => active_version(daemon, &section.team).await?,
    };
    let id = format!("{:032x}", rand::random::<u128>());
    let (team, signature) = (section.team, String::new());
    let mut edit = edit::Edit { id: id.clone(), team, base, text, signature };
    if let Some(file) = &options.key {
        key::read(file)?.sign(&mut edit);
    }
    let deadline = time::Instant::now() + time::Duration::from_secs(options.wait);
    append(&log, &edit, deadline).await?;
    println!("appended as edit {id}, based on version {base}");
    let version = await_verdict(daemon, &id, deadline).await?;
    println!("accepted as version {version}");
    await_active(daemon, version, deadline).await
}

/// Returns the active version of a team's section; 0 if the team has no section.
async fn active_version(daemon: net::SocketAddr, team: &str) -> Result<u64, error::CliError> {
    let sections: Vec<api::Section> = admin::get(daemon, api::POLICY_PATH).await?;
    let current = sections.iter().find(|section| &*section.team == team);
    Ok(current.map_or(0, |section| section.version))
}

/// Appends an edit to the log. If the response is lost, the append is retried with the same id, so
/// that the edit is applied only once.
async fn append(
    log: &http_log::HttpLog,
    edit: &edit::Edit,
    deadline: time::Instant,
) -> Result<(), error::CliError> {
    let record = rmp_serde::to_vec(edit).map(Bytes::from);
    let record =
        record.map_err(|error| error::CliError::new(error::EXIT_USAGE, error.to_string()))?;
    loop {
        match log.append(log::POLICY_STREAM, record.clone()).await {
            platform_log::Append::Appended(_) => return Ok(()),
            platform_log::Append::Rejected(reason) => {
                return Err(error::CliError::new(
                    error::EXIT_UNREACHABLE,
                    format!("log: {reason}"),
                ));
            }
            platform_log::Append::Unknown if time::Instant::now() > deadline => {
                let message =
                    format!("log: no response; edit {} may still be accepted later", edit.id);
                return Err(error::CliError::new(error::EXIT_UNCONFIRMED, message));
            }
            platform_log::Append::Unknown => tokio::time::sleep(APPEND_RETRY_DELAY).await,
        }
    }
}

/// Waits for the verdict on an edit; returns the new policy version if the edit was accepted.
async fn await_verdict(
    daemon: net::SocketAddr,
    id: &str,
    deadline: time::Instant,
) -> Result<u64, error::CliError> {
    while time::Instant::now() < deadline {
        let path = format!("{}{id}", api::EDITS_PATH);
        let state: api::EditState = admin::get(daemon, &path).await?;
        match state.verdict {
            Some(edit::Verdict::Accepted { version }) => return Ok(version),
            Some(edit::Verdict::Conflict { newest }) => {
                let message = format!(
                    "rejected: the section has a newer version, {newest}; \
                     read it with 'lynxmast show', then publish with --base {newest}"
                );
                return Err(error::CliError::new(error::EXIT_REJECTED, message));
            }
            Some(edit::Verdict::Invalid { problems }) => {
                let message = format!("rejected:\n{}", problems.join("\n"));
                return Err(error::CliError::new(error::EXIT_REJECTED, message));
            }
            None => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    let message = format!("no verdict on edit {id} in time; it may still be accepted later");
    Err(error::CliError::new(error::EXIT_UNCONFIRMED, message))
}

/// Waits until the policy `version` is active on all daemons and prints the progress.
async fn await_active(
    daemon: net::SocketAddr,
    version: u64,
    deadline: time::Instant,
) -> Result<(), error::CliError> {
    let mut reported = None;
    loop {
        let status: api::Status = admin::get(daemon, api::STATUS_PATH).await?;
        let active = status.members.iter().filter(|member| member.policy >= version).count();
        let all = status.members.len();
        if reported != Some((active, all)) {
            println!("active on {active} of {all} daemons");
            reported = Some((active, all));
        }
        if active == all {
            return Ok(());
        }
        if time::Instant::now() > deadline {
            let behind = status.members.iter().filter(|member| member.policy < version);
            let names: Vec<&str> = behind.map(|member| &*member.daemon).collect();
            let message = format!("not yet confirmed by: {}", names.join(", "));
            return Err(error::CliError::new(error::EXIT_UNCONFIRMED, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints the active sections.
///
/// # Errors
///
/// Returns an error if the daemon does not respond.
pub async fn show(options: &arguments::DaemonQuery) -> Result<(), error::CliError> {
    let daemon = admin::required(options.daemon, "daemon")?;
    let sections: Vec<api::Section> = admin::get(daemon, api::POLICY_PATH).await?;
    if options.json {
        let by_team: collections::BTreeMap<_, _> = sections.iter().map(|s| (&s.team, s)).collect();
        println!("{}", serde_json::to_string_pretty(&by_team).unwrap_or_default());
        return Ok(());
    }
    for section in sections {
        println!("# version {} of {}\n{}", section.version, section.team, section.text);
    }
    Ok(())
}
