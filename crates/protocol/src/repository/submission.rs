//! Submission of patches, and deletion of the parts that they leave behind.
//!
//! A patch applies to one version only, and each swap of the head creates a new version. A patch
//! can therefore never be applied twice, even when answers are lost. The patch id only serves to
//! return the outcome of an earlier submission.

use std::collections::BTreeSet;
use std::sync::Arc;

use filbertbay_state::audit::Entry;
use filbertbay_state::bundle::Bundle;
use filbertbay_state::document::Document;
use filbertbay_state::head::{Head, Reference};
use filbertbay_state::part::{self, Part};
use filbertbay_state::patch::{self, Patch};
use filbertbay_state::version::Version;
use serde::Serialize;

use super::trail::to_bytes;
use super::{Error, ErrorKind, HEAD_KEY, PART_PREFIX, Repository, Stored, part_key};
use crate::platform::{self, MAX_VALUE_BYTES, ModifyIndex};

/// Maximum number of attempts of a submission after a lost answer or a conflicting swap.
const MAX_ATTEMPTS: usize = 4;

/// Maximum number of retired parts that one submission deletes.
const MAX_DELETIONS: usize = 32;

/// Result of an applied patch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Audit entry of the patch.
    pub entry: Entry,
    /// Whether an earlier submission had applied the patch.
    #[serde(rename = "resolved")]
    pub already_applied: bool,
    /// Number of parts that this submission wrote.
    pub written_parts: usize,
}

/// Outcome of one attempt of a submission.
enum Attempt {
    Done(Box<Receipt>),
    /// Another submission swapped the head first.
    Conflict(Plan),
    /// The swap of the head got no answer.
    Unanswered,
}

/// Parts of the next version.
struct Plan {
    references: Vec<Reference>,
    /// Digest and bytes of each part to write.
    new_parts: Vec<(Arc<str>, Vec<u8>)>,
}

impl Repository {
    /// Applies a patch to the stored configuration.
    ///
    /// If an earlier submission of the same patch was applied and its answer was lost, this returns
    /// the receipt of that submission and changes nothing.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::PatchRefused`] if the patch doesn't apply; [`Error::refusal`] returns the
    ///   reason and the current version.
    /// - [`ErrorKind::TooLarge`] if a part exceeds [`MAX_VALUE_BYTES`].
    /// - [`ErrorKind::OutcomeUnknown`] if an answer was lost and the outcome can't be read from the
    ///   platform.
    /// - Other kinds if the platform doesn't answer or the stored configuration is invalid; nothing
    ///   changed.
    pub async fn submit(&self, patch: &Patch) -> Result<Receipt, Error> {
        let mut is_outcome_unknown = false;
        let mut orphans = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(patch).await {
                Ok(Attempt::Done(receipt)) => return Ok(*receipt),
                Ok(Attempt::Unanswered) => is_outcome_unknown = true,
                Ok(Attempt::Conflict(plan)) => orphans = plan.new_parts,
                Err(error) if error.kind() == ErrorKind::PatchRefused => {
                    self.delete_orphans(&orphans).await;
                    return Err(error);
                }
                Err(error) if is_outcome_unknown => return Err(error.after_lost_swap()),
                Err(error) => return Err(error),
            }
        }
        let message = "the answers of the platform were lost; submit the same patch again";
        Err(Error::new(ErrorKind::OutcomeUnknown, message))
    }

    /// Deletes orphaned parts, which submitters that died have left, and returns their number.
    ///
    /// Deletes only parts that neither the current nor any later version can reference.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't answer or the stored configuration is invalid; parts
    /// deleted before the failure stay deleted.
    pub async fn collect_garbage(&self) -> Result<usize, Error> {
        // Parts are listed before the head is read, so that a listed part which only a later version
        // can reference has `since` above the version of that head.
        let stored = self.store.list(PART_PREFIX).await?;
        let current = self.load().await?;
        let needed = needed_parts(current.head());
        let mut deleted = 0;
        for entry in &stored {
            let digest = entry.key.trim_start_matches(PART_PREFIX);
            let part: Option<Part> = serde_json::from_slice(&entry.value).ok();
            let is_superseded = part.is_some_and(|part| part.since <= current.version());
            if is_superseded && !needed.contains(digest) {
                deleted += usize::from(
                    self.store
                        .compare_and_delete(&entry.key, entry.index)
                        .await?,
                );
            }
        }
        Ok(deleted)
    }

    async fn attempt(&self, patch: &Patch) -> Result<Attempt, Error> {
        let current = self.load_stored(&Bundle::default()).await?;
        let version = current.bundle.version();
        if let Some(entry) = self.find_entry(current.bundle.head(), patch).await? {
            return match earlier_receipt(patch, version, entry) {
                Ok(receipt) => Ok(Attempt::Done(Box::new(receipt))),
                Err(error) => Err(self.refuse(patch, error).await),
            };
        }
        let document = current.bundle.document()?;
        let applied = match patch.apply(version, &document) {
            Ok(applied) => applied,
            Err(error) => return Err(self.refuse(patch, error).await),
        };
        let plan = plan(patch, current.bundle.head(), &document, &applied.document)?;
        self.write(&current, plan, applied.entry).await
    }

    /// Returns the audit entry of an earlier submission of the patch, if that was applied.
    async fn find_entry(&self, head: &Head, patch: &Patch) -> Result<Option<Entry>, Error> {
        if let Some(entry) = head.find_patch(&patch.id) {
            return Ok(Some(entry.clone()));
        }
        if patch.against >= head.version {
            return Ok(None);
        }
        // A patch can only have created the version after the one that it names.
        let entry = self.find_applied(patch.against.next()).await?;
        Ok(entry.filter(|entry| entry.patch == patch.id))
    }

    async fn refuse(&self, patch: &Patch, error: patch::Error) -> Error {
        // The patch is refused whether or not the refusal could be recorded.
        let recorded = self.record_refused(&patch.refused_entry(&error)).await;
        let error = Error::from(error);
        match recorded {
            Ok(()) => error,
            Err(cause) => error.unrecorded(&cause),
        }
    }

    async fn write(&self, current: &Stored, plan: Plan, entry: Entry) -> Result<Attempt, Error> {
        let head = current.bundle.head();
        if let Some(evicted) = head.next_evicted() {
            self.record_applied(evicted).await?;
        }
        for (digest, bytes) in &plan.new_parts {
            self.store
                .compare_and_swap(&part_key(digest), bytes.clone(), ModifyIndex(0))
                .await?;
        }
        let deleted = self.delete_retired(head, entry.at).await;
        let next = head.next(plan.references.clone(), entry.clone(), &deleted);
        let swapped = self
            .store
            .compare_and_swap(HEAD_KEY, to_bytes(&next)?, current.index)
            .await;
        match swapped {
            Ok(true) => Ok(self.finish(entry, plan.new_parts.len()).await),
            Ok(false) => Ok(Attempt::Conflict(plan)),
            Err(error) if may_have_swapped(&error) => Ok(Attempt::Unanswered),
            Err(error) => Err(error.into()),
        }
    }

    async fn finish(&self, entry: Entry, written_parts: usize) -> Attempt {
        // The head also contains the entry, so a failure here loses nothing.
        let _ = self.record_applied(&entry).await;
        self.trim_applied(entry.to).await;
        Attempt::Done(Box::new(Receipt {
            entry,
            already_applied: false,
            written_parts,
        }))
    }

    /// Deletes retired parts past their retention, and returns the digests of the deleted ones.
    async fn delete_retired(&self, head: &Head, now: u64) -> BTreeSet<Arc<str>> {
        let mut deleted = BTreeSet::new();
        for retired in head.deletable(now).take(MAX_DELETIONS) {
            if !self.delete_part(&retired.digest).await {
                break;
            }
            deleted.insert(Arc::clone(&retired.digest));
        }
        deleted
    }

    /// Deletes the parts of a refused patch, which no later version can reference.
    async fn delete_orphans(&self, parts: &[(Arc<str>, Vec<u8>)]) {
        if parts.is_empty() {
            return;
        }
        let Ok(current) = self.load().await else {
            return;
        };
        let needed = needed_parts(current.head());
        for (digest, _) in parts.iter().filter(|(digest, _)| !needed.contains(digest)) {
            self.delete_part(digest).await;
        }
    }

    /// Deletes a part and returns whether it is gone.
    async fn delete_part(&self, digest: &str) -> bool {
        let key = part_key(digest);
        match self.store.read(&key).await {
            Ok(Some(entry)) => self
                .store
                .compare_and_delete(&key, entry.index)
                .await
                .unwrap_or(false),
            Ok(None) => true,
            Err(_) => false,
        }
    }
}

/// Returns the digests of the parts that a version references, including its retired parts.
fn needed_parts(head: &Head) -> BTreeSet<Arc<str>> {
    let named = head.parts.iter().map(|part| Arc::clone(&part.digest));
    let retired = head.retired.iter().map(|part| Arc::clone(&part.digest));
    named.chain(retired).collect()
}

/// Returns whether a swap that failed with this error may have taken effect.
fn may_have_swapped(error: &platform::Error) -> bool {
    matches!(
        error.kind(),
        platform::ErrorKind::Unanswered | platform::ErrorKind::Malformed
    )
}

/// Returns the receipt of an earlier submission, or an error if another patch used the same id.
fn earlier_receipt(patch: &Patch, current: Version, entry: Entry) -> Result<Receipt, patch::Error> {
    if entry.digest != patch.digest() {
        return Err(patch::Error::reused(current));
    }
    Ok(Receipt {
        entry,
        already_applied: true,
        written_parts: 0,
    })
}

/// Returns the parts of the next version: references to unchanged parts, and new parts for changed
/// content.
fn plan(patch: &Patch, head: &Head, before: &Document, after: &Document) -> Result<Plan, Error> {
    let changed = part::changed(before, after);
    let kept = head
        .parts
        .iter()
        .filter(|part| !changed.contains_key(&part.name));
    let mut plan = Plan {
        references: kept.cloned().collect(),
        new_parts: Vec::new(),
    };
    for (name, content) in changed {
        if content != Document::default() {
            let digest = encode_part(patch, &name, content, &mut plan.new_parts)?;
            plan.references.push(Reference { name, digest });
        }
    }
    plan.references.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(plan)
}

/// Serialises a part into `new_parts` and returns its digest.
fn encode_part(
    patch: &Patch,
    name: &Arc<str>,
    content: Document,
    new_parts: &mut Vec<(Arc<str>, Vec<u8>)>,
) -> Result<Arc<str>, Error> {
    let part = Part {
        name: Arc::clone(name),
        since: patch.against.next(),
        patch: Arc::clone(&patch.id),
        content,
    };
    let bytes = to_bytes(&part)?;
    if bytes.len() > MAX_VALUE_BYTES {
        let message = format!(
            "part {name} has {} bytes, more than {MAX_VALUE_BYTES}",
            bytes.len()
        );
        return Err(Error::new(ErrorKind::TooLarge, message));
    }
    let digest = part::digest(&bytes);
    new_parts.push((Arc::clone(&digest), bytes));
    Ok(digest)
}
