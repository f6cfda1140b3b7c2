//! Members of one database service that speak the line protocol of PROTOCOL.md.
//!
//! Each commit gets the next number of the primary's term. A replica receives and applies it some time
//! later. A promoted member leads the next term with what it had received; the others follow it from a
//! second later on, and what they had beyond that is rolled back.

use std::collections::{BTreeMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::{Record, short};
use crate::store::Store;

/// Time from an accepted order until the named member leads ("some hundred ms").
pub const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Time from then until a former primary that reaches the new one follows it.
pub const FOLLOW_TIME: Duration = Duration::from_secs(1);

/// Status report intervals of silence after which the store removes an entry.
const SILENT_INTERVALS: u32 = 3;

/// Interval between two status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that a statement takes.
const WORK: Duration = Duration::from_millis(2);

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub item: String,
    pub data: Arc<str>,
    /// Id of the statement that committed the write.
    pub id: String,
    pub at: Instant,
}

struct State {
    term: u64,
    held_term: u64,
    leads: bool,
    log: Vec<Entry>,
    is_draining: bool,
    /// Time by which this replica receives later than the primary commits.
    lag: Duration,
    connections: usize,
    seq: u64,
}

pub struct Member {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    state: Mutex<State>,
    /// Whether the member has crashed.
    is_down: AtomicBool,
    /// Whether the member receives nothing from the primary.
    is_deaf: AtomicBool,
    /// Open connections, which a crash ends.
    streams: Mutex<Vec<TcpStream>>,
    /// Time of the last status report; `None` once the store has removed the entry.
    reported_at: Mutex<Option<Instant>>,
}

/// Runs of statements that the judge looks at.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub member: String,
    pub term: u64,
    pub number: u64,
    pub at: Instant,
}

pub struct Group {
    pub service: String,
    pub members: Vec<Member>,
    pub max_connections: usize,
    /// Time that a statement takes.
    pub work: Duration,
    store: Store,
    record: Record,
    /// Member that replicas receive from, and its term.
    source: Mutex<(usize, u64)>,
    /// Commits of writes, in order.
    pub commits: Mutex<Vec<Run>>,
    pub promotions: Mutex<Vec<Promotion>>,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: AtomicUsize,
}

/// Effect of a promotion.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at: Instant,
    pub member: String,
    pub term: u64,
    /// Ids of the statements whose writes are in the log of the member.
    pub log: HashSet<String>,
}

impl Group {
    pub fn start(
        service: &str,
        zones: &[&str],
        max_connections: usize,
        lags: &[u64],
        store: &Store,
        record: &Record,
    ) -> Arc<Self> {
        Self::start_with(service, zones, max_connections, lags, WORK, store, record)
    }

    /// Starts members whose statements take no time.
    pub fn start_fast(service: &str, zones: &[&str], max_connections: usize, store: &Store, record: &Record) -> Arc<Self> {
        Self::start_with(service, zones, max_connections, &[0; 3], Duration::ZERO, store, record)
    }

    fn start_with(
        service: &str,
        zones: &[&str],
        max_connections: usize,
        lags: &[u64],
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> Arc<Self> {
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            members.push(Member {
                id: format!("i-{service}-{index}"),
                zone: (*zone).to_owned(),
                address: listener.local_addr().expect("an address"),
                state: Mutex::new(State {
                    term: 3,
                    held_term: 0,
                    leads: index == 0,
                    log: Vec::new(),
                    is_draining: false,
                    lag: Duration::from_millis(lags.get(index).copied().unwrap_or(60)),
                    connections: 0,
                    seq: 0,
                }),
                is_down: AtomicBool::new(false),
                is_deaf: AtomicBool::new(false),
                streams: Mutex::default(),
                reported_at: Mutex::default(),
            });
            listeners.push(listener);
        }
        let group = Arc::new(Self {
            service: service.to_owned(),
            members,
            max_connections,
            work,
            store: store.clone(),
            record: record.clone(),
            source: Mutex::new((0, 3)),
            commits: Mutex::default(),
            promotions: Mutex::default(),
            sync_replicas: AtomicUsize::new(0),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let serving = Arc::clone(&group);
            std::thread::spawn(move || serving.accept(index, listener));
            group.report(index);
        }
        let reporting = Arc::clone(&group);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT / 12);
                (0..reporting.members.len()).for_each(|index| reporting.report_if_due(index));
            }
        });
        let replicating = Arc::clone(&group);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                replicating.replicate();
            }
        });
        group
    }

    /// Accepts connections to a member; while it is down, nothing listens.
    fn accept(self: Arc<Self>, index: usize, listener: TcpListener) {
        let address = self.members[index].address;
        let mut listener = Some(listener);
        loop {
            if self.members[index].is_down.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let accepted = listener.as_ref().map(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept()
            });
            let Some(Ok((stream, _))) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let group = Arc::clone(&self);
            std::thread::spawn(move || Session::new(group, index).serve(stream));
        }
    }

    /// Ends the connections of a member, which comes back with its log.
    pub fn crash(&self, index: usize) {
        let member = &self.members[index];
        member.is_down.store(true, Ordering::SeqCst);
        for stream in member.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("member {}: crashes at {}", member.id, self.position(index)));
    }

    /// Starts a crashed member with its log, as a replica if another member was promoted.
    pub fn restart(&self, index: usize) {
        let member = &self.members[index];
        let newest = self.leader().map_or(0, |(_, term)| term);
        {
            let mut state = member.state.lock().unwrap();
            state.leads &= state.term >= newest;
        }
        member.is_down.store(false, Ordering::SeqCst);
        self.record.line(&format!("member {}: is back at {}", member.id, self.position(index)));
        self.report(index);
    }

    /// Makes a replica receive nothing from the primary, or all again.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let member = &self.members[index];
        member.is_deaf.store(is_deaf, Ordering::SeqCst);
        let what = if is_deaf { "receives nothing" } else { "receives again" };
        self.record.line(&format!("member {}: {what} at {}", member.id, self.position(index)));
    }

    fn is_down(&self, index: usize) -> bool {
        self.members[index].is_down.load(Ordering::SeqCst)
    }

    /// Reports the status of a member each [`HEARTBEAT`]. The store removes the entry of a silent one.
    fn report_if_due(&self, index: usize) {
        let member = &self.members[index];
        let age = member.reported_at.lock().unwrap().map(|at| at.elapsed());
        if !self.is_down(index) {
            if age.is_none_or(|age| age >= HEARTBEAT) {
                self.report(index);
            }
        } else if age.is_some_and(|age| age >= HEARTBEAT * SILENT_INTERVALS) {
            *member.reported_at.lock().unwrap() = None;
            self.store.remove(&format!("servers/{}", member.id));
            self.record.line(&format!("store: entry of {} removed after its silence", member.id));
        }
    }

    /// Writes the status report of a member into the store.
    fn report(&self, index: usize) {
        let member = &self.members[index];
        *member.reported_at.lock().unwrap() = Some(Instant::now());
        let entry = {
            let mut state = member.state.lock().unwrap();
            state.seq += 1;
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":4,\
                 \"state\":\"{}\",\"cold_ms\":0,\"db_role\":\"{}\",\"seq\":{},\"born\":1765000000000}}",
                self.service,
                member.address,
                member.zone,
                if state.is_draining { "draining" } else { "ready" },
                if state.leads { "primary" } else { "replica" },
                state.seq
            )
        };
        self.store.put(&format!("servers/{}", member.id), &entry);
    }

    /// Returns the member with the newest term that leads.
    fn leader(&self) -> Option<(usize, u64)> {
        let leading = self.members.iter().enumerate().filter_map(|(index, member)| {
            let state = member.state.lock().unwrap();
            state.leads.then_some((index, state.term))
        });
        leading.max_by_key(|(_, term)| *term)
    }

    /// Passes commits of the newest primary on to the replicas. What a demoted primary has sent still
    /// arrives.
    fn replicate(&self) {
        if let Some((leader, term)) = self.leader() {
            *self.source.lock().unwrap() = (leader, term);
        }
        let (leader, term) = *self.source.lock().unwrap();
        if self.is_down(leader) {
            return;
        }
        let log = self.members[leader].state.lock().unwrap().log.clone();
        let now = Instant::now();
        for (index, member) in self.members.iter().enumerate() {
            let mut state = member.state.lock().unwrap();
            let is_cut = member.is_deaf.load(Ordering::SeqCst) || self.is_down(index);
            if index == leader || state.leads || is_cut {
                continue;
            }
            if state.term < term {
                state.term = term;
                // Entries that the new primary lacks are rolled back.
                let same = |one: &Entry, other: &Entry| (one.term, one.number) == (other.term, other.number);
                let common = state.log.iter().zip(&log).take_while(|(one, other)| same(one, other)).count();
                state.log.truncate(common);
            }
            let known = state.log.len();
            let lag = state.lag;
            let new = log.iter().skip(known).take_while(|entry| now >= entry.at + lag);
            let new: Vec<Entry> = new.cloned().collect();
            state.log.extend(new);
        }
    }

    pub fn drain(&self, index: usize) {
        self.members[index].state.lock().unwrap().is_draining = true;
        self.report(index);
        self.record.line(&format!("member {}: reports draining", self.members[index].id));
    }

    pub fn set_lag(&self, index: usize, lag: Duration) {
        self.members[index].state.lock().unwrap().lag = lag;
    }

    /// Executes an order to promote a member, and returns the HTTP status.
    pub fn promote(self: &Arc<Self>, service: &str, id: &str) -> u16 {
        let found = self.members.iter().position(|member| member.id == id);
        let Some(index) = found.filter(|_| service == self.service) else {
            return 409;
        };
        if self.is_down(index) {
            return 409;
        }
        if self.leader().is_some_and(|(leader, _)| leader == index) {
            return 200;
        }
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE_TIME);
            if group.leader().is_some_and(|(leader, _)| leader == index) {
                return;
            }
            let term = group.newest_term() + 1;
            let log = {
                let mut state = group.members[index].state.lock().unwrap();
                state.term = term;
                state.leads = true;
                state.held_term = 0;
                state.log.iter().map(|entry| entry.id.clone()).collect()
            };
            let id = group.members[index].id.clone();
            group.record.line(&format!("member {id}: leads term {term}"));
            let promotion = Promotion { at: Instant::now(), member: id, term, log };
            group.promotions.lock().unwrap().push(promotion);
            group.report(index);
            std::thread::sleep(FOLLOW_TIME);
            for (other, member) in group.members.iter().enumerate() {
                let follows = {
                    let mut state = member.state.lock().unwrap();
                    let follows = other != index && state.leads && state.term < term && !group.is_down(other);
                    state.leads &= !follows;
                    follows
                };
                if follows {
                    group.record.line(&format!("member {}: follows {}", member.id, group.members[index].id));
                    group.report(other);
                }
            }
        });
        200
    }

    fn newest_term(&self) -> u64 {
        let terms = self.members.iter().map(|member| {
            let state = member.state.lock().unwrap();
            state.term.max(state.held_term)
        });
        terms.max().unwrap_or(0)
    }

    /// Returns whether the write of a statement is in the log of a member.
    pub fn holds(&self, index: usize, id: &str) -> bool {
        self.members[index].state.lock().unwrap().log.iter().any(|entry| entry.id == id)
    }

    /// Returns how many other members have received a commit.
    fn receivers(&self, index: usize, term: u64, number: u64) -> usize {
        let others = self.members.iter().enumerate().filter(|(other, _)| *other != index);
        let received = others.filter(|(_, member)| {
            let state = member.state.lock().unwrap();
            state.log.iter().rev().any(|entry| (entry.term, entry.number) == (term, number))
        });
        received.count()
    }

    /// Returns the index of the member that leads the newest term.
    pub fn primary(&self) -> usize {
        self.leader().map_or(0, |(index, _)| index)
    }

    pub fn position(&self, index: usize) -> String {
        position(&self.members[index].state.lock().unwrap())
    }
}

fn position(state: &State) -> String {
    let last = state.log.last().map_or((state.term, 0), |entry| (entry.term, entry.number));
    format!("{}.{}", last.0, last.1)
}

fn parse_position(text: &str) -> Option<(u64, u64)> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}

/// Session of a proxy at a member.
struct Session {
    group: Arc<Group>,
    index: usize,
    /// Writes of the open transaction: id, item and data.
    transaction: Option<Vec<(String, String, Arc<str>)>>,
    is_plain: bool,
    failed: bool,
    prepared: BTreeMap<String, String>,
    receipts: u64,
}

impl Session {
    fn new(group: Arc<Group>, index: usize) -> Self {
        Self {
            group,
            index,
            transaction: None,
            is_plain: false,
            failed: false,
            prepared: BTreeMap::new(),
            receipts: 0,
        }
    }

    fn member(&self) -> &Member {
        &self.group.members[self.index]
    }

    fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut writer = stream;
        let mut reader = BufReader::with_capacity(64 << 10, reading);
        let Some(start) = read_line(&mut reader) else { return };
        let fields: Vec<&str> = start.split(' ').collect();
        let is_expected = fields.get(3).is_none_or(|id| *id == self.member().id);
        if fields.get(1) != Some(&self.group.service.as_str()) || !is_expected {
            let _ = writer.write_all(format!("ERROR WRONGNODE {}\r\n", self.member().id).as_bytes());
            return;
        }
        if let Ok(stream) = writer.try_clone() {
            self.member().streams.lock().unwrap().push(stream);
        }
        let is_over = {
            let mut state = self.member().state.lock().unwrap();
            state.connections += 1;
            state.connections > self.group.max_connections
        };
        if is_over {
            let _ = writer.write_all(b"ERROR TOOMANY connections\r\n");
        } else {
            let ready = format!("READY I {}\r\n", self.group.position(self.index));
            if writer.write_all(ready.as_bytes()).is_ok() {
                self.run(&mut reader, &mut writer);
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
        self.member().state.lock().unwrap().connections -= 1;
    }

    fn run(&mut self, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) {
        while let Some(line) = read_line(reader) {
            let mut fields = line.splitn(3, ' ');
            let (word, id, text) = (fields.next(), fields.next(), fields.next());
            if word != Some("QUERY") {
                return;
            }
            let (id, text) = (id.unwrap_or_default(), text.unwrap_or_default());
            if id != "-" && !self.group.work.is_zero() {
                std::thread::sleep(self.group.work);
            }
            if self.group.is_down(self.index) {
                return;
            }
            let (rows, result) = self.execute(id, text);
            if self.group.is_down(self.index) {
                return;
            }
            let mut answer = String::new();
            for row in rows {
                answer.push_str("ROW ");
                answer.push_str(&row);
                answer.push_str("\r\n");
            }
            match result {
                Ok(receipt) => answer.push_str(&format!("COMPLETE {receipt}\r\n")),
                Err(code) => {
                    answer.push_str(&format!("ERROR {code} {}\r\n", self.member().id));
                    if self.transaction.is_some() && code != "BUSY" {
                        self.failed = true;
                    }
                }
            }
            let letter = match (&self.transaction, self.failed) {
                (None, _) => "I",
                (Some(_), true) => "E",
                (Some(_), false) => "T",
            };
            answer.push_str(&format!("READY {letter} {}\r\n", self.group.position(self.index)));
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn receipt(&mut self, id: &str) -> String {
        self.receipts += 1;
        format!("{}.{id}.{}", self.member().id, self.receipts)
    }

    fn execute(&mut self, id: &str, text: &str) -> (Vec<String>, Result<String, &'static str>) {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' ')) {
            Some((position, rest)) => (parse_position(position), rest),
            None => (None, text),
        };
        if let Some(after) = after {
            let state = self.member().state.lock().unwrap();
            let last = state.log.last().map_or((state.term, 0), |entry| (entry.term, entry.number));
            if last < after {
                return (Vec::new(), Err("LAGGING"));
            }
        }
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        if self.failed && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
            return (Vec::new(), Err("MALFORMED"));
        }
        let leads = self.member().state.lock().unwrap().leads;
        match words.as_slice() {
            ["STATUS"] => (vec![self.status()], Ok("-".into())),
            ["DEMOTE", term] => {
                let term: u64 = term.parse().unwrap_or(0);
                let was_leading = {
                    let mut state = self.member().state.lock().unwrap();
                    let is_lower = state.leads && state.term < term;
                    if is_lower {
                        state.leads = false;
                        state.held_term = term;
                    }
                    is_lower
                };
                if was_leading {
                    self.group.record.line(&format!("member {}: demoted", self.member().id));
                    self.group.report(self.index);
                }
                (vec![self.status()], Ok("-".into()))
            }
            ["RESET"] => {
                self.prepared.clear();
                (Vec::new(), Ok("-".into()))
            }
            ["SET", ..] => (Vec::new(), Ok("-".into())),
            ["PREPARE", name, access, ..] => {
                self.prepared.insert((*name).to_owned(), (*access).to_owned());
                (Vec::new(), Ok("-".into()))
            }
            ["DEALLOCATE", name] => {
                let found = self.prepared.remove(*name).is_some();
                (Vec::new(), if found { Ok("-".into()) } else { Err("NOSTMT") })
            }
            ["BEGIN", rest @ ..] => {
                let is_plain = rest.is_empty();
                if is_plain && !leads {
                    return (Vec::new(), Err("READONLY"));
                }
                self.is_plain = is_plain;
                self.transaction = Some(Vec::new());
                (Vec::new(), Ok("-".into()))
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                self.failed = false;
                (Vec::new(), Ok("-".into()))
            }
            ["COMMIT"] => self.commit(id, leads),
            ["READ", item] => self.read(id, item, leads),
            ["WRITE", item, data @ ..] => self.write(id, item, data.join(" "), leads),
            ["EXECUTE", name, item, data @ ..] => match self.prepared.get(*name).map(String::as_str) {
                None => (Vec::new(), Err("NOSTMT")),
                Some("WRITE") => self.write(id, item, data.join(" "), leads),
                Some(_) => self.read(id, item, leads),
            },
            _ => (Vec::new(), Err("MALFORMED")),
        }
    }

    fn status(&self) -> String {
        let state = self.member().state.lock().unwrap();
        format!(
            "{} {} {} {} {} 0 {}",
            if state.leads { "primary" } else { "replica" },
            state.term,
            position(&state),
            state.held_term,
            state.lag.as_millis(),
            state.connections
        )
    }

    fn read(&mut self, id: &str, item: &str, leads: bool) -> (Vec<String>, Result<String, &'static str>) {
        if self.transaction.is_some() && self.is_plain && !leads {
            return (Vec::new(), Err("READONLY"));
        }
        let own = self.transaction.iter().flatten().rev().find(|(_, written, _)| written == item);
        let own = own.map(|(_, _, data)| data.to_string());
        let stored = || {
            let state = self.member().state.lock().unwrap();
            let found = state.log.iter().rev().find(|entry| entry.item == item);
            found.map(|entry| entry.data.to_string())
        };
        let rows: Vec<String> = own.or_else(stored).into_iter().collect();
        (rows, Ok(self.receipt(id)))
    }

    fn write(&mut self, id: &str, item: &str, data: String, leads: bool) -> (Vec<String>, Result<String, &'static str>) {
        if !leads {
            return (Vec::new(), Err("READONLY"));
        }
        let write = (id.to_owned(), item.to_owned(), Arc::from(data));
        match &mut self.transaction {
            Some(writes) => writes.push(write),
            None => self.apply(id, vec![write]),
        }
        (Vec::new(), Ok(self.receipt(id)))
    }

    fn commit(&mut self, id: &str, leads: bool) -> (Vec<String>, Result<String, &'static str>) {
        let Some(writes) = self.transaction.take() else {
            return (Vec::new(), Err("MALFORMED"));
        };
        if std::mem::take(&mut self.failed) {
            return (Vec::new(), Err("ABORTED"));
        }
        if !writes.is_empty() {
            if !leads {
                return (Vec::new(), Err("READONLY"));
            }
            self.apply(id, writes);
        }
        (Vec::new(), Ok(self.receipt(id)))
    }

    fn apply(&self, id: &str, writes: Vec<(String, String, Arc<str>)>) {
        let at = Instant::now();
        let (term, number) = {
            let mut state = self.member().state.lock().unwrap();
            let number = state.log.last().map_or(0, |entry| entry.number) + 1;
            let term = state.term;
            for (_, item, data) in writes {
                state.log.push(Entry { term, number, item, data, id: id.to_owned(), at });
            }
            (term, number)
        };
        // Acknowledged only once enough replicas have received it.
        let needed = self.group.sync_replicas.load(Ordering::SeqCst);
        while !self.group.is_down(self.index) && self.group.receivers(self.index, term, number) < needed {
            std::thread::sleep(Duration::from_millis(1));
        }
        let member = self.member().id.clone();
        self.group.record.line(&format!("member {member}: commits {} as {term}.{number}", short(id)));
        self.group.commits.lock().unwrap().push(Run { id: id.to_owned(), member, term, number, at });
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    let count = reader.read_until(b'\n', &mut line).ok()?;
    if count == 0 || !line.ends_with(b"\r\n") {
        return None;
    }
    line.truncate(count - 2);
    String::from_utf8(line).ok()
}
