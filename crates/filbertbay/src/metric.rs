//! HTTP server of the instance's metrics and health check.
//!
//! | path | response |
//! |---|---|
//! | `/metrics` | metrics in the Prometheus text format |
//! | `/health` | 200 while the instance takes new callers, 503 while it starts or drains |

use std::net::SocketAddr;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use filbertbay_entry::health::recorder;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::caller::guard::Phase;

/// Handle of the HTTP server; dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Spawns the HTTP server.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn spawn(
    listener: TcpListener,
    phase: watch::Receiver<Phase>,
    ready: watch::Receiver<bool>,
) -> std::io::Result<Handle> {
    let address = listener.local_addr()?;
    let router = Router::new()
        .route("/metrics", get(async || recorder().render()))
        .route("/health", get(health))
        .with_state(Health { phase, ready });
    let task = tokio::spawn(async move {
        // The server ends only with the daemon.
        let _ = axum::serve(listener, router).await;
    });
    Ok(Handle { address, task })
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Installs the process-wide metrics recorder.
pub fn install_recorder() {
    recorder();
}

/// State from which the health check is answered.
#[derive(Clone, Debug)]
struct Health {
    phase: watch::Receiver<Phase>,
    ready: watch::Receiver<bool>,
}

async fn health(State(health): State<Health>) -> (StatusCode, &'static str) {
    let is_ready = *health.ready.borrow();
    match *health.phase.borrow() {
        Phase::Draining(_) => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
        Phase::Serving if is_ready => (StatusCode::OK, "serving\n"),
        Phase::Serving => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
    }
}
