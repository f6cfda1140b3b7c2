//! Callers that remember what they asked and what they were told.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::Scene;
use super::common::{KEY, OTHER_KEY};

/// Longest wait of a caller for an answer; twice the routes' timeouts.
const ANSWER: Duration = Duration::from_secs(4);

/// Pause of a caller before it connects again.
const AGAIN: Duration = Duration::from_millis(60);

/// Age of data that the route for a caller's own writes may show of other sessions.
const STALENESS: Duration = Duration::from_millis(1_500);

/// Longest pause between two statements, in ms.
const THINK_MS: u64 = 60;

/// Workspaces with their keys.
pub const WORKSPACES: [(&str, &str); 2] = [("shop", KEY), ("stall", OTHER_KEY)];

/// What a caller was told of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// Success, with the row that came before it.
    Done(Option<String>),
    /// Refusal with its code.
    Refused(String),
    /// Nothing, or half an answer.
    Nothing,
}

/// One statement.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub workspace: &'static str,
    pub text: String,
    /// Number of the transaction that it belongs to.
    pub transaction: Option<u64>,
    pub sent: Instant,
    pub told_at: Instant,
    pub told: Told,
    /// Writes of this caller to the item that a read must show, the last one at the end; none for
    /// other statements.
    pub known: Vec<String>,
}

/// Acknowledged write.
struct Known {
    data: String,
    session: u64,
    told_at: Instant,
}

/// Returns the record of a probe, whose answer counts for nothing.
pub fn probe(id: &str, text: &str) -> Asked {
    Asked {
        id: id.to_owned(),
        workspace: WORKSPACES[1].0,
        text: text.to_owned(),
        transaction: None,
        sent: Instant::now(),
        told_at: Instant::now(),
        told: Told::Nothing,
        known: Vec::new(),
    }
}

struct Connection(BufReader<TcpStream>);

impl Connection {
    async fn open(scene: &Scene, node: usize, route: &str, key: &str) -> Option<Self> {
        let address = scene.fleet.borrow().nodes[node].callers.address;
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let mut connection = Self(BufReader::new(stream));
            connection.send(&format!("START {route} {key}")).await?;
            let line = connection.line().await?;
            line.starts_with("READY").then_some(connection)
        };
        tokio::time::timeout(ANSWER, opening).await.ok().flatten()
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        let line = format!("{line}\r\n");
        self.0.write_all(line.as_bytes()).await.ok()
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.0.read_line(&mut line).await.ok()?;
        (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement and returns what was told, and whether the connection goes on.
    async fn ask(&mut self, id: &str, text: &str) -> (Told, bool) {
        let asking = async {
            self.send(&format!("QUERY {id} {text}")).await?;
            let mut row = None;
            let mut told = None;
            loop {
                let line = self.line().await?;
                let (word, rest) = line.split_once(' ')?;
                match word {
                    "ROW" => row = Some(rest.to_owned()),
                    "COMPLETE" => told = Some(Told::Done(row.take())),
                    "ERROR" => {
                        let code = rest.split(' ').next().unwrap_or_default();
                        told = Some(Told::Refused(code.to_owned()));
                    }
                    "READY" => {
                        return Some((told?, rest.starts_with('I') || rest.starts_with('T')));
                    }
                    _ => return None,
                }
            }
        };
        let answer = tokio::time::timeout(ANSWER, asking).await;
        answer.ok().flatten().unwrap_or((Told::Nothing, false))
    }
}

/// One caller; its items are its own.
pub struct Caller {
    scene: Rc<Scene>,
    number: usize,
    random: ChaCha8Rng,
    /// Acknowledged writes of the item, in order.
    known: Vec<Known>,
    session: u64,
    /// Whether the session's route promises what other sessions wrote a moment ago.
    is_latest: bool,
}

impl Caller {
    pub fn new(scene: Rc<Scene>, number: usize, random: ChaCha8Rng) -> Self {
        Self {
            scene,
            number,
            random,
            known: Vec::new(),
            session: 0,
            is_latest: false,
        }
    }

    /// Works until the scene is over.
    pub async fn run(mut self) {
        while !self.scene.is_over.get() {
            self.session().await;
            tokio::time::sleep(AGAIN).await;
        }
    }

    async fn session(&mut self) {
        let (_, key) = WORKSPACES[self.number % WORKSPACES.len()];
        self.is_latest = self.random.random();
        self.session = self.scene.number();
        let route = if self.is_latest { "orders" } else { "picks" };
        let node = self
            .random
            .random_range(0..super::fleet::DATA_CENTRES.len());
        let Some(mut connection) = Connection::open(&self.scene, node, route, key).await else {
            return;
        };
        let operations = self.random.random_range(1..40);
        for _ in 0..operations {
            // Callers use a connection until it ends.
            let goes_on = match self.random.random_range(0..10) {
                0..=3 => self.write(&mut connection).await,
                4..=7 => self.read(&mut connection).await,
                _ => self.transaction(&mut connection).await,
            };
            if !goes_on || self.scene.is_over.get() {
                return;
            }
            let think = self.random.random_range(0..THINK_MS);
            tokio::time::sleep(Duration::from_millis(think)).await;
        }
    }

    fn item(&self) -> String {
        format!("item-{}", self.number)
    }

    async fn write(&mut self, connection: &mut Connection) -> bool {
        let data = format!("d{}", self.scene.number());
        let text = format!("WRITE {} {data}", self.item());
        let (told, goes_on) = self.ask(connection, &text, None, Vec::new()).await;
        if matches!(told, Told::Done(_)) {
            self.know(data);
        }
        goes_on
    }

    async fn read(&mut self, connection: &mut Connection) -> bool {
        let text = format!("READ {}", self.item());
        let known = self.required();
        self.ask(connection, &text, None, known).await.1
    }

    fn know(&mut self, data: String) {
        self.known.push(Known {
            data,
            session: self.session,
            told_at: Instant::now(),
        });
    }

    /// Returns the writes that a read must show: all, or those of the session and older ones.
    fn required(&self) -> Vec<String> {
        let is_required = |one: &&Known| {
            self.is_latest || one.session == self.session || one.told_at.elapsed() > STALENESS
        };
        let required = self.known.iter().filter(is_required);
        required.map(|one| one.data.clone()).collect()
    }

    async fn transaction(&mut self, connection: &mut Connection) -> bool {
        let number = Some(self.scene.number());
        let (told, goes_on) = self.ask(connection, "BEGIN", number, Vec::new()).await;
        if !goes_on || !matches!(told, Told::Done(_)) {
            return goes_on;
        }
        let mut written = Vec::new();
        for _ in 0..self.random.random_range(1..4) {
            let data = format!("d{}", self.scene.number());
            let text = format!("WRITE {} {data}", self.item());
            let (told, goes_on) = self.ask(connection, &text, number, Vec::new()).await;
            if !goes_on || !matches!(told, Told::Done(_)) {
                return false;
            }
            written.push(data);
            let think = self.random.random_range(0..THINK_MS);
            tokio::time::sleep(Duration::from_millis(think)).await;
        }
        let end = ["COMMIT", "COMMIT", "COMMIT", "ROLLBACK"][self.random.random_range(0..4)];
        let (told, goes_on) = self.ask(connection, end, number, Vec::new()).await;
        if end == "COMMIT" && matches!(told, Told::Done(_)) {
            for data in written {
                self.know(data);
            }
        }
        goes_on
    }

    async fn ask(
        &mut self,
        connection: &mut Connection,
        text: &str,
        transaction: Option<u64>,
        known: Vec<String>,
    ) -> (Told, bool) {
        let id = format!("{:x}", self.scene.number());
        let sent = Instant::now();
        let (told, goes_on) = connection.ask(&id, text).await;
        self.scene.asked.borrow_mut().push(Asked {
            id,
            workspace: WORKSPACES[self.number % WORKSPACES.len()].0,
            text: text.to_owned(),
            transaction,
            sent,
            told_at: Instant::now(),
            told: told.clone(),
            known,
        });
        (told, goes_on)
    }
}
