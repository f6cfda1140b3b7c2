//! Faults of the model, and changes that operators make meanwhile.

use std::time::Duration;

use filbertbay_coordination::authority::failover;
use filbertbay_coordination::quorum::MemberSet;
use rand::Rng;

use super::{Event, LONGEST_PAUSE, SETTLED_AFTER, SPREAD, World};

impl World {
    pub(super) fn fault(&mut self) {
        if self.now + Duration::from_secs(1) >= self.end_of_faults {
            self.heal();
            return;
        }
        self.after(200..1_400, Event::Fault);
        let nodes = self.members.len() + self.instances.len();
        let node = self.rng.random_range(0..nodes);
        let member = self.victim();
        let instance = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..11) {
            0 => self
                .cut
                .extend((0..nodes).map(|other| (node.min(other), node.max(other)))),
            1 => drop(self.cut.insert((node.min(member), node.max(member)))),
            2 => self.members[member].is_up = false,
            3 => {
                let pause = Duration::from_millis(
                    self.rng.random_range(200..LONGEST_PAUSE.as_millis() as u64),
                );
                self.instances[instance].paused_until = self.now + pause;
            }
            4 => self.is_platform_up = !self.is_platform_up,
            5 | 7 => self.configure(),
            6 => self.isolate(member),
            _ => {
                self.cut.clear();
                self.members
                    .iter_mut()
                    .for_each(|member| member.is_up = true);
            }
        }
    }

    /// Cuts a member off from the others and from some of the instances.
    fn isolate(&mut self, member: usize) {
        for node in 0..self.members.len() + self.instances.len() {
            if node < self.members.len() || self.rng.random_bool(0.6) {
                self.cut.insert((node.min(member), node.max(member)));
            }
        }
    }

    /// Returns a member to suffer the next fault, often one that believes that it leads.
    fn victim(&mut self) -> usize {
        let any = self.rng.random_range(0..self.members.len());
        let leads = |member: &usize| self.members[*member].leads();
        let leaders: Vec<usize> = (0..self.members.len()).filter(leads).collect();
        if leaders.is_empty() || self.rng.random_bool(0.3) {
            return any;
        }
        leaders[any % leaders.len()]
    }

    /// Takes a member out, prefers one, or changes the list; instances hear of it by and by.
    fn configure(&mut self) {
        let members = self.members.len();
        let out = self.rng.random_range(0..members);
        let preferred = self.rng.random_range(0..members);
        self.change_list();
        let setting = failover::GroupConfig {
            unavailable: [out].into_iter().collect(),
            preferred: self.rng.random_bool(0.5).then_some(preferred),
            ..failover::GroupConfig::new(self.list)
        };
        self.spread(setting);
    }

    /// Removes two members, or adds them again, once every instance knows the list before.
    fn change_list(&mut self) {
        let all = MemberSet::first(self.members.len());
        let is_settled = self.list_changed + SETTLED_AFTER <= self.now;
        if !self.shape.changes_list || !is_settled {
            return;
        }
        self.list_changed = self.now;
        if self.list != all {
            self.list = all;
            return;
        }
        let first = self.rng.random_range(0..all.len());
        let second = (first + self.rng.random_range(1..all.len())) % all.len();
        self.list = all.without([first, second].into_iter().collect());
    }

    fn spread(&mut self, setting: failover::GroupConfig) {
        for instance in 0..self.instances.len() {
            let rank = self.rank(instance);
            let setting = failover::GroupConfig { rank, ..setting };
            self.after(SPREAD, Event::Configure(instance, setting));
        }
    }

    fn rank(&self, instance: usize) -> u32 {
        if self.are_strangers {
            0
        } else {
            instance as u32
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        self.is_platform_up = true;
        self.members
            .iter_mut()
            .for_each(|member| member.is_up = true);
        self.spread(failover::GroupConfig::new(self.list));
    }
}
