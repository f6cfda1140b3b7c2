//! Waits until no instance can use the previous primary of a service any more.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertbay_coordination::succession::{BASE_PRIMARY_LEASE, ReleaseBarrier};
use futures::future::join_all;
use slog::info;

use super::{Coordinator, POLL_INTERVAL, wait_until_released};
use crate::peer::CallError;
use crate::store::Item;
use crate::view::{INSTANCE_PREFIX, InstanceEntry};

/// Last answer of an instance to the request to release a primary.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Release {
    /// The instance uses the primary no longer.
    Acknowledged,
    /// Statements still rely on the primary.
    InUse,
    /// The connection was refused.
    Refused,
    /// No answer arrived in time.
    Unanswered,
}

impl Coordinator {
    /// Waits until every instance has released the previous primary or its lease has expired.
    pub(super) async fn wait_for_release(
        &self,
        service: &Arc<str>,
        release_record: &Item,
    ) -> Result<(), &'static str> {
        let started_at = self.instance.now();
        let lease_holders = self.lease_holders().await?;
        let names = lease_holders.keys().cloned();
        let all_known_at = self.instance.clock.started_at() + BASE_PRIMARY_LEASE;
        let mut barrier = ReleaseBarrier::new(started_at, names).not_before(all_known_at);
        let mut answers: BTreeMap<Arc<str>, Release> = BTreeMap::new();
        let own = Arc::clone(&self.instance.settings().name);
        loop {
            let pending: Vec<Arc<str>> = barrier.pending().cloned().collect();
            let requests = pending.iter().map(|name| {
                let peer = &lease_holders[name];
                self.request_release(peer, *name == own, service, release_record)
            });
            let answered = join_all(requests).await;
            for (name, answer) in pending.into_iter().zip(answered) {
                // A process that starts at the address later reads the record before it uses a primary.
                if matches!(answer, Release::Acknowledged | Release::Refused) {
                    barrier.acknowledge(&name);
                }
                answers.insert(name, answer);
            }
            let now = self.instance.now();
            if barrier.is_complete(now) {
                let lapsed: Vec<&str> = barrier.pending().map(AsRef::as_ref).collect();
                let took = now.saturating_duration_since(started_at);
                info!(self.instance.log, "former primary out of use"; "service" => service.as_ref(),
                    "record_revision" => release_record.revision, "asked" => lease_holders.len(),
                    "acknowledged" => count(&answers, Release::Acknowledged),
                    "refused" => names_of(&answers, Release::Refused),
                    "unanswered" => names_of(&answers, Release::Unanswered),
                    "in_use" => names_of(&answers, Release::InUse), "lapsed" => lapsed.join(","),
                    "took_ms" => took.as_millis() as u64);
                for answer in answers.values() {
                    let outcome: &'static str = (*answer).into();
                    metrics::counter!("filbertbay_releases_total", "outcome" => outcome)
                        .increment(1);
                }
                return Ok(());
            }
            if !self.renew_lock().await {
                return Err(
                    "the promotion lock was lost while instances released the previous primary",
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns every instance whose primary lease may still be valid, from the store and the view.
    async fn lease_holders(&self) -> Result<BTreeMap<Arc<str>, InstanceEntry>, &'static str> {
        let listing = self.instance.drivers.store.list(INSTANCE_PREFIX).await;
        let listing = listing.map_err(|_| "the store did not list the instances")?;
        let mut all = self.instance.view.borrow().possible_lease_holders();
        for item in listing.items {
            let name = item.key.strip_prefix(INSTANCE_PREFIX);
            let peer = serde_json::from_slice(&item.value).ok();
            if let (Some(name), Some(peer)) = (name, peer) {
                all.insert(name.into(), peer);
            }
        }
        Ok(all)
    }

    /// Asks an instance to release the previous primary.
    async fn request_release(
        &self,
        peer: &InstanceEntry,
        is_self: bool,
        service: &Arc<str>,
        release_record: &Item,
    ) -> Release {
        let is_released = if is_self {
            Ok(wait_until_released(&self.instance, service, release_record.revision).await)
        } else {
            let (service, record) = (Arc::clone(service), release_record.clone());
            self.instance
                .peers
                .leave(peer.address, service, record)
                .await
        };
        match is_released {
            Ok(true) => Release::Acknowledged,
            Ok(false) => Release::InUse,
            Err(CallError::Absent) => Release::Refused,
            Err(CallError::Unanswered) => Release::Unanswered,
        }
    }
}

fn count(answers: &BTreeMap<Arc<str>, Release>, wanted: Release) -> usize {
    answers.values().filter(|answer| **answer == wanted).count()
}

/// Returns the names of the instances whose last answer is `wanted`, separated by commas.
fn names_of(answers: &BTreeMap<Arc<str>, Release>, wanted: Release) -> String {
    let names = answers.iter().filter(|(_, answer)| **answer == wanted);
    let names: Vec<&str> = names.map(|(name, _)| name.as_ref()).collect();
    names.join(",")
}
