//! Actor that monitors one database group.
//!
//! It polls the status of the members, publishes the view of the group, confirms executed
//! statements before callers get their results, and performs failovers and switchovers. The state
//! machines of [`authority`](filbertbay_coordination::authority) make the decisions; this module
//! performs the I/O.

mod directory;
mod lease;
mod link;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use filbertbay_coordination::authority::confirm::{self, Outcome};
use filbertbay_coordination::authority::failover;
use filbertbay_coordination::quorum::{MemberSet, Quorum};
use filbertbay_coordination::{rendezvous, view};
use filbertbay_protocol::endpoint::{ErrorKind, Order};
use filbertbay_protocol::platform::{LeaseId, Store};
use filbertbay_state::document::{Availability, Durability};
use filbertbay_state::id;
use filbertbay_state::position::Term;
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::status::Status;
use slog::{Logger, info, o};
use tokio::sync::oneshot;
use xtra::WeakAddress;
use xtra::prelude::*;

pub use self::directory::{Credentials, GroupDirectory};
use self::link::MemberHandle;
use crate::caller::policy::ConfirmationRequest;
use crate::published::PublishedState;

/// Time between two rounds of status queries while no confirmation is pending.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two rounds that reads request.
const REFRESH_INTERVAL: Duration = Duration::from_millis(3);

/// Time between two checks of the deadlines.
const TICK: Duration = Duration::from_millis(5);

/// Time between two updates of this instance's rank.
const RANK_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Request id of periodic polls and of refreshes; no caller waits for their outcome.
const POLL_REQUEST_ID: confirm::RequestId = confirm::RequestId(0);

/// Dependencies of the group actors.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Credentials with which the daemon logs in to members.
    pub credentials: Credentials,
    /// Client of the platform, which grants the lease for a change of primary.
    pub store: Arc<dyn Store>,
    /// State to which the views are published.
    pub published: Arc<PublishedState>,
    /// Logger.
    pub log: Logger,
}

/// Actor of one group.
#[derive(Debug)]
pub struct GroupActor {
    address: WeakAddress<Self>,
    deps: Dependencies,
    view: view::Group,
    member_handles: Vec<MemberHandle>,
    confirm_decider: confirm::Decider,
    failover_decider: failover::Decider,
    config: failover::GroupConfig,
    pending_confirmations: HashMap<confirm::RequestId, oneshot::Sender<Outcome>>,
    next_request_id: u64,
    next_poll: Instant,
    last_poll: Instant,
    next_rank_update: Instant,
    lease: Option<LeaseId>,
}

impl GroupActor {
    /// Spawns the actor of a group that has no members yet.
    fn spawn(deps: Dependencies, name: Arc<str>) -> Address<Self> {
        let now = Instant::now();
        let config = failover::GroupConfig::new(MemberSet::default());
        let seed = rendezvous::weight(&name, &deps.published.local_instance().name);
        let log = deps.log.new(o!("group" => name.to_string()));
        let (address, mailbox) = Mailbox::bounded(super::MAILBOX_CAPACITY);
        let actor = Self {
            address: address.downgrade(),
            deps: Dependencies { log, ..deps },
            view: empty_view(name),
            member_handles: Vec::new(),
            confirm_decider: confirm::Decider::new(
                confirm::Config::default(),
                Quorum::new(config.members),
            ),
            failover_decider: failover::Decider::new(failover::Config::default(), config, seed),
            config,
            pending_confirmations: HashMap::new(),
            next_request_id: POLL_REQUEST_ID.0 + 1,
            next_poll: now,
            last_poll: now,
            next_rank_update: now,
            lease: None,
        };
        tokio::spawn(tick(address.downgrade()));
        xtra::spawn_tokio(actor, (address, mailbox))
    }

    /// Applies the group's section of a configuration.
    fn configure(&mut self, snapshot: &Snapshot, id: id::Group) {
        let group = &snapshot[id];
        let mut config = failover::GroupConfig {
            rank: self.config.rank,
            ..failover::GroupConfig::new(MemberSet::default())
        };
        for id in &group.members {
            let member = &snapshot[*id];
            let data_centre = &snapshot[member.data_centre].name;
            let index = self.upsert_member(member, data_centre);
            config.members.insert(index);
            if member.availability == Availability::Out {
                config.unavailable.insert(index);
            }
            if group.preferred_primary == Some(*id) {
                config.preferred = Some(index);
            }
        }
        for (index, member) in self.view.members.iter_mut().enumerate() {
            if !config.members.contains(index) {
                member.availability = Availability::Out;
            }
        }
        self.apply_config(config);
    }

    /// Adds or updates a member. Returns its index, which never changes while the instance runs.
    fn upsert_member(
        &mut self,
        member: &filbertbay_state::snapshot::Member,
        data_centre: &Arc<str>,
    ) -> usize {
        let existing = self.view.member(&member.name);
        let index = existing.unwrap_or(self.view.members.len());
        let has_same_address =
            existing.is_some_and(|i| self.view.members[i].address == member.address);
        if !has_same_address {
            let endpoint = self
                .deps
                .credentials
                .connect(&self.view.name, member.address);
            let handle = MemberHandle::spawn(self.address.clone(), index, endpoint);
            match self.member_handles.get_mut(index) {
                Some(slot) => *slot = handle,
                None => self.member_handles.push(handle),
            }
        }
        let entry = view::Member {
            name: Arc::clone(&member.name),
            data_centre: Arc::clone(data_centre),
            address: member.address,
            availability: member.availability,
            observation: existing.and_then(|i| self.view.members[i].observation),
        };
        match self.view.members.get_mut(index) {
            Some(slot) => *slot = entry,
            None => self.view.members.push(entry),
        }
        index
    }

    /// Passes a new configuration of the group to the failover decider.
    fn apply_config(&mut self, config: failover::GroupConfig) {
        if self.config.members.is_empty() {
            // The first member list takes effect at once: there is no earlier list to overlap with.
            let seed =
                rendezvous::weight(&self.view.name, &self.deps.published.local_instance().name);
            self.failover_decider =
                failover::Decider::new(failover::Config::default(), config, seed);
        }
        self.config = config;
        self.on_failover_event(failover::Event::Configured(config));
    }

    fn on_confirm_event(&mut self, event: confirm::Event) {
        for action in self.confirm_decider.on_event(Instant::now(), event) {
            match action {
                confirm::Action::Poll(round) => {
                    for member in self.failover_decider.quorum().members().iter() {
                        self.member_handles[member].request_status(round);
                    }
                }
                confirm::Action::PushWatermark(watermark) => self.view.push_watermark(watermark),
                confirm::Action::Complete(id, outcome) => self.complete_confirmation(id, outcome),
            }
        }
    }

    fn complete_confirmation(&mut self, id: confirm::RequestId, outcome: Outcome) {
        let Some(sender) = self.pending_confirmations.remove(&id) else {
            return;
        };
        let label = match outcome {
            Outcome::Confirmed(_) => "confirmed".to_owned(),
            Outcome::Unknown(cause) => cause.to_string(),
        };
        metrics::counter!("filbertbay_confirmations_total", "outcome" => label).increment(1);
        // The caller may have disconnected.
        let _ = sender.send(outcome);
    }

    fn on_failover_event(&mut self, event: failover::Event) {
        let old_reason = self.failover_decider.reason();
        for action in self.failover_decider.on_event(Instant::now(), event) {
            self.execute(action);
        }
        let new_reason = self.failover_decider.reason();
        if new_reason != old_reason
            && let Some(reason) = new_reason
        {
            info!(self.deps.log, "primary should change"; "reason" => %reason);
        }
        let quorum = self.failover_decider.quorum();
        self.on_confirm_event(confirm::Event::QuorumChanged(quorum));
        self.publish_view();
    }

    fn execute(&mut self, action: failover::Action) {
        match action {
            failover::Action::AcquireLease => {
                let acquire = lease::acquire_lease(
                    self.deps.clone(),
                    Arc::clone(&self.view.name),
                    self.address.clone(),
                );
                tokio::spawn(acquire);
            }
            failover::Action::ReleaseLease => self.release_lease(),
            failover::Action::Poll => self.start_poll(),
            failover::Action::Order(member, order) => {
                info!(self.deps.log, "order"; "member" => %self.view.members[member].name,
                    "order" => ?order);
                let kind = match order {
                    failover::Order::Fence(_) => "fence",
                    failover::Order::Promote(_) => "promote",
                    failover::Order::Follow(_, _) => "follow",
                };
                metrics::counter!("filbertbay_orders_total", "order" => kind).increment(1);
                let endpoint_order = self.endpoint_order(order);
                self.member_handles[member].send_order(order, endpoint_order);
            }
        }
    }

    fn endpoint_order(&self, order: failover::Order) -> Order {
        match order {
            failover::Order::Fence(term) => Order::Fence(term),
            failover::Order::Promote(term) => Order::Promote(term),
            failover::Order::Follow(primary, term) => {
                Order::Follow(self.view.members[primary].address, term)
            }
        }
    }

    fn release_lease(&mut self) {
        if let Some(lease) = self.lease.take() {
            let store = Arc::clone(&self.deps.store);
            // If the release fails, the lease expires.
            tokio::spawn(async move { drop(store.close_lease(&lease).await) });
        }
    }

    /// Starts a round that confirms the primary and refreshes the view.
    fn start_poll(&mut self) {
        let now = Instant::now();
        self.next_poll = now + POLL_INTERVAL;
        self.last_poll = now;
        let (primary, term) = self
            .failover_decider
            .leader()
            .unwrap_or((0, Term::default()));
        let request = confirm::Request {
            id: POLL_REQUEST_ID,
            primary,
            term,
            durability: Durability::Primary,
            deadline: now + POLL_INTERVAL,
        };
        self.on_confirm_event(confirm::Event::Executed(request));
    }

    fn publish_view(&mut self) {
        let leader = self.failover_decider.leader();
        let primary = leader.map(|(member, _)| member);
        if primary != self.view.primary
            && let Some(member) = primary
        {
            metrics::counter!("filbertbay_primary_changes_total").increment(1);
            info!(self.deps.log, "primary"; "member" => %self.view.members[member].name);
        }
        self.view.primary = primary;
        self.view.term = leader.map_or(Term::default(), |(_, term)| term);
        self.view.is_switching_over = self.failover_decider.is_switching_over();
        self.deps.published.set_group(self.view.clone());
    }

    /// Updates this instance's rank among the instances that may start a change of primary.
    fn update_rank(&mut self) {
        let published = Arc::clone(&self.deps.published);
        let instances = published.instances();
        let own = rendezvous::weight(&self.view.name, &published.local_instance().name);
        let ranks_before = |name: &Arc<str>| rendezvous::weight(&self.view.name, name) > own;
        let rank = instances.iter().filter(|i| ranks_before(&i.name)).count() as u32;
        if rank != self.config.rank {
            self.config.rank = rank;
            self.on_failover_event(failover::Event::Configured(self.config));
        }
    }
}

impl Actor for GroupActor {
    type Stop = ();

    async fn stopped(mut self) {
        self.release_lease();
    }
}

/// Applies the group's section of a configuration.
#[derive(Debug)]
pub(super) struct Configure(pub(super) Snapshot, pub(super) id::Group);

impl Handler<Configure> for GroupActor {
    type Return = ();

    async fn handle(&mut self, message: Configure, _: &mut Context<Self>) {
        self.configure(&message.0, message.1);
    }
}

/// Requests the confirmation of an executed statement.
#[derive(Debug)]
struct Confirm(ConfirmationRequest, oneshot::Sender<Outcome>);

impl Handler<Confirm> for GroupActor {
    type Return = ();

    async fn handle(&mut self, Confirm(finished, sender): Confirm, _: &mut Context<Self>) {
        let request_id = confirm::RequestId(self.next_request_id);
        self.next_request_id += 1;
        self.pending_confirmations.insert(request_id, sender);
        let request = confirm::Request {
            id: request_id,
            primary: finished.member,
            term: finished.term,
            durability: finished.durability,
            deadline: finished.deadline,
        };
        self.on_confirm_event(confirm::Event::Executed(request));
    }
}

/// Delivers a member's response to a status query that was sent at `asked`.
#[derive(Debug)]
struct StatusReceived {
    member: usize,
    round: confirm::Round,
    asked: Instant,
    status: Status,
}

impl Handler<StatusReceived> for GroupActor {
    type Return = ();

    async fn handle(&mut self, message: StatusReceived, _: &mut Context<Self>) {
        let StatusReceived {
            member,
            round,
            asked,
            status,
        } = message;
        self.view.members[member].observation = Some(view::Observation { status, asked });
        let event = confirm::Event::StatusReceived {
            round,
            member,
            status,
        };
        self.on_confirm_event(event);
        self.on_failover_event(failover::Event::StatusReceived {
            member,
            status,
            asked,
        });
    }
}

/// Delivers the result of an order to a member.
#[derive(Debug)]
struct OrderAnswered {
    member: usize,
    order: failover::Order,
    result: Result<Status, ErrorKind>,
}

impl Handler<OrderAnswered> for GroupActor {
    type Return = ();

    async fn handle(&mut self, message: OrderAnswered, _: &mut Context<Self>) {
        let result = match message.result {
            Ok(status) => failover::OrderResult::Accepted(status),
            Err(ErrorKind::Refused) => failover::OrderResult::Refused,
            // The outcome of the order is unknown, so the decider must not conclude anything.
            Err(_) => return,
        };
        let event = failover::Event::OrderAnswered(message.member, message.order, result);
        self.on_failover_event(event);
    }
}

/// Delivers the result of a lease request, with the lease to release later, if any.
#[derive(Debug)]
struct LeaseAnswered(failover::LeaseResult, Option<LeaseId>);

impl Handler<LeaseAnswered> for GroupActor {
    type Return = ();

    async fn handle(&mut self, LeaseAnswered(result, lease): LeaseAnswered, _: &mut Context<Self>) {
        if lease.is_some() {
            self.release_lease();
            self.lease = lease;
        }
        self.on_failover_event(failover::Event::LeaseAnswered(result));
    }
}

/// Requests a round because a read waits for a replica to catch up.
#[derive(Debug)]
struct Refresh(Arc<AtomicBool>);

impl Handler<Refresh> for GroupActor {
    type Return = ();

    async fn handle(&mut self, refresh: Refresh, _: &mut Context<Self>) {
        refresh.0.store(false, Ordering::Relaxed);
        // Reads that wait at the same time share one round.
        if self.last_poll.elapsed() >= REFRESH_INTERVAL && !self.config.members.is_empty() {
            self.start_poll();
        }
    }
}

/// Handles deadlines that have passed.
#[derive(Debug)]
struct Tick;

impl Handler<Tick> for GroupActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = Instant::now();
        if self.next_rank_update <= now {
            self.next_rank_update = now + RANK_UPDATE_INTERVAL;
            self.update_rank();
        }
        if self
            .confirm_decider
            .next_deadline()
            .is_some_and(|at| at <= now)
        {
            self.on_confirm_event(confirm::Event::Elapsed);
        }
        if self
            .failover_decider
            .next_deadline()
            .is_some_and(|at| at <= now)
        {
            self.on_failover_event(failover::Event::Elapsed);
        }
        if self.next_poll <= now && !self.config.members.is_empty() {
            self.on_failover_event(failover::Event::Elapsed);
            self.start_poll();
        }
    }
}

async fn tick(address: WeakAddress<GroupActor>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

fn empty_view(name: Arc<str>) -> view::Group {
    view::Group {
        name,
        term: Term::default(),
        primary: None,
        members: Vec::new(),
        is_switching_over: false,
        watermarks: Vec::new(),
    }
}
