//! The primary that a change replaces.

use std::rc::Rc;
use std::sync::Arc;

use filbertbay_coordination::succession::Phase;

use super::Coordinator;
use super::replica_set::lapsed_endpoints;
use crate::catalog::Catalog;
use crate::endpoint::Endpoint;

impl Coordinator {
    /// Keeps the endpoint of the primary of a service, for a change after its entry is gone.
    pub(super) fn remember_primary(&self, service: &Arc<str>) {
        let view = self.instance.view.borrow();
        let id = view.primary(service);
        let endpoint = id.and_then(|id| view.endpoint(&id).cloned());
        if let Some(endpoint) = endpoint {
            let mut known = self.known_primaries.borrow_mut();
            known.insert(Arc::clone(service), endpoint);
        }
    }

    /// Forgets the primaries of services that are no longer configured.
    pub(super) fn forget_primaries(&self, catalog: &Catalog) {
        let mut known = self.known_primaries.borrow_mut();
        if known.len() > catalog.services.len() {
            known.retain(|service, _| catalog.services.contains_key(service));
        }
    }

    /// Returns the primary that is to be replaced, if it is known. Without a record, that is the member
    /// that was last the only one to report the role.
    pub(super) fn previous_primary(&self, service: &str) -> Option<Arc<str>> {
        let view = self.instance.view.borrow();
        if let Some(stored) = view.primary_record(service) {
            return match &stored.record.phase {
                Phase::Moving => stored.record.from.clone(),
                Phase::Leading(id) => Some(Arc::clone(id)),
            };
        }
        let known = self.known_primaries.borrow();
        let last = known.get(service).map(|endpoint| Arc::clone(&endpoint.id));
        view.primary(service).or(last)
    }

    /// Returns the endpoint of the primary that is to be replaced, as last known. A member whose entry is
    /// missing or can't be read may still lead.
    pub(super) fn previous_endpoint(&self, service: &str, id: &str) -> Option<Rc<Endpoint>> {
        let listed = self.instance.view.borrow().endpoint(id).cloned();
        let known = listed.or_else(|| {
            let known = self.known_primaries.borrow();
            known.get(service).filter(|known| *known.id == *id).cloned()
        });
        known.or_else(|| {
            let record = self.instance.view.borrow().replica_set(service).cloned()?;
            let mut lapsed = lapsed_endpoints(&record, service, &[]).into_iter();
            lapsed.find(|endpoint| *endpoint.id == *id)
        })
    }
}
