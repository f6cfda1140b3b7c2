//! Lets an operator give up the logs of members that will not come back.

use std::sync::Arc;

use bytes::Bytes;
use filbertbay_coordination::succession::replica_set::{Acceptance, Key, Record};

use crate::store::{ConditionalWrite, Error, ErrorKind, Item, Store, WriteOutcome};
use crate::view::REPLICA_SET_PREFIX;

/// Who accepts a loss, and why.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Name of the operator.
    pub author: Arc<str>,
    /// Reason of the operator.
    pub reason: Arc<str>,
    /// Time of the decision in Unix milliseconds.
    pub at_ms: u64,
}

/// Returns the recorded replica sets, by service.
///
/// # Errors
///
/// Returns an error if the store doesn't answer or a record can't be read.
pub async fn replica_sets(store: &dyn Store) -> Result<Vec<(Arc<str>, Record)>, Error> {
    let listing = store.list(REPLICA_SET_PREFIX).await?;
    let records = listing.items.iter().map(|item| {
        let service = item.key.strip_prefix(REPLICA_SET_PREFIX);
        Ok((Arc::from(service.unwrap_or_default()), decode(item)?))
    });
    records.collect()
}

/// Removes members from the replica set of a service, so that a successor is chosen without them, and
/// returns the identities that were given up. Commits that no other member has are lost.
///
/// `members` are ids, which stand for every incarnation, or identities as in the log
/// (`id@incarnation`).
///
/// # Errors
///
/// Returns an error if a member isn't recorded, if the record changes meanwhile, or if the store doesn't
/// answer.
pub async fn accept(
    store: &dyn Store,
    service: &str,
    members: &[String],
    decision: Decision,
) -> Result<Vec<Key>, Error> {
    let refused = |problem: String| Error::new(ErrorKind::Refused, "accept", problem);
    let key: Arc<str> = format!("{REPLICA_SET_PREFIX}{service}").into();
    let listing = store.list(&key).await?;
    let item = listing.items.iter().find(|item| item.key == key);
    let item = item.ok_or_else(|| refused(format!("service {service:?} has no replica set")))?;
    let mut record = decode(item)?;
    let mut given_up = Vec::new();
    for name in members {
        let keys = record.members.iter().map(|member| &member.key);
        let keys: Vec<Key> = keys
            .filter(|key| *key.id == **name || key.to_string() == **name)
            .cloned()
            .collect();
        if keys.is_empty() {
            let problem = format!("{name:?} is not in the replica set of {service:?}");
            return Err(refused(problem));
        }
        given_up.extend(keys);
    }
    let acceptance = Acceptance {
        author: decision.author,
        reason: decision.reason,
        at_ms: decision.at_ms,
        members: given_up.clone(),
    };
    record
        .accept_loss(acceptance)
        .map_err(|unknown| refused(format!("{unknown:?} are not in the replica set")))?;
    let value = serde_json::to_vec(&record).map_err(|error| refused(error.to_string()))?;
    let change = ConditionalWrite {
        key: &key,
        expected: Some(item.revision),
        value: Some(Bytes::from(value)),
        lease: None,
    };
    match store.swap(change).await? {
        WriteOutcome::Done(_) => Ok(given_up),
        WriteOutcome::Conflict => Err(refused(
            "the replica set changed meanwhile; look at it again".to_owned(),
        )),
    }
}

fn decode(item: &Item) -> Result<Record, Error> {
    serde_json::from_slice(&item.value).map_err(|error| {
        let problem = format!("record {:?} can't be read: {error}", item.key);
        Error::new(ErrorKind::Refused, "list", problem)
    })
}
