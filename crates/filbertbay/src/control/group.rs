//! Actor that keeps what is known about one database group.
//!
//! It asks the members for their status, publishes the group's view, proves finished work for
//! callers and changes the primary when needed. The decisions are those of
//! [`authority`](filbertbay_coordination::authority); this module carries them out.

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

pub use self::directory::{Credentials, Directory};
use self::link::Link;
use crate::caller::policy::Finished;
use crate::published::Published;

/// Time between two rounds of questions when nothing waits to be confirmed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two rounds that reads ask for.
const REFRESH_INTERVAL: Duration = Duration::from_millis(3);

/// Time between two looks at the deadlines.
const TICK: Duration = Duration::from_millis(5);

/// Time between two looks at this instance's rank among the others.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Ticket of the rounds that are started by the clock.
const POLL_TICKET: confirm::RequestId = confirm::RequestId(0);

/// What the actors of groups work with.
#[derive(Clone, Debug)]
pub struct Parts {
    /// What the daemon presents to members.
    pub credentials: Credentials,
    /// The platform, which is asked for the lease of a proposal.
    pub store: Arc<dyn Store>,
    /// State shared with traffic; views go there.
    pub published: Arc<Published>,
    /// Log.
    pub log: Logger,
}

/// Actor of one group.
#[derive(Debug)]
pub struct Group {
    own: WeakAddress<Self>,
    parts: Parts,
    view: view::Group,
    links: Vec<Link>,
    confirm: confirm::Decider,
    failover: failover::Decider,
    setting: failover::GroupConfig,
    waiting: HashMap<confirm::RequestId, oneshot::Sender<Outcome>>,
    next_ticket: u64,
    next_poll: Instant,
    last_poll: Instant,
    next_rank: Instant,
    lease: Option<LeaseId>,
}

impl Group {
    /// Spawns the actor of a group that has no members yet.
    fn spawn(parts: Parts, name: Arc<str>) -> Address<Self> {
        let now = Instant::now();
        let setting = failover::GroupConfig::new(MemberSet::default());
        let seed = rendezvous::weight(&name, &parts.published.own().name);
        let log = parts.log.new(o!("group" => name.to_string()));
        let (address, mailbox) = Mailbox::bounded(super::MAILBOX);
        let actor = Self {
            own: address.downgrade(),
            parts: Parts { log, ..parts },
            view: empty_view(name),
            links: Vec::new(),
            confirm: confirm::Decider::new(
                confirm::Config::default(),
                Quorum::new(setting.members),
            ),
            failover: failover::Decider::new(failover::Config::default(), setting, seed),
            setting,
            waiting: HashMap::new(),
            next_ticket: POLL_TICKET.0 + 1,
            next_poll: now,
            last_poll: now,
            next_rank: now,
            lease: None,
        };
        tokio::spawn(tick(address.downgrade()));
        xtra::spawn_tokio(actor, (address, mailbox))
    }

    /// Takes the group's part of a configuration.
    fn configure(&mut self, snapshot: &Snapshot, id: id::Group) {
        let group = &snapshot[id];
        let mut setting = failover::GroupConfig {
            rank: self.setting.rank,
            ..failover::GroupConfig::new(MemberSet::default())
        };
        for id in &group.members {
            let member = &snapshot[*id];
            let data_centre = &snapshot[member.data_centre].name;
            let index = self.place(member, data_centre);
            setting.members.insert(index);
            if member.availability == Availability::Out {
                setting.unavailable.insert(index);
            }
            if group.preferred_primary == Some(*id) {
                setting.preferred = Some(index);
            }
        }
        for (index, member) in self.view.members.iter_mut().enumerate() {
            if !setting.members.contains(index) {
                member.availability = Availability::Out;
            }
        }
        self.reset(setting);
    }

    /// Returns the index of a member, which it keeps while the instance runs.
    fn place(
        &mut self,
        member: &filbertbay_state::snapshot::Member,
        data_centre: &Arc<str>,
    ) -> usize {
        let known = self.view.member(&member.name);
        let index = known.unwrap_or(self.view.members.len());
        let is_linked = known.is_some_and(|i| self.view.members[i].address == member.address);
        if !is_linked {
            let endpoint = self.parts.credentials.open(&self.view.name, member.address);
            let link = Link::spawn(self.own.clone(), index, endpoint);
            match self.links.get_mut(index) {
                Some(slot) => *slot = link,
                None => self.links.push(link),
            }
        }
        let entry = view::Member {
            name: Arc::clone(&member.name),
            data_centre: Arc::clone(data_centre),
            address: member.address,
            availability: member.availability,
            observation: known.and_then(|i| self.view.members[i].observation),
        };
        match self.view.members.get_mut(index) {
            Some(slot) => *slot = entry,
            None => self.view.members.push(entry),
        }
        index
    }

    /// Gives the deciders a new setting.
    fn reset(&mut self, setting: failover::GroupConfig) {
        if self.setting.members.is_empty() {
            // The first list is in force at once; there is no list before it.
            let seed = rendezvous::weight(&self.view.name, &self.parts.published.own().name);
            self.failover = failover::Decider::new(failover::Config::default(), setting, seed);
        }
        self.setting = setting;
        self.failover(failover::Event::Configured(setting));
    }

    fn confirm(&mut self, event: confirm::Event) {
        for action in self.confirm.on_event(Instant::now(), event) {
            match action {
                confirm::Action::Poll(round) => {
                    for member in self.failover.quorum().members().iter() {
                        self.links[member].ask(round);
                    }
                }
                confirm::Action::PushWatermark(mark) => self.view.push_watermark(mark),
                confirm::Action::Complete(ticket, outcome) => self.settle(ticket, outcome),
            }
        }
    }

    fn settle(&mut self, ticket: confirm::RequestId, outcome: Outcome) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let label = match outcome {
            Outcome::Confirmed(_) => "confirmed".to_owned(),
            Outcome::Unknown(cause) => cause.to_string(),
        };
        metrics::counter!("filbertbay_confirmations_total", "outcome" => label).increment(1);
        // A caller that has gone needs no answer.
        let _ = waiting.send(outcome);
    }

    fn failover(&mut self, event: failover::Event) {
        let reason = self.failover.reason();
        for action in self.failover.on_event(Instant::now(), event) {
            self.act(action);
        }
        let now_reason = self.failover.reason();
        if now_reason != reason
            && let Some(reason) = now_reason
        {
            info!(self.parts.log, "primary should change"; "reason" => %reason);
        }
        let rule = self.failover.quorum();
        self.confirm(confirm::Event::QuorumChanged(rule));
        self.publish();
    }

    fn act(&mut self, action: failover::Action) {
        match action {
            failover::Action::AcquireLease => {
                let take = lease::take(
                    self.parts.clone(),
                    Arc::clone(&self.view.name),
                    self.own.clone(),
                );
                tokio::spawn(take);
            }
            failover::Action::ReleaseLease => self.release(),
            failover::Action::Poll => self.poll(),
            failover::Action::Order(member, order) => {
                info!(self.parts.log, "order"; "member" => %self.view.members[member].name,
                    "order" => ?order);
                let kind = match order {
                    failover::Order::Fence(_) => "fence",
                    failover::Order::Promote(_) => "promote",
                    failover::Order::Follow(_, _) => "follow",
                };
                metrics::counter!("filbertbay_orders_total", "order" => kind).increment(1);
                let sent = self.translate(order);
                self.links[member].order(order, sent);
            }
        }
    }

    fn translate(&self, order: failover::Order) -> Order {
        match order {
            failover::Order::Fence(term) => Order::Fence(term),
            failover::Order::Promote(term) => Order::Promote(term),
            failover::Order::Follow(primary, term) => {
                Order::Follow(self.view.members[primary].address, term)
            }
        }
    }

    fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            let store = Arc::clone(&self.parts.store);
            // A lease that is not given back lapses.
            tokio::spawn(async move { drop(store.close_lease(&lease).await) });
        }
    }

    /// Starts a round that proves who leads and refreshes the view.
    fn poll(&mut self) {
        let now = Instant::now();
        self.next_poll = now + POLL_INTERVAL;
        self.last_poll = now;
        let (primary, term) = self.failover.leader().unwrap_or((0, Term::default()));
        let request = confirm::Request {
            id: POLL_TICKET,
            primary,
            term,
            durability: Durability::Primary,
            deadline: now + POLL_INTERVAL,
        };
        self.confirm(confirm::Event::Executed(request));
    }

    fn publish(&mut self) {
        let leader = self.failover.leader();
        let primary = leader.map(|(member, _)| member);
        if primary != self.view.primary
            && let Some(member) = primary
        {
            metrics::counter!("filbertbay_primary_changes_total").increment(1);
            info!(self.parts.log, "primary"; "member" => %self.view.members[member].name);
        }
        self.view.primary = primary;
        self.view.term = leader.map_or(Term::default(), |(_, term)| term);
        self.view.is_switching_over = self.failover.is_switching_over();
        self.parts.published.set_group(self.view.clone());
    }

    /// Finds this instance's place among those that may propose.
    fn rank(&mut self) {
        let published = Arc::clone(&self.parts.published);
        let instances = published.instances();
        let own = rendezvous::weight(&self.view.name, &published.own().name);
        let is_before = |name: &Arc<str>| rendezvous::weight(&self.view.name, name) > own;
        let rank = instances.iter().filter(|i| is_before(&i.name)).count() as u32;
        if rank != self.setting.rank {
            self.setting.rank = rank;
            self.failover(failover::Event::Configured(self.setting));
        }
    }
}

impl Actor for Group {
    type Stop = ();

    async fn stopped(mut self) {
        self.release();
    }
}

/// Puts the group's part of a configuration in force.
#[derive(Debug)]
pub(super) struct Configured(pub(super) Snapshot, pub(super) id::Group);

impl Handler<Configured> for Group {
    type Return = ();

    async fn handle(&mut self, message: Configured, _: &mut Context<Self>) {
        self.configure(&message.0, message.1);
    }
}

/// Asks for proof of finished work.
#[derive(Debug)]
struct Confirm(Finished, oneshot::Sender<Outcome>);

impl Handler<Confirm> for Group {
    type Return = ();

    async fn handle(&mut self, Confirm(finished, waiting): Confirm, _: &mut Context<Self>) {
        let ticket = confirm::RequestId(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, waiting);
        let request = confirm::Request {
            id: ticket,
            primary: finished.member,
            term: finished.term,
            durability: finished.durability,
            deadline: finished.deadline,
        };
        self.confirm(confirm::Event::Executed(request));
    }
}

/// Member answered a question that left at `asked`.
#[derive(Debug)]
struct Answered {
    member: usize,
    round: confirm::Round,
    asked: Instant,
    status: Status,
}

impl Handler<Answered> for Group {
    type Return = ();

    async fn handle(&mut self, message: Answered, _: &mut Context<Self>) {
        let Answered {
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
        self.confirm(event);
        self.failover(failover::Event::StatusReceived {
            member,
            status,
            asked,
        });
    }
}

/// Member answered an order, or did not.
#[derive(Debug)]
struct Ordered {
    member: usize,
    order: failover::Order,
    answer: Result<Status, ErrorKind>,
}

impl Handler<Ordered> for Group {
    type Return = ();

    async fn handle(&mut self, message: Ordered, _: &mut Context<Self>) {
        let answer = match message.answer {
            Ok(status) => failover::OrderResult::Accepted(status),
            Err(ErrorKind::Refused) => failover::OrderResult::Refused,
            // Nothing is known of the order, and nothing may be concluded.
            Err(_) => return,
        };
        let event = failover::Event::OrderAnswered(message.member, message.order, answer);
        self.failover(event);
    }
}

/// Platform answered the request for the lease.
#[derive(Debug)]
struct Leased(failover::LeaseResult, Option<LeaseId>);

impl Handler<Leased> for Group {
    type Return = ();

    async fn handle(&mut self, Leased(answer, lease): Leased, _: &mut Context<Self>) {
        if lease.is_some() {
            self.release();
            self.lease = lease;
        }
        self.failover(failover::Event::LeaseAnswered(answer));
    }
}

/// Asks for a round, because a read waits for a replica.
#[derive(Debug)]
struct Refresh(Arc<AtomicBool>);

impl Handler<Refresh> for Group {
    type Return = ();

    async fn handle(&mut self, refresh: Refresh, _: &mut Context<Self>) {
        refresh.0.store(false, Ordering::Relaxed);
        // Reads that wait at the same time share a round.
        if self.last_poll.elapsed() >= REFRESH_INTERVAL && !self.setting.members.is_empty() {
            self.poll();
        }
    }
}

/// Looks at the deadlines.
#[derive(Debug)]
struct Tick;

impl Handler<Tick> for Group {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = Instant::now();
        if self.next_rank <= now {
            self.next_rank = now + RANK_INTERVAL;
            self.rank();
        }
        if self.confirm.next_deadline().is_some_and(|at| at <= now) {
            self.confirm(confirm::Event::Elapsed);
        }
        if self.failover.next_deadline().is_some_and(|at| at <= now) {
            self.failover(failover::Event::Elapsed);
        }
        if self.next_poll <= now && !self.setting.members.is_empty() {
            self.failover(failover::Event::Elapsed);
            self.poll();
        }
    }
}

async fn tick(address: WeakAddress<Group>) {
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
