//! Instance without control in front of a stand-in group.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod authority;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use filbertbay::caller::guard::Phase;
use filbertbay::caller::policy::{AdmissionRequest, ConfirmationRequest, Policy};
use filbertbay::caller::startup::ListenerKind;
use filbertbay::caller::{self, Handle, SessionContext};
use filbertbay::pool::{self, Pool};
use filbertbay_coordination::authority::confirm::{Cause, Outcome};
use filbertbay_coordination::replica;
use filbertbay_coordination::view::{Group, Member, Observation, Watermark};
use filbertbay_protocol::token::{self, Signer};
use filbertbay_state::document::{Availability, Document, KeyState};
use filbertbay_state::key::Digest;
use filbertbay_state::position::Term;
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::status::Role;
use filbertbay_state::version::Version;
use filbertbay_transport::tls::Identity;
use parking_lot::Mutex;
use slog::{Logger, o};
use standin::group;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_postgres::{Client, Config, NoTls};

/// Longest wait for anything.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// Time that callers have for their startup.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Key of the workspace `shop`.
pub const KEY: &str = "key-of-the-shop-53d1";

/// Key of the workspace `mill`.
pub const OTHER_KEY: &str = "key-of-the-mill-9a07";

/// Password that the stand-in takes.
pub const PASSWORD: &str = "endpoint-secret";

/// Control that sees the stand-in's members directly.
#[derive(Debug)]
pub struct Control {
    group: Arc<group::Handle>,
    document: Mutex<(u64, Document)>,
    changes: watch::Sender<Snapshot>,
    pub cut_off: watch::Sender<bool>,
    /// Whether writes can be confirmed.
    pub confirms: Mutex<bool>,
    /// Whether statements are admitted.
    pub admits: Mutex<bool>,
}

impl Control {
    /// Changes the configuration.
    pub fn patch<F>(&self, change: F)
    where
        F: FnOnce(&mut Document),
    {
        let mut document = self.document.lock();
        change(&mut document.1);
        document.0 += 1;
        let snapshot = Snapshot::compile(Version(document.0), &document.1).expect("valid");
        drop(document);
        self.changes.send_replace(snapshot);
    }

    /// Acts as control does before it has a configuration.
    pub fn forget(&self) {
        self.document.lock().0 = 0;
    }

    /// Withdraws the key of the workspace `shop`.
    pub fn withdraw(&self) {
        self.patch(|document| {
            let shop = document.workspaces.get_mut("shop").expect("configured");
            shop.keys.get_mut("k1").expect("configured").state = KeyState::Withdrawn;
        });
    }
}

#[async_trait]
impl Policy for Control {
    fn snapshot(&self) -> Snapshot {
        let document = self.document.lock();
        Snapshot::compile(Version(document.0), &document.1).expect("valid")
    }

    fn group(&self, name: &str) -> Option<Arc<Group>> {
        let now = Instant::now();
        let members = self.group.members().iter().map(|member| Member {
            name: Arc::clone(member.name()),
            data_centre: Arc::clone(member.data_centre()),
            address: member.address(),
            availability: Availability::In,
            observation: Some(Observation {
                status: member.status(now),
                asked: now,
            }),
        });
        let members: Vec<Member> = members.collect();
        let status = |member: &Member| member.observation.expect("observed").status;
        let primary = members
            .iter()
            .position(|member| status(member).role == Role::Primary);
        let position = primary.map(|index| status(&members[index]).received);
        Some(Arc::new(Group {
            name: name.into(),
            term: position.map_or(Term(0), |position| position.term),
            primary,
            members,
            is_switching_over: false,
            watermarks: position
                .map(|position| Watermark {
                    asked: now,
                    position,
                })
                .into_iter()
                .collect(),
        }))
    }

    fn subscribe_snapshot(&self) -> watch::Receiver<Snapshot> {
        self.changes.subscribe()
    }

    fn subscribe_isolated(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    async fn refresh(&self, _: &str) {}

    async fn confirm(&self, finished: ConfirmationRequest) -> Outcome {
        let view = self.group(&finished.group).expect("known");
        let status = view.members[finished.member]
            .observation
            .expect("observed")
            .status;
        if !*self.confirms.lock() || view.primary != Some(finished.member) {
            return Outcome::Unknown(Cause::Superseded);
        }
        Outcome::Confirmed(status.received)
    }

    async fn admit(&self, _: AdmissionRequest) -> bool {
        *self.admits.lock()
    }
}

/// Instance and the group behind it.
pub struct Fixture {
    pub group: Arc<group::Handle>,
    pub control: Arc<Control>,
    pub callers: Handle,
    pub phase: watch::Sender<Phase>,
}

/// Options of a [`Fixture`].
pub struct Options {
    pub connections: u32,
    pub max_callers: usize,
    pub slots: u32,
    pub tls: Option<Arc<Identity>>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 4,
            max_callers: 100,
            slots: 4,
            tls: None,
        }
    }
}

/// Starts a group and an instance.
pub async fn spawn(options: Options) -> Fixture {
    let regions = [("quimper", "west"), ("nantes", "south"), ("caen", "north")];
    let network = group::network::Network::new(group::network::Latency::default(), regions);
    let places = regions.map(|(name, _)| group::Place::new(&format!("orders-{name}"), name));
    let group = group::Config::new("orders", PASSWORD)
        .places(places)
        .network(network)
        .connections(32)
        .slots(options.slots)
        .connect_time(Duration::from_millis(1))
        .record(true);
    let group = Arc::new(group.spawn().await.expect("the group starts"));
    let (changes, _) = watch::channel(Snapshot::empty());
    let control = Arc::new(Control {
        document: Mutex::new((1, document(&group))),
        group: Arc::clone(&group),
        changes,
        cut_off: watch::Sender::new(false),
        confirms: Mutex::new(true),
        admits: Mutex::new(true),
    });
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let config = pool::Config::new("proxy".into(), PASSWORD.into(), "quimper-1".into());
    let secrets = [vec![7; 32]];
    let shared = SessionContext {
        policy: Arc::clone(&control) as Arc<dyn Policy>,
        pool: Arc::new(Pool::new(config.connections(options.connections))),
        signer: Arc::new(Signer::new(token::Config::default(), secrets).expect("long")),
        replicas: replica::Config::default(),
        data_centre: "quimper".into(),
        registry: Arc::default(),
        startup_timeout: STARTUP_TIMEOUT,
        peer_secret: Digest::of(PASSWORD),
        tls: options.tls,
        phase: phase_receiver,
        log: Logger::root(slog::Discard, o!()),
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = TcpListener::bind::<SocketAddr>(address)
        .await
        .expect("the port is free");
    let callers = caller::spawn(
        Arc::new(shared),
        ListenerKind::Callers,
        listener,
        options.max_callers,
    );
    let callers = callers.expect("the listener is bound");
    Fixture {
        group,
        control,
        callers,
        phase,
    }
}

/// Returns the configuration of a group, one route and two workspaces.
pub fn document(group: &group::Handle) -> Document {
    let members: Vec<String> = group.members().iter().map(member_text).collect();
    let text = format!(
        r#"{{"data_centres": {{"quimper": {{"region": "west"}}, "nantes": {{"region": "south"}},
                "caen": {{"region": "north"}}}},
            "groups": {{"orders": {{"members": {{{}}}}}}},
            "routes": {{"orders": {{"group": "orders"}}, "hurried": {{"group": "orders", "statement_ms": 300}}}},
            "workspaces": {{
                "shop": {{"rate": {{"per_second": 1000, "burst": 1000}}, "routes": ["orders", "hurried"],
                    "keys": {{"k1": {{"digest": "{}"}}}}}},
                "mill": {{"rate": {{"per_second": 1000, "burst": 1000}}, "routes": [],
                    "keys": {{"k1": {{"digest": "{}"}}}}}}}}}}"#,
        members.join(","),
        Digest::of(KEY),
        Digest::of(OTHER_KEY),
    );
    serde_json::from_str(&text).expect("valid")
}

fn member_text(member: &Arc<group::Member>) -> String {
    format!(
        r#""{}": {{"data_centre": "{}", "address": "{}", "connections": {}, "slots": 4}}"#,
        member.name(),
        member.data_centre(),
        member.address(),
        member.connections()
    )
}

impl Fixture {
    /// Returns how to connect as the workspace `shop`.
    pub fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .host(self.callers.address().ip().to_string())
            .port(self.callers.address().port())
            .user("shop")
            .password(KEY)
            .dbname("orders");
        config
    }

    /// Connects as the workspace `shop`.
    pub async fn connect(&self) -> Client {
        connect(&self.config())
            .await
            .expect("the instance takes the caller")
    }

    /// Connects to the primary itself, past the instance.
    pub async fn direct(&self) -> Client {
        let member = self.group.primary().address();
        let mut config = Config::new();
        config.host(member.ip().to_string()).port(member.port());
        config.user("direct").password(PASSWORD).dbname("orders");
        connect(&config)
            .await
            .expect("the primary takes the caller")
    }
}

/// Connects a caller.
pub async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns the SQLSTATE of an error, or its text.
pub fn state(error: &tokio_postgres::Error) -> String {
    let state = error.code().map(|state| state.code().to_owned());
    state.unwrap_or_else(|| error.to_string())
}

/// Waits until a condition holds, and fails the test if it never does.
pub async fn until<F, O>(what: &str, mut holds: F)
where
    F: FnMut() -> O,
    O: Future<Output = bool>,
{
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < DEADLINE, "{what} never came true");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
