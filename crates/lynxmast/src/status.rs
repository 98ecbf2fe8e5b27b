//! `status`: one daemon, its local upstreams and the members of the fleet that it knows.

use lynxmast_protocol::admin as api;

use crate::admin;
use crate::arguments;
use crate::error;

/// Prints the status of one daemon.
///
/// # Errors
///
/// Returns an error if the daemon does not respond.
pub async fn show(options: &arguments::DaemonQuery) -> Result<(), error::CliError> {
    let daemon = admin::required(options.daemon, "daemon")?;
    let status: api::Status = admin::get(daemon, api::STATUS_PATH).await?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return Ok(());
    }
    let state = if status.leaving { "leaving" } else { "serving" };
    let log = if status.log { "responds" } else { "does not respond" };
    println!("daemon {} is {state}, policy version {}, log {log}", status.daemon, status.policy);
    let newest = status.members.iter().map(|member| member.policy).max().unwrap_or(0);
    if newest > status.policy {
        println!(
            "policy version {newest} is active elsewhere: unknown keys wait for it or get 503"
        );
    }
    if status.organisations > 0 {
        println!("organisations: {}, unknown keys are rejected", status.organisations);
    }
    if status.source_epoch > 0 {
        println!("epoch of the policy source: {}", status.source_epoch);
    }
    if let Some(held) = &status.held {
        println!(
            "held bytes: {} of requests, {} of responses, {} read ahead; limit {}",
            held.replay, held.response, held.read_ahead, held.limit
        );
    }
    println!("\nlocal upstreams:");
    for upstream in &status.upstreams {
        let state = if upstream.draining { "draining" } else { "serving" };
        println!(
            "  {}  {state}, {} of {} slots in use, {} queued, {} connections",
            upstream.id,
            upstream.load.in_use,
            upstream.load.slots,
            upstream.load.queued,
            upstream.connections
        );
    }
    println!("\nmembers:");
    for member in &status.members {
        let state = if member.leaving { ", leaving" } else { "" };
        println!(
            "  {}  in {}, policy version {}, {} upstreams{state}",
            member.daemon,
            member.domain,
            member.policy,
            member.upstreams.len()
        );
    }
    Ok(())
}
