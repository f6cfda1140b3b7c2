//! Confirms the records of the instances after the store has returned from a copy.
//!
//! A copy may hold an older record of a primary or an older allocation of lanes. In a new era no
//! contact with the store extends a primary lease or a proof of ownership until one instance has
//! compared the records with what all instances remember, has written newer ones again, and has named
//! the era under [`ERA_KEY`]. A lease from before stays valid meanwhile until it expires.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertbay_coordination::rendezvous;
use filbertbay_coordination::succession::{MAX_PRIMARY_LEASE, Phase, PrimaryRecord};
use filbertbay_state::status::Role;
use futures::future::join_all;
use rand::Rng;
use rand::seq::SliceRandom;
use slog::{info, warn};

use crate::endpoint::Endpoint;
use crate::instance::Instance;
use crate::store::{ConditionalWrite, Item, WriteOutcome, era_of, number_of, revision_in};
use crate::succession::{Answer, status};
use crate::task;
use crate::view::{ALLOCATION_KEY, ConfirmedEra, ERA_KEY, PRIMARY_RECORD_PREFIX};

/// Time that an instance waits for each instance before it to confirm first.
const STAGGER_PER_RANK: Duration = Duration::from_millis(150);

/// Stagger above which instances of a large fleet wait for a random time, at most as long again.
const MAX_STAGGER: Duration = Duration::from_secs(4);

/// Longest time over which a fleet spreads what every instance writes in a new era.
const MAX_SPREAD: Duration = Duration::from_millis(1_500);

/// Part of this time for each instance of the fleet.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(2);

/// Instances asked first; records that they remember need not be sent by the others.
const FIRST_BATCH: usize = 4;

/// Instances asked at a time after that.
const BATCH: usize = 64;

/// Delay before a failed confirmation is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// At most one in this many instances may be unheard, until all leases of earlier eras have expired.
/// At least the others have seen a change of primary that one of the missing instances completed.
const MISSING_DIVISOR: usize = 4;

/// Spawns the task that confirms the records of each new era.
pub fn spawn(instance: &Rc<Instance>) {
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "era", move || run(Rc::clone(&shared)));
}

async fn run(instance: Rc<Instance>) {
    let mut changed = instance.view_changed.subscribe();
    loop {
        if !is_due(&instance) {
            // The sender lives as long as the instance.
            let _ = changed.changed().await;
            continue;
        }
        tokio::time::sleep(stagger(&instance)).await;
        if is_due(&instance)
            && let Err(problem) = confirm(&instance).await
        {
            info!(instance.log, "records of an era not confirmed"; "problem" => problem,
                "era" => instance.view.borrow().era());
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns whether the records of the era await confirmation, or the store lacks one known here.
fn is_due(instance: &Instance) -> bool {
    let view = instance.view.borrow();
    view.era() > 0
        && !instance.is_draining()
        && (!view.is_era_confirmed() || !view.outdated().is_empty())
}

fn stagger(instance: &Instance) -> Duration {
    let own = Arc::clone(&instance.settings().name);
    let view = instance.view.borrow();
    let names: Vec<&str> = view.peers().keys().map(AsRef::as_ref).collect();
    let order = rendezvous::rank("era", names, |name| name);
    let rank = order.iter().position(|name| *name == own.as_ref());
    let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
    let stagger = STAGGER_PER_RANK.saturating_mul(rank);
    if stagger <= MAX_STAGGER {
        return stagger;
    }
    MAX_STAGGER + MAX_STAGGER.mul_f64(rand::rng().random())
}

/// Writes the newest known records that the store lacks, and names the era if all are confirmed.
async fn confirm(instance: &Rc<Instance>) -> Result<(), &'static str> {
    let (era, is_confirmed) = {
        let view = instance.view.borrow();
        (view.era(), view.is_era_confirmed())
    };
    if !is_confirmed {
        collect_records(instance).await?;
        distrust_contradicted_records(instance).await;
        raise_epoch(instance, era);
    }
    let outdated = instance.view.borrow().outdated();
    for item in outdated {
        write(instance, item.key, item.value, item.revision).await?;
    }
    if is_confirmed {
        return Ok(());
    }
    let value = serde_json::to_vec(&ConfirmedEra { era });
    let value = value.map_err(|_| "the era can't be encoded")?;
    let revision = instance.view.borrow().stored_revision(ERA_KEY);
    write(instance, ERA_KEY.into(), value, revision).await?;
    info!(instance.log, "records of an era confirmed"; "era" => era);
    metrics::counter!("filbertbay_eras_confirmed_total").increment(1);
    Ok(())
}

/// Asks the other instances for the records that they remember, and keeps the newest.
async fn collect_records(instance: &Rc<Instance>) -> Result<(), &'static str> {
    let own = Arc::clone(&instance.settings().name);
    let (peers, since) = {
        let view = instance.view.borrow();
        let mut peers = view.roster.possible_lease_holders([]);
        peers.remove(&own);
        (peers, view.era_since())
    };
    let mut addresses: Vec<SocketAddr> = peers.values().map(|peer| peer.address).collect();
    addresses.shuffle(&mut rand::rng());
    let (first, rest) = addresses.split_at(FIRST_BATCH.min(addresses.len()));
    let mut missing = 0;
    for batch in std::iter::once(first).chain(rest.chunks(BATCH)) {
        let digest = instance.view.borrow().records_digest();
        let requests = batch
            .iter()
            .map(|peer| instance.peers.records(*peer, digest));
        for answer in join_all(requests).await {
            match answer {
                Ok(items) => items
                    .into_iter()
                    .for_each(|item| instance.remember(&item.key, item.value)),
                // A refused connection doesn't prove that no process remembers anything there.
                Err(_) => missing += 1,
            }
        }
    }
    let is_expired = since.is_some_and(|since| instance.now() >= since + MAX_PRIMARY_LEASE);
    if missing * MISSING_DIVISOR > peers.len() && !is_expired {
        return Err("too many instances do not state the records that they remember");
    }
    Ok(())
}

/// Replaces each record whose primary is no primary any more, or not the newest one, by one of an
/// unfinished change, which leads to a change of primary.
async fn distrust_contradicted_records(instance: &Rc<Instance>) {
    let recorded: Vec<(Arc<str>, PrimaryRecord, Arc<str>)> = {
        let view = instance.view.borrow();
        let items = view.own_records();
        let services = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(PRIMARY_RECORD_PREFIX));
        let records = services.filter_map(|service| {
            let record = view.primary_record(service)?.record.clone();
            let Phase::Leading(id) = record.phase.clone() else {
                return None;
            };
            Some((Arc::from(service), record, id))
        });
        records.collect()
    };
    let checks = recorded
        .iter()
        .map(|(service, _, id)| is_contradicted(instance, service, id));
    let contradicted = join_all(checks).await;
    for ((service, record, id), _) in recorded
        .into_iter()
        .zip(contradicted)
        .filter(|(_, is_contradicted)| *is_contradicted)
    {
        warn!(instance.log, "record of a primary is contradicted by the members";
            "service" => service.as_ref(), "primary" => id.as_ref(), "fence" => record.fence);
        let next = PrimaryRecord {
            phase: Phase::Moving,
            from: Some(id),
            change: record.change + 1,
            ..record
        };
        let key: Arc<str> = format!("{PRIMARY_RECORD_PREFIX}{service}").into();
        if let Ok(value) = serde_json::to_vec(&next) {
            instance.remember(&key, value);
        }
    }
}

/// Returns whether the members prove that the record of a service's primary is old: it states that it
/// is a replica, or another one states that it is the primary of a later term.
async fn is_contradicted(instance: &Rc<Instance>, service: &str, id: &Arc<str>) -> bool {
    let members: Vec<Rc<Endpoint>> = {
        let view = instance.view.borrow();
        view.endpoints(service).cloned().collect()
    };
    let answers = join_all(members.iter().map(|member| status(instance, member))).await;
    let primary = members.iter().position(|member| member.id == *id);
    let primary = primary.and_then(|index| answers.get(index).copied());
    let primary = primary.and_then(Answer::status);
    if primary.is_some_and(|status| status.role != Role::Primary) {
        return true;
    }
    let term = primary.map(|status| status.term);
    let others = members.iter().zip(answers);
    others
        .filter(|(member, _)| member.id != *id)
        .filter_map(|(_, answer)| answer.status())
        .any(|status| status.role == Role::Primary && Some(status.term) > term)
}

/// Raises the epoch of the allocation of lanes above all of earlier eras, so that an instance that has
/// not heard of the new era can't take a later allocation of it for its own.
fn raise_epoch(instance: &Rc<Instance>, era: u64) {
    let allocation = instance.view.borrow().allocation().cloned();
    let Some(allocation) = allocation.filter(|one| era_of(one.epoch) < era) else {
        return;
    };
    let mut next = allocation.as_ref().clone();
    next.epoch = revision_in(era, number_of(next.epoch));
    if let Ok(value) = serde_json::to_vec(&next) {
        instance.remember(&ALLOCATION_KEY.into(), value);
    }
}

async fn write(
    instance: &Rc<Instance>,
    key: Arc<str>,
    value: Vec<u8>,
    expected: u64,
) -> Result<(), &'static str> {
    let change = ConditionalWrite {
        key: &key,
        expected: Some(expected),
        value: Some(Bytes::copy_from_slice(&value)),
        lease: None,
    };
    match instance.drivers.store.swap(change).await {
        Ok(WriteOutcome::Done(revision)) => {
            info!(instance.log, "record written again"; "key" => key.as_ref(), "revision" => revision);
            instance.apply_item(Item {
                key,
                value,
                revision,
            });
            Ok(())
        }
        Ok(WriteOutcome::Conflict) => Err("a record was changed by another instance"),
        Err(error) => {
            info!(instance.log, "record not written again"; "key" => key.as_ref(), "error" => %error);
            Err("the store did not confirm a record")
        }
    }
}

/// Waits until the view is in a later era than `era`.
pub async fn wait_for_later(instance: &Instance, era: u64) {
    let mut changed = instance.view_changed.subscribe();
    let is_later = |_: &u64| instance.view.borrow().era() > era;
    // The sender lives as long as the instance.
    let _ = changed.wait_for(is_later).await;
}

/// Returns the time over which the fleet spreads what every instance writes in a new era.
pub fn spread(instance: &Instance) -> Duration {
    let instances = u32::try_from(instance.view.borrow().peers().len()).unwrap_or(u32::MAX);
    SPREAD_PER_INSTANCE
        .saturating_mul(instances)
        .min(MAX_SPREAD)
}
