//! `filbertctl key`: grants, withdraws and lists the keys of callers.

use bpaf::Bpaf;
use filbertbay_state::document::KeyState;
use filbertbay_state::key::{self, Digest, Secret};
use filbertbay_state::patch::Change;
use rand::RngCore;
use serde_json::json;

use crate::exit::{Code, Failure};
use crate::operator::{
    CommonOptions, ConfigClient, PatchMetadata, common, metadata, require_absent, require_exists,
};
use crate::output;

/// Subcommands of `filbertctl key`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Generates a key, prints it once and stores only its digest.
    #[bpaf(
        command,
        footer("Example: filbertctl key grant shop --key-id till-3 --note 'new till'")
    )]
    Grant {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Id of the key, unique in the workspace; generated if left out.
        #[bpaf(long, argument("KEY"))]
        key_id: Option<String>,
        /// Remark that is stored with the digest.
        #[bpaf(long, argument("TEXT"))]
        note: Option<String>,
        /// Workspace that the key belongs to.
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Withdraws a key; open connections that use it lose access as well.
    #[bpaf(
        command,
        footer("Example: filbertctl key withdraw shop till-3 --reason 'till was stolen'")
    )]
    Withdraw {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Workspace that the key belongs to.
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Id of the key.
        #[bpaf(positional("KEY"))]
        key_id: String,
    },
    /// Lists the keys of a workspace by id; only digests are stored.
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        common: CommonOptions,
        /// Workspace that the keys belong to.
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
}

/// Runs `filbertctl key`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Grant {
            common,
            metadata,
            key_id,
            note,
            workspace,
        } => grant(&common, &metadata, key_id, note, &workspace).await,
        Options::Withdraw {
            common,
            metadata,
            workspace,
            key_id,
        } => withdraw(&common, &metadata, &workspace, &key_id).await,
        Options::List { common, workspace } => list(&common, &workspace).await,
    }
}

async fn grant(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    key_id: Option<String>,
    note: Option<String>,
    workspace: &str,
) -> Result<(), Failure> {
    let client = ConfigClient::new(common)?;
    let current = client.load().await?;
    let found = current.document.workspaces.get(workspace);
    require_exists(found.is_some(), "workspace", workspace)?;
    let id = key_id.unwrap_or_else(new_key_id);
    let exists = found.is_some_and(|found| found.keys.contains_key(id.as_str()));
    require_absent(exists, "key", &id)?;
    let secret = key::generate(|bytes| rand::rng().fill_bytes(bytes));
    let digest = Digest::of(secret.reveal()).to_string();
    let entry = json!({"digest": digest, "note": note});
    let change = json!({"workspaces": {workspace: {"keys": {&id: entry}}}});
    let reason = format!("key grant {workspace} {id}");
    let change = Change::Merge(change);
    // The key is printed only after its digest is confirmed to be stored.
    let receipt = client
        .submit(metadata, current.version, change, &reason)
        .await;
    let receipt = receipt.map_err(|failure| lost_key_failure(failure, workspace, &id))?;
    print_secret(common, workspace, &id, &secret, receipt.entry.to.0)
}

/// Replaces the advice to repeat the patch if the outcome is unknown.
///
/// A second run would generate another key, so it cannot complete the first one.
fn lost_key_failure(failure: Failure, workspace: &str, id: &str) -> Failure {
    if failure.code() != Code::Unknown {
        return failure;
    }
    let message = format!(
        "the outcome is unknown, and the key is lost; if `filbertctl key list {workspace}` shows {id}, \
         withdraw it, then grant another key"
    );
    Failure::new(Code::Unknown, message)
}

fn print_secret(
    common: &CommonOptions,
    workspace: &str,
    id: &str,
    secret: &Secret,
    version: u64,
) -> Result<(), Failure> {
    let value = json!({
        "workspace": workspace,
        "id": id,
        "key": secret.reveal(),
        "version": version,
    });
    output::print(common.json, &value, |_| {
        format!(
            "key {id} of workspace {workspace}, granted in version {version}; it is not shown \
             again:\n{}",
            secret.reveal()
        )
    })
}

async fn withdraw(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    workspace: &str,
    key_id: &str,
) -> Result<(), Failure> {
    let client = ConfigClient::new(common)?;
    let current = client.load().await?;
    let found = current.document.workspaces.get(workspace);
    require_exists(found.is_some(), "workspace", workspace)?;
    let exists = found.is_some_and(|found| found.keys.contains_key(key_id));
    require_exists(exists, "key", key_id)?;
    let entry = json!({"state": KeyState::Withdrawn});
    let change = Change::Merge(json!({"workspaces": {workspace: {"keys": {key_id: entry}}}}));
    let reason = format!("key withdraw {workspace} {key_id}");
    client
        .change(metadata, current.version, change, &reason)
        .await
}

async fn list(common: &CommonOptions, workspace: &str) -> Result<(), Failure> {
    let mut current = ConfigClient::new(common)?.load().await?;
    let found = current.document.workspaces.remove(workspace);
    require_exists(found.is_some(), "workspace", workspace)?;
    let keys = found.unwrap_or_default().keys;
    output::print(common.json, &keys, |keys| {
        let lines = keys.iter().map(|(id, key)| {
            let note = key.note.as_deref().unwrap_or_default();
            format!("{id}\t{}\t{}\t{note}", key.state, &key.digest[..8])
        });
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn new_key_id() -> String {
    format!("k-{:08x}", rand::rng().next_u32())
}
