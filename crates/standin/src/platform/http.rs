//! HTTP interface of the stand-in.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::http::{Method, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use filbertbay_protocol::platform::MAX_VALUE_BYTES;
use serde::Deserialize;
use serde_json::json;

use super::counter::{Counters, Kind};
use super::table::Slot;
use super::{Fault, Shared};

/// Wait of a blocking call that names none.
const DEFAULT_WAIT: Duration = Duration::from_mins(5);

/// Returns the routes of the service.
pub(super) fn service(shared: Arc<Shared>) -> Router {
    let with_faults = middleware::from_fn_with_state(Arc::clone(&shared), run);
    Router::new()
        .route("/v1/kv/{*key}", get(read).put(write).delete(remove))
        .route("/v1/session/create", put(open_lease))
        .route("/v1/session/renew/{id}", put(renew_lease))
        .route("/v1/session/destroy/{id}", put(close_lease))
        .route("/v1/agent/service/register", put(register))
        .route("/v1/catalog/service/{name}", get(instances))
        .layer(with_faults)
        .layer(DefaultBodyLimit::max(MAX_VALUE_BYTES))
        .with_state(shared)
}

/// Returns the routes of the control.
pub(super) fn control(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/fault", post(fault))
        .route("/counters", get(counters))
        .with_state(shared)
}

async fn fault(State(shared): State<Arc<Shared>>, Json(fault): Json<Fault>) -> StatusCode {
    shared.apply(&fault);
    StatusCode::NO_CONTENT
}

async fn counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.counter.lock().counters())
}

/// Runs a call with the faults in force.
///
/// A changing call runs to its end, also if the client gives up.
async fn run(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    let changes = request.method() != Method::GET;
    let slow = shared.faults.lock().slow;
    let call = async move {
        tokio::time::sleep(slow).await;
        next.run(request).await
    };
    if !changes {
        return call.await;
    }
    let Ok(response) = tokio::spawn(call).await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    if shared.loses_answer() {
        return cut();
    }
    response
}

/// Returns an answer whose connection is cut before its body.
fn cut() -> Response {
    let error = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures::stream::iter([Err::<Bytes, _>(error)]);
    Response::new(Body::from_stream(body))
}

#[derive(Debug, Default, Deserialize)]
struct Options {
    cas: Option<u64>,
    index: Option<u64>,
    wait: Option<String>,
    recurse: Option<String>,
    acquire: Option<String>,
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(options): Query<Options>,
) -> Response {
    if options.recurse.is_some() {
        count(&shared, Kind::List);
        return list(&shared, &key);
    }
    let Some(above) = options.index.filter(|index| *index > 0) else {
        count(&shared, Kind::Read);
        return read_now(&shared, &key);
    };
    count(&shared, Kind::Watch);
    let wait = options.wait.as_deref().and_then(parse_duration);
    let _ =
        tokio::time::timeout(wait.unwrap_or(DEFAULT_WAIT), wait_for(&shared, &key, above)).await;
    read_now(&shared, &key)
}

/// Waits until a key has an index above `above`, or is missing after a change above it.
async fn wait_for(shared: &Shared, key: &str, above: u64) {
    let mut changed = shared.changed.subscribe();
    loop {
        let index = *changed.borrow_and_update();
        let slot_index = shared.table.lock().read(key).map(|slot| slot.index);
        if slot_index.unwrap_or(index) > above || changed.changed().await.is_err() {
            return;
        }
    }
}

fn read_now(shared: &Shared, key: &str) -> Response {
    let table = shared.table.lock();
    let Some(slot) = table.read(key) else {
        return answer(StatusCode::NOT_FOUND, table.index(), Vec::new());
    };
    answer(StatusCode::OK, slot.index, vec![row(key, slot)])
}

fn list(shared: &Shared, prefix: &str) -> Response {
    let table = shared.table.lock();
    let rows: Vec<_> = table
        .list(prefix)
        .map(|(key, slot)| row(key, slot))
        .collect();
    let status = if rows.is_empty() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::OK
    };
    answer(status, table.index(), rows)
}

fn answer(status: StatusCode, index: u64, rows: Vec<serde_json::Value>) -> Response {
    let header = [("x-consul-index", index.to_string())];
    (status, header, Json(rows)).into_response()
}

fn row(key: &str, slot: &Slot) -> serde_json::Value {
    json!({
        "Key": key,
        "Value": STANDARD.encode(&slot.value),
        "ModifyIndex": slot.index,
        "Session": slot.lease,
    })
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(options): Query<Options>,
    body: Bytes,
) -> Response {
    count(&shared, Kind::Write);
    let value = body.to_vec();
    let Some(lease) = options.acquire else {
        let written = shared.change(|table, _| table.write(&key, value, options.cas));
        return Json(written).into_response();
    };
    match shared.change(|table, _| table.acquire(&key, value, &lease)) {
        Some(acquired) => Json(acquired).into_response(),
        None => (StatusCode::INTERNAL_SERVER_ERROR, "invalid session").into_response(),
    }
}

async fn remove(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(options): Query<Options>,
) -> Response {
    count(&shared, Kind::Remove);
    let removed = shared.change(|table, _| table.remove(&key, options.cas));
    Json(removed).into_response()
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NewSession {
    name: String,
    #[serde(rename = "TTL")]
    ttl: String,
}

async fn open_lease(State(shared): State<Arc<Shared>>, Json(body): Json<NewSession>) -> Response {
    count(&shared, Kind::Lease);
    let Some(ttl) = parse_duration(&body.ttl) else {
        return (StatusCode::BAD_REQUEST, "bad TTL").into_response();
    };
    let id = shared.change(|table, now| table.open_lease(&body.name, ttl, now));
    Json(json!({ "ID": id })).into_response()
}

async fn renew_lease(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> Response {
    count(&shared, Kind::Lease);
    if shared.change(|table, now| table.renew_lease(&id, now)) {
        return Json(json!([{ "ID": id }])).into_response();
    }
    StatusCode::NOT_FOUND.into_response()
}

async fn close_lease(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> Response {
    count(&shared, Kind::Lease);
    shared.change(|table, _| table.close_lease(&id));
    Json(true).into_response()
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NewService {
    #[serde(rename = "ID")]
    id: String,
    meta: serde_json::Value,
    check: NewCheck,
}

#[derive(Debug, Deserialize)]
struct NewCheck {
    #[serde(rename = "TTL")]
    ttl: String,
}

async fn register(State(shared): State<Arc<Shared>>, Json(body): Json<NewService>) -> Response {
    count(&shared, Kind::Register);
    let Some(ttl) = parse_duration(&body.check.ttl) else {
        return (StatusCode::BAD_REQUEST, "bad TTL").into_response();
    };
    shared.change(|table, now| table.register(&body.id, body.meta, ttl, now));
    StatusCode::OK.into_response()
}

async fn instances(State(shared): State<Arc<Shared>>) -> Response {
    count(&shared, Kind::Instances);
    let metas = shared.table.lock().instances(Instant::now());
    let rows = metas.into_iter().map(|meta| json!({ "ServiceMeta": meta }));
    Json(rows.collect::<Vec<_>>()).into_response()
}

fn count(shared: &Shared, kind: Kind) {
    shared.counter.lock().count(Instant::now(), kind);
}

/// Parses whole milliseconds or seconds, such as `500ms` or `10s`.
fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.parse().ok().map(Duration::from_millis);
    }
    let number = text.strip_suffix('s')?;
    number.parse().ok().map(Duration::from_secs)
}
