//! Commands on the members that may hold acknowledged commits, for operators of the users' platform.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use filbertbay_entry::settings::Settings;
use filbertbay_entry::succession::loss::{self, Decision};
use miette::{IntoDiagnostic, Result};

/// Prints the replica set of each service, and the losses that were accepted.
///
/// # Errors
///
/// Returns an error if the settings can't be used or the store doesn't answer.
pub fn show(settings: &Path) -> Result<()> {
    let settings = Settings::read(settings)?;
    let drivers = filbertbay_platform::drivers(&settings).into_diagnostic()?;
    let sets = block_on(loss::replica_sets(drivers.store.as_ref()))?.into_diagnostic()?;
    for (service, record) in sets {
        println!(
            "{service}: change {}, {} synchronous replicas",
            record.change, record.synchronous_replicas
        );
        for member in &record.members {
            let state = if member.is_draining { ", draining" } else { "" };
            println!("  {} at {}{state}", member.key, member.address);
        }
        for accepted in &record.accepted_losses {
            let at = UNIX_EPOCH + std::time::Duration::from_millis(accepted.at_ms);
            let members: Vec<String> = accepted.members.iter().map(ToString::to_string).collect();
            println!(
                "  {} {} gave up {}: {}",
                humantime::format_rfc3339_seconds(at),
                accepted.author,
                members.join(", "),
                accepted.reason
            );
        }
    }
    Ok(())
}

/// Gives up the logs of members of a service.
///
/// # Errors
///
/// Returns an error if the settings can't be used, if a member isn't recorded, or if the store doesn't
/// confirm the change.
pub fn accept(
    settings: &Path,
    service: &str,
    members: &[String],
    author: &str,
    reason: &str,
) -> Result<()> {
    let settings = Settings::read(settings)?;
    let drivers = filbertbay_platform::drivers(&settings).into_diagnostic()?;
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let decision = Decision {
        author: author.into(),
        reason: reason.into(),
        at_ms: elapsed.into_diagnostic()?.as_millis() as u64,
    };
    let accepting = loss::accept(drivers.store.as_ref(), service, members, decision);
    for member in block_on(accepting)?.into_diagnostic()? {
        println!("{service}: the log of {member} is given up");
    }
    Ok(())
}

fn block_on<F>(future: F) -> Result<F::Output>
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    Ok(runtime.block_on(future))
}
