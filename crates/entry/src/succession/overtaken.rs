//! Notices a recorded primary that another member has overtaken.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use filbertbay_coordination::succession::overtaken::Detector;
use filbertbay_state::position::Term;
use filbertbay_state::status::Role;
use slog::info;

use super::Coordinator;
use super::evidence::status;
use crate::instance::Instance;
use crate::primary::PrimaryRef;

/// Suspicions that the answers of the recorded primaries raised.
#[derive(Debug, Default)]
pub struct Leaders {
    services: RefCell<BTreeMap<Arc<str>, Leader>>,
}

/// Primary under one record.
#[derive(Debug)]
struct Leader {
    endpoint: Arc<str>,
    revision: u64,
    detector: Detector,
}

impl Leaders {
    /// Records an answer of the present primary of a service: the term of its position, and whether it
    /// refused the statement because it is a replica. Returns whether it is suspected, and whether this
    /// answer raised the suspicion.
    pub fn record_answer(
        &self,
        instance: &Instance,
        primary: &PrimaryRef,
        term: Option<Term>,
        is_read_only: bool,
    ) -> (bool, bool) {
        self.update(instance, primary, |detector| {
            let was_suspect = detector.is_suspect();
            if let Some(term) = term {
                detector.record_term(term);
            }
            if is_read_only {
                detector.record_read_only();
            }
            let is_suspect = detector.is_suspect();
            (is_suspect, is_suspect && !was_suspect)
        })
    }

    fn is_suspect(&self, instance: &Instance, primary: &PrimaryRef) -> bool {
        self.update(instance, primary, |detector| detector.is_suspect())
    }

    fn update<F, R>(&self, instance: &Instance, primary: &PrimaryRef, change: F) -> R
    where
        F: FnOnce(&mut Detector) -> R,
    {
        let mut services = self.services.borrow_mut();
        let term = {
            let view = instance.view.borrow();
            let stored = view.primary_record(&primary.service);
            stored.and_then(|stored| stored.record.term)
        };
        let new = || Leader {
            endpoint: Arc::clone(&primary.endpoint),
            revision: primary.revision,
            detector: Detector::new(term),
        };
        let leader = services
            .entry(Arc::clone(&primary.service))
            .or_insert_with(new);
        if leader.endpoint != primary.endpoint || leader.revision != primary.revision {
            *leader = new();
        }
        change(&mut leader.detector)
    }
}

impl Coordinator {
    fn primary_ref(&self, service: &Arc<str>) -> Option<PrimaryRef> {
        let view = self.instance.view.borrow();
        Some(PrimaryRef {
            service: Arc::clone(service),
            endpoint: view.primary(service)?,
            revision: view.record_revision(service),
        })
    }

    /// Returns whether answers of the primary of a service suggest that another member has overtaken it.
    pub(super) fn may_be_overtaken(&self, service: &Arc<str>) -> bool {
        let primary = self.primary_ref(service);
        primary.is_some_and(|primary| self.instance.leaders.is_suspect(&self.instance, &primary))
    }

    /// Returns whether the primary of a service states that it is a replica.
    pub(super) async fn is_overtaken(&self, service: &Arc<str>) -> bool {
        let Some(primary) = self.primary_ref(service) else {
            return false;
        };
        let endpoint = {
            let view = self.instance.view.borrow();
            view.endpoint(&primary.endpoint).cloned()
        };
        let Some(endpoint) = endpoint else {
            return false;
        };
        let Some(status) = status(&self.instance, &endpoint).await.status() else {
            return false;
        };
        info!(self.instance.log, "primary may be overtaken"; "service" => service.as_ref(),
            "endpoint" => primary.endpoint.as_ref(), "role" => %status.role, "term" => status.term.0);
        if status.role == Role::Primary {
            let leaders = &self.instance.leaders;
            leaders.update(&self.instance, &primary, |detector| {
                detector.record_leading(status.term);
            });
        }
        status.role != Role::Primary
    }
}
