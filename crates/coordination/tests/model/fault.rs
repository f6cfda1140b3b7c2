//! Fault injection, and configuration changes by operators during the faults.

use std::time::Duration;

use filbertbay_coordination::authority::failover;
use filbertbay_coordination::quorum::MemberSet;
use rand::Rng;

use super::{CONFIG_DELAY_MS, Event, LIST_OVERLAP, MAX_PAUSE, World};

impl World {
    pub(super) fn inject_fault(&mut self) {
        if self.now + Duration::from_secs(1) >= self.end_of_faults {
            self.heal();
            return;
        }
        self.after(200..1_400, Event::Fault);
        let nodes = self.members.len() + self.instances.len();
        let node = self.rng.random_range(0..nodes);
        let member = self.choose_faulty_member();
        let instance = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..11) {
            0 => self
                .cut_links
                .extend((0..nodes).map(|other| (node.min(other), node.max(other)))),
            1 => drop(self.cut_links.insert((node.min(member), node.max(member)))),
            2 => self.members[member].is_up = false,
            3 => {
                let pause =
                    Duration::from_millis(self.rng.random_range(200..MAX_PAUSE.as_millis() as u64));
                self.instances[instance].paused_until = self.now + pause;
            }
            4 => self.is_platform_up = !self.is_platform_up,
            5 | 7 => self.change_config(),
            6 => self.isolate(member),
            _ => {
                self.cut_links.clear();
                self.members
                    .iter_mut()
                    .for_each(|member| member.is_up = true);
            }
        }
    }

    /// Isolates a member from all other members and from some of the instances.
    fn isolate(&mut self, member: usize) {
        for node in 0..self.members.len() + self.instances.len() {
            if node < self.members.len() || self.rng.random_bool(0.6) {
                self.cut_links.insert((node.min(member), node.max(member)));
            }
        }
    }

    /// Returns a member for the next fault, often one that believes that it leads.
    fn choose_faulty_member(&mut self) -> usize {
        let any = self.rng.random_range(0..self.members.len());
        let leads = |member: &usize| self.members[*member].leads();
        let leaders: Vec<usize> = (0..self.members.len()).filter(leads).collect();
        if leaders.is_empty() || self.rng.random_bool(0.3) {
            return any;
        }
        leaders[any % leaders.len()]
    }

    /// Takes a member out, sets a preferred one, and may change the member list; the instances receive
    /// the change with delay.
    fn change_config(&mut self) {
        let members = self.members.len();
        let out = self.rng.random_range(0..members);
        let preferred = self.rng.random_range(0..members);
        self.change_list();
        let setting = failover::GroupConfig {
            unavailable: [out].into_iter().collect(),
            preferred: self.rng.random_bool(0.5).then_some(preferred),
            ..failover::GroupConfig::new(self.list)
        };
        self.distribute_config(setting);
    }

    /// Removes two members, or adds them again, once every instance knows the previous list.
    fn change_list(&mut self) {
        let all = MemberSet::first(self.members.len());
        let is_overlap_over = self.list_changed + LIST_OVERLAP <= self.now;
        if !self.shape.changes_list || !is_overlap_over {
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

    fn distribute_config(&mut self, setting: failover::GroupConfig) {
        for instance in 0..self.instances.len() {
            let rank = self.rank(instance);
            let setting = failover::GroupConfig { rank, ..setting };
            self.after(CONFIG_DELAY_MS, Event::Configure(instance, setting));
        }
    }

    fn rank(&self, instance: usize) -> u32 {
        if self.share_first_rank {
            0
        } else {
            instance as u32
        }
    }

    fn heal(&mut self) {
        self.cut_links.clear();
        self.is_platform_up = true;
        self.members
            .iter_mut()
            .for_each(|member| member.is_up = true);
        self.distribute_config(failover::GroupConfig::new(self.list));
    }
}
