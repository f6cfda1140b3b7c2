//! State that the tasks of an entry instance share, on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::freshness::WatermarkHistory;
use filbertbay_state::position::Position;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::catalog::{Catalog, Route, Workspace};
use crate::clock::Clock;
use crate::endpoint::{Connector, Endpoint};
use crate::peer::Peers;
use crate::pool::{EndpointPool, Pool};
use crate::quota::Quota;
use crate::settings::Settings;
use crate::store::{Dialect, Event, Failover, Item, Listing, Store};
use crate::view::{Change, View};

/// Time for which an endpoint that is leaving still gets reads when no other can serve them, before
/// the end of its stay.
const LEAVE_MARGIN: Duration = Duration::from_millis(2_500);

/// Time for which statements in flight at a primary may end after it is moved.
const MOVE_PATIENCE: Duration = Duration::from_millis(200);

/// Time after the start of the process in which the first looks at the store are waited for.
const START_PATIENCE: Duration = Duration::from_secs(2);

/// Usual time of an answer, assumed of an endpoint that has not been asked lately.
const USUAL_ANSWER: Duration = Duration::from_millis(15);

/// Round trip assumed within a data centre.
const WAY_LOCAL: Duration = Duration::from_micros(500);

/// Round trip assumed between data centres of a region.
const WAY_REGIONAL: Duration = Duration::from_millis(2);

/// Round trip assumed between regions, between the 16 and 40 ms of the users' sites.
const WAY_REMOTE: Duration = Duration::from_millis(20);

/// Whether the instance serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Serves callers.
    Serving,
    /// Ends since the given moment.
    Draining(Instant),
}

/// Ways to the outside, implemented by an adapter.
#[derive(Clone)]
pub struct Drivers {
    /// Client of the store.
    pub store: Rc<dyn Store>,
    /// Orders promotions.
    pub failover: Rc<dyn Failover>,
    /// Reads what others write into the store.
    pub dialect: Rc<dyn Dialect>,
    /// Opens connections to endpoints.
    pub connector: Rc<dyn Connector>,
}

impl std::fmt::Debug for Drivers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Drivers").finish_non_exhaustive()
    }
}

/// Statements that a primary works on for this instance, under one record.
#[derive(Debug, Default)]
struct Use {
    count: Cell<usize>,
}

/// Counts a statement that relies on a primary while it lives.
#[derive(Debug)]
pub struct PrimaryUse(Rc<Use>);

impl Drop for PrimaryUse {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

/// One entry instance.
pub struct Instance {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Number that grows with each start.
    pub incarnation: u64,
    /// Clock of the process.
    pub clock: Clock,
    /// What is known of the store.
    pub view: RefCell<View>,
    /// Ways to the outside.
    pub drivers: Drivers,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Links to other instances.
    pub peers: Peers,
    /// Rates of the workspaces.
    pub quota: Quota,
    /// Log.
    pub log: Logger,
    /// Changes whenever the view does.
    pub view_changed: watch::Sender<u64>,
    /// Wakes the task that changes primaries.
    pub primary_suspected: Notify,
    /// Whether the instance serves.
    pub phase: watch::Sender<Phase>,
    /// Whether the last call to the store succeeded.
    pub store_up: Cell<bool>,
    marks: RefCell<BTreeMap<Arc<str>, WatermarkHistory>>,
    uses: RefCell<BTreeMap<Arc<str>, Rc<Use>>>,
}

impl std::fmt::Debug for Instance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Instance").finish_non_exhaustive()
    }
}

impl Instance {
    /// Creates the state; nothing runs yet.
    pub fn new(settings: Settings, drivers: Drivers, incarnation: u64, log: Logger) -> Rc<Self> {
        let clock = Clock::start();
        let quota = Quota::new(&settings, incarnation, clock.started_at());
        Rc::new(Self {
            pool: Pool::new(Rc::clone(&drivers.connector), clock),
            peers: Peers::default(),
            quota,
            incarnation,
            settings: RefCell::new(Rc::new(settings)),
            clock,
            view: RefCell::default(),
            drivers,
            log,
            view_changed: watch::Sender::new(0),
            primary_suspected: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            store_up: Cell::new(false),
            marks: RefCell::default(),
            uses: RefCell::default(),
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.view.borrow().catalog().cloned()
    }

    /// Tells whether the process has just started and may not have all that it needs yet.
    pub fn is_starting(&self) -> bool {
        self.clock.uptime() < START_PATIENCE
    }

    /// Tells whether the instance ends.
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Tells whether new callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let view = self.view.borrow();
        let is_configured = view.catalog().is_some();
        is_configured
            && !self.is_draining()
            && view.primary_lease.is_valid(now)
            && self.reaches_any()
    }

    /// Tells whether some endpoint answers, or none has been tried.
    fn reaches_any(&self) -> bool {
        let endpoint_pools = self.pool.endpoint_pools();
        endpoint_pools.is_empty()
            || endpoint_pools
                .iter()
                .any(|one| !one.failure_detector().is_failing())
    }

    /// Takes a full listing that states the store as of `asked` or later.
    pub fn take_listing(self: &Rc<Self>, asked: Instant, listing: Listing) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let changes = self
            .view
            .borrow_mut()
            .replace(now, listing, dialect.as_ref());
        self.react(asked, &changes);
    }

    /// Takes events up to a revision that state the store as of `asked` or later.
    pub fn take_events(self: &Rc<Self>, asked: Instant, events: Vec<Event>, revision: u64) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let changes = view.apply(now, events, revision, dialect.as_ref());
        drop(view);
        self.react(asked, &changes);
    }

    /// Takes one item that another instance passed on.
    pub fn take_item(self: &Rc<Self>, item: Item) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let changes = view.apply(now, vec![Event::Put(item)], 0, dialect.as_ref());
        drop(view);
        self.announce(&changes);
    }

    fn react(self: &Rc<Self>, asked: Instant, changes: &[Change]) {
        {
            let name = Arc::clone(&self.settings.borrow().name);
            let mut view = self.view.borrow_mut();
            let own = view.peers().get(&name);
            let is_listed = own.is_some_and(|peer| peer.incarnation == self.incarnation);
            view.primary_lease.set_listed(is_listed);
            view.primary_lease.record_contact(asked);
        }
        self.quota.prove(asked);
        self.announce(changes);
    }

    /// Acts on changes of the view and wakes whoever waits for them.
    fn announce(self: &Rc<Self>, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log_change(change);
            match change {
                Change::Lead(service) => self.leave_primary(service),
                Change::Shares => self.quota.adopt(self.now(), self.view.borrow().shares()),
                Change::Endpoint(id) => self.tend_endpoint(id),
                Change::Catalog(_) => self.quota.retune(self.now(), self.catalog().as_deref()),
                _ => {}
            }
        }
        self.view_changed.send_modify(|count| *count += 1);
    }

    fn log_change(&self, change: &Change) {
        let revision = self.view.borrow().revision();
        match change {
            Change::Catalog(version) => {
                info!(self.log, "configuration in force"; "version" => version, "revision" => revision);
            }
            Change::Endpoint(id) => self.log_endpoint(id, revision),
            Change::Evacuation(data_centre) => {
                let is_out = self.view.borrow().is_evacuated(data_centre);
                info!(self.log, "data centre changed"; "changed_data_centre" => data_centre.as_ref(),
                    "out" => is_out, "revision" => revision);
            }
            Change::Lead(service) => {
                let view = self.view.borrow();
                let lead = view.primary_record(service);
                let record = lead.map(|lead| format!("{:?}", lead.record.phase));
                info!(self.log, "record of a primary changed"; "service" => service.as_ref(),
                    "phase" => record, "record_revision" => view.record_revision(service),
                    "fence" => lead.map(|lead| lead.record.fence));
            }
            Change::Instance(name) => {
                let is_listed = self.view.borrow().peers().contains_key(name);
                info!(self.log, "instance changed"; "peer" => name.as_ref(), "listed" => is_listed,
                    "revision" => revision);
            }
            Change::Holder => {
                let view = self.view.borrow();
                let holder = view.holder().map(|(holder, _)| holder.instance.to_string());
                info!(self.log, "holder of promotions changed"; "holder" => holder);
            }
            Change::Shares => {
                let epoch = self.view.borrow().shares().map(|shares| shares.epoch);
                info!(self.log, "record of shares changed"; "epoch" => epoch);
            }
            Change::Unusable(key, problem) => {
                warn!(self.log, "value of the store can't be used"; "key" => key.as_ref(),
                    "problem" => problem.as_str(), "revision" => revision);
            }
        }
    }

    fn log_endpoint(&self, id: &str, revision: u64) {
        let view = self.view.borrow();
        let endpoint = view.endpoint(id);
        info!(self.log, "endpoint changed"; "endpoint" => id,
            "service" => endpoint.map(|one| one.service.to_string()),
            "role" => endpoint.map(|one| one.role.to_string()),
            "draining" => endpoint.map(|one| one.is_draining),
            "listed" => !view.is_gone(id), "revision" => revision);
    }

    fn tend_endpoint(&self, id: &str) {
        let is_leaving = {
            let view = self.view.borrow();
            view.endpoint(id)
                .is_some_and(|endpoint| endpoint.is_draining)
        };
        if is_leaving {
            self.pool.close_idle(id);
        }
    }

    /// Lets statements at a primary that is being changed end, and gives up those that do not.
    fn leave_primary(self: &Rc<Self>, service: &Arc<str>) {
        let view = self.view.borrow();
        let Some(lead) = view.primary_record(service) else {
            return;
        };
        let Some(from) = lead.record.from.clone() else {
            return;
        };
        let Some(endpoint) = view.endpoint(&from).cloned() else {
            return;
        };
        drop(view);
        let (instance, service) = (Rc::clone(self), Arc::clone(service));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(MOVE_PATIENCE).await;
            if instance.primary_use_count(&service) > 0 {
                info!(instance.log, "statements at a former primary given up";
                    "service" => service.as_ref(), "endpoint" => from.as_ref());
                instance.pool.for_endpoint(&endpoint).abort_all();
            } else {
                instance.pool.close_idle(&from);
            }
        });
    }

    /// Starts to count a statement that relies on the primary of a service.
    pub fn track_primary_use(&self, service: &Arc<str>) -> PrimaryUse {
        let mut uses = self.uses.borrow_mut();
        let count = uses.entry(Arc::clone(service)).or_default();
        count.count.set(count.count.get() + 1);
        PrimaryUse(Rc::clone(count))
    }

    /// Returns the statements in flight that rely on the primary of a service.
    pub fn primary_use_count(&self, service: &str) -> usize {
        let uses = self.uses.borrow();
        uses.get(service).map_or(0, |count| count.count.get())
    }

    /// Returns the primary of a service, while it may be used.
    pub fn primary(&self, service: &str) -> Option<Arc<str>> {
        let view = self.view.borrow();
        if !view.primary_lease.is_valid(self.now()) {
            return None;
        }
        view.primary(service)
    }

    /// Notes the position that a primary stated in answer to a question asked at `asked`, under the
    /// record of the given revision.
    pub fn record_position(
        &self,
        service: &Arc<str>,
        endpoint: &str,
        record_revision: u64,
        asked: Instant,
        position: Position,
    ) {
        let still_leads = {
            let view = self.view.borrow();
            view.primary_lease.is_valid(self.now())
                && view.record_revision(service) == record_revision
                && view.primary(service).as_deref() == Some(endpoint)
        };
        if still_leads {
            let mut marks = self.marks.borrow_mut();
            marks
                .entry(Arc::clone(service))
                .or_default()
                .record(asked, position);
        }
    }

    /// Returns the smallest position that proves data younger than `age`.
    pub fn min_position(&self, service: &str, age: Duration) -> Option<Position> {
        let marks = self.marks.borrow();
        marks
            .get(service)
            .and_then(|marks| marks.min_position(self.now(), age))
    }

    /// Tells whether an endpoint may run statements of a workspace on a route.
    pub fn is_allowed(&self, endpoint: &Endpoint, route: &Route, workspace: &Workspace) -> bool {
        let settings = self.settings.borrow();
        let region = settings.data_centres.get(&endpoint.data_centre);
        let allows = |regions: &std::collections::BTreeSet<Arc<str>>| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        };
        allows(&route.regions)
            && allows(&workspace.regions)
            && !self.view.borrow().is_evacuated(&endpoint.data_centre)
    }

    /// Tells whether an endpoint that said that it leaves must not get work any more.
    pub fn is_past_drain(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let stay = Duration::from_millis(self.settings.borrow().leave_ms);
        let stay = stay.saturating_sub(LEAVE_MARGIN);
        let since = self.view.borrow().draining_since(&endpoint.id);
        since.is_some_and(|since| now >= since + stay)
    }

    /// Returns the round trip assumed to an endpoint.
    pub fn round_trip(&self, endpoint: &Endpoint) -> Duration {
        let settings = self.settings.borrow();
        if endpoint.data_centre == settings.data_centre {
            return WAY_LOCAL;
        }
        let own = settings.data_centres.get(&settings.data_centre);
        if own.is_some() && own == settings.data_centres.get(&endpoint.data_centre) {
            return WAY_REGIONAL;
        }
        WAY_REMOTE
    }

    /// Returns the time that an answer of an endpoint is likely to take, with the way.
    pub fn expected_latency(&self, endpoint_pool: &EndpointPool, now: Instant) -> Duration {
        let usual = USUAL_ANSWER + self.round_trip(&endpoint_pool.endpoint());
        endpoint_pool.expected_latency(now, usual)
    }

    /// Returns this instance's part of the connections that an endpoint accepts, zero if there are
    /// fewer than instances.
    pub fn connection_limit(&self, service: &str) -> usize {
        let Some(catalog) = self.catalog() else {
            return 1;
        };
        let all = catalog
            .services
            .get(service)
            .map_or(1, |one| one.max_connections);
        let instances = self.view.borrow().peers().len().max(1);
        all / instances
    }
}
