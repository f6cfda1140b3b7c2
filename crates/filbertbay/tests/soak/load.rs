//! Load of the soak: callers that record every statement they send and its outcome.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::Soak;
use super::common::{KEY, OTHER_KEY};
use super::fleet::DATABASES;

/// Longest wait of a caller for a response, twice the timeouts of the routes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before a caller reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);

/// Staleness limit of the route for own writes, for data that other sessions wrote.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);

/// Upper bound (exclusive) of the think time between two statements, in milliseconds.
const MAX_THINK_MS: u64 = 60;

/// Pause of a reader between two reads, which keeps it within the rate of its workspace.
const READ_INTERVAL: Duration = Duration::from_millis(15);

/// Name and caller key of each workspace.
pub const WORKSPACES: [(&str, &str); 2] = [("shop", KEY), ("stall", OTHER_KEY)];

/// Outcome of a statement as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Success, with the row if one was returned.
    Completed(Option<String>),
    /// Refusal, with its error code.
    Refused(String),
    /// No response, or an incomplete one.
    Unknown,
}

/// Statement that was sent, with its outcome.
#[derive(Clone, Debug)]
pub struct SentStatement {
    pub id: String,
    pub workspace: &'static str,
    /// Index of the service that executes the statement.
    pub service: usize,
    pub text: String,
    /// Id of the statement's transaction, if it belongs to one.
    pub transaction: Option<u64>,
    pub sent_at: Instant,
    pub answered_at: Instant,
    pub outcome: Outcome,
    /// Writer of the item that a read asks for, and how many of its acknowledged writes the read must
    /// reflect.
    pub required: Option<(usize, usize)>,
}

/// Write that was acknowledged to its caller.
pub struct AcknowledgedWrite {
    pub data: String,
    session: u64,
    acknowledged_at: Instant,
}

/// Returns the record of a recovery probe. Its outcome is `Unknown`: responses to probes are not checked.
pub fn probe_statement(id: &str, service: usize, text: &str) -> SentStatement {
    SentStatement {
        id: id.to_owned(),
        workspace: WORKSPACES[1].0,
        service,
        text: text.to_owned(),
        transaction: None,
        sent_at: Instant::now(),
        answered_at: Instant::now(),
        outcome: Outcome::Unknown,
        required: None,
    }
}

struct Connection(BufReader<TcpStream>);

impl Connection {
    async fn connect(soak: &Soak, instance: usize, route: &str, key: &str) -> Option<Self> {
        let address = soak.fleet.borrow().instances[instance].caller_proxy.address;
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let mut connection = Self(BufReader::new(stream));
            connection.send(&format!("START {route} {key}")).await?;
            let line = connection.read_line().await?;
            line.starts_with("READY").then_some(connection)
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, connecting)
            .await
            .ok()
            .flatten()
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        let line = format!("{line}\r\n");
        self.0.write_all(line.as_bytes()).await.ok()
    }

    async fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.0.read_line(&mut line).await.ok()?;
        (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement. Returns its outcome and whether the connection remains usable.
    async fn execute(&mut self, id: &str, text: &str) -> (Outcome, bool) {
        let exchange = async {
            self.send(&format!("QUERY {id} {text}")).await?;
            let mut row = None;
            let mut outcome = None;
            loop {
                let line = self.read_line().await?;
                let (kind, rest) = line.split_once(' ')?;
                match kind {
                    "ROW" => row = Some(rest.to_owned()),
                    "COMPLETE" => outcome = Some(Outcome::Completed(row.take())),
                    "ERROR" => {
                        let code = rest.split(' ').next().unwrap_or_default();
                        outcome = Some(Outcome::Refused(code.to_owned()));
                    }
                    "READY" => {
                        return Some((outcome?, rest.starts_with('I') || rest.starts_with('T')));
                    }
                    _ => return None,
                }
            }
        };
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        answer.ok().flatten().unwrap_or((Outcome::Unknown, false))
    }
}

/// Simulated caller, which alone writes its item and reads those of all callers of its service.
pub struct Caller {
    soak: Rc<Soak>,
    index: usize,
    rng: ChaCha8Rng,
    /// Selects the items to read.
    item_rng: ChaCha8Rng,
    session: u64,
    /// Whether the session's route guarantees that reads show the latest writes of all sessions.
    is_latest_route: bool,
}

impl Caller {
    pub fn new(soak: Rc<Soak>, index: usize, rng: ChaCha8Rng) -> Self {
        let mut item_rng = rng.clone();
        item_rng.set_stream(rng.get_stream() + 1);
        Self {
            soak,
            index,
            rng,
            item_rng,
            session: 0,
            is_latest_route: false,
        }
    }

    /// Runs sessions until the soak is finished.
    pub async fn run(mut self) {
        while !self.soak.is_finished.get() {
            self.run_session().await;
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn run_session(&mut self) {
        let (_, key) = WORKSPACES[self.index % WORKSPACES.len()];
        self.is_latest_route = self.rng.random();
        self.session = self.soak.next_id();
        let route = DATABASES[self.service()][usize::from(!self.is_latest_route)];
        let instance = self.rng.random_range(0..self.soak.network.peers.len());
        let Some(mut connection) = Connection::connect(&self.soak, instance, route, key).await
        else {
            return;
        };
        let operations = self.rng.random_range(1..40);
        for _ in 0..operations {
            // A caller keeps its connection until it is no longer usable.
            let is_usable = match self.rng.random_range(0..10) {
                0..=3 => self.write(&mut connection).await,
                4..=7 => self.read(&mut connection).await,
                _ => self.transaction(&mut connection).await,
            };
            if !is_usable || self.soak.is_finished.get() {
                return;
            }
            let think_ms = self.rng.random_range(0..MAX_THINK_MS);
            tokio::time::sleep(Duration::from_millis(think_ms)).await;
        }
    }

    /// Reads on the route for the latest data at one instance until the soak is finished, on each
    /// connection for as long as it is usable.
    pub async fn read_latest(mut self, instance: usize) {
        let (_, key) = WORKSPACES[self.index % WORKSPACES.len()];
        let route = DATABASES[self.service()][0];
        self.is_latest_route = true;
        while !self.soak.is_finished.get() {
            if let Some(mut connection) =
                Connection::connect(&self.soak, instance, route, key).await
            {
                while !self.soak.is_finished.get() && self.read(&mut connection).await {
                    tokio::time::sleep(READ_INTERVAL).await;
                }
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Returns the index of the service that this caller uses.
    fn service(&self) -> usize {
        self.index / WORKSPACES.len() % DATABASES.len()
    }

    fn item(&self) -> String {
        format!("item-{}", self.index)
    }

    async fn write(&mut self, connection: &mut Connection) -> bool {
        let data = format!("d{}", self.soak.next_id());
        let text = format!("WRITE {} {data}", self.item());
        let (outcome, is_usable) = self.execute(connection, &text, None, None).await;
        if matches!(outcome, Outcome::Completed(_)) {
            self.record_acknowledged(data);
        }
        is_usable
    }

    async fn read(&mut self, connection: &mut Connection) -> bool {
        let (text, required) = self.random_read();
        let (_, is_usable) = self.execute(connection, &text, None, required).await;
        is_usable
    }

    fn record_acknowledged(&mut self, data: String) {
        self.soak.acknowledged.borrow_mut()[self.index].push(AcknowledgedWrite {
            data,
            session: self.session,
            acknowledged_at: Instant::now(),
        });
    }

    /// Returns a read of an item of this service, and the writes that it must reflect: all of them on the
    /// route for latest data, otherwise those of this session and those acknowledged more than
    /// [`MAX_STALENESS`] ago.
    fn random_read(&mut self) -> (String, Option<(usize, usize)>) {
        let acknowledged = self.soak.acknowledged.borrow();
        let group_size = WORKSPACES.len();
        let of_service = |writer: &usize| writer / group_size % DATABASES.len() == self.service();
        let writers: Vec<usize> = (0..acknowledged.len()).filter(of_service).collect();
        let writer = writers[self.item_rng.random_range(0..writers.len())];
        let is_required = |write: &AcknowledgedWrite| {
            self.is_latest_route
                || write.session == self.session
                || write.acknowledged_at.elapsed() > MAX_STALENESS
        };
        let last = acknowledged[writer].iter().rposition(is_required);
        let count = last.map_or(0, |last| last + 1);
        (format!("READ item-{writer}"), Some((writer, count)))
    }

    async fn transaction(&mut self, connection: &mut Connection) -> bool {
        let transaction = Some(self.soak.next_id());
        let (outcome, is_usable) = self.execute(connection, "BEGIN", transaction, None).await;
        if !is_usable || !matches!(outcome, Outcome::Completed(_)) {
            return is_usable;
        }
        let mut written = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let data = format!("d{}", self.soak.next_id());
            let text = format!("WRITE {} {data}", self.item());
            let (outcome, is_usable) = self.execute(connection, &text, transaction, None).await;
            if !is_usable || !matches!(outcome, Outcome::Completed(_)) {
                return false;
            }
            written.push(data);
            let think_ms = self.rng.random_range(0..MAX_THINK_MS);
            tokio::time::sleep(Duration::from_millis(think_ms)).await;
        }
        let end = ["COMMIT", "COMMIT", "COMMIT", "ROLLBACK"][self.rng.random_range(0..4)];
        let (outcome, is_usable) = self.execute(connection, end, transaction, None).await;
        if end == "COMMIT" && matches!(outcome, Outcome::Completed(_)) {
            for data in written {
                self.record_acknowledged(data);
            }
        }
        is_usable
    }

    async fn execute(
        &mut self,
        connection: &mut Connection,
        text: &str,
        transaction: Option<u64>,
        required: Option<(usize, usize)>,
    ) -> (Outcome, bool) {
        let id = format!("{:x}", self.soak.next_id());
        let sent_at = Instant::now();
        let (outcome, is_usable) = connection.execute(&id, text).await;
        self.soak.statements.borrow_mut().push(SentStatement {
            id,
            workspace: WORKSPACES[self.index % WORKSPACES.len()].0,
            service: self.service(),
            text: text.to_owned(),
            transaction,
            sent_at,
            answered_at: Instant::now(),
            outcome: outcome.clone(),
            required,
        });
        (outcome, is_usable)
    }
}
