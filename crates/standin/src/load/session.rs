//! One caller session.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use super::Target;
use super::record::{Attempt, Kind, Outcome};

/// Parameter that carries the session token.
const TOKEN: &str = "filbertbay.token";

/// Longest wait for a connection or an answer.
const PATIENCE: Duration = Duration::from_secs(35);

/// Pause after a connection that failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// How a session reaches its database.
#[derive(Clone, Debug)]
pub(super) struct Way {
    pub(super) targets: watch::Receiver<Vec<Target>>,
    pub(super) workspace: Arc<str>,
    pub(super) key: Arc<str>,
    pub(super) route: Arc<str>,
}

/// How often a session does what.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    pub(super) interval: Duration,
    pub(super) writes: u32,
    pub(super) stay: u32,
}

/// Caller session that roams between instances.
#[derive(Debug)]
pub(super) struct Session {
    number: i64,
    way: Way,
    pace: Pace,
    random: ChaCha8Rng,
    start: Instant,
    link: Option<Link>,
    token: Option<String>,
    seq: i64,
    acknowledged: i64,
    seen: i64,
    attempts: Vec<Attempt>,
}

/// Connection to one instance.
#[derive(Debug)]
struct Link {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    driver: JoinHandle<()>,
    instance: Arc<str>,
    statements: u32,
}

impl Session {
    pub(super) fn new(
        number: i64,
        way: Way,
        pace: Pace,
        random: ChaCha8Rng,
        start: Instant,
    ) -> Self {
        Self {
            number,
            way,
            pace,
            random,
            start,
            link: None,
            token: None,
            seq: 0,
            acknowledged: 0,
            seen: 0,
            attempts: Vec::new(),
        }
    }

    pub(super) async fn run(mut self, stopped: watch::Receiver<bool>) -> Vec<Attempt> {
        // Sessions of one workspace start apart, so that their statements come evenly.
        let offset = self.pace.interval.mul_f64(self.random.random());
        tokio::time::sleep(offset).await;
        let mut due = tokio::time::Instant::now();
        while !*stopped.borrow() {
            if self.connected().await {
                self.statement().await;
            }
            due += self.pace.interval;
            let now = tokio::time::Instant::now();
            if due < now {
                due = now;
            }
            tokio::time::sleep_until(due).await;
        }
        self.leave().await;
        self.attempts
    }

    async fn connected(&mut self) -> bool {
        let stay = self.pace.stay;
        let moves = |link: &Link| link.statements >= stay || link.client.is_closed();
        if self.link.as_ref().is_some_and(moves) {
            self.leave().await;
        }
        if self.link.is_some() {
            return true;
        }
        let targets = self.way.targets.borrow().clone();
        let Some(target) = targets.choose(&mut self.random) else {
            return false;
        };
        let began = Instant::now();
        match self.connect(target).await {
            Ok(link) => {
                self.link = Some(link);
                true
            }
            Err(outcome) => {
                let instance = Arc::clone(&target.name);
                self.note(Kind::Connect, outcome, began, instance);
                tokio::time::sleep(RECONNECT_PAUSE).await;
                false
            }
        }
    }

    async fn connect(&self, target: &Target) -> Result<Link, Outcome> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(target.address.ip().to_string())
            .port(target.address.port())
            .user(&*self.way.workspace)
            .password(self.way.key.as_bytes())
            .dbname(&*self.way.route);
        if let Some(token) = &self.token {
            config.options(format!("-c {TOKEN}={token}"));
        }
        let connecting = tokio::time::timeout(PATIENCE, config.connect(NoTls)).await;
        let (client, mut connection) = match connecting {
            Ok(Ok(connected)) => connected,
            Ok(Err(cause)) => return Err(Outcome::of(&cause)),
            Err(_) => return Err(Outcome::Unknown),
        };
        let token = Arc::new(Mutex::new(None));
        let shared = Arc::clone(&token);
        let driver = tokio::spawn(poll_fn(move |context| {
            loop {
                let polled = connection.poll_message(context);
                if let Some(token) = connection.parameter(TOKEN) {
                    *shared.lock() = Some(token.to_owned());
                }
                match ready!(polled) {
                    Some(Ok(_)) => {}
                    _ => return Poll::Ready(()),
                }
            }
        }));
        Ok(Link {
            client,
            token,
            driver,
            instance: Arc::clone(&target.name),
            statements: 0,
        })
    }

    /// Ends the connection and keeps its last token.
    async fn leave(&mut self) {
        let Some(link) = self.link.take() else {
            return;
        };
        drop(link.client);
        let mut driver = link.driver;
        if tokio::time::timeout(PATIENCE, &mut driver).await.is_err() {
            driver.abort();
        }
        if let Some(token) = link.token.lock().take() {
            self.token = Some(token);
        }
    }

    async fn statement(&mut self) {
        let kind = if self.random.random_range(0..100) < self.pace.writes {
            self.seq += 1;
            Kind::Write(self.seq)
        } else {
            Kind::Read
        };
        let sql = match kind {
            Kind::Write(seq) => format!("INSERT INTO load VALUES ({}, {seq})", self.number),
            _ => format!(
                "SELECT coalesce(max(seq), 0) FROM load WHERE session = {}",
                self.number
            ),
        };
        let Some(link) = &mut self.link else {
            return;
        };
        link.statements += 1;
        let instance = Arc::clone(&link.instance);
        let began = Instant::now();
        let answer = tokio::time::timeout(PATIENCE, link.client.simple_query(&sql)).await;
        let outcome = match answer {
            Ok(Ok(messages)) => self.judge(kind, &messages),
            Ok(Err(cause)) => Outcome::of(&cause),
            Err(_) => Outcome::Unknown,
        };
        if matches!(outcome, Outcome::Unknown) {
            self.leave().await;
        }
        self.note(kind, outcome, began, instance);
    }

    /// Compares an answer with what this session was told before.
    fn judge(&mut self, kind: Kind, messages: &[SimpleQueryMessage]) -> Outcome {
        if let Kind::Write(seq) = kind {
            self.acknowledged = seq;
            return Outcome::Done;
        }
        let row = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0),
            _ => None,
        });
        let Some(seen) = row.and_then(|text| text.parse::<i64>().ok()) else {
            return Outcome::Garbled;
        };
        let before = self.seen;
        self.seen = self.seen.max(seen);
        if seen < self.acknowledged {
            Outcome::Stale
        } else if seen < before {
            Outcome::Regressed
        } else {
            Outcome::Done
        }
    }

    fn note(&mut self, kind: Kind, outcome: Outcome, began: Instant, instance: Arc<str>) {
        self.attempts.push(Attempt {
            at: began.duration_since(self.start),
            took: began.elapsed(),
            session: self.number,
            workspace: Arc::clone(&self.way.workspace),
            route: Arc::clone(&self.way.route),
            instance,
            kind,
            outcome,
        });
    }
}
