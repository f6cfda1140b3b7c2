//! Discrete-event simulation of several rate limiters and the links between them, for the tests and
//! for the example that measures shares.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{
    Admission, Allocation, Config, Holder, LANES, Message, RateLimiter, SHARDS,
};
use filbertbay_state::document::Rate;

/// Longest time for which a statement waits for tokens before it is refused.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// Maximum number of statements that wait on one instance.
pub const MAX_WAITING: usize = 64;

/// Number of messages at which a history fails as a message storm.
pub const MAX_MESSAGES: u64 = 2_000_000;

/// Time between two ticks of an instance.
pub const TICK: Duration = Duration::from_millis(50);

/// Latency and faults of the links.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// One-way latency between two data centres.
    pub inter_data_centre_latency: Duration,
    /// Every n-th message is dropped; zero drops none.
    pub drop_every: u64,
    /// Every n-th message is duplicated, the copy with a delay; zero duplicates none.
    pub duplicate_every: u64,
    /// Every n-th message is delayed; zero delays none.
    pub delay_every: u64,
}

/// Simulated instance.
pub struct Node {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Index of the data centre of the instance.
    pub data_centre: usize,
    /// Rate limiter of the instance; `None` after a crash.
    pub limiter: Option<RateLimiter>,
    /// End of the pause of the instance, if it was paused.
    pub paused: Option<Instant>,
    /// Whether the instance still gets proof that it holds its lanes.
    pub is_proving: bool,
    incarnation: u64,
    started: Instant,
    proved: Instant,
    /// Indices of released lanes, which the instance never spends again.
    released: Vec<usize>,
    waiting: Vec<(Arc<str>, Instant)>,
    retry_times: BTreeMap<Arc<str>, Instant>,
    rates: BTreeMap<Arc<str>, Rate>,
}

/// Simulated instances with their links, and counts of their decisions.
pub struct Fleet {
    /// Simulated time.
    pub now: Instant,
    /// Instances in the order of their indices.
    pub nodes: Vec<Node>,
    /// Present latency and faults of the links.
    pub link_conditions: LinkConditions,
    /// Index of the data centre that is partitioned from all others.
    pub isolated: Option<usize>,
    /// Times of admissions by workspace.
    pub admitted: BTreeMap<Arc<str>, Vec<Instant>>,
    /// Number of refusals by workspace.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Number of messages sent.
    pub messages: u64,
    /// Longest time for which a statement waits for tokens.
    pub max_wait: Duration,
    config: Config,
    allocation: Arc<Allocation>,
    events: BinaryHeap<Reverse<(Instant, u64, usize, Event)>>,
    sequence: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Event {
    Message(Arc<str>, Message),
    Tick,
    Retry(Arc<str>),
    /// The instance of the event becomes the holder of the lane with this index.
    SetHolder(usize),
}

// The heap orders events by time and sequence number; the events themselves compare as equal.
impl Ord for Event {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Fleet {
    /// Starts `count` instances, the n-th in data centre `n % data_centres`, with equal numbers of
    /// lanes.
    pub fn new(count: usize, data_centres: usize, rates: &BTreeMap<Arc<str>, Rate>) -> Self {
        Self::with_config(count, data_centres, rates, Config::default())
    }

    /// Like [`Fleet::new`], with the given options of the limiters.
    pub fn with_config(
        count: usize,
        data_centres: usize,
        rates: &BTreeMap<Arc<str>, Rate>,
        config: Config,
    ) -> Self {
        let names: Vec<String> = (0..count)
            .map(|index| format!("instance-{index}"))
            .collect();
        let data_centre_names: Vec<String> = (0..data_centres)
            .map(|index| format!("centre-{index}"))
            .collect();
        let holder = |index: usize| {
            (
                names[index].as_str(),
                1,
                data_centre_names[index % data_centres].as_str(),
            )
        };
        let holders: Vec<_> = (0..count).map(holder).collect();
        let allocation = Arc::new(Allocation::even(&holders));
        let now = Instant::now();
        let node = |index: usize| Node {
            name: names[index].as_str().into(),
            data_centre: index % data_centres,
            limiter: Some(new_limiter(
                &names[index],
                &data_centre_names[index % data_centres],
                1,
                config,
            )),
            paused: None,
            is_proving: true,
            incarnation: 1,
            started: now,
            proved: now,
            released: Vec::new(),
            waiting: Vec::new(),
            retry_times: BTreeMap::new(),
            rates: rates.clone(),
        };
        let mut fleet = Self {
            now,
            nodes: (0..count).map(node).collect(),
            link_conditions: LinkConditions {
                inter_data_centre_latency: Duration::from_millis(8),
                drop_every: 0,
                duplicate_every: 0,
                delay_every: 0,
            },
            isolated: None,
            admitted: BTreeMap::new(),
            refused: BTreeMap::new(),
            messages: 0,
            max_wait: MAX_WAIT,
            config,
            allocation: Arc::clone(&allocation),
            events: BinaryHeap::new(),
            sequence: 0,
        };
        fleet.apply_allocation(&allocation);
        for index in 0..count {
            fleet.schedule(now + TICK * index as u32 / count as u32, index, Event::Tick);
        }
        fleet
    }

    /// Applies a record of lane holders on every running instance, with proof of ownership.
    pub fn apply_allocation(&mut self, allocation: &Arc<Allocation>) {
        let now = self.now;
        for node in &mut self.nodes {
            if let Some(limiter) = &mut node.limiter {
                limiter.apply_allocation(now, Arc::clone(allocation));
                limiter.confirm_ownership(now);
            }
        }
    }

    /// Advances the time by `time` and handles the events that fall due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > end {
                break;
            }
            if let Some(Reverse((at, _, index, event))) = self.events.pop() {
                self.now = at;
                self.handle(index, event);
            }
        }
        self.now = end;
    }

    /// Submits a statement of a workspace to an instance; a paused or crashed instance ignores it.
    pub fn submit(&mut self, index: usize, workspace: &Arc<str>) {
        if self.is_paused(index) || self.nodes[index].limiter.is_none() {
            return;
        }
        self.decide(index, workspace);
    }

    /// Ends an instance at once, with the state of its lanes and loans.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].limiter = None;
        self.nodes[index].waiting.clear();
    }

    /// Restarts a crashed instance with a new incarnation that holds no lanes.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.limiter.is_none() {
            node.incarnation += 1;
            node.started = self.now;
            node.released.clear();
            let data_centre = format!("centre-{}", node.data_centre);
            let mut limiter = new_limiter(&node.name, &data_centre, node.incarnation, self.config);
            // By then every loan backed by the lanes of the earlier incarnation has expired.
            limiter.set_unspent_since(self.now + limiter.max_loan_duration());
            node.limiter = Some(limiter);
        }
    }

    /// Makes an instance the holder of the lanes of its earlier incarnation, unless loans backed by
    /// them may still be in use.
    pub fn reclaim_own(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (name, incarnation) = (Arc::clone(&node.name), node.incarnation);
        let max_loan_duration = node.limiter.as_ref().map(RateLimiter::max_loan_duration);
        if max_loan_duration
            .is_none_or(|max_loan_duration| self.now < node.started + max_loan_duration)
        {
            return;
        }
        for lane_index in 0..SHARDS * LANES {
            let former = self.allocation.holder(lane_index);
            if former.is_some_and(|one| one.instance == name && one.incarnation != incarnation) {
                self.set_holder(lane_index, index);
            }
        }
    }

    /// Pauses an instance for `time`; its events are handled after the pause.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused = Some(self.now + time);
    }

    /// Sets the rate of a workspace on one instance.
    pub fn set_rate(&mut self, index: usize, workspace: &Arc<str>, rate: Rate) {
        self.nodes[index].rates.insert(Arc::clone(workspace), rate);
    }

    fn is_paused(&self, index: usize) -> bool {
        self.nodes[index]
            .paused
            .is_some_and(|until| self.now < until)
    }

    /// Transfers a lane: its holder releases it, and the record changes after the longest duration
    /// of a loan.
    pub fn transfer(&mut self, lane_index: usize, to: usize) {
        let Some(from) = self
            .allocation
            .holder(lane_index)
            .and_then(|holder| instance_index(&holder.instance))
        else {
            return;
        };
        if from == to || self.is_paused(from) || self.nodes[to].limiter.is_none() {
            return;
        }
        let node = &mut self.nodes[from];
        if let Some(limiter) = &mut node.limiter {
            limiter.release(lane_index);
            node.released.push(lane_index);
            let at = self.now + limiter.max_loan_duration();
            self.schedule(at, to, Event::SetHolder(lane_index));
        }
    }

    /// Makes `to` the holder of the lanes of instance `index`, if the last proof of ownership is
    /// old enough.
    pub fn reclaim(&mut self, index: usize, to: usize) {
        let max_loan_duration = self.nodes[to]
            .limiter
            .as_ref()
            .map(RateLimiter::max_loan_duration);
        let Some(max_loan_duration) = max_loan_duration.filter(|_| index != to) else {
            return;
        };
        let proved = self.nodes[index].proved;
        if self.now < proved + self.config.ownership_timeout + max_loan_duration {
            return;
        }
        // Under the changed record the instance gets no proof of ownership any more.
        self.nodes[index].is_proving = false;
        let name = Arc::clone(&self.nodes[index].name);
        for lane_index in 0..SHARDS * LANES {
            if self
                .allocation
                .holder(lane_index)
                .is_some_and(|holder| holder.instance == name)
            {
                self.set_holder(lane_index, to);
            }
        }
    }

    /// Writes a record in which `to` holds the lane; every reachable instance applies it.
    fn set_holder(&mut self, lane_index: usize, to: usize) {
        let node = &self.nodes[to];
        let mut record = Allocation::clone(&self.allocation);
        let own = |holder: &Holder| holder.is_incarnation(&node.name, node.incarnation);
        let known = record.holders.iter().position(own);
        let index = known.unwrap_or_else(|| {
            record.holders.push(Holder {
                instance: Arc::clone(&node.name),
                incarnation: node.incarnation,
                data_centre: format!("centre-{}", node.data_centre).into(),
            });
            record.holders.len() - 1
        });
        record.epoch += 1;
        record.lanes[lane_index] = Some(index as u16);
        self.allocation = Arc::new(record);
        for index in 0..self.nodes.len() {
            let is_reachable = self.nodes[index].is_proving && !self.is_paused(index);
            let node = &mut self.nodes[index];
            if let Some(limiter) = node.limiter.as_mut().filter(|_| is_reachable) {
                limiter.apply_allocation(self.now, Arc::clone(&self.allocation));
                node.released
                    .iter()
                    .for_each(|lane_index| limiter.release(*lane_index));
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        if let Some(until) = self.nodes[index].paused.filter(|until| self.now < *until) {
            self.schedule(until, index, event);
            return;
        }
        match event {
            Event::Message(from, message) => self.receive(index, &from, &message),
            Event::Tick => self.tick(index),
            Event::Retry(workspace) => self.retry_waiting(index, &workspace),
            Event::SetHolder(lane_index) => self.set_holder(lane_index, index),
        }
    }

    fn receive(&mut self, index: usize, from: &Arc<str>, message: &Message) {
        let node = &mut self.nodes[index];
        let Some(limiter) = &mut node.limiter else {
            return;
        };
        let workspace = message.workspace();
        let rate = node.rates.get(workspace).copied();
        let retry = limiter.handle_message(self.now, from, message, rate);
        self.send_all(index);
        if retry {
            self.retry_waiting(index, &Arc::clone(workspace));
        }
    }

    /// Retries the waiting statements of a workspace, oldest first, until one has to wait longer.
    fn retry_waiting(&mut self, index: usize, workspace: &Arc<str>) {
        let now = self.now;
        loop {
            let waiting = &self.nodes[index].waiting;
            let oldest = waiting.iter().position(|(name, _)| name == workspace);
            let Some(oldest) = oldest else {
                return;
            };
            let (_, deadline) = self.nodes[index].waiting[oldest];
            match self.acquire(index, workspace, false) {
                Some(Admission::Admitted) => self
                    .admitted
                    .entry(Arc::clone(workspace))
                    .or_default()
                    .push(now),
                Some(Admission::Wait { timeout: wait }) if deadline > now => {
                    self.schedule_retry(index, workspace, deadline.min(now + wait));
                    return;
                }
                _ => *self.refused.entry(Arc::clone(workspace)).or_default() += 1,
            }
            self.nodes[index].waiting.remove(oldest);
        }
    }

    fn schedule_retry(&mut self, index: usize, workspace: &Arc<str>, at: Instant) {
        let planned = self.nodes[index].retry_times.get(workspace);
        if planned.is_some_and(|planned| *planned <= at && *planned > self.now) {
            return;
        }
        self.nodes[index]
            .retry_times
            .insert(Arc::clone(workspace), at);
        self.schedule(at, index, Event::Retry(Arc::clone(workspace)));
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(limiter) = &mut node.limiter {
            if node.is_proving {
                limiter.confirm_ownership(self.now);
                node.proved = self.now;
            }
            let rates = &node.rates;
            limiter.tick(self.now, |workspace| rates.get(workspace).copied());
        }
        self.send_all(index);
        self.schedule(self.now + TICK, index, Event::Tick);
    }

    fn decide(&mut self, index: usize, workspace: &Arc<str>) {
        let now = self.now;
        match self.acquire(index, workspace, true) {
            Some(Admission::Admitted) => self
                .admitted
                .entry(Arc::clone(workspace))
                .or_default()
                .push(now),
            Some(Admission::Wait { timeout: wait })
                if self.nodes[index].waiting.len() < MAX_WAITING =>
            {
                let deadline = now + self.max_wait;
                self.nodes[index]
                    .waiting
                    .push((Arc::clone(workspace), deadline));
                self.schedule_retry(index, workspace, deadline.min(now + wait));
            }
            Some(_) => *self.refused.entry(Arc::clone(workspace)).or_default() += 1,
            None => {}
        }
    }

    fn acquire(&mut self, index: usize, workspace: &Arc<str>, first: bool) -> Option<Admission> {
        let node = &mut self.nodes[index];
        let limiter = node.limiter.as_mut()?;
        let rate = node.rates[workspace];
        let admission = if first {
            limiter.try_acquire(self.now, workspace, rate, 1)
        } else {
            limiter.retry_acquire(self.now, workspace, rate, 1)
        };
        self.send_all(index);
        Some(admission)
    }

    fn send_all(&mut self, index: usize) {
        let from = Arc::clone(&self.nodes[index].name);
        let Some(limiter) = &mut self.nodes[index].limiter else {
            return;
        };
        let envelopes: Vec<_> = limiter.drain().collect();
        for envelope in envelopes {
            let to = instance_index(&envelope.to).expect("names end with their index");
            self.send(index, to, &from, envelope.message);
        }
    }

    fn send(&mut self, from: usize, to: usize, name: &Arc<str>, message: Message) {
        self.messages += 1;
        assert!(
            self.messages < MAX_MESSAGES,
            "the instances flood each other"
        );
        let every = |n: u64| n > 0 && self.messages.is_multiple_of(n);
        let (source, target) = (self.nodes[from].data_centre, self.nodes[to].data_centre);
        let partitioned = self
            .isolated
            .is_some_and(|isolated| (source == isolated) != (target == isolated));
        if partitioned || every(self.link_conditions.drop_every) {
            return;
        }
        let local_latency = Duration::from_micros(500);
        let latency = if source == target {
            local_latency
        } else {
            self.link_conditions.inter_data_centre_latency
        };
        let delivery_delay = if every(self.link_conditions.delay_every) {
            latency * 20
        } else {
            latency
        };
        if every(self.link_conditions.duplicate_every) {
            let copy = Event::Message(Arc::clone(name), message.clone());
            self.schedule(self.now + delivery_delay * 30, to, copy);
        }
        self.schedule(
            self.now + delivery_delay,
            to,
            Event::Message(Arc::clone(name), message),
        );
    }

    fn schedule(&mut self, at: Instant, index: usize, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, index, event)));
    }
}

fn instance_index(name: &str) -> Option<usize> {
    name.trim_start_matches("instance-").parse().ok()
}

fn new_limiter(name: &str, data_centre: &str, incarnation: u64, config: Config) -> RateLimiter {
    RateLimiter::new(name, data_centre, incarnation, config)
}
