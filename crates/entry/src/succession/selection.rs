//! Demotes the previous primary and selects the member that replaces it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::succession::promotion::Baseline;
use filbertbay_coordination::succession::replica_set::{self, Key, Record};
use filbertbay_coordination::succession::successor::{self, Candidate, Requirement, Shortfall};
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Role;
use futures::future::join_all;
use slog::{debug, info, warn};

use super::evidence::{Answer, query, status};
use super::replica_set::{identify, join, lapsed_endpoints};
use super::{Coordinator, POLL_INTERVAL, Reason};
use crate::endpoint::{Endpoint, Request, RequestKind, Status};

/// Longest wait for a replica to catch up with the position of the previous primary, and for a busy
/// member to state its status.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Previous primary that was asked to become a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demoted {
    /// Term before that.
    term: Term,
    /// Last known position.
    position: Position,
}

impl Coordinator {
    /// Returns whether a planned change of primary would lose no acknowledged commit: an available member
    /// has received what the primary has, or the primary does not answer. Always true for a service
    /// without synchronous replicas.
    ///
    /// Checked before the change begins, because the service has no primary during a change.
    pub(super) async fn can_switch_over(&self, service: &str) -> bool {
        let record = self.instance.view.borrow().replica_set(service).cloned();
        if self.synchronous_replicas(service, record.as_deref()) == 0 {
            return true;
        }
        let (members, primary) = {
            let view = self.instance.view.borrow();
            let members: Vec<Rc<Endpoint>> = view.endpoints(service).cloned().collect();
            (members, view.primary(service))
        };
        let primary = members
            .iter()
            .find(|member| Some(&member.id) == primary.as_ref());
        let Some(primary) = primary else {
            return true;
        };
        let position = match status(&self.instance, primary).await {
            Answer::Status(status) => status.received,
            Answer::Busy(_) => return false,
            Answer::Silent => return true,
        };
        // Asked after the primary, so that a member which receives without delay has as much.
        let others = members.iter().filter(|member| member.id != primary.id);
        let others: Vec<&Rc<Endpoint>> = others.collect();
        let answers = join_all(others.iter().map(|member| status(&self.instance, member))).await;
        let mut candidates = others
            .iter()
            .zip(&answers)
            .filter_map(|(member, answer)| self.candidate(&members, member, None, *answer));
        let can_switch_over =
            candidates.any(|candidate| candidate.is_available && candidate.received >= position);
        if !can_switch_over {
            debug!(self.instance.log, "planned change waits for a successor"; "service" => service,
                "primary" => primary.id.as_ref(), "position" => %position);
        }
        can_switch_over
    }

    /// Demotes the previous primary to a replica if it answers, and returns its term before that and its
    /// last known position.
    pub(super) async fn demote(
        &self,
        previous: Option<&Rc<Endpoint>>,
        reason: Reason,
    ) -> Option<Demoted> {
        let endpoint = previous?;
        let before = self.status_of_previous(endpoint, reason).await?;
        let term = before.term.max(before.fenced_term).next();
        let request = Request::internal(RequestKind::Demote(term));
        let after = query(&self.instance, endpoint, &request).await.status();
        info!(self.instance.log, "former primary demoted"; "endpoint" => endpoint.id.as_ref(),
            "term" => before.term.0, "answered" => after.is_some(),
            "position" => after.map(|status| status.received.to_string()));
        if self.instance.view.borrow().endpoint(&endpoint.id).is_none() {
            self.instance.pool.remove(&endpoint.id);
        }
        Some(Demoted {
            term: before.term,
            position: after.unwrap_or(before).received,
        })
    }

    /// Returns the status of the previous primary. Asks again while it is busy, and once more if it is
    /// silent in a planned change.
    async fn status_of_previous(&self, endpoint: &Rc<Endpoint>, reason: Reason) -> Option<Status> {
        let deadline = self.instance.now() + CATCH_UP_TIMEOUT;
        let mut may_be_silent = reason.is_planned();
        loop {
            match status(&self.instance, endpoint).await {
                Answer::Status(status) => return Some(status),
                Answer::Busy(_) if self.instance.now() < deadline => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Answer::Silent if may_be_silent => may_be_silent = false,
                Answer::Busy(_) | Answer::Silent => return None,
            }
        }
    }

    /// Returns the successor among the members that answer, and what they stated. `from` is the previous
    /// primary, and `demoted` what it stated. Asks again for at most [`CATCH_UP_TIMEOUT`].
    ///
    /// With synchronous replicas, members whose entries have lapsed are asked too. While an order for a
    /// member is pending, no other one is returned.
    pub(super) async fn select_successor(
        &self,
        service: &str,
        from: Option<&Arc<str>>,
        demoted: Option<Demoted>,
        pending_order: Option<&Arc<str>>,
    ) -> Result<(Rc<Endpoint>, Baseline), &'static str> {
        let previous_position = demoted.map(|demoted| demoted.position);
        let record = self.stored_replica_set(service).await?;
        let deadline = self.instance.now() + CATCH_UP_TIMEOUT;
        loop {
            let mut members: Vec<Rc<Endpoint>> = {
                let view = self.instance.view.borrow();
                view.endpoints(service).cloned().collect()
            };
            let electorate = electorate(record.as_deref(), &members, from);
            if let Some(record) = record.as_deref() {
                members.extend(lapsed_endpoints(record, service, &members));
            }
            let requests = members.iter().map(|member| status(&self.instance, member));
            let answers = join_all(requests).await;
            let candidates: Vec<Candidate> = members
                .iter()
                .zip(&answers)
                .filter_map(|(member, answer)| self.candidate(&members, member, from, *answer))
                .collect();
            let requirement = Requirement {
                members: electorate.len(),
                synchronous_replicas: self.synchronous_replicas(service, record.as_deref()),
                previous_position,
            };
            let is_last_round = self.instance.now() >= deadline;
            let chosen = successor::choose(&candidates, &requirement, is_last_round);
            let chosen = match pending_order {
                Some(id) => successor::repeat_order(&candidates, &requirement, id, chosen),
                None => chosen,
            };
            match chosen {
                Ok(best) => {
                    self.set_awaited(service, BTreeSet::new());
                    info!(self.instance.log, "heir chosen"; "service" => service,
                        "endpoint" => best.id.as_ref(), "received" => %best.received,
                        "former_position" => previous_position.map(|position| position.to_string()),
                        "candidates" => candidates.len(), "members" => requirement.members,
                        "synchronous_replicas" => requirement.synchronous_replicas,
                        "answers" => describe(&members, &answers));
                    let found = members.iter().find(|member| member.id == best.id);
                    let found = found.cloned().ok_or("the successor is no longer listed")?;
                    let answers = members.iter().zip(&answers);
                    return Ok((Rc::clone(&found), baseline(answers, &found, from, demoted)));
                }
                Err(shortfall) if is_last_round => {
                    let awaited = awaited(record.as_deref(), &electorate, &members, &answers);
                    let answers = describe(&members, &answers);
                    self.report_shortfall(service, shortfall, &requirement, &awaited, &answers);
                    return Err(shortfall.into());
                }
                Err(_) => {}
            }
            if !self.renew_lock().await {
                return Err("the promotion lock was lost while a successor was selected");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Logs why no member is promoted, and which ones have not stated what they have received.
    fn report_shortfall(
        &self,
        service: &str,
        shortfall: Shortfall,
        requirement: &Requirement,
        awaited: &[Key],
        answers: &str,
    ) {
        warn!(self.instance.log, "no successor chosen"; "service" => service,
            "problem" => %shortfall, "members" => requirement.members,
            "synchronous_replicas" => requirement.synchronous_replicas,
            "waits_for" => join(awaited), "answers" => answers);
        let ids = awaited.iter().map(|key| Arc::clone(&key.id));
        self.set_awaited(service, ids.collect());
    }

    /// Returns a member as a candidate; `None` if it named no position.
    fn candidate(
        &self,
        members: &[Rc<Endpoint>],
        member: &Endpoint,
        from: Option<&Arc<str>>,
        answer: Answer,
    ) -> Option<Candidate> {
        let (received, is_exact) = match answer {
            Answer::Status(status) => (status.received, true),
            Answer::Busy(position) => (position?, false),
            Answer::Silent => return None,
        };
        let previous = members.iter().find(|other| Some(&other.id) == from);
        let view = self.instance.view.borrow();
        let is_evacuated = view.is_evacuated(&member.data_centre);
        Some(Candidate {
            id: Arc::clone(&member.id),
            received,
            is_exact,
            is_listed: view.endpoint(&member.id).is_some(),
            is_available: !member.is_draining && !is_evacuated && !view.is_gone(&member.id),
            is_same_data_centre: previous
                .is_some_and(|previous| previous.data_centre == member.data_centre),
            is_previous: from == Some(&member.id),
        })
    }
}

/// Returns what the members stated before the order to promote `successor`.
fn baseline<'a, I>(
    answers: I,
    successor: &Endpoint,
    from: Option<&Arc<str>>,
    demoted: Option<Demoted>,
) -> Baseline
where
    I: Iterator<Item = (&'a Rc<Endpoint>, &'a Answer)>,
{
    let mut baseline = Baseline::default();
    if let Some(demoted) = demoted {
        baseline.record_term(demoted.term);
    }
    for (member, answer) in answers {
        if let Answer::Status(status) = answer
            && status.role == Role::Primary
            && member.id == successor.id
        {
            baseline.record_leading_successor();
        }
        // A demoted member may state the term of its demotion, which a promotion need not exceed.
        if demoted.is_some() && Some(&member.id) == from {
            continue;
        }
        match answer {
            Answer::Status(status) => baseline.record_term(status.term),
            Answer::Busy(Some(position)) => baseline.record_term(position.term),
            Answer::Busy(None) | Answer::Silent => {}
        }
    }
    baseline
}

/// Returns the members from which a successor is chosen, and those that may hold what it must have.
fn electorate(
    record: Option<&Record>,
    members: &[Rc<Endpoint>],
    from: Option<&Arc<str>>,
) -> Vec<Key> {
    let listed: Vec<Key> = members
        .iter()
        .map(|member| identify(record, member))
        .collect();
    let mut keys = replica_set::electorate(record, &listed, from);
    if from.is_none() && record.is_none() {
        // An unknown primary that was never recorded is a member as well.
        keys.push(Key {
            id: "unknown".into(),
            incarnation: None,
        });
    }
    keys
}

/// Returns the members that have not stated what they have received.
fn awaited(
    record: Option<&Record>,
    electorate: &[Key],
    members: &[Rc<Endpoint>],
    answers: &[Answer],
) -> Vec<Key> {
    let has_stated = |key: &&Key| {
        let mut stated = members.iter().zip(answers);
        stated.any(|(member, answer)| {
            identify(record, member) == **key && matches!(answer, Answer::Status(_))
        })
    };
    let silent = electorate.iter().filter(|key| !has_stated(key));
    silent.cloned().collect()
}

/// Describes the members' answers for the log.
fn describe(members: &[Rc<Endpoint>], answers: &[Answer]) -> String {
    let described = members.iter().zip(answers).map(|(member, answer)| {
        let id = &member.id;
        match answer {
            Answer::Status(status) => format!("{id} {} {}", status.role, status.received),
            Answer::Busy(Some(position)) => format!("{id} busy {position}"),
            Answer::Busy(None) => format!("{id} busy"),
            Answer::Silent => format!("{id} silent"),
        }
    });
    let described: Vec<String> = described.collect();
    described.join(", ")
}
