//! Messages between instances and members, which may be lost, late, duplicated or cut off.

use std::time::Instant;

use rand::Rng;

use super::*;

impl World {
    /// Sends a message to a member; the message may be lost, late or duplicated.
    pub fn send(&mut self, from: usize, to: usize, call: Call) {
        let event = Event::Call {
            from,
            to,
            sent: self.now,
            call,
        };
        self.transmit(&event);
    }

    pub(super) fn transmit(&mut self, event: &Event) {
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_lost() {
                continue;
            }
            let is_late = self.rng.random_bool(0.02);
            let range = if is_late { 200..4_000 } else { 1..25 };
            self.after(range, event.clone());
        }
    }

    pub(super) fn is_lost(&mut self) -> bool {
        let probability = if self.now < self.end_of_faults {
            self.shape.loss_probability
        } else {
            0.0
        };
        self.rng.random_bool(probability)
    }

    pub fn is_link_cut(&self, a: usize, b: usize) -> bool {
        self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    pub(super) fn instance_node(&self, instance: usize) -> usize {
        self.members.len() + instance
    }

    /// Lets a member handle a call and send its reply.
    pub(super) fn serve_call(&mut self, from: usize, to: usize, sent: Instant, call: Call) {
        if self.is_link_cut(self.instance_node(from), to) || !self.members[to].is_up {
            return;
        }
        let now = self.now;
        let member = &mut self.members[to];
        let reply = match call {
            Call::Status(_) => Reply::Status(Some(member.status(now))),
            Call::Order(order) => {
                let taken = member.order(order);
                if let failover::Order::Promote(term) = order
                    && taken
                {
                    let log = self.members[to].log_ids();
                    self.promotions.push(Promotion {
                        term,
                        member: to,
                        at: now,
                        log,
                    });
                }
                Reply::Status(taken.then(|| self.members[to].status(now)))
            }
            Call::Write { id, .. } => Reply::Wrote(member.write(id).then_some(now)),
            Call::Read { .. } => Reply::Read(member.applied(), member.visible()),
        };
        self.transmit(&Event::Reply {
            from: to,
            to: from,
            sent,
            call,
            reply,
        });
    }

    /// Lets an instance handle a member's reply.
    pub(super) fn receive_reply(
        &mut self,
        from: usize,
        to: usize,
        sent: Instant,
        call: Call,
        reply: Reply,
    ) {
        if self.is_link_cut(self.instance_node(to), from) {
            return;
        }
        match (call, reply) {
            (Call::Status(round), Reply::Status(Some(status))) => {
                self.observe(to, from, sent, status);
                self.confirm(
                    to,
                    confirm::Event::StatusReceived {
                        round,
                        member: from,
                        status,
                    },
                );
            }
            (Call::Order(order), Reply::Status(status)) => {
                let answer = status.map_or(
                    failover::OrderResult::Refused,
                    failover::OrderResult::Accepted,
                );
                self.failover(to, failover::Event::OrderAnswered(from, order, answer));
            }
            (
                Call::Write {
                    id,
                    term,
                    durability,
                },
                Reply::Wrote(Some(ran)),
            ) => {
                let known = self.instances[to].requests.values();
                if known
                    .into_iter()
                    .any(|request| matches!(request, RequestKind::Write { id: i, .. } if *i == id))
                {
                    return;
                }
                let request = RequestKind::Write {
                    id,
                    ran,
                    term,
                    durability,
                };
                let request_id = self.new_request(to, request);
                self.confirm_request(to, request_id, Some((from, term)), durability);
            }
            (
                Call::Read {
                    caller,
                    min_position,
                },
                Reply::Read(position, seen),
            ) => {
                self.check_read(caller, to, from, sent, min_position, position, &seen);
            }
            _ => {}
        }
    }
}
