//! Stand-ins of the members of one service and of the platform's `POST /failover` (PROTOCOL.md, "The
//! wire", "Members" and "Singleton duties").

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::store::{Store, serve_http};

/// Interval of the members' reports to the store.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);

/// What a service of members is like; the figures are those of a site file.
#[derive(Clone, Copy)]
pub struct Shape {
    pub slots: usize,
    /// Statements that wait for a slot; one more is refused with BUSY.
    pub queue: usize,
    pub max_connections: usize,
    pub read_ms: u64,
    pub write_ms: u64,
    pub promote_ms: u64,
    pub sync_replicas: usize,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
    pub item: String,
    pub data: String,
}

struct Member {
    id: String,
    zone: String,
    address: SocketAddr,
    is_up: bool,
    /// Receives nothing from the primary.
    is_deaf: bool,
    /// Reports that it drains; it goes on serving and receiving.
    is_draining: bool,
    is_primary: bool,
    term: u64,
    log: Vec<Entry>,
    streams: Vec<TcpStream>,
    connections: usize,
    busy: usize,
    queued: usize,
    sequence: u64,
}

impl Member {
    fn position(&self) -> (u64, u64) {
        self.log
            .last()
            .map_or((self.term.min(1), 0), |entry| (entry.term, entry.number))
    }

    fn read(&self, item: &str) -> String {
        let found = self.log.iter().rev().find(|entry| entry.item == item);
        found.map_or_else(|| "none".to_owned(), |entry| entry.data.clone())
    }
}

/// One run of a caller's statement.
#[derive(Clone, Debug)]
pub struct Run {
    pub began: Instant,
    pub ended: Instant,
    pub member: usize,
    pub text: String,
}

pub struct Group {
    pub name: String,
    pub shape: Shape,
    state: Mutex<Vec<Member>>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    receipts: AtomicU64,
    /// Runs of callers' statements, by id.
    pub runs: Mutex<BTreeMap<String, Vec<Run>>>,
    /// Promotions that took effect: time, member and its log.
    pub promotions: Mutex<Vec<(Instant, usize, Vec<Entry>)>>,
    /// Fencing tokens in the order of the calls.
    pub fences: Mutex<Vec<(String, u64)>>,
}

impl Group {
    pub fn start(
        name: &str,
        zones: &[&str],
        shape: Shape,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            members.push(Member {
                id: format!("i-{name}-{index}"),
                zone: (*zone).to_owned(),
                address: listener.local_addr().unwrap(),
                is_up: true,
                is_deaf: false,
                is_draining: false,
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                streams: Vec::new(),
                connections: 0,
                busy: 0,
                queued: 0,
                sequence: 0,
            });
            listeners.push(listener);
        }
        let group = Arc::new(Self {
            name: name.to_owned(),
            shape,
            state: Mutex::new(members),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            receipts: AtomicU64::new(1),
            runs: Mutex::default(),
            promotions: Mutex::default(),
            fences: Mutex::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let served = Arc::clone(&group);
            std::thread::spawn(move || served.accept(index, &listener));
            let reporting = Arc::clone(&group);
            std::thread::spawn(move || reporting.report_all(index));
        }
        group
    }

    fn report_all(&self, index: usize) {
        loop {
            self.report(index);
            std::thread::sleep(REPORT_INTERVAL);
        }
    }

    /// Writes the entry of a member that is up to the store.
    fn report(&self, index: usize) {
        let mut members = self.state.lock().unwrap();
        let member = &mut members[index];
        if !member.is_up {
            return;
        }
        member.sequence += 1;
        let role = if member.is_primary {
            "primary"
        } else {
            "replica"
        };
        let state = if member.is_draining {
            "draining"
        } else {
            "ready"
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_ms":0,"db_role":"{role}","seq":{},"born":{}}}"#,
            self.name,
            member.address,
            member.zone,
            self.shape.slots,
            member.sequence,
            born.as_millis()
        );
        let key = format!("servers/{}", member.id);
        drop(members);
        self.store.put(&key, &entry);
    }

    fn accept(self: &Arc<Self>, index: usize, listener: &TcpListener) {
        listener.set_nonblocking(true).unwrap();
        loop {
            if !self.state.lock().unwrap()[index].is_up {
                // The listener closes, so that connections are refused.
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let group = Arc::clone(self);
                    std::thread::spawn(move || group.connection(index, stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Crashes a member: its connections end and its address refuses new ones.
    pub fn crash(&self, index: usize) {
        let mut members = self.state.lock().unwrap();
        members[index].is_up = false;
        for stream in std::mem::take(&mut members[index].streams) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let id = members[index].id.clone();
        drop(members);
        self.changed.notify_all();
        self.record
            .line(&format!("member {id} of {} crashes", self.name));
        // The platform removes the entry after three intervals of silence.
        let (store, key) = (Arc::clone(&self.store), format!("servers/{id}"));
        std::thread::spawn(move || {
            std::thread::sleep(REPORT_INTERVAL * 3);
            store.remove(&key);
        });
    }

    /// Sets whether a member receives nothing from its primary.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let mut members = self.state.lock().unwrap();
        members[index].is_deaf = is_deaf;
        if !is_deaf {
            if let Some(primary) = members.iter().position(|member| member.is_primary && member.is_up) {
                members[index].log = members[primary].log.clone();
            }
        }
        let id = members[index].id.clone();
        drop(members);
        self.changed.notify_all();
        let what = if is_deaf {
            "receives nothing from now on"
        } else {
            "receives again"
        };
        self.record.line(&format!("member {id} {what}"));
    }

    /// Lets a member report that it drains.
    pub fn drain(&self, index: usize) {
        let mut members = self.state.lock().unwrap();
        members[index].is_draining = true;
        let id = members[index].id.clone();
        drop(members);
        self.record.line(&format!("member {id} reports draining"));
        self.report(index);
    }

    fn connection(&self, index: usize, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        if let Ok(kept) = stream.try_clone() {
            self.state.lock().unwrap()[index].streams.push(kept);
        }
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        let first = {
            let mut members = self.state.lock().unwrap();
            let member = &mut members[index];
            let expected = fields.get(3).copied().unwrap_or(&member.id);
            if fields.first() != Some(&"START") || fields.get(1) != Some(&self.name.as_str()) || expected != member.id {
                format!("ERROR WRONGNODE {}\r\n", member.id)
            } else if member.connections >= self.shape.max_connections {
                format!("ERROR TOOMANY {}\r\n", member.id)
            } else {
                member.connections += 1;
                let (term, number) = member.position();
                format!("READY I {term}.{number}\r\n")
            }
        };
        let is_open = first.starts_with("READY");
        // A new connection occupies the member for 12 ms.
        std::thread::sleep(Duration::from_millis(12));
        if output.write_all(first.as_bytes()).is_err() || !is_open {
            return;
        }
        let mut session = Session::default();
        loop {
            line.clear();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let text = line.trim_end_matches(['\r', '\n']);
            let Some(rest) = text.strip_prefix("QUERY ") else {
                break;
            };
            let (id, query) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(answer) = self.statement(index, &mut session, id, query) else {
                break;
            };
            if output.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        self.state.lock().unwrap()[index].connections -= 1;
    }

    /// Waits for a slot; returns false if the member has too much to do.
    fn take_slot(&self, index: usize) -> bool {
        let mut members = self.state.lock().unwrap();
        if members[index].busy < self.shape.slots {
            members[index].busy += 1;
            return true;
        }
        if members[index].queued >= self.shape.queue {
            return false;
        }
        members[index].queued += 1;
        while members[index].busy >= self.shape.slots {
            members = self.changed.wait(members).unwrap();
        }
        members[index].queued -= 1;
        members[index].busy += 1;
        true
    }

    fn free_slot(&self, index: usize) {
        self.state.lock().unwrap()[index].busy -= 1;
        self.changed.notify_all();
    }

    fn is_up(&self, index: usize) -> bool {
        self.state.lock().unwrap()[index].is_up
    }

    /// Runs one request; `None` ends the connection without an answer.
    fn statement(&self, index: usize, session: &mut Session, id: &str, query: &str) -> Option<String> {
        let (minimum, text) = match query.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ')?;
                let (term, number) = position.split_once('.')?;
                (Some((term.parse().ok()?, number.parse().ok()?)), text)
            }
            None => (None, query),
        };
        let words: Vec<&str> = text.split(' ').collect();
        let works = matches!(words[0], "READ" | "WRITE" | "EXECUTE" | "COMMIT" | "STATUS");
        if works && !self.take_slot(index) {
            if words[0] == "STATUS" {
                self.record
                    .line(&format!("member {index} answers BUSY to a STATUS"));
            }
            return Some(self.refusal(index, session, "BUSY"));
        }
        let began = Instant::now();
        let work = match words[0] {
            "READ" | "EXECUTE" => self.shape.read_ms,
            "WRITE" | "COMMIT" => self.shape.write_ms,
            "STATUS" => 1,
            _ => 0,
        };
        if work > 0 {
            std::thread::sleep(Duration::from_millis(work));
        }
        let answer = self.run(index, session, id, &words, text, minimum, began);
        if works {
            self.free_slot(index);
        }
        if !self.is_up(index) {
            return None;
        }
        answer
    }

    fn refusal(&self, index: usize, session: &mut Session, code: &str) -> String {
        let members = self.state.lock().unwrap();
        let (term, number) = members[index].position();
        let state = if session.is_open { "T" } else { "I" };
        format!(
            "ERROR {code} {}\r\nREADY {state} {term}.{number}\r\n",
            members[index].id
        )
    }

    #[allow(clippy::too_many_arguments)]
    fn run(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        words: &[&str],
        text: &str,
        minimum: Option<(u64, u64)>,
        began: Instant,
    ) -> Option<String> {
        let mut members = self.state.lock().unwrap();
        if !members[index].is_up {
            return None;
        }
        if minimum.is_some_and(|minimum| members[index].position() < minimum) {
            drop(members);
            return Some(self.refusal(index, session, "LAGGING"));
        }
        let is_write = words[0] == "WRITE";
        let needs_primary = (is_write && !session.is_open)
            || (words[0] == "BEGIN" && words.get(1).is_none())
            || (session.is_open && !session.is_read_only && words[0] != "ROLLBACK");
        if needs_primary && !members[index].is_primary && words[0] != "STATUS" {
            drop(members);
            return Some(self.refusal(index, session, "READONLY"));
        }
        let mut rows = Vec::new();
        let mut receipt = "-".to_owned();
        match words[0] {
            "BEGIN" => {
                session.is_open = true;
                session.is_read_only = words.get(1).is_some();
                session.writes.clear();
            }
            "ROLLBACK" => {
                session.is_open = false;
                session.writes.clear();
            }
            "RESET" | "SET" | "PREPARE" | "DEALLOCATE" => {}
            "READ" => {
                rows.push(members[index].read(words.get(1).unwrap_or(&"")));
                receipt = self.receipt(index);
            }
            "WRITE" => {
                let (item, data) = (words.get(1)?.to_string(), words.get(2)?.to_string());
                session.writes.push((id.to_owned(), item, data));
                receipt = self.receipt(index);
            }
            "COMMIT" => receipt = self.receipt(index),
            "STATUS" | "DEMOTE" => {
                if words[0] == "DEMOTE" && members[index].term < words.get(1)?.parse().ok()? {
                    members[index].is_primary = false;
                }
                let member = &members[index];
                let role = if member.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let (term, number) = member.position();
                rows.push(format!(
                    "{role} {} {term}.{number} 0 0 {} {}",
                    member.term, member.busy, member.connections
                ));
            }
            _ => return Some("ERROR MALFORMED -\r\nREADY I -\r\n".to_owned()),
        }
        let commits = (is_write && !session.is_open) || words[0] == "COMMIT";
        if commits && !session.writes.is_empty() {
            let position = self.append(&mut members, index, &session.writes);
            session.writes.clear();
            members = self.wait_for_replica(members, index, position)?;
        }
        if words[0] == "COMMIT" {
            session.is_open = false;
        }
        if id != "-" {
            let run = Run {
                began,
                ended: Instant::now(),
                member: index,
                text: text.to_owned(),
            };
            self.runs
                .lock()
                .unwrap()
                .entry(id.to_owned())
                .or_default()
                .push(run);
        }
        let (term, number) = members[index].position();
        let state = if session.is_open { "T" } else { "I" };
        let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
        Some(format!(
            "{rows}COMPLETE {receipt}\r\nREADY {state} {term}.{number}\r\n"
        ))
    }

    fn receipt(&self, index: usize) -> String {
        let number = self.receipts.fetch_add(1, Ordering::Relaxed);
        format!("{index}.{number:x}")
    }

    /// Appends a commit to the primary's log and sends it to the replicas that receive.
    fn append(&self, members: &mut [Member], index: usize, writes: &[(String, String, String)]) -> (u64, u64) {
        let term = members[index].term;
        let number = members[index].position().1 + 1;
        for (id, item, data) in writes {
            members[index].log.push(Entry {
                term,
                number,
                id: id.clone(),
                item: item.clone(),
                data: data.clone(),
            });
        }
        let log = members[index].log.clone();
        for (other, member) in members.iter_mut().enumerate() {
            if other != index && member.is_up && !member.is_deaf && !member.is_primary {
                let known = member.log.len().min(log.len());
                member.log.extend_from_slice(&log[known..]);
            }
        }
        (term, number)
    }

    /// Waits until as many replicas as the service asks for have received a commit. Returns `None` if
    /// the primary crashes before.
    fn wait_for_replica<'a>(
        &self,
        mut members: std::sync::MutexGuard<'a, Vec<Member>>,
        index: usize,
        position: (u64, u64),
    ) -> Option<std::sync::MutexGuard<'a, Vec<Member>>> {
        loop {
            if !members[index].is_up {
                return None;
            }
            let received = members
                .iter()
                .enumerate()
                .filter(|(other, member)| *other != index && member.position() >= position)
                .count();
            if received >= self.shape.sync_replicas {
                return Some(members);
            }
            let wait = Duration::from_millis(20);
            // The other threads of the group go on while this one waits.
            members = self.changed.wait_timeout(members, wait).unwrap().0;
        }
    }

    /// Opens the address of the platform's singleton duties.
    pub fn serve_failover(groups: Vec<Arc<Self>>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let groups = groups.clone();
                std::thread::spawn(move || {
                    serve_http(stream, |method, path, _, headers, body| {
                        if (method, path) != ("POST", "/failover") {
                            return (404, "{}".to_owned());
                        }
                        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
                        let fence = header("filbertbay-fencing-token").parse().unwrap_or(0);
                        let service = body.get("service").text();
                        let Some(group) = groups.iter().find(|group| group.name == service) else {
                            return (409, "{}".to_owned());
                        };
                        let holder = header("filbertbay-lease-holder");
                        group.order(body.get("id").text(), &holder, fence)
                    })
                });
            }
        });
        address
    }

    fn order(self: &Arc<Self>, id: &str, holder: &str, fence: u64) -> (u16, String) {
        self.record
            .line(&format!("{holder} orders {id} to lead, fence {fence}"));
        self.fences.lock().unwrap().push((holder.to_owned(), fence));
        let members = self.state.lock().unwrap();
        let Some(index) = members.iter().position(|member| member.id == id && member.is_up) else {
            return (409, "{}".to_owned());
        };
        if members[index].is_primary {
            return (200, "{}".to_owned());
        }
        drop(members);
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(group.shape.promote_ms));
            group.promote(index);
        });
        (200, "{}".to_owned())
    }

    /// Lets a member lead the next term with what it had received. A primary that is still up follows
    /// a second later.
    fn promote(self: &Arc<Self>, index: usize) {
        let mut members = self.state.lock().unwrap();
        if !members[index].is_up {
            return;
        }
        let term = members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
        members[index].is_primary = true;
        members[index].term = term;
        let log = members[index].log.clone();
        for (other, member) in members.iter_mut().enumerate() {
            if other != index && member.is_up && !member.is_primary {
                member.term = term;
                member.log = log.clone();
            }
        }
        let id = members[index].id.clone();
        let entries = log.len();
        self.promotions
            .lock()
            .unwrap()
            .push((Instant::now(), index, log));
        drop(members);
        self.record.line(&format!(
            "member {id} leads term {term} with {entries} log entries"
        ));
        self.report(index);
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(1));
            let mut members = group.state.lock().unwrap();
            let log = members[index].log.clone();
            for (other, member) in members.iter_mut().enumerate() {
                if other != index && member.is_up && member.is_primary && member.term < term {
                    member.is_primary = false;
                    member.term = term;
                    member.log = log.clone();
                }
            }
        });
    }
}

/// State of one connection to a member.
#[derive(Default)]
struct Session {
    is_open: bool,
    is_read_only: bool,
    /// Writes of the open transaction: id, item and data.
    writes: Vec<(String, String, String)>,
}
