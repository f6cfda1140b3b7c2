//! SIGTERM of one machine while sessions are busy: rule LOST.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Scratch;
use crate::client::{Answer, Client, Request};
use crate::fleet::{self, Place, SIGTERM};
use crate::member::{Group, Shape};
use crate::record::Record;
use crate::store::Store;

const PLACES: [Place; 3] = [
    Place {
        zone: "quimper",
        region: "bretagne",
    },
    Place {
        zone: "nantes",
        region: "pays-loire",
    },
    Place {
        zone: "caen",
        region: "normandie",
    },
];

/// Sessions at the machine that is stopped: an eighth of the 296 that stand open at armor-etang.
const SESSIONS: usize = 37;

/// Pause of a session between an answer and its next statement.
const PAUSE: Duration = Duration::from_millis(100);

/// Time limit of a client for a request.
const TIME_LIMIT: Duration = Duration::from_millis(5_000);

const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);

pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let scratch = Scratch::new()?;
    let record = Arc::new(Record::create(folder));
    let store = Store::new();
    let shape = Shape {
        slots: 3,
        queue: 24,
        max_connections: 37,
        read_ms: 14,
        write_ms: 14,
        promote_ms: 600,
        sync_replicas: 0,
    };
    let group = Group::start(
        "catalogue",
        &["quimper", "nantes", "caen"],
        shape,
        &store,
        &record,
    );
    let failover = Group::serve_failover(vec![Arc::clone(&group)]);
    store.put(
        "op/config",
        r#"{"version":7,"routes":[{"name":"r-1","host":"fiti832ti23","prefix":"/","type":"read_your_writes","timeout_ms":800,"target_latency_ms":500,"priority":2,"service":"catalogue","attempts":2,"max_staleness_ms":2500,"anonymous":false,"allowed_regions":[]}],"services":[{"name":"catalogue","health_path":"/health","max_conns":37,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"sync_replicas":0}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},"tenants":[{"name":"nypu920","api_keys":["u6wsjnbanfqasnmgkcuy"],"priority":1,"rate_per_s":2000,"burst":2000,"allowed_regions":[]}]}"#,
    );
    let stores: Vec<_> = PLACES.iter().map(|_| store.listen()).collect();
    let mut instances = fleet::start(&scratch.0, &PLACES, &stores, failover);
    if !fleet::wait_until_ready(&instances) {
        return Err("the instances aren't ready after 20 s".to_owned());
    }
    let addresses: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..SESSIONS)
        .map(|number| {
            let addresses = addresses.clone();
            let (is_over, requests) = (Arc::clone(&is_over), Arc::clone(&requests));
            std::thread::spawn(move || client(number, &addresses, &is_over, &requests))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let stopped_at = Instant::now();
    if has_trouble {
        record.line(&format!("SIGTERM to {}", instances[0].name));
        instances[0].signal(SIGTERM);
    }
    let mut has_ended = false;
    while stopped_at.elapsed() < GRACE + Duration::from_secs(1) {
        if !has_ended && instances[0].has_ended() {
            has_ended = true;
            record.line(&format!("{} has ended", instances[0].name));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let requests = std::mem::take(&mut *requests.lock().unwrap());
    record.requests(&requests, &group);
    let (cuts, answered): (Vec<Request>, Vec<Request>) = requests
        .into_iter()
        .partition(|request| matches!(request.answer, Answer::Cut | Answer::Late));
    let mut lost = 0;
    for cut in &cuts {
        let is_passed_on = group.runs.lock().unwrap().contains_key(&cut.id);
        let sent_after = cut.sent.saturating_duration_since(stopped_at);
        let took = cut.ended.saturating_duration_since(cut.sent);
        let is_at_stop = has_trouble
            && cut.machine == 0
            && cut.ended >= stopped_at
            && sent_after <= GRACE + Duration::from_secs(1);
        // Excused: a member still at work on a request that was sent no later than 3 s after the
        // signal, and a request that reached the route's timeout.
        let is_excused = sent_after <= Duration::from_secs(3) || took >= ROUTE_TIMEOUT;
        let is_lost = is_at_stop && !is_excused && (is_passed_on || took > LOSS_SLACK);
        lost += usize::from(is_lost);
        record.line_at(
            cut.ended,
            &format!(
                "the connection of {} ends without an answer, sent {} ms after the SIGTERM, {} by a member: {}",
                cut.id,
                sent_after.as_millis(),
                if is_passed_on { "run" } else { "not run" },
                if is_lost { "LOST" } else { "not counted" }
            ),
        );
    }
    record.line(&format!(
        "answered: {}, without an answer: {}, of these counted by LOST: {lost}",
        answered.len(),
        cuts.len()
    ));
    if answered.len() < 1_000 {
        return Err(format!("only {} requests were answered", answered.len()));
    }
    Ok(lost == 0)
}

/// Runs single statements one after the other, first on the machine that is stopped, and opens a new
/// session at another machine when the system has closed one.
fn client(
    number: usize,
    addresses: &[std::net::SocketAddr],
    is_over: &AtomicBool,
    requests: &Mutex<Vec<Request>>,
) {
    let mut machine = 0;
    let mut count = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        let address = addresses[machine % addresses.len()];
        let Some(mut session) =
            Client::open(address, "fiti832ti23", "u6wsjnbanfqasnmgkcuy", TIME_LIMIT)
        else {
            machine += 1;
            std::thread::sleep(PAUSE);
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            if session.is_closed() {
                // Closed in state I without an outstanding request: no failure.
                break;
            }
            count += 1;
            let id = format!("{number:x}{count:08x}");
            let text = if count % 8 == 0 {
                format!("WRITE {number}a{count} d{count}")
            } else {
                format!("READ {number}a{}", count / 8 * 8)
            };
            let sent = Instant::now();
            let answer = session.query(&id, &text);
            let is_answered = !matches!(answer, Answer::Cut | Answer::Late);
            requests.lock().unwrap().push(Request {
                id,
                text,
                machine: machine % addresses.len(),
                sent,
                ended: Instant::now(),
                answer,
            });
            if !is_answered {
                break;
            }
            std::thread::sleep(PAUSE);
        }
        machine += 1;
    }
}
