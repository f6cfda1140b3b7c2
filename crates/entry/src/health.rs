//! Readiness for the balancer, and metrics.

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

/// Time between two looks at readiness; the balancer asks once a second.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Upper bounds of the latency histograms, in seconds; the objectives lie between 0.3 and 1.2 s.
const BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 5.0];

/// Returns the recorder of this process.
pub fn recorder() -> &'static PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        // Fails for an empty list of buckets alone.
        let builder = builder.set_buckets(&BUCKETS).unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // A program that embeds the instance may have its own recorder, which then takes the values.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}

/// Answers the balancer until the process ends.
pub fn serve_readiness(listener: TcpListener, path: &str, instance: &Rc<Instance>) {
    let is_ready = Arc::new(AtomicBool::new(instance.is_ready()));
    let router = Router::new()
        .route(path, get(readiness))
        .with_state(Arc::clone(&is_ready));
    tokio::task::spawn_local(look(Rc::clone(instance), is_ready));
    spawn(listener, router, instance);
}

/// Serves the metrics until the process ends.
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

/// Follows readiness, which depends on state of the instance's own thread.
async fn look(instance: Rc<Instance>, is_ready: Arc<AtomicBool>) {
    let mut phase = instance.phase.subscribe();
    loop {
        let now = instance.is_ready();
        if is_ready.swap(now, Ordering::Relaxed) != now {
            let age = instance
                .view
                .borrow()
                .primary_lease
                .contact_age(instance.now());
            info!(instance.log, "readiness changed"; "ready" => now,
                "contact_age_ms" => age.map(|age| age.as_millis() as u64),
                "draining" => instance.is_draining());
        }
        // Either end of the wait leads to the next look.
        let _ = tokio::time::timeout(LOOK_INTERVAL, phase.changed()).await;
    }
}

async fn readiness(State(is_ready): State<Arc<AtomicBool>>) -> StatusCode {
    if is_ready.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
