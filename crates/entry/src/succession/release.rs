//! Waits until no instance can use the previous primary of a service any more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::succession::BASE_PRIMARY_LEASE;
use filbertbay_coordination::succession::release::{Answer, Barrier};
use futures::future::join_all;
use slog::info;

use super::{Coordinator, POLL_INTERVAL, wait_until_released};
use crate::peer::CallError;
use crate::store::Item;
use crate::view::{INSTANCE_PREFIX, InstanceEntry};

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
        let mut barrier = Barrier::new(started_at, names).not_before(all_known_at);
        loop {
            let pending: Vec<Arc<str>> = barrier.pending().cloned().collect();
            let requests = pending.iter().map(|name| {
                self.request_release(name, &lease_holders[name], service, release_record)
            });
            let answered = join_all(requests).await;
            for (name, answer) in pending.iter().zip(answered) {
                barrier.record(name, answer);
            }
            let now = self.instance.now();
            if barrier.is_complete(now) {
                self.log_release(service, release_record.revision, &barrier, now - started_at);
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

    fn log_release(&self, service: &str, revision: u64, barrier: &Barrier, took: Duration) {
        let answers: Vec<(&Arc<str>, Answer)> = barrier.answers().collect();
        for (_, answer) in &answers {
            let outcome: &'static str = answer.into();
            metrics::counter!("filbertbay_releases_total", "outcome" => outcome).increment(1);
        }
        let names_of = |wanted: Answer| {
            let names = answers.iter().filter(|(_, answer)| *answer == wanted);
            let names: Vec<&str> = names.map(|(name, _)| name.as_ref()).collect();
            names.join(",")
        };
        let lapsed: Vec<&str> = barrier.pending().map(AsRef::as_ref).collect();
        info!(self.instance.log, "former primary out of use"; "service" => service,
            "record_revision" => revision, "asked" => answers.len(), "lapsed" => lapsed.join(","),
            "refused" => names_of(Answer::Refused), "unanswered" => names_of(Answer::Unanswered),
            "in_use" => names_of(Answer::InUse), "took_ms" => took.as_millis() as u64);
    }

    /// Returns every instance whose primary lease may still be valid, from the store and the view.
    async fn lease_holders(&self) -> Result<BTreeMap<Arc<str>, InstanceEntry>, &'static str> {
        let listing = self.instance.drivers.store.list(INSTANCE_PREFIX).await;
        let listing = listing.map_err(|_| "the store did not list the instances")?;
        let listed = listing.items.into_iter().filter_map(|item| {
            let name = item.key.strip_prefix(INSTANCE_PREFIX)?;
            let entry = serde_json::from_slice(&item.value).ok()?;
            Some((Arc::from(name), entry))
        });
        let view = self.instance.view.borrow();
        Ok(view.roster.possible_lease_holders(listed))
    }

    /// Asks an instance to release the previous primary.
    async fn request_release(
        &self,
        name: &str,
        peer: &InstanceEntry,
        service: &Arc<str>,
        release_record: &Item,
    ) -> Answer {
        let is_self = *self.instance.settings().name == *name
            && peer.incarnation == self.instance.incarnation;
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
            Ok(true) => Answer::Released,
            Ok(false) => Answer::InUse,
            Err(CallError::Refused) => Answer::Refused,
            Err(CallError::Unanswered) => Answer::Unanswered,
        }
    }
}
