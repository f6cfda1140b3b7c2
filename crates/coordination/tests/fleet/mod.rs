//! Event queue that drives the ledgers of several instances, for tests and for the benchmark.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{
    Admission, Allocation, Config, Holder, LANES, Message, RateLimiter, SHARDS,
};
use filbertbay_state::document::Rate;

/// Longest time that a statement waits for borrowed tokens.
pub const PATIENCE: Duration = Duration::from_millis(400);

/// Statements that wait on one instance at most.
pub const MAX_WAITING: usize = 64;

/// Messages after which a history is given up as a flood.
pub const MAX_MESSAGES: u64 = 2_000_000;

/// Time between two ticks of an instance.
pub const TICK: Duration = Duration::from_millis(100);

/// What the links do to messages.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// One-way time between two data centres.
    pub far: Duration,
    /// Every n-th message is lost; zero loses none.
    pub lose: u64,
    /// Every n-th message comes twice, the second time late; zero doubles none.
    pub double: u64,
    /// Every n-th message comes late; zero delays none.
    pub delay: u64,
}

/// Instance under test.
pub struct Node {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Index of its data centre.
    pub centre: usize,
    /// Its ledger; a killed instance has none.
    pub ledger: Option<RateLimiter>,
    /// Until when it is paused.
    pub paused: Option<Instant>,
    /// Whether it still proves that it holds its lanes.
    pub proves: bool,
    incarnation: u64,
    started: Instant,
    proved: Instant,
    /// Lanes that it has released, for good.
    giving: Vec<usize>,
    waiting: Vec<(Arc<str>, Instant)>,
    resumes: BTreeMap<Arc<str>, Instant>,
    rates: BTreeMap<Arc<str>, Rate>,
}

/// Several instances, the links between them and what they admitted.
pub struct Fleet {
    /// Present time.
    pub now: Instant,
    /// Instances in the order of their indices.
    pub nodes: Vec<Node>,
    /// What the links do.
    pub weather: Weather,
    /// Data centre that is cut off from the others.
    pub cut: Option<usize>,
    /// Moments of admission by workspace.
    pub admitted: BTreeMap<Arc<str>, Vec<Instant>>,
    /// Number of refusals by workspace.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Messages that were sent.
    pub messages: u64,
    config: Config,
    allocation: Arc<Allocation>,
    events: BinaryHeap<Reverse<(Instant, u64, usize, Event)>>,
    sequence: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Event {
    Message(Arc<str>, Message),
    Tick,
    Resume(Arc<str>),
    /// A lane passes to the instance at which the event is scheduled.
    Move(usize),
}

// The heap orders events by time and number alone; the events themselves compare as equal.
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
    /// Starts instances, the n-th in data centre `n % centres`, that hold `allocation`.
    pub fn start(count: usize, centres: usize, rates: &BTreeMap<Arc<str>, Rate>) -> Self {
        let names: Vec<String> = (0..count)
            .map(|index| format!("instance-{index}"))
            .collect();
        let centre_names: Vec<String> = (0..centres)
            .map(|index| format!("centre-{index}"))
            .collect();
        let holder = |index: usize| {
            (
                names[index].as_str(),
                1,
                centre_names[index % centres].as_str(),
            )
        };
        let holders: Vec<_> = (0..count).map(holder).collect();
        let allocation = Arc::new(Allocation::even(&holders));
        let now = Instant::now();
        let config = Config::default();
        let node = |index: usize| Node {
            name: names[index].as_str().into(),
            centre: index % centres,
            ledger: Some(open(
                &names[index],
                &centre_names[index % centres],
                1,
                config,
            )),
            paused: None,
            proves: true,
            incarnation: 1,
            started: now,
            proved: now,
            giving: Vec::new(),
            waiting: Vec::new(),
            resumes: BTreeMap::new(),
            rates: rates.clone(),
        };
        let mut fleet = Self {
            now,
            nodes: (0..count).map(node).collect(),
            weather: Weather {
                far: Duration::from_millis(8),
                lose: 0,
                double: 0,
                delay: 0,
            },
            cut: None,
            admitted: BTreeMap::new(),
            refused: BTreeMap::new(),
            messages: 0,
            config,
            allocation: Arc::clone(&allocation),
            events: BinaryHeap::new(),
            sequence: 0,
        };
        fleet.adopt(&allocation);
        for index in 0..count {
            fleet.schedule(now + TICK * index as u32 / count as u32, index, Event::Tick);
        }
        fleet
    }

    /// Gives every instance a record of holders.
    pub fn adopt(&mut self, allocation: &Arc<Allocation>) {
        let now = self.now;
        for node in &mut self.nodes {
            if let Some(ledger) = &mut node.ledger {
                ledger.apply_allocation(now, Arc::clone(allocation));
                ledger.confirm_ownership(now);
            }
        }
    }

    /// Lets time pass and handles what falls due.
    pub fn pass(&mut self, time: Duration) {
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

    /// Lets a statement of a workspace arrive at an instance.
    pub fn arrive(&mut self, index: usize, workspace: &Arc<str>) {
        if self.is_paused(index) || self.nodes[index].ledger.is_none() {
            return;
        }
        self.decide(index, workspace);
    }

    /// Ends an instance at once; its lanes and loans are gone.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].ledger = None;
        self.nodes[index].waiting.clear();
    }

    /// Starts a killed instance again, with a new incarnation that holds no lanes.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.ledger.is_none() {
            node.incarnation += 1;
            node.started = self.now;
            node.giving.clear();
            let centre = format!("centre-{}", node.centre);
            let mut ledger = open(&node.name, &centre, node.incarnation, self.config);
            // Loans of the lanes that the instance held before have ended then.
            ledger.set_unspent_since(self.now + ledger.max_loan_duration());
            node.ledger = Some(ledger);
        }
    }

    /// Writes a record in which an instance holds the lanes of its earlier incarnation, once no loan
    /// can rest on them.
    pub fn claim(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (name, incarnation) = (Arc::clone(&node.name), node.incarnation);
        let settling = node.ledger.as_ref().map(RateLimiter::max_loan_duration);
        if settling.is_none_or(|settling| self.now < node.started + settling) {
            return;
        }
        for slot in 0..SHARDS * LANES {
            let former = self.allocation.holder(slot);
            if former.is_some_and(|one| one.instance == name && one.incarnation != incarnation) {
                self.give(slot, index);
            }
        }
    }

    /// Stops an instance for a time; what arrives meanwhile is handled afterwards.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused = Some(self.now + time);
    }

    /// Gives one instance a new rate of a workspace.
    pub fn set_rate(&mut self, index: usize, workspace: &Arc<str>, rate: Rate) {
        self.nodes[index].rates.insert(Arc::clone(workspace), rate);
    }

    fn is_paused(&self, index: usize) -> bool {
        self.nodes[index]
            .paused
            .is_some_and(|until| self.now < until)
    }

    /// Hands a lane over: its holder stops spending it, and the record changes when it may.
    pub fn hand_over(&mut self, slot: usize, to: usize) {
        let Some(from) = self
            .allocation
            .holder(slot)
            .and_then(|holder| number(&holder.instance))
        else {
            return;
        };
        if from == to || self.is_paused(from) || self.nodes[to].ledger.is_none() {
            return;
        }
        let node = &mut self.nodes[from];
        if let Some(ledger) = &mut node.ledger {
            ledger.release(slot);
            node.giving.push(slot);
            let at = self.now + ledger.max_loan_duration();
            self.schedule(at, to, Event::Move(slot));
        }
    }

    /// Takes the lanes of an instance that has not proved its tenure for long enough.
    pub fn reclaim(&mut self, index: usize, to: usize) {
        let settling = self.nodes[to]
            .ledger
            .as_ref()
            .map(RateLimiter::max_loan_duration);
        let Some(settling) = settling.filter(|_| index != to) else {
            return;
        };
        let proved = self.nodes[index].proved;
        if self.now < proved + self.config.ownership_timeout + settling {
            return;
        }
        // From here on the instance finds no proof under the old record.
        self.nodes[index].proves = false;
        let name = Arc::clone(&self.nodes[index].name);
        for slot in 0..SHARDS * LANES {
            if self
                .allocation
                .holder(slot)
                .is_some_and(|holder| holder.instance == name)
            {
                self.give(slot, to);
            }
        }
    }

    /// Writes a record in which another instance holds a lane; who can hear adopts it.
    fn give(&mut self, slot: usize, to: usize) {
        let node = &self.nodes[to];
        let mut record = Allocation::clone(&self.allocation);
        let own = |holder: &Holder| holder.is_incarnation(&node.name, node.incarnation);
        let known = record.holders.iter().position(own);
        let index = known.unwrap_or_else(|| {
            record.holders.push(Holder {
                instance: Arc::clone(&node.name),
                incarnation: node.incarnation,
                data_centre: format!("centre-{}", node.centre).into(),
            });
            record.holders.len() - 1
        });
        record.epoch += 1;
        record.lanes[slot] = Some(index as u16);
        self.allocation = Arc::new(record);
        for index in 0..self.nodes.len() {
            let hears = self.nodes[index].proves && !self.is_paused(index);
            let node = &mut self.nodes[index];
            if let Some(ledger) = node.ledger.as_mut().filter(|_| hears) {
                ledger.apply_allocation(self.now, Arc::clone(&self.allocation));
                node.giving.iter().for_each(|slot| ledger.release(*slot));
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
            Event::Resume(workspace) => self.wake(index, &workspace),
            Event::Move(slot) => self.give(slot, index),
        }
    }

    fn receive(&mut self, index: usize, from: &Arc<str>, message: &Message) {
        let node = &mut self.nodes[index];
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let workspace = message.workspace();
        let rate = node.rates.get(workspace).copied();
        let woken = ledger.handle_message(self.now, from, message, rate);
        self.send_all(index);
        if woken {
            self.wake(index, &Arc::clone(workspace));
        }
    }

    /// Decides again on the statements that wait, the oldest first, until one has to wait on.
    fn wake(&mut self, index: usize, workspace: &Arc<str>) {
        let now = self.now;
        loop {
            let waiting = &self.nodes[index].waiting;
            let oldest = waiting.iter().position(|(name, _)| name == workspace);
            let Some(oldest) = oldest else {
                return;
            };
            let (_, deadline) = self.nodes[index].waiting[oldest];
            match self.ask_ledger(index, workspace, false) {
                Some(Admission::Admitted) => self
                    .admitted
                    .entry(Arc::clone(workspace))
                    .or_default()
                    .push(now),
                Some(Admission::Wait { timeout: wait }) if deadline > now => {
                    self.resume_at(index, workspace, deadline.min(now + wait));
                    return;
                }
                _ => *self.refused.entry(Arc::clone(workspace)).or_default() += 1,
            }
            self.nodes[index].waiting.remove(oldest);
        }
    }

    fn resume_at(&mut self, index: usize, workspace: &Arc<str>, at: Instant) {
        let planned = self.nodes[index].resumes.get(workspace);
        if planned.is_some_and(|planned| *planned <= at && *planned > self.now) {
            return;
        }
        self.nodes[index].resumes.insert(Arc::clone(workspace), at);
        self.schedule(at, index, Event::Resume(Arc::clone(workspace)));
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(ledger) = &mut node.ledger {
            if node.proves {
                ledger.confirm_ownership(self.now);
                node.proved = self.now;
            }
            let rates = &node.rates;
            ledger.tick(self.now, |workspace| rates.get(workspace).copied());
        }
        self.send_all(index);
        self.schedule(self.now + TICK, index, Event::Tick);
    }

    fn decide(&mut self, index: usize, workspace: &Arc<str>) {
        let now = self.now;
        match self.ask_ledger(index, workspace, true) {
            Some(Admission::Admitted) => self
                .admitted
                .entry(Arc::clone(workspace))
                .or_default()
                .push(now),
            Some(Admission::Wait { timeout: wait })
                if self.nodes[index].waiting.len() < MAX_WAITING =>
            {
                let deadline = now + PATIENCE;
                self.nodes[index]
                    .waiting
                    .push((Arc::clone(workspace), deadline));
                self.resume_at(index, workspace, deadline.min(now + wait));
            }
            Some(_) => *self.refused.entry(Arc::clone(workspace)).or_default() += 1,
            None => {}
        }
    }

    fn ask_ledger(&mut self, index: usize, workspace: &Arc<str>, first: bool) -> Option<Admission> {
        let node = &mut self.nodes[index];
        let ledger = node.ledger.as_mut()?;
        let rate = node.rates[workspace];
        let admission = if first {
            ledger.try_acquire(self.now, workspace, rate, 1)
        } else {
            ledger.retry_acquire(self.now, workspace, rate, 1)
        };
        self.send_all(index);
        Some(admission)
    }

    fn send_all(&mut self, index: usize) {
        let from = Arc::clone(&self.nodes[index].name);
        let Some(ledger) = &mut self.nodes[index].ledger else {
            return;
        };
        let envelopes: Vec<_> = ledger.drain().collect();
        for envelope in envelopes {
            let to = number(&envelope.to).expect("names end with their index");
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
        let (source, target) = (self.nodes[from].centre, self.nodes[to].centre);
        let parted = self
            .cut
            .is_some_and(|cut| (source == cut) != (target == cut));
        if parted || every(self.weather.lose) {
            return;
        }
        let near = Duration::from_micros(500);
        let travel = if source == target {
            near
        } else {
            self.weather.far
        };
        let late = if every(self.weather.delay) {
            travel * 20
        } else {
            travel
        };
        if every(self.weather.double) {
            let copy = Event::Message(Arc::clone(name), message.clone());
            self.schedule(self.now + late * 30, to, copy);
        }
        self.schedule(
            self.now + late,
            to,
            Event::Message(Arc::clone(name), message),
        );
    }

    fn schedule(&mut self, at: Instant, index: usize, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, index, event)));
    }
}

fn number(name: &str) -> Option<usize> {
    name.trim_start_matches("instance-").parse().ok()
}

fn open(name: &str, centre: &str, incarnation: u64, config: Config) -> RateLimiter {
    RateLimiter::new(name, centre, incarnation, config)
}
