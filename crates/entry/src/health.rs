//! HTTP servers for the load balancer's readiness check and for Prometheus metrics.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{info, warn};
use tokio::net::TcpListener;

use crate::instance::Instance;

/// Interval at which readiness is evaluated; the load balancer checks once a second.
const READINESS_INTERVAL: Duration = Duration::from_millis(200);

/// Upper bounds of the latency histograms, in seconds. The latency objectives lie between 0.3 and 1.2 s.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 5.0];

/// Returns the metrics recorder of this process, installed on first use.
pub fn recorder() -> &'static PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        // Fails only for an empty list of buckets.
        let builder = builder.set_buckets(&LATENCY_BUCKETS).unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Fails if a program that embeds the instance has installed its own recorder, which then
        // receives the metrics.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}

/// Serves the readiness check at `path` until the process ends.
pub fn serve_readiness(listener: TcpListener, path: &str, instance: &Rc<Instance>) {
    let is_ready = Arc::new(AtomicBool::new(instance.is_ready()));
    let router = Router::new()
        .route(path, get(readiness))
        .with_state(Arc::clone(&is_ready));
    tokio::task::spawn_local(track_readiness(Rc::clone(instance), is_ready));
    spawn(listener, router, instance);
}

/// Serves the metrics at `/metrics` until the process ends.
pub fn serve_metrics(listener: TcpListener, instance: &Rc<Instance>) {
    let router = Router::new().route("/metrics", get(async || recorder().render()));
    spawn(listener, router, instance);
}

fn spawn(listener: TcpListener, router: Router, instance: &Rc<Instance>) {
    let log = instance.log.clone();
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            warn!(log, "an HTTP server ended"; "error" => %error);
        }
    });
}

/// Copies the readiness of the instance, whose state belongs to one thread, into an atomic flag for
/// the HTTP server.
async fn track_readiness(instance: Rc<Instance>, is_ready: Arc<AtomicBool>) {
    let mut phase = instance.phase.subscribe();
    loop {
        let ready = instance.is_ready();
        if is_ready.swap(ready, Ordering::Relaxed) != ready {
            let age = instance
                .view
                .borrow()
                .primary_lease
                .contact_age(instance.now());
            info!(instance.log, "readiness changed"; "ready" => ready,
                "contact_age_ms" => age.map(|age| age.as_millis() as u64),
                "draining" => instance.is_draining());
        }
        // A timeout and a change of phase both lead to the next evaluation.
        let _ = tokio::time::timeout(READINESS_INTERVAL, phase.changed()).await;
    }
}

async fn readiness(State(is_ready): State<Arc<AtomicBool>>) -> StatusCode {
    if is_ready.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
