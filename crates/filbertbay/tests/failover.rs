//! Changes of primary over real sockets, with the stand-in group and platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay::caller::policy::ConfirmationRequest;
use filbertbay::control::group::{Credentials, Dependencies, GroupDirectory};
use filbertbay::published::PublishedState;
use filbertbay_coordination::authority::confirm::Outcome;
use filbertbay_coordination::view;
use filbertbay_protocol::platform::Store;
use filbertbay_state::document::{Document, Durability};
use filbertbay_state::instance::{Instance, Presence};
use filbertbay_state::position::Term;
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::status::Role;
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client;
use serde_json::json;
use standin::group::network::{Latency, Network};
use standin::group::{Config, Handle, Place};
use standin::platform::{Fault, Platform};
use tokio::runtime;
use tokio::time::{sleep, timeout};
use tokio_postgres::NoTls;

const PASSWORD: &str = "endpoint-secret";
const DATA_CENTRES: [&str; 3] = ["quimper", "nantes", "caen"];

/// Longest wait for anything.
const DEADLINE: Duration = Duration::from_secs(20);

/// Longest wait for one write and its proof.
const WRITE_DEADLINE: Duration = Duration::from_millis(800);

/// Instance that only follows groups.
struct Node {
    published: Arc<PublishedState>,
    directory: Arc<GroupDirectory>,
    name: &'static str,
}

struct Fixture {
    group: Handle,
    network: Arc<Network>,
    platform: Platform,
    nodes: Vec<Node>,
}

fn document(group: &Handle, out: Option<&str>) -> Document {
    let members: BTreeMap<_, _> = group
        .members()
        .iter()
        .map(|member| {
            let value = json!({"data_centre": member.data_centre(), "address": member.address(),
                "connections": 16, "slots": 2});
            (member.name().to_string(), value)
        })
        .collect();
    let centre = |name: &str| {
        let availability = if out == Some(name) { "out" } else { "in" };
        (
            name.to_owned(),
            json!({"region": name, "availability": availability}),
        )
    };
    let centres: BTreeMap<_, _> = DATA_CENTRES.into_iter().map(centre).collect();
    let value = json!({"data_centres": centres, "groups": {"orders": {"members": members}}});
    serde_json::from_value(value).expect("a document")
}

impl Fixture {
    /// Starts a group of three and one node in each of the given data centres.
    async fn open(places: &[&'static str]) -> Self {
        let network = Network::new(Latency::default(), DATA_CENTRES.map(|name| (name, name)));
        for place in places {
            network.place(place, place);
        }
        let members = DATA_CENTRES.map(|name| Place::new(&format!("orders-{name}"), name));
        let config = Config::new("orders", PASSWORD).network(Arc::clone(&network));
        let group = config.places(members).spawn().await.expect("a group");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let platform = Platform::bind(any, any).await.expect("a platform");
        let mut fixture = Self {
            group,
            network,
            platform,
            nodes: Vec::new(),
        };
        for place in places {
            let node = fixture.start(place);
            fixture.nodes.push(node);
        }
        for node in 0..places.len() {
            fixture.wait(node, |view| view.primary == Some(2)).await;
        }
        fixture
    }

    fn start(&self, name: &'static str) -> Node {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let published = Arc::new(PublishedState::new(Instance {
            name: name.into(),
            incarnation: 1,
            data_centre: name.into(),
            caller_address: any,
            peer_address: any,
            forward_address: any,
            presence: Presence::Live,
        }));
        let store: Arc<dyn Store> = Arc::new(Client::new(&self.platform.url()).expect("a client"));
        let parts = Dependencies {
            credentials: Credentials {
                application: name.into(),
                user: "filbertbay".into(),
                password: PASSWORD.into(),
            },
            store,
            published: Arc::clone(&published),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let directory = GroupDirectory::spawn(&runtime::Handle::current(), parts);
        let node = Node {
            published,
            directory,
            name,
        };
        node.configure(1, &document(&self.group, None));
        node
    }

    /// Waits until a node sees what `holds` asks for.
    async fn wait<F>(&self, node: usize, holds: F) -> Arc<view::Group>
    where
        F: Fn(&view::Group) -> bool,
    {
        let search = async {
            loop {
                let view = self.nodes[node].published.group("orders");
                if let Some(view) = view.filter(|view| holds(view)) {
                    return view;
                }
                sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(DEADLINE, search)
            .await
            .expect("the view comes in time")
    }

    /// Writes through a node until a write is confirmed, and returns how long that took.
    async fn write_until_confirmed(&self, node: usize) -> Duration {
        let since = Instant::now();
        loop {
            if let Some(Outcome::Confirmed(_)) = self.nodes[node].write(Durability::Majority).await
            {
                return since.elapsed();
            }
            assert!(since.elapsed() < DEADLINE, "no write is confirmed");
        }
    }

    /// Waits until every member holds the term of the primary that a node knows.
    async fn wait_until_healed(&self, node: usize) {
        let heals = |view: &view::Group| {
            let mut members = view.members.iter().filter_map(|member| member.observation);
            members.all(|observation| observation.status.received.term == view.term)
        };
        self.wait(node, heals).await;
    }

    /// Returns the members that lead, by the term that they lead.
    fn leaders(&self) -> Vec<(Term, Arc<str>)> {
        let now = Instant::now();
        let members = self.group.members().iter();
        members
            .filter(|member| member.status(now).role == Role::Primary)
            .map(|member| (member.status(now).received.term, Arc::clone(member.name())))
            .collect()
    }
}

impl Node {
    fn configure(&self, version: u64, document: &Document) {
        let snapshot = Snapshot::compile(Version(version), document).expect("a valid document");
        self.published.set_snapshot(snapshot);
    }

    /// Writes one row on the primary that the node knows; nothing comes back if it did not run.
    async fn write(&self, durability: Durability) -> Option<Outcome> {
        let view = self.published.group("orders")?;
        let member = view.primary?;
        let run = run(view.members[member].address, self.name);
        timeout(WRITE_DEADLINE, run).await.ok()?.ok()?;
        let finished = ConfirmationRequest {
            group: "orders".into(),
            member,
            term: view.term,
            durability,
            deadline: Instant::now() + WRITE_DEADLINE,
        };
        Some(self.directory.confirm(finished).await)
    }
}

async fn run(address: SocketAddr, application: &str) -> Result<(), tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config
        .user("filbertbay")
        .password(PASSWORD)
        .dbname("orders");
    config.application_name(application);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    let sql = "CREATE TABLE IF NOT EXISTS t (x int); INSERT INTO t VALUES (1)";
    client.batch_execute(sql).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_primary_is_replaced_while_the_platform_is_down() {
    let fixture = Fixture::open(&["nantes"]).await;
    fixture.write_until_confirmed(0).await;
    fixture.platform.apply(&Fault {
        down: Some(true),
        ..Fault::default()
    });
    fixture.group.members()[0].set_stopped(true);
    let gap = fixture.write_until_confirmed(0).await;
    println!("gap with the platform down: {gap:?}");
    let view = fixture.wait(0, |view| view.term > Term(1)).await;
    assert_ne!(
        view.members[view.primary.unwrap()].name.as_ref(),
        "orders-quimper"
    );

    fixture.group.members()[0].set_stopped(false);
    fixture.wait_until_healed(0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_primary_is_not_believed() {
    let fixture = Fixture::open(&["quimper", "nantes"]).await;
    fixture.write_until_confirmed(0).await;
    fixture.network.cut("quimper", true);
    // The node beside the old primary still reaches it, and it still takes writes.
    let outcome = fixture.nodes[0].write(Durability::Primary).await;
    assert!(matches!(outcome, Some(Outcome::Unknown(_))), "{outcome:?}");
    let gap = fixture.write_until_confirmed(1).await;
    println!("gap of the majority's side: {gap:?}");
    let outcome = fixture.nodes[0].write(Durability::Primary).await;
    assert!(matches!(outcome, Some(Outcome::Unknown(_))), "{outcome:?}");
    assert_eq!(
        fixture.leaders().len(),
        2,
        "the old primary still believes that it leads"
    );

    fixture.network.cut("quimper", false);
    fixture.write_until_confirmed(0).await;
    fixture.wait_until_healed(0).await;
    assert_eq!(fixture.leaders().len(), 1);
}

/// Samples who leads until `ended` and returns every term with the members that led it.
async fn sample(fixture: &Fixture, writes: usize) -> BTreeMap<Term, Vec<Arc<str>>> {
    let mut terms: BTreeMap<Term, Vec<Arc<str>>> = BTreeMap::new();
    let write = async {
        for _ in 0..writes {
            fixture.write_until_confirmed(0).await;
            fixture.write_until_confirmed(1).await;
        }
    };
    tokio::pin!(write);
    loop {
        for (term, member) in fixture.leaders() {
            let known = terms.entry(term).or_default();
            if !known.contains(&member) {
                known.push(member);
            }
        }
        tokio::select! {
            () = &mut write => return terms,
            () = sleep(Duration::from_millis(1)) => {}
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_proposers_at_once_leave_one_primary() {
    // Each node knows only itself, so both propose without waiting for the other.
    let fixture = Fixture::open(&["nantes", "caen"]).await;
    for lost in 0..2 {
        let primary = Arc::clone(fixture.group.primary());
        primary.set_stopped(true);
        let terms = sample(&fixture, 1).await;
        assert!(
            terms.values().all(|members| members.len() == 1),
            "{terms:?}"
        );
        primary.set_stopped(false);
        println!("loss {lost}: terms {terms:?}");
        sample(&fixture, 3).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_lead_leaves_a_data_centre_that_is_taken_out() {
    let fixture = Fixture::open(&["nantes", "caen"]).await;
    fixture.write_until_confirmed(0).await;
    let moved = document(&fixture.group, Some("quimper"));
    fixture
        .nodes
        .iter()
        .for_each(|node| node.configure(2, &moved));
    let since = Instant::now();
    let mut longest = Duration::ZERO;
    let mut unknown = 0;
    while since.elapsed() < DEADLINE {
        let started = Instant::now();
        loop {
            match fixture.nodes[0].write(Durability::Majority).await {
                Some(Outcome::Confirmed(_)) => break,
                Some(Outcome::Unknown(_)) => unknown += 1,
                None => {}
            }
        }
        longest = longest.max(started.elapsed());
        let view = fixture.wait(0, |view| view.primary.is_some()).await;
        if view.members[view.primary.unwrap()].name.as_ref() != "orders-quimper" {
            break;
        }
    }
    println!("planned move: longest write {longest:?}, {unknown} unknown");
    assert_eq!(unknown, 0, "writes before the move are still confirmed");
    assert_ne!(fixture.group.primary().name().as_ref(), "orders-quimper");
}
