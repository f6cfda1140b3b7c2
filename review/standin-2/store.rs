//! The platform's metadata store, as PROTOCOL.md describes it, over HTTP/1.1 on a loopback port, and the
//! call that promotes a member.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Json};
use crate::record::Record;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    key: String,
    /// Base64 value and lease; `None` if the key was removed.
    value: Option<(String, u64)>,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// Handles an order to promote: service, id, holder and fencing token. Returns the HTTP status.
pub type Failover = Arc<dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    failover: Arc<Mutex<Option<Failover>>>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr().expect("an address"),
            failover: Arc::default(),
            record: record.clone(),
        };
        store.state.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    pub fn set_failover(&self, failover: Failover) {
        *self.failover.lock().unwrap() = Some(failover);
    }

    /// Writes a key as the operator and the members do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.write(key, json::base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.delete(key);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        state.leases.retain(|_, (_, end)| *end > now);
        let lapsed: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !state.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &lapsed {
            state.delete(key);
        }
        if !lapsed.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let parameter = |name: &str| query.get(name).map_or("", String::as_str);
        std::thread::sleep(ANSWER_TIME);
        let method = request.method.as_str();
        match (method, path) {
            ("GET", "/-/kv-key") => {
                let state = self.state.0.lock().unwrap();
                match state.items.get(parameter("key")) {
                    Some(item) => {
                        let row = item_json(parameter("key"), item);
                        (200, format!("{},\"at_rev\":{}}}", &row[..row.len() - 1], state.revision))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/-/kv-range") => {
                let state = self.state.0.lock().unwrap();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let rows = state.items.iter().filter(|(key, _)| {
                    key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
                });
                let rows: Vec<String> = rows.map(|(key, item)| item_json(key, item)).collect();
                let rows = rows.join(",");
                (200, format!("{{\"items\":[{rows}],\"has_more\":false,\"at_rev\":{}}}", state.revision))
            }
            ("GET", "/-/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(parameter("prefix"), after, wait)
            }
            ("POST", "/-/kv-txn") => self.transaction(&request.body),
            ("POST", "/-/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(1_000, |body| body.get("ttl_ms").number());
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                let ttl = Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease_id\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                let mut state = self.state.0.lock().unwrap();
                let now = Instant::now();
                match lease.and_then(|lease| state.leases.get_mut(&lease)) {
                    Some((ttl, end)) if *end > now => {
                        *end = now + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    _ => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                let mut state = self.state.0.lock().unwrap();
                let found = lease.and_then(|lease| state.leases.remove(&lease));
                (if found.is_some() { 200 } else { 404 }, "{}".into())
            }
            ("POST", "/failover") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
                let fence = header("filbertbay-fencing-token").parse().unwrap_or(0);
                let holder = header("filbertbay-lease-holder");
                let (service, id) = (body.get("service").text(), body.get("id").text());
                self.record.line(&format!("cloud: order arrives: promote {id} of {service}, holder {holder}, token {fence}"));
                let failover = self.failover.lock().unwrap().clone();
                let status = failover.map_or(409, |failover| failover(service, id, &holder, fence));
                self.record.line(&format!("cloud: order for {id}, token {fence}, is answered with {status}"));
                (status, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".into());
            }
            let events = state.history.iter();
            let events = events.filter(|event| event.revision > after && event.key.starts_with(prefix));
            let events: Vec<String> = events.map(event_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at_rev\":{}}}", state.revision));
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn transaction(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        for row in body.get("set_keys").list() {
            let lease = row.get("lease_id").number();
            if lease != 0 && state.leases.get(&lease).is_none_or(|(_, end)| *end <= now) {
                return (404, "{}".into());
            }
            let key = row.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
        }
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|row| {
            let revision = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            revision == row.get("revision").number()
        });
        if !holds {
            let rows = conditions.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| item_json(key, item))
            });
            let rows: Vec<String> = rows.collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        for row in body.get("set_keys").list() {
            let value = row.get("value").text().to_owned();
            state.write(row.get("key").text(), value, row.get("lease_id").number());
        }
        for key in body.get("remove").list() {
            state.delete(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let event = Event { revision, key: key.to_owned(), value: Some((value.clone(), lease)), created };
        self.history.push(event);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn delete(&mut self, key: &str) {
        if let Some(item) = self.items.remove(key) {
            self.revision += 1;
            let event = Event { revision: self.revision, key: key.to_owned(), value: None, created: item.created };
            self.history.push(event);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease_id\":{}}}",
        json::quote(key), item.value, item.revision, item.created, item.lease
    )
}

fn event_json(event: &Event) -> String {
    let key = json::quote(&event.key);
    match &event.value {
        Some((value, lease)) => format!(
            "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{},\"created_rev\":{},\"lease_id\":{lease}}}",
            event.revision, event.created
        ),
        None => format!("{{\"key\":{key},\"revision\":{},\"deleted\":true}}", event.revision),
    }
}

struct Request {
    method: String,
    target: String,
    headers: HashMap<String, String>,
    body: String,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Decodes `%XX` and `+` of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (other, _) => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}
