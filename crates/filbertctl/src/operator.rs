//! Shared parts of the commands that read or change the configuration: their options, the client
//! of the configuration repository, and the text form of receipts and audit entries.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::{Error, ErrorKind, Receipt, Repository};
use filbertbay_state::audit;
use filbertbay_state::document::Document;
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client;
use rand::RngCore;
use serde_json::Value;

use crate::exit::{Code, Failure};
use crate::output;

/// Base address of the platform if neither the option nor the environment gives one.
const DEFAULT_PLATFORM: &str = "http://127.0.0.1:8500";

/// End of the year 9999 in Unix milliseconds; later times have no RFC 3339 form.
const MAX_RFC3339_MS: u64 = 253_402_300_799_000;

/// Platform address and output format.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(common))]
pub struct CommonOptions {
    /// Base address of the platform.
    #[bpaf(
        long,
        env("FILBERTBAY_PLATFORM"),
        argument("URL"),
        fallback(DEFAULT_PLATFORM.to_owned()),
        display_fallback
    )]
    pub platform: String,
    /// Print the result as JSON.
    #[bpaf(long)]
    pub json: bool,
}

/// Metadata of the patch.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(metadata))]
pub struct PatchMetadata {
    /// Version that the change applies to; the current one if left out.
    #[bpaf(long, argument("VERSION"))]
    pub against: Option<u64>,
    /// Author of the change.
    #[bpaf(long, env("USER"), argument("NAME"), fallback("operator".to_owned()))]
    pub author: String,
    /// Reason for the change.
    #[bpaf(long, argument("TEXT"))]
    pub reason: Option<String>,
    /// Id of the patch; repeat the id of an earlier run to learn its outcome.
    #[bpaf(long, argument("ID"))]
    pub id: Option<String>,
}

/// Client that loads and patches the configuration on the platform.
#[derive(Debug)]
pub struct ConfigClient {
    repository: Repository,
    store: Arc<dyn Store>,
    json: bool,
}

/// Current configuration document with its version.
#[derive(Debug)]
pub struct CurrentConfig {
    /// Version of the configuration.
    pub version: Version,
    /// Configuration document.
    pub document: Document,
}

/// Addition, change or removal of one item of the configuration, such as a route.
#[derive(Debug)]
pub struct Edit<'a> {
    /// Kind of the item, for messages.
    pub kind: &'static str,
    /// Name of the item.
    pub name: &'a str,
    /// True if the item must not exist yet; false if it must exist.
    pub is_new: bool,
    /// Merge patch of the whole document.
    pub change: Value,
    /// Reason of the patch if the operator gives none.
    pub reason: String,
}

impl Edit<'_> {
    /// Checks that the item is absent or present as `is_new` requires, submits the change and
    /// prints its receipt.
    ///
    /// The check is skipped if the operator gives a patch id: the patch may have been applied
    /// already, and the repository then recognises it by its id.
    pub async fn submit<F>(
        self,
        common: &CommonOptions,
        metadata: &PatchMetadata,
        exists: F,
    ) -> Result<(), Failure>
    where
        F: FnOnce(&Document) -> bool,
    {
        let client = ConfigClient::new(common)?;
        let current = client.load().await?;
        if metadata.id.is_none() {
            let require = if self.is_new {
                require_absent
            } else {
                require_exists
            };
            require(exists(&current.document), self.kind, self.name)?;
        }
        let change = Change::Merge(self.change);
        client
            .change(metadata, current.version, change, &self.reason)
            .await
    }
}

impl ConfigClient {
    /// Creates a client of the platform without calling it; fails if the address is invalid.
    pub fn new(common: &CommonOptions) -> Result<Self, Failure> {
        let client = Client::new(&common.platform);
        let client = client.map_err(|error| Failure::new(Code::Input, error.to_string()))?;
        let store: Arc<dyn Store> = Arc::new(client);
        Ok(Self {
            repository: Repository::new(Arc::clone(&store)),
            store,
            json: common.json,
        })
    }

    /// Returns the store of the platform.
    pub fn store(&self) -> &dyn Store {
        &*self.store
    }

    /// Returns true if results are printed as JSON.
    pub fn json(&self) -> bool {
        self.json
    }

    /// Loads the current configuration.
    pub async fn load(&self) -> Result<CurrentConfig, Failure> {
        let bundle = self.repository.load().await.map_err(into_failure)?;
        let document = bundle.document();
        let document =
            document.map_err(|error| Failure::new(Code::Malformed, error.to_string()))?;
        let version = bundle.version();
        Ok(CurrentConfig { version, document })
    }

    /// Returns the entries of the audit trail.
    pub async fn audit(&self) -> Result<Vec<audit::Entry>, Failure> {
        self.repository.audit_trail().await.map_err(into_failure)
    }

    /// Deletes the parts left behind by interrupted submissions and returns their number.
    pub async fn collect(&self) -> Result<usize, Failure> {
        self.repository
            .collect_garbage()
            .await
            .map_err(into_failure)
    }

    /// Submits a change against the version in `metadata`, or `current` if it names none.
    ///
    /// `reason` applies if `metadata` has none. The failure for an unknown outcome tells the
    /// operator how to repeat the same patch.
    pub async fn submit(
        &self,
        metadata: &PatchMetadata,
        current: Version,
        change: Change,
        reason: &str,
    ) -> Result<Receipt, Failure> {
        let id = metadata.id.clone().unwrap_or_else(new_patch_id);
        let patch = Patch {
            id: id.as_str().into(),
            against: metadata.against.map_or(current, Version),
            author: metadata.author.as_str().into(),
            reason: metadata.reason.as_deref().unwrap_or(reason).into(),
            at: unix_ms(),
            change,
        };
        match self.repository.submit(&patch).await {
            Err(error) if error.kind() == ErrorKind::OutcomeUnknown => {
                Err(outcome_unknown(&patch, &error))
            }
            result => result.map_err(into_failure),
        }
    }

    /// Submits a change as [`submit`](Self::submit) does and prints its receipt.
    pub async fn change(
        &self,
        metadata: &PatchMetadata,
        current: Version,
        change: Change,
        reason: &str,
    ) -> Result<(), Failure> {
        let receipt = self.submit(metadata, current, change, reason).await?;
        output::print(self.json, &receipt, format_receipt)
    }
}

/// Fails with [`Code::Input`] if an item that is to be added exists already.
pub fn require_absent(exists: bool, kind: &str, name: &str) -> Result<(), Failure> {
    if exists {
        return Err(Failure::new(
            Code::Input,
            format!("{kind} {name} exists already"),
        ));
    }
    Ok(())
}

/// Fails with [`Code::Input`] if an item does not exist.
pub fn require_exists(exists: bool, kind: &str, name: &str) -> Result<(), Failure> {
    if exists {
        return Ok(());
    }
    Err(Failure::new(
        Code::Input,
        format!("{kind} {name} does not exist"),
    ))
}

/// Formats an audit entry as text, with one line for each change.
pub fn format_entry(entry: &audit::Entry) -> String {
    let mut text = format!(
        "{} {} {} -> {} by {} ({}), patch {}",
        format_time(entry.at),
        entry.outcome,
        entry.from,
        entry.to,
        entry.author,
        entry.reason,
        entry.patch
    );
    if let Some(refusal) = &entry.refusal {
        let _ = write!(text, "\n  {refusal}");
    }
    for change in &entry.changes {
        let _ = write!(text, "\n  {}", format_change(change));
    }
    if entry.omitted > 0 {
        let _ = write!(text, "\n  and {} more", entry.omitted);
    }
    text
}

/// Formats a time in Unix milliseconds as RFC 3339 in UTC, or as the number after the year 9999.
fn format_time(at: u64) -> String {
    if at > MAX_RFC3339_MS {
        return at.to_string();
    }
    let time = UNIX_EPOCH + Duration::from_millis(at);
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Formats a change as its JSON pointer with the values before and after.
pub fn format_change(change: &audit::Change) -> String {
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => format!("{}: {before} -> {after}", change.pointer),
        (Some(before), None) => format!("{}: {before} removed", change.pointer),
        (None, Some(after)) => format!("{}: {after} added", change.pointer),
        (None, None) => change.pointer.to_string(),
    }
}

fn format_receipt(receipt: &Receipt) -> String {
    let earlier = if receipt.already_applied {
        "applied by an earlier submission\n"
    } else {
        ""
    };
    format!("{earlier}{}", format_entry(&receipt.entry))
}

fn into_failure(error: Error) -> Failure {
    let code = match error.kind() {
        ErrorKind::PatchRefused => Code::Refused,
        ErrorKind::OutcomeUnknown => Code::Unknown,
        ErrorKind::TooLarge | ErrorKind::StoreRefused => Code::Input,
        ErrorKind::Malformed | ErrorKind::Incomplete => Code::Malformed,
        _ => Code::Unreachable,
    };
    Failure::new(code, error)
}

fn outcome_unknown(patch: &Patch, error: &Error) -> Failure {
    let hint = format!(
        "{error}\nrun the same command with --id {} --against {} to learn the outcome",
        patch.id, patch.against
    );
    Failure::new(Code::Unknown, hint)
}

fn new_patch_id() -> String {
    format!("p-{:016x}", rand::rng().next_u64())
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
