//! Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
//!
//! Each machine reaches the store at an address of its own, so that a case can turn away one machine
//! and serve the others.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{Json, base64};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events by revision, as JSON.
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created_rev":{},"lease_id":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
            self.history.push((revision, key.to_owned(), event));
        }
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let ticker = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                ticker.expire();
            }
        });
        store
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.leases.remove(&lease);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                state.revision += 1;
                let revision = state.revision;
                state.remove(&key, revision);
            }
        }
        self.changed.notify_all();
    }

    /// Writes a value as the operator or a member does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(text.as_bytes()), 0, revision);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Opens an address at which one machine reaches the store.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                std::thread::spawn(move || {
                    serve_http(stream, |method, path, query, _, body| {
                        // The store takes 4 ms to answer.
                        std::thread::sleep(Duration::from_millis(4));
                        store.call(method, path, query, body)
                    })
                });
            }
        });
        address
    }

    fn call(&self, method: &str, path: &str, query: &HashMap<String, String>, body: &Json) -> Reply {
        match (method, path) {
            ("GET", "/-/kv-range") => self.range(query),
            ("GET", "/-/kv-watch") => self.watch(query),
            ("POST", "/-/kv-txn") => self.transaction(body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                let ttl_time = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!(r#"{{"lease_id":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease: u64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> Reply {
        let state = self.state.lock().unwrap();
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .map(|(key, item)| item_json(key, item))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":false,"at_rev":{}}}"#,
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, query: &HashMap<String, String>) -> Reply {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let prefix = field("prefix");
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait: u64 = field("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let from = state.history.partition_point(|(rev, _, _)| *rev <= after);
            let events: Vec<String> = state.history[from..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"at_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let rows = body.get("precondition").list();
        let holds = |row: &Json| {
            let known = state.items.get(row.get("key").text());
            known.map_or(0, |item| item.revision) == row.get("revision").number()
        };
        if !rows.iter().all(holds) {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_json(key, item))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let sets = body.get("set_keys").list();
        for set in sets {
            let lease = set.get("lease_id").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let key = set.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
        }
        state.revision += 1;
        let revision = state.revision;
        for set in sets {
            let value = set.get("value").text().to_owned();
            state.put(
                set.get("key").text(),
                value,
                set.get("lease_id").number(),
                revision,
            );
        }
        for key in body.get("remove").list() {
            state.remove(key.text(), revision);
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

pub type Reply = (u16, String);

/// Serves HTTP/1.1 requests of one connection until it is closed.
pub fn serve_http<F>(stream: TcpStream, call: F)
where
    F: Fn(&str, &str, &HashMap<String, String>, &HashMap<String, String>, &Json) -> Reply,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let mut words = line.split_whitespace();
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            return;
        };
        let mut headers = HashMap::new();
        loop {
            let mut header = String::new();
            if input.read_line(&mut header).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = header.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        if input.read_exact(&mut body).is_err() {
            return;
        }
        let body = Json::parse(std::str::from_utf8(&body).unwrap_or("")).unwrap_or(Json::Null);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| {
            let (name, value) = pair.split_once('=')?;
            Some((name.to_owned(), value.replace("%2F", "/")))
        });
        let (status, text) = call(method, path, &query.collect(), &headers, &body);
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        if output.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
