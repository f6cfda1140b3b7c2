//! State that the tasks of an entry instance share on one thread, and the reaction to changes of the
//! store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::drain::Schedule;
use filbertbay_state::position::Position;
use slog::{Logger, debug, info, warn};
use tokio::sync::{Notify, watch};

use crate::catalog::{Catalog, Route, Workspace};
use crate::clock::Clock;
use crate::endpoint::{Connector, Endpoint};
use crate::forward::{self, Forwards};
use crate::freshness::Watermarks;
use crate::memory::Budget;
use crate::peer::Peers;
use crate::pool::{EndpointPool, Pool};
use crate::primary::Uses;
use crate::quota::Quota;
use crate::settings::Settings;
use crate::store::{Dialect, Event, Failover, Item, Lease, Listing, Metering, Store};
use crate::succession::Leaders;
use crate::trace::Trace;
use crate::usage::Usage;
use crate::view::{Change, PROMOTION_LOCK_KEY, USAGE_LOCK_KEY, View};

/// Margin before the end of an endpoint's drain period at which it stops receiving reads that no
/// other endpoint can serve.
const DRAIN_MARGIN: Duration = Duration::from_millis(2_500);

/// Time that statements in flight at a primary have to finish after a change of primary began.
const RELEASE_GRACE: Duration = Duration::from_millis(200);

/// Time after the start of the process during which requests wait for the first view of the store.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Latency assumed of an endpoint without recent measurements, excluding the round trip.
const DEFAULT_LATENCY: Duration = Duration::from_millis(15);

/// Round trip assumed within a data centre.
const ROUND_TRIP_LOCAL: Duration = Duration::from_micros(500);

/// Round trip assumed between data centres of a region.
const ROUND_TRIP_REGIONAL: Duration = Duration::from_millis(2);

/// Round trip assumed between regions, between the 16 and 40 ms of the users' sites.
const ROUND_TRIP_REMOTE: Duration = Duration::from_millis(20);

/// Phase of the instance's life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Serves callers.
    Serving,
    /// Shuts down by the given deadlines.
    Draining(Schedule),
}

/// Clients of the external systems, implemented by adapters.
#[derive(Clone)]
pub struct Drivers {
    /// Client of the store.
    pub store: Rc<dyn Store>,
    /// Orders promotions.
    pub failover: Rc<dyn Failover>,
    /// Reports usage.
    pub metering: Rc<dyn Metering>,
    /// Decodes the values that other programs write into the store.
    pub dialect: Rc<dyn Dialect>,
    /// Opens connections to endpoints.
    pub connector: Rc<dyn Connector>,
    /// Budget of the bytes that sessions hold, which the connector charges too.
    pub memory: Budget,
}

impl std::fmt::Debug for Drivers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Drivers").finish_non_exhaustive()
    }
}

/// One entry instance.
pub struct Instance {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
    /// Address at which other instances call this one, as bound at the start.
    pub peer_address: SocketAddr,
    /// Clock of the process.
    pub clock: Clock,
    /// Local view of the store.
    pub view: RefCell<View>,
    /// Clients of the external systems.
    pub drivers: Drivers,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Connections to other instances.
    pub peers: Peers,
    /// Statements that pass between instances.
    pub forwards: Forwards,
    /// Rate limits of the workspaces.
    pub quota: Quota,
    /// Positions of primaries that prove the freshness of replicas.
    pub watermarks: Watermarks,
    /// Counts of the statements that are sent to endpoints.
    pub usage: Usage,
    /// Lease of this instance's entry in the store, while it has one.
    pub entry_lease: Cell<Option<Lease>>,
    /// What has been logged about the use of primaries.
    pub trace: Trace,
    /// Logger.
    pub log: Logger,
    /// Counter that grows with each change of the view.
    pub view_changed: watch::Sender<u64>,
    /// Wakes the succession task, for example after a primary failed to answer.
    pub primary_suspected: Notify,
    /// Phase of the life cycle.
    pub phase: watch::Sender<Phase>,
    /// Whether the last call to the store succeeded.
    pub is_store_reachable: Cell<bool>,
    /// Statements of callers that were received and not answered yet.
    pub unanswered_statements: Cell<usize>,
    /// Suspicions that the answers of the recorded primaries raised.
    pub leaders: Leaders,
    /// Statements in flight that rely on primaries.
    pub primary_uses: Uses,
}

impl std::fmt::Debug for Instance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Instance").finish_non_exhaustive()
    }
}

impl Instance {
    /// Creates the state without starting any task.
    pub fn new(settings: Settings, drivers: Drivers, incarnation: u64, log: Logger) -> Rc<Self> {
        let clock = Clock::start();
        let quota = Quota::new(&settings, incarnation, clock.started_at());
        Rc::new(Self {
            pool: Pool::new(Rc::clone(&drivers.connector), clock),
            peers: Peers::default(),
            forwards: Forwards::default(),
            quota,
            usage: Usage::new(&settings, clock),
            entry_lease: Cell::default(),
            trace: Trace::default(),
            incarnation,
            peer_address: settings.peers,
            settings: RefCell::new(Rc::new(settings)),
            clock,
            view: RefCell::default(),
            drivers,
            log,
            view_changed: watch::Sender::new(0),
            primary_suspected: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            is_store_reachable: Cell::new(false),
            unanswered_statements: Cell::new(0),
            watermarks: Watermarks::default(),
            leaders: Leaders::default(),
            primary_uses: Uses::default(),
        })
    }

    /// Returns the current time.
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

    /// Returns whether the process has just started and may still lack a view of the store or tokens.
    pub fn is_starting(&self) -> bool {
        self.clock.uptime() < STARTUP_PERIOD
    }

    /// Returns whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Returns whether the load balancer should send new callers here: the instance is configured, not
    /// draining, holds a primary lease, and some endpoint answers or none has been tried.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let view = self.view.borrow();
        let is_configured = view.catalog().is_some();
        is_configured
            && !self.is_draining()
            && view.primary_lease.is_valid(now)
            && self.is_any_endpoint_reachable()
    }

    /// Returns whether some endpoint answers, or none has been tried.
    fn is_any_endpoint_reachable(&self) -> bool {
        let endpoint_pools = self.pool.endpoint_pools();
        endpoint_pools.is_empty()
            || endpoint_pools
                .iter()
                .any(|pool| !pool.failure_detector().is_failing())
    }

    /// Applies a full listing that shows the store as of `queried_at` or later.
    pub fn apply_listing(self: &Rc<Self>, queried_at: Instant, listing: Listing) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let changes = self
            .view
            .borrow_mut()
            .apply_listing(now, listing, dialect.as_ref());
        self.record_store_contact(queried_at, &changes);
    }

    /// Applies events up to a revision that show the store as of `queried_at` or later.
    pub fn apply_events(self: &Rc<Self>, queried_at: Instant, events: Vec<Event>, revision: u64) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let changes = view.apply_events(now, events, revision, dialect.as_ref());
        drop(view);
        self.record_store_contact(queried_at, &changes);
    }

    /// Applies one item that another instance sent or this one wrote. Unlike a listing, this does not
    /// count as contact with the store.
    pub fn apply_item(self: &Rc<Self>, item: Item) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let changes = view.apply_events(now, vec![Event::Put(item)], 0, dialect.as_ref());
        drop(view);
        self.dispatch_changes(&changes);
    }

    /// Applies a record that another instance remembers over a return of the store from a copy, if it
    /// is newer than the one known here.
    pub fn remember(self: &Rc<Self>, key: &Arc<str>, value: Vec<u8>) {
        let dialect = Rc::clone(&self.drivers.dialect);
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let changes = view.remember(now, key, value, dialect.as_ref());
        drop(view);
        self.dispatch_changes(&changes);
    }

    fn record_store_contact(self: &Rc<Self>, queried_at: Instant, changes: &[Change]) {
        {
            let name = Arc::clone(&self.settings.borrow().name);
            let mut view = self.view.borrow_mut();
            let own_entry = view.peers().get(&name);
            let is_listed = own_entry.is_some_and(|peer| peer.incarnation == self.incarnation);
            view.primary_lease.set_listed(is_listed);
            // Until then a newer record or allocation may be missing.
            if view.is_era_confirmed() {
                view.primary_lease.record_contact(queried_at);
                // Others may claim the lanes of an unlisted instance.
                if is_listed {
                    self.quota.confirm_ownership(queried_at);
                }
            }
        }
        self.trace.record_lease(self);
        self.dispatch_changes(changes);
    }

    /// Acts on changes of the view and wakes the tasks that wait for them.
    pub(crate) fn dispatch_changes(self: &Rc<Self>, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log_change(change);
            match change {
                Change::PrimaryRecord(service) => self.release_primary(service),
                Change::Allocation => self
                    .quota
                    .apply_allocation(self.now(), self.view.borrow().allocation()),
                Change::Endpoint(id) => {
                    self.forwards.discard_plan(id);
                    self.close_if_draining(id);
                }
                Change::Instance(name) => self.forwards.clear_suspicion(name),
                Change::Catalog(_) => self
                    .quota
                    .apply_rates(self.now(), self.catalog().as_deref()),
                _ => {}
            }
        }
        let changes_limits =
            |change: &Change| matches!(change, Change::Catalog(_) | Change::Instance(_));
        if changes.iter().any(changes_limits) {
            self.forwards.discard_plans();
            self.pool.apply_limits(|endpoint| self.allot(endpoint));
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
                let is_evacuated = self.view.borrow().is_evacuated(data_centre);
                info!(self.log, "data centre changed"; "changed_data_centre" => data_centre.as_ref(),
                    "out" => is_evacuated, "revision" => revision);
            }
            Change::PrimaryRecord(service) => {
                let view = self.view.borrow();
                let stored = view.primary_record(service);
                let record = stored.map(|stored| format!("{:?}", stored.record.phase));
                info!(self.log, "record of a primary changed"; "service" => service.as_ref(),
                    "phase" => record, "record_revision" => view.record_revision(service),
                    "fence" => stored.map(|stored| stored.record.fence));
            }
            Change::ReplicaSet {
                service,
                is_loss_accepted,
            } => self.log_replica_set(service, *is_loss_accepted),
            Change::Instance(name) => {
                let is_listed = self.view.borrow().peers().contains_key(name);
                info!(self.log, "instance changed"; "peer" => name.as_ref(), "listed" => is_listed,
                    "revision" => revision);
            }
            Change::PromotionLock => {
                info!(self.log, "holder of promotions changed"; "holder" => self.holder(PROMOTION_LOCK_KEY));
            }
            Change::UsageLock => {
                info!(self.log, "instance that reports usage changed"; "holder" => self.holder(USAGE_LOCK_KEY));
            }
            Change::UsageRecord => {
                let view = self.view.borrow();
                let sealed_through = view.usage_record().map(|(record, _)| record.sealed_through);
                debug!(self.log, "record of usage changed"; "sealed_through" => sealed_through);
            }
            Change::Allocation => {
                let epoch = self
                    .view
                    .borrow()
                    .allocation()
                    .map(|allocation| allocation.epoch);
                info!(self.log, "record of shares changed"; "epoch" => epoch);
            }
            Change::EraConfirmed(era) => {
                info!(self.log, "era of the store confirmed"; "era" => era, "revision" => revision);
            }
            Change::Unusable(key, problem) => {
                warn!(self.log, "value of the store can't be used"; "key" => key.as_ref(),
                    "problem" => problem.as_str(), "revision" => revision);
            }
        }
    }

    /// Returns the name of the instance that holds the lock with the key.
    fn holder(&self, key: &str) -> Option<String> {
        let view = self.view.borrow();
        let holder = view.lock_holder(key);
        holder.map(|(holder, _)| holder.instance.to_string())
    }

    fn log_endpoint(&self, id: &str, revision: u64) {
        let view = self.view.borrow();
        let endpoint = view.endpoint(id);
        info!(self.log, "endpoint changed"; "endpoint" => id,
            "service" => endpoint.map(|found| found.service.to_string()),
            "role" => endpoint.map(|found| found.role.to_string()),
            "draining" => endpoint.map(|found| found.is_draining),
            "listed" => !view.is_gone(id), "revision" => revision);
    }

    fn close_if_draining(&self, id: &str) {
        let is_draining = {
            let view = self.view.borrow();
            view.endpoint(id)
                .is_some_and(|endpoint| endpoint.is_draining)
        };
        if is_draining {
            self.pool.close_idle(id);
        }
    }

    /// Waits for the statements in flight at the previous primary to finish, and aborts those that
    /// take longer than [`RELEASE_GRACE`].
    fn release_primary(self: &Rc<Self>, service: &Arc<str>) {
        let view = self.view.borrow();
        let Some(stored) = view.primary_record(service) else {
            return;
        };
        let Some(from) = stored.record.from.clone() else {
            return;
        };
        drop(view);
        let (instance, service) = (Rc::clone(self), Arc::clone(service));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RELEASE_GRACE).await;
            if instance.primary_uses.count(&service) > 0 {
                info!(instance.log, "statements at a former primary given up";
                    "service" => service.as_ref(), "endpoint" => from.as_ref());
                instance.pool.abort(&from);
            } else {
                instance.pool.close_idle(&from);
            }
        });
    }

    /// Returns the primary of a service, or `None` while it is unknown, being changed, or this
    /// instance's primary lease is not valid.
    pub fn primary(&self, service: &str) -> Option<Arc<str>> {
        let view = self.view.borrow();
        if !view.primary_lease.is_valid(self.now()) {
            return None;
        }
        view.primary(service)
    }

    /// Records a watermark: the position that a primary returned for a query sent at `queried_at`.
    ///
    /// Ignored unless the endpoint is still the primary under the record of the given revision and
    /// the primary lease is valid.
    pub fn record_position(
        &self,
        service: &Arc<str>,
        endpoint: &str,
        record_revision: u64,
        queried_at: Instant,
        position: Position,
    ) {
        let is_current_primary = {
            let view = self.view.borrow();
            view.primary_lease.is_valid(self.now())
                && view.record_revision(service) == record_revision
                && view.primary(service).as_deref() == Some(endpoint)
        };
        if is_current_primary {
            self.watermarks
                .record(service, endpoint, record_revision, queried_at, position);
        }
    }

    /// Returns the lowest position that proves that a replica's data is younger than `age`, if known.
    pub fn min_position(&self, service: &str, age: Duration) -> Option<Position> {
        self.watermarks.min_position(service, self.now(), age)
    }

    /// Returns whether an endpoint may run statements of a workspace on a route: its region is allowed
    /// by both and its data centre is not evacuated.
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

    /// Returns whether a draining endpoint is so close to the end of its drain period that it must not
    /// receive work any more.
    pub fn is_past_drain(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let drain_duration = Duration::from_millis(self.settings.borrow().leave_ms);
        let drain_duration = drain_duration.saturating_sub(DRAIN_MARGIN);
        let since = self.view.borrow().draining_since(&endpoint.id);
        since.is_some_and(|since| now >= since + drain_duration)
    }

    /// Returns the assumed round trip time to an endpoint.
    pub fn round_trip(&self, endpoint: &Endpoint) -> Duration {
        let settings = self.settings.borrow();
        if endpoint.data_centre == settings.data_centre {
            return ROUND_TRIP_LOCAL;
        }
        let own_region = settings.data_centres.get(&settings.data_centre);
        if own_region.is_some() && own_region == settings.data_centres.get(&endpoint.data_centre) {
            return ROUND_TRIP_REGIONAL;
        }
        ROUND_TRIP_REMOTE
    }

    /// Returns the expected latency of an endpoint, including the round trip.
    pub fn expected_latency(&self, endpoint_pool: &EndpointPool, now: Instant) -> Duration {
        let default = DEFAULT_LATENCY + self.round_trip(&endpoint_pool.endpoint());
        endpoint_pool.expected_latency(now, default)
    }

    /// Returns how many connections this instance keeps to an endpoint, zero if it only opens one when
    /// no egress instance answers, and sets how many of them the endpoint's pool keeps idle.
    pub fn allot(&self, endpoint: &Rc<Endpoint>) -> usize {
        let plan = forward::plan(self, endpoint);
        let allotment = plan.allotment(&self.settings().name);
        let endpoint_pool = self.pool.for_endpoint(endpoint);
        endpoint_pool.keep_all_idle(!plan.is_direct() && allotment > 0);
        allotment
    }
}
