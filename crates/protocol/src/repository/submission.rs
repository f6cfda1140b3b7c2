//! Submission of a patch.
//!
//! A patch applies to one version only, and each swap of the head makes a new version. A patch can
//! therefore never be applied twice, whatever answers are lost; its id only serves to tell an
//! operator what became of it.

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

/// Times that a submission reads the head again after a lost answer or a lost race.
const MAX_ATTEMPTS: usize = 4;

/// Most retired parts that one submission deletes.
const MAX_DELETIONS: usize = 32;

/// Result of a patch that has been applied.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Audit entry of the patch.
    pub entry: Entry,
    /// Whether the patch had been applied before this submission.
    #[serde(rename = "resolved")]
    pub already_applied: bool,
    /// Parts that this submission wrote.
    pub written_parts: usize,
}

/// What one attempt came to.
enum Attempt {
    Done(Box<Receipt>),
    /// The head had moved.
    Lost(Plan),
    /// No answer came to the swap of the head.
    Unanswered,
}

/// Parts of the next version.
struct Plan {
    references: Vec<Reference>,
    /// Digest and bytes of each part that has to be written.
    new: Vec<(Arc<str>, Vec<u8>)>,
}

impl Repository {
    /// Submits a patch.
    ///
    /// If an earlier submission of the same patch was applied and its answer was lost, this returns
    /// its receipt and changes nothing.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::PatchRefused`] if the patch doesn't apply; [`Error::refusal`] has the reason and the
    ///   present version.
    /// - [`ErrorKind::TooLarge`] if a part would not fit a value of the platform.
    /// - [`ErrorKind::OutcomeUnknown`] if an answer was lost and the platform can't be asked what became of
    ///   the patch.
    /// - Other kinds if the platform doesn't answer or holds no configuration; nothing changed.
    pub async fn submit(&self, patch: &Patch) -> Result<Receipt, Error> {
        let mut lost_answer = false;
        let mut orphans = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(patch).await {
                Ok(Attempt::Done(receipt)) => return Ok(*receipt),
                Ok(Attempt::Unanswered) => lost_answer = true,
                Ok(Attempt::Lost(plan)) => orphans = plan.new,
                Err(error) if error.kind() == ErrorKind::PatchRefused => {
                    self.delete_orphans(&orphans).await;
                    return Err(error);
                }
                Err(error) if lost_answer => return Err(error.after_lost_swap()),
                Err(error) => return Err(error),
            }
        }
        let message = "the answers of the platform were lost; submit the same patch again";
        Err(Error::new(ErrorKind::OutcomeUnknown, message))
    }

    /// Deletes the parts of patches whose submitters died, and returns how many there were.
    ///
    /// Only parts are deleted that neither the present version nor any later one can name.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't answer or holds no configuration; parts deleted
    /// until then stay deleted.
    pub async fn collect_garbage(&self) -> Result<usize, Error> {
        // Parts are listed first: a part that a later version names would be newer than the head.
        let stored = self.store.list(PART_PREFIX).await?;
        let current = self.load().await?;
        let needed = needed_parts(current.head());
        let mut deleted = 0;
        for entry in &stored {
            let digest = entry.key.trim_start_matches(PART_PREFIX);
            let part: Option<Part> = serde_json::from_slice(&entry.value).ok();
            let is_past = part.is_some_and(|part| part.since <= current.version());
            if is_past && !needed.contains(digest) {
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
            return match resolve(patch, version, entry) {
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

    /// Finds the entry of an earlier submission of the patch.
    async fn find_entry(&self, head: &Head, patch: &Patch) -> Result<Option<Entry>, Error> {
        if let Some(entry) = head.find_patch(&patch.id) {
            return Ok(Some(entry.clone()));
        }
        if patch.against >= head.version {
            return Ok(None);
        }
        // Only the version that follows the named one can be the patch's.
        let entry = self.find_applied(patch.against.next()).await?;
        Ok(entry.filter(|entry| entry.patch == patch.id))
    }

    async fn refuse(&self, patch: &Patch, error: patch::Error) -> Error {
        // The refusal stands, whether or not it could be recorded.
        let recorded = self.record_refused(&patch.refused_entry(&error)).await;
        let error = Error::from(error);
        match recorded {
            Ok(()) => error,
            Err(cause) => error.unrecorded(&cause),
        }
    }

    async fn write(&self, current: &Stored, plan: Plan, entry: Entry) -> Result<Attempt, Error> {
        let head = current.bundle.head();
        if let Some(displaced) = head.next_evicted() {
            self.record_applied(displaced).await?;
        }
        for (digest, bytes) in &plan.new {
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
            Ok(true) => Ok(self.finish(entry, plan.new.len()).await),
            Ok(false) => Ok(Attempt::Lost(plan)),
            Err(error) if may_have_swapped(&error) => Ok(Attempt::Unanswered),
            Err(error) => Err(error.into()),
        }
    }

    async fn finish(&self, entry: Entry, written_parts: usize) -> Attempt {
        // The head holds the entry as well, so that a failure here loses nothing.
        let _ = self.record_applied(&entry).await;
        self.trim_applied(entry.to).await;
        Attempt::Done(Box::new(Receipt {
            entry,
            already_applied: false,
            written_parts,
        }))
    }

    /// Deletes parts that left the head long ago, and returns those that are gone.
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

    /// Deletes the parts of a refused patch, which no later version can name.
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

/// Returns the digests of the parts that a version names, also of those that it has retired.
fn needed_parts(head: &Head) -> BTreeSet<Arc<str>> {
    let named = head.parts.iter().map(|part| Arc::clone(&part.digest));
    let retired = head.retired.iter().map(|part| Arc::clone(&part.digest));
    named.chain(retired).collect()
}

fn may_have_swapped(error: &platform::Error) -> bool {
    matches!(
        error.kind(),
        platform::ErrorKind::Unanswered | platform::ErrorKind::Malformed
    )
}

/// Returns the receipt of an earlier submission, unless its patch was another one.
fn resolve(patch: &Patch, current: Version, entry: Entry) -> Result<Receipt, patch::Error> {
    if entry.digest != patch.digest() {
        return Err(patch::Error::reused(current));
    }
    Ok(Receipt {
        entry,
        already_applied: true,
        written_parts: 0,
    })
}

/// Keeps the parts whose items are the same, and makes new ones for the others.
fn plan(patch: &Patch, head: &Head, before: &Document, after: &Document) -> Result<Plan, Error> {
    let changed = part::changed(before, after);
    let kept = head
        .parts
        .iter()
        .filter(|part| !changed.contains_key(&part.name));
    let mut plan = Plan {
        references: kept.cloned().collect(),
        new: Vec::new(),
    };
    for (name, content) in changed {
        if content != Document::default() {
            let digest = write_part(patch, &name, content, &mut plan.new)?;
            plan.references.push(Reference { name, digest });
        }
    }
    plan.references.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(plan)
}

fn write_part(
    patch: &Patch,
    name: &Arc<str>,
    content: Document,
    new: &mut Vec<(Arc<str>, Vec<u8>)>,
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
    new.push((Arc::clone(&digest), bytes));
    Ok(digest)
}
