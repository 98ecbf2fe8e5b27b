//! `check`, `publish` and `show`: the policy document.

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
use lynxmast_state::policy::document;
use lynxmast_state::policy::edit;
use lynxmast_state::policy::section;

use crate::admin;
use crate::arguments;
use crate::fail;
use crate::key;

const LOOK_EVERY: time::Duration = time::Duration::from_millis(100);
/// Pause before an append whose answer was lost is repeated with the same id.
const REPEAT_AFTER: time::Duration = time::Duration::from_millis(500);

/// Checks section files, alone and as one document.
///
/// # Errors
///
/// Returns every problem, one a line with file and line.
pub fn check(files: &[path::PathBuf]) -> Result<(), fail::Fail> {
    let mut problems = Vec::new();
    let mut document = document::Document::default();
    for file in files {
        match read(file) {
            Ok((section, _)) => {
                let clashes = document.check_with(&section);
                problems.extend(clashes.iter().map(|clash| format!("{}: {clash}", file.display())));
                document.sections.insert(section.team.clone(), section);
            }
            Err(fail) => problems.push(fail.text),
        }
    }
    if !problems.is_empty() {
        return Err(fail::Fail::new(fail::USAGE, problems.join("\n")));
    }
    for (team, section) in &document.sections {
        println!(
            "{team}: {} services, {} routes, {} organisations: good",
            section.service.len(),
            section.route.len(),
            section.organisation.len()
        );
    }
    Ok(())
}

fn read(file: &path::Path) -> Result<(section::Section, String), fail::Fail> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|error| fail::Fail::new(fail::USAGE, format!("{name}: {error}")))?;
    let section = section::Section::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|p| format!("{name}: {p}")).collect();
        fail::Fail::new(fail::USAGE, lines.join("\n"))
    })?;
    Ok((section, text))
}

/// Publishes a section: appends the edit, waits for the verdict, then until it is in force on
/// every daemon that is known.
///
/// # Errors
///
/// Tells apart a rejected edit, a log or daemon that does not answer, and a missing confirmation.
pub async fn publish(options: &arguments::Publish) -> Result<(), fail::Fail> {
    let daemon = admin::required(options.daemon, "daemon")?;
    let log = http_log::HttpLog::new(admin::required(options.log, "log")?);
    let (section, text) = read(&options.file)?;
    let base = match options.base {
        Some(base) => base,
        None => version_in_force(daemon, &section.team).await?,
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
    await_in_force(daemon, version, deadline).await
}

async fn version_in_force(daemon: net::SocketAddr, team: &str) -> Result<u64, fail::Fail> {
    let sections: Vec<api::Section> = admin::get(daemon, api::POLICY_PATH).await?;
    let own = sections.iter().find(|section| &*section.team == team);
    Ok(own.map_or(0, |section| section.version))
}

/// Appends an edit; an append that may have been taken is repeated with the same id, which counts
/// once.
async fn append(
    log: &http_log::HttpLog,
    edit: &edit::Edit,
    deadline: time::Instant,
) -> Result<(), fail::Fail> {
    let record = rmp_serde::to_vec(edit).map(Bytes::from);
    let record = record.map_err(|error| fail::Fail::new(fail::USAGE, error.to_string()))?;
    loop {
        match log.append(log::POLICY_STREAM, record.clone()).await {
            platform_log::Append::Appended(_) => return Ok(()),
            platform_log::Append::Refused(reason) => {
                return Err(fail::Fail::new(fail::UNREACHABLE, format!("log: {reason}")));
            }
            platform_log::Append::Unknown if time::Instant::now() > deadline => {
                let text = format!("log: no answer; edit {} may be accepted later", edit.id);
                return Err(fail::Fail::new(fail::UNCONFIRMED, text));
            }
            platform_log::Append::Unknown => tokio::time::sleep(REPEAT_AFTER).await,
        }
    }
}

async fn await_verdict(
    daemon: net::SocketAddr,
    id: &str,
    deadline: time::Instant,
) -> Result<u64, fail::Fail> {
    while time::Instant::now() < deadline {
        let path = format!("{}{id}", api::EDITS_PATH);
        let state: api::EditState = admin::get(daemon, &path).await?;
        match state.verdict {
            Some(edit::Verdict::Accepted { version }) => return Ok(version),
            Some(edit::Verdict::Conflict { newest }) => {
                let text = format!(
                    "rejected: version {newest} of the section came first; \
                     read it with 'lynxmast show', then publish with --base {newest}"
                );
                return Err(fail::Fail::new(fail::REJECTED, text));
            }
            Some(edit::Verdict::Invalid { problems }) => {
                let text = format!("rejected:\n{}", problems.join("\n"));
                return Err(fail::Fail::new(fail::REJECTED, text));
            }
            None => tokio::time::sleep(LOOK_EVERY).await,
        }
    }
    let text = format!("no verdict on edit {id} in time; it may be accepted later");
    Err(fail::Fail::new(fail::UNCONFIRMED, text))
}

async fn await_in_force(
    daemon: net::SocketAddr,
    version: u64,
    deadline: time::Instant,
) -> Result<(), fail::Fail> {
    let mut told = None;
    loop {
        let status: api::Status = admin::get(daemon, api::STATUS_PATH).await?;
        let current = status.members.iter().filter(|member| member.policy >= version).count();
        let all = status.members.len();
        if told != Some((current, all)) {
            println!("in force on {current} of {all} daemons");
            told = Some((current, all));
        }
        if current == all {
            return Ok(());
        }
        if time::Instant::now() > deadline {
            let behind = status.members.iter().filter(|member| member.policy < version);
            let names: Vec<&str> = behind.map(|member| &*member.daemon).collect();
            let text = format!("not yet confirmed by: {}", names.join(", "));
            return Err(fail::Fail::new(fail::UNCONFIRMED, text));
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Shows the sections in force.
///
/// # Errors
///
/// Fails when the daemon does not answer.
pub async fn show(options: &arguments::Ask) -> Result<(), fail::Fail> {
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
