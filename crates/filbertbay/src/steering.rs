//! What control decides for traffic, read from its published state.
//!
//! Until control runs an actor for each group, a task for each group asks the members for their
//! status here and serves confirmations; until it keeps the allocation of shares, they are split
//! evenly over the instances that it knows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use filbertbay_coordination::authority::confirm::{
    Action, Cause, Config, Decider, Event, Outcome, Request, Ticket,
};
use filbertbay_coordination::quorum::{Rule, Set};
use filbertbay_coordination::share::{self, Admission, Allocation, Ledger};
use filbertbay_coordination::view::{Group, Mark, Member, Observation};
use filbertbay_protocol::endpoint::Endpoint;
use filbertbay_state::id;
use filbertbay_state::position::Term;
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::status::Role;
use filbertbay_transport::endpoint::{Control, Target};
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until};

use crate::caller::policy::{Demand, Finished, Policy};
use crate::published::Published;

/// Time between two questions to a member.
const POLL: Duration = Duration::from_millis(50);

/// Longest wait for a member's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Marks that a view keeps.
const MAX_MARKS: usize = 64;

/// Policy of a daemon.
#[derive(Debug)]
pub struct Steering {
    published: Arc<Published>,
    user: Arc<str>,
    password: Arc<str>,
    endpoints: Mutex<HashMap<Arc<str>, Arc<Control>>>,
    ledger: Mutex<Ledger>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Steering {
    /// Starts to follow the groups of the configuration.
    pub fn spawn(published: Arc<Published>, user: Arc<str>, password: Arc<str>) -> Arc<Self> {
        let own = published.own();
        let ledger = Ledger::open(
            Arc::clone(&own.name),
            Arc::clone(&own.data_centre),
            own.incarnation,
            share::Config::default(),
        );
        let steering = Arc::new(Self {
            published,
            user,
            password,
            endpoints: Mutex::default(),
            ledger: Mutex::new(ledger),
            tasks: Mutex::default(),
        });
        let tasks = [
            tokio::spawn(follow(Arc::clone(&steering))),
            tokio::spawn(split(Arc::clone(&steering))),
        ];
        steering.tasks.lock().extend(tasks);
        steering
    }

    /// Takes this instance's lanes of an even split over the instances that control knows.
    fn split(&self) {
        let now = Instant::now();
        let instances = self.published.instances();
        let holders: Vec<_> = instances
            .iter()
            .map(|i| (i.name.as_ref(), i.incarnation, i.data_centre.as_ref()))
            .collect();
        let mut ledger = self.ledger.lock();
        ledger.adopt(now, Arc::new(Allocation::even(&holders)));
        ledger.extend(now);
    }

    /// Ends the tasks.
    pub fn stop(&self) {
        for task in self.tasks.lock().drain(..) {
            task.abort();
        }
    }

    fn endpoint(&self, group: &str, member: &Member) -> Arc<Control> {
        let key = Arc::from(format!("{group}/{}/{}", member.name, member.address));
        let mut endpoints = self.endpoints.lock();
        let endpoint = endpoints.entry(key).or_insert_with(|| {
            let target = Target {
                address: member.address,
                database: group.into(),
                user: Arc::clone(&self.user),
                password: Arc::clone(&self.password),
                application: Arc::clone(&self.published.own().name),
                member: None,
            };
            Arc::new(Control::new(target, ANSWER_TIMEOUT))
        });
        Arc::clone(endpoint)
    }

    async fn poll(&self, group: &mut Group) {
        let asked = Instant::now();
        let answers = group.members.iter().map(|member| {
            let endpoint = self.endpoint(&group.name, member);
            async move { endpoint.status().await }
        });
        let answers = join_all(answers).await;
        for (member, answer) in group.members.iter_mut().zip(answers) {
            if let Ok(status) = answer {
                member.observation = Some(Observation { status, asked });
            }
        }
        lead(group);
        mark(group, asked);
    }
}

/// Names the member that leads the highest term as the primary.
fn lead(group: &mut Group) {
    let leads = group
        .members
        .iter()
        .enumerate()
        .filter_map(|(index, member)| {
            let status = member.observation?.status;
            (status.role == Role::Primary).then_some((status.received.term, index))
        });
    let leader = leads.max();
    group.primary = leader.map(|(_, index)| index);
    group.term = leader.map_or(group.term, |(term, _)| term);
}

/// Notes the position of a primary that a majority of the answers of one round supports.
fn mark(group: &mut Group, asked: Instant) {
    let Some(primary) = group.primary else { return };
    let answers = group.members.iter().filter_map(|member| {
        let observation = member.observation?;
        (observation.asked == asked).then_some(observation.status)
    });
    let supporters = answers.filter(|status| status.fenced <= group.term).count();
    let own = group.members[primary]
        .observation
        .filter(|own| own.asked == asked);
    if let Some(own) = own.filter(|_| supporters > group.members.len() / 2) {
        group.marks.push(Mark {
            asked,
            position: own.status.received,
        });
        let surplus = group.marks.len().saturating_sub(MAX_MARKS);
        group.marks.drain(..surplus);
    }
}

async fn split(steering: Arc<Steering>) {
    loop {
        steering.split();
        sleep(POLL).await;
    }
}

async fn follow(steering: Arc<Steering>) {
    let mut changes = steering.published.subscribe();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let groups = (0..snapshot.groups.len()).map(|index| id::Group(index as u32));
        let watches = groups.map(|group| watch_group(&steering, &snapshot, group));
        tokio::select! {
            _ = join_all(watches) => {}
            result = changes.changed() => if result.is_err() { return },
        }
        if snapshot.groups.is_empty() && changes.changed().await.is_err() {
            return;
        }
    }
}

async fn watch_group(steering: &Steering, snapshot: &Snapshot, id: id::Group) {
    let before = steering.published.group(&snapshot[id].name);
    let mut group = Group {
        name: Arc::clone(&snapshot[id].name),
        term: before.as_ref().map_or(Term(0), |group| group.term),
        primary: None,
        members: members(snapshot, id),
        is_moving: false,
        marks: before.map(|group| group.marks.clone()).unwrap_or_default(),
    };
    loop {
        steering.poll(&mut group).await;
        steering.published.set_group(group.clone());
        sleep(POLL).await;
    }
}

fn members(snapshot: &Snapshot, group: id::Group) -> Vec<Member> {
    let members = snapshot[group].members.iter().map(|id| {
        let member = &snapshot[*id];
        Member {
            name: Arc::clone(&member.name),
            data_centre: Arc::clone(&snapshot[member.data_centre].name),
            address: member.address,
            availability: member.availability,
            observation: None,
        }
    });
    members.collect()
}

#[async_trait]
impl Policy for Steering {
    fn snapshot(&self) -> Snapshot {
        self.published.snapshot()
    }

    fn group(&self, name: &str) -> Option<Arc<Group>> {
        self.published.group(name)
    }

    fn changes(&self) -> watch::Receiver<Snapshot> {
        self.published.subscribe()
    }

    fn cut_off(&self) -> watch::Receiver<bool> {
        self.published.subscribe_cut_off()
    }

    async fn confirm(&self, finished: Finished) -> Outcome {
        let Some(view) = self.published.group(&finished.group) else {
            return Outcome::Unknown(Cause::Deadline);
        };
        let rule = Rule::new(Set::first(view.members.len()));
        let mut decider = Decider::new(Config::default(), rule);
        let request = Request {
            ticket: Ticket(0),
            primary: finished.member,
            term: finished.term,
            durability: finished.durability,
            deadline: finished.deadline,
        };
        let mut actions = decider.on_event(Instant::now(), Event::Finished(request));
        let mut answers = FuturesUnordered::new();
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Settle(_, outcome) => return outcome,
                    // The polls of the group note their own marks.
                    Action::Mark(_) => {}
                    Action::Ask(round) => {
                        for (index, member) in view.members.iter().enumerate() {
                            let endpoint = self.endpoint(&view.name, member);
                            answers.push(async move { (round, index, endpoint.status().await) });
                        }
                    }
                }
            }
            let deadline = decider.next_deadline().unwrap_or(finished.deadline);
            let event = tokio::select! {
                Some((round, member, answer)) = answers.next() => match answer {
                    Ok(status) => Event::Answered { round, member, status },
                    Err(_) => continue,
                },
                () = sleep_until(deadline.into()) => Event::Elapsed,
            };
            actions = decider.on_event(Instant::now(), event);
        }
    }

    async fn admit(&self, demand: Demand) -> bool {
        let now = Instant::now();
        let mut ledger = self.ledger.lock();
        let admission = ledger.take(now, &demand.workspace, demand.rate, demand.cost);
        matches!(admission, Admission::Run)
    }
}
